"""Drivers of the I/O-free packages: sockets, greenlets and signals.

Owns every socket of a process, the proxy and the control machine as wholes, and their start, reload, drain
and shutdown. May import every package of ``ironmill`` except ``commands`` and ``simulator``.
"""
