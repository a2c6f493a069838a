"""The error of an operators' settings file."""

from __future__ import annotations

from ironmill.errors import IronmillError


class SettingsError(IronmillError):
    """An invalid settings file. The message is one line: file, line, what is wrong and what is expected."""

    def __init__(self, path: str, line: int, what: str) -> None:
        """``line`` is 0 where none is to blame."""
        super().__init__(f"{path}:{line}: {what}")
