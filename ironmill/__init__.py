"""ironmill: a proxy for long-lived TCP connections on real sockets."""

__version__ = "0.2.0"
