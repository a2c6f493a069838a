"""The costs of the operators' planned fleet: measured sweeps, scenarios, and the page computed from both.

The package defines ``docs/CAPACITY.md``, its template and the format of its data. It may import `ironmill`
and the other packages of `ironmill_testbed`, except `ironmill_testbed.measures.scale`, which runs it.
"""
