"""A client's request from its arrival to its final answer, without I/O.

Owns the requests and attempts of a proxy, their counts, the routing table and what admission allows. May
import ``balancing``, ``configuration``, ``protocol`` and ``runtime``.
"""
