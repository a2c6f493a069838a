"""The error that a command reports to the operator."""

from __future__ import annotations

from ironmill.errors import IronmillError


class CommandError(IronmillError):
    """Raised if a command cannot be carried out. The message is one line that says why."""
