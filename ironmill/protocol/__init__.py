"""State machines of the line protocol, of discovery's HTTP and of TLS: bytes in, typed events out.

It owns every word of these protocols on the wire; other packages see typed events and attributes. It knows
neither sockets nor a clock, and may import ``balancing`` and ``runtime``.
"""
