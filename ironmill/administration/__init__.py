"""The admin API of proxies and control machines, without I/O.

Owns the routes, their handlers, the types of request and response bodies, and the state machine of one HTTP
exchange. May import ``distribution``, ``requests`` and ``runtime``.
"""
