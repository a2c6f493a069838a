"""Exceptions of configuration distribution."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ironmill.errors import IronmillError

if TYPE_CHECKING:
    from ironmill.distribution.rejection import Rejection


class RevisionError(IronmillError, ValueError):
    """Raised if changes violate a limit on revisions. The message names the key or field and the limit."""


class RevisionRejectedError(IronmillError):
    """Raised if a consumer cannot apply the changes. Nothing was stored."""

    def __init__(self, rejection: Rejection) -> None:
        """Creates the error; ``rejection`` is the result of the consumer's check."""
        super().__init__(f"{rejection.key}: {rejection.reason}")
        self.rejection = rejection


class PositionConflictError(IronmillError):
    """Raised if the latest revision is not the expected one. The message names both."""


class NotOriginError(IronmillError):
    """Raised if this process is not, or is no longer, the origin. The message gives the reason."""


class StoreError(IronmillError):
    """Raised if the store cannot be read or does not commit a revision. Nothing was stored.

    The message is a single line.
    """


class FencedError(StoreError):
    """Raised if another writer has opened the store since; this one must not write again."""
