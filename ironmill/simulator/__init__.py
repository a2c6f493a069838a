"""The adapter between the simulator's text wire and the decisions.

Owns the names of that wire and one ``Balancer`` for each simulated proxy; it decides nothing. May import
``balancing``, ``configuration`` and ``protocol``.
"""
