"""ironmill: a proxy for long-lived TCP connections."""

__version__ = "0.2.0"
