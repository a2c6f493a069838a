"""The reason why a consumer rejects changes."""

from __future__ import annotations

from msgspec import Struct


class Rejection(Struct, frozen=True, array_like=True):
    """The reason why a consumer cannot apply a revision, and the key that causes it."""

    key: str
    reason: str
