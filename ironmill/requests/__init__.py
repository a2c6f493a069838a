"""The handling of client requests from arrival to final answer, without I/O.

This package owns a proxy's requests and attempts, their metrics, the routing table and the connection
limiter. It may import ``balancing``, ``configuration``, ``protocol`` and ``runtime``.
"""
