"""The exception of the operators' settings."""

from __future__ import annotations

from ironmill.errors import IronmillError


class SettingsError(IronmillError):
    """Raised if a settings file is invalid.

    The message is one line with the file, the line number, the problem and the expected value.
    """

    def __init__(self, path: str, line: int, problem: str) -> None:
        """Creates the error; ``line`` is 0 if the problem is not in a certain line."""
        super().__init__(f"{path}:{line}: {problem}")
