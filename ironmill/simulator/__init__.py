"""The adapter between the simulator's text protocol and the balancers of simulated proxies.

This package owns the names used in that protocol and one ``Balancer`` for each simulated proxy. It makes no
decisions of its own. It may import ``balancing``, ``configuration`` and ``protocol``.
"""
