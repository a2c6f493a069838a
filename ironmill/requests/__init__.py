"""A client's request from its arrival to its final answer, without I/O.

It owns a proxy's requests and attempts, their metrics, the routing table and the connection limiter. It may
import ``balancing``, ``configuration``, ``protocol`` and ``runtime``.
"""
