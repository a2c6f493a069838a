"""Reasons for dropping a distribution datagram, in addition to those of the envelope."""

from __future__ import annotations

from enum import StrEnum


class DistributionDropReason(StrEnum):
    """A reason for dropping a datagram. The values are keys of ``dropped`` in the admin API."""

    FOREIGN_LINEAGE = "lineage"
    OLD_TERM = "old term"
    OUT_OF_ORDER = "out of order"
    DIGEST_MISMATCH = "digest"
    NOT_PARENT = "not the parent"
    UNKNOWN_SENDER = "stranger"
    CHILD_MOVED = "moved"
    TOO_MANY_CHILDREN = "full"
    STOPPED = "stopped"
