"""The admin API of proxies and control machines, without I/O.

Owns the routes, their handlers, the typed bodies of calls and responses, and the state machine of one HTTP
call. May import ``distribution``, ``requests`` and ``runtime``.
"""
