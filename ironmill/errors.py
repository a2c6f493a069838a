"""The base class of the exceptions that ironmill defines."""


class IronmillError(Exception):
    """Base class of all exceptions that ironmill defines."""
