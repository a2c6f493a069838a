"""Exceptions of configuration distribution."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ironmill.errors import IronmillError

if TYPE_CHECKING:
    from ironmill.distribution.rejection import Rejection


class RevisionError(IronmillError, ValueError):
    """The changes break a limit of revisions. The message names the key or field and the limit."""


class RevisionRejectedError(IronmillError):
    """A consumer cannot apply the changes. Nothing was stored."""

    def __init__(self, rejection: Rejection) -> None:
        """``rejection`` is what the consumer's check has returned."""
        super().__init__(f"{rejection.key}: {rejection.reason}")
        self.rejection = rejection


class PositionConflictError(IronmillError):
    """The latest revision is not the expected one. The message names both."""


class NotOriginError(IronmillError):
    """This process is not, or is no longer, the origin. The message says why."""


class StoreError(IronmillError):
    """The store did not take a revision or cannot be read. Nothing was stored. The message has one line."""


class FencedError(StoreError):
    """Another writer has opened the store since; this one must not write again."""
