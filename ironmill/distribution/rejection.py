"""Why a consumer does not take changes."""

from __future__ import annotations

from msgspec import Struct


class Rejection(Struct, frozen=True, array_like=True):
    """Why a consumer cannot apply a revision."""

    key: str
    reason: str
