"""Positions in the history of revisions, and the changes between them."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

from ironmill.distribution.changes import Changes

NUMBER_LIMIT = 1 << 62  # exclusive upper limit of epochs and revision numbers
MAX_AUTHOR_LENGTH = 128  # characters
MAX_NOTE_LENGTH = 1024  # characters
MAX_TICKET_LENGTH = 64  # characters


class Position(NamedTuple):
    """A point in the history of revisions. Of two positions the greater one is newer."""

    epoch: int  # of the writer; each opening of the store for writing takes a higher epoch
    number: int  # of the revision; continues across epochs

    def __str__(self) -> str:
        """Returns the position in the form EPOCH.NUMBER."""
        return f"{self.epoch}.{self.number}"


START = Position(0, 0)  # before the first revision, when no key has a value


class RevisionMetadata(Struct, frozen=True):
    """Author, time and purpose of a revision."""

    at: float  # Unix time, seconds
    author: str
    note: str
    ticket: str  # idempotency key: a second commit with the same key stores nothing


class StoredRevision(Struct, frozen=True):
    """One revision of the history, as the store returns it."""

    position: Position
    at: float  # Unix time, seconds
    author: str
    note: str
    changes: Changes


class Delta(Struct, frozen=True):
    """The changes from one position to a later one: one revision, or several merged into one step."""

    base: Position
    target: Position
    digest: int  # of the whole keyspace at ``target``
    changes: Changes
    size: int  # bytes, in packed form
