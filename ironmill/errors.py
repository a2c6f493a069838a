"""The base class of the project's own exceptions."""


class IronmillError(Exception):
    """Base class of every exception that the project defines."""
