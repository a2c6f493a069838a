"""Drivers of the I/O-free packages, with sockets, greenlets and signals.

The package owns every socket of a process. It assembles the proxy and the control machine, and implements
their start, reload, drain and shutdown. It may import every package of ``ironmill`` except ``commands`` and
``simulator``.
"""
