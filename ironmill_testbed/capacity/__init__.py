"""The costs of the operators' planned fleet: measured sweeps, scenarios, and the page computed from both.

The package owns ``docs/CAPACITY.md``, its template and the form of its data. It may import `ironmill` and the
other packages of `ironmill_testbed`, but not `ironmill_testbed.measures.scale`, which runs it.
"""
