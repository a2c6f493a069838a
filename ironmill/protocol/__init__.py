"""State machines for the line protocol, for HTTP to discovery and for TLS: bytes in, typed events out.

Only this package contains the keywords and field names of these protocols; other packages use typed events
and attributes. It uses neither sockets nor a clock, and may import ``balancing`` and ``runtime``.
"""
