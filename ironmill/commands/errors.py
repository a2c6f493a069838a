"""The error of a command."""

from __future__ import annotations

from ironmill.errors import IronmillError


class CommandError(IronmillError):
    """A command that cannot be carried out. The message is the one line that says why."""
