"""What is distributed: keyed changes in whole revisions, ordered by epoch and number.

No I/O, no clock. Limits guard memory at every process, and let one entry go into one datagram.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple, Protocol

from msgspec import Struct

KEY_MOST = 200  # bytes of a key in UTF-8
VALUE_MOST = 640  # bytes of a value: with the longest key and all else it fits into one datagram
REVISION_BYTES_MOST = 1 << 16  # of one revision's changes, packed
REVISION_CHANGES_MOST = 4096
NUMBER_MOST = 1 << 62
AUTHOR_MOST = 128  # characters
NOTE_MOST = 1024
TICKET_MOST = 64

Changes = dict[str, bytes | None]  # None: the key is deleted


class RevisionError(ValueError):
    """Changes that are not fit to be a revision; the text says which key and why."""


class Position(NamedTuple):
    """A place in the one history. Of two positions the greater one is newer, everywhere and always."""

    epoch: int  # of the writer: each opening of the store for writing takes a higher one
    number: int  # of the revision; goes on over epochs

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"


START = Position(0, 0)  # before the first revision: no key has a value


class Delta(Struct, frozen=True):
    """What leads from one position to a later one: a revision, or several folded into one step.

    ``digest`` is the keyspace's at ``target``, which whoever applies it compares with its own.
    """

    base: Position
    target: Position
    digest: int
    changes: Changes
    size: int  # bytes, packed


class Refusal(Struct, frozen=True, array_like=True):
    """Why a revision is not taken."""

    key: str
    reason: str


class Consumer(Protocol):
    """What the configuration is for: it is asked first, and then told."""

    looked_up: tuple[str, ...]  # beginnings of keys that are read from the keyspace, one at a time: a whole
    # keyspace that is caught up with brings none of them here, single steps do

    def check(self, changes: Mapping[str, bytes | None]) -> Refusal | None:
        """Why these cannot come into force; None if they can. Nothing changes by it."""

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """They are in force from now on, all of them. Only what passed ``check`` comes here."""


class RefusedError(Exception):
    """The changes are not fit to be in force; nothing was kept."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.key}: {refusal.reason}")
        self.refusal = refusal


class HeadError(Exception):
    """The newest revision is not the one that was expected; the text names it."""


class NotOriginError(Exception):
    """This process does not hold the order of changes any more; the text says what it is."""


class StoreError(Exception):
    """The store did not take a revision, or cannot be read; nothing of it is kept. One line."""


class FencedError(StoreError):
    """Another writer has opened the store since: this one may write no more."""


class Entry(Struct, frozen=True):
    """One revision as the store keeps it."""

    position: Position
    at: float  # Unix time
    author: str
    note: str
    changes: Changes


class RevisionStore(Protocol):
    """Order and durability of revisions. A consensus store can take the place of the embedded one."""

    lineage: int  # drawn when the store was made; a history of another lineage is never taken for this one
    epoch: int  # taken when it was opened for writing
    position: Position  # of the last revision

    def entries(self) -> Iterator[tuple[str, bytes]]:
        """All keys and values as of ``position``."""

    def commit(self, changes: Changes, at: float, author: str, note: str, ticket: str) -> Position:
        """Keep the changes as the next revision, on disk when this returns.

        A ``ticket`` that was used before gives the position it got then, and nothing is written: who lost the
        answer may ask again. FencedError, StoreError.
        """

    def committed(self, ticket: str) -> Position | None:
        """The position that this ticket got, None if it never got one."""

    def history(self, most: int) -> list[Entry]:
        """The last revisions, the newest first."""

    def undo(self, number: int) -> Changes:
        """What brings every key back to its value as of that revision; StoreError if that is not kept."""

    def fenced(self) -> bool:
        """True once another writer has opened the store."""

    def observe(self, epoch: int) -> None:
        """An epoch was seen in the fleet: the next opening takes a higher one."""


def check_changes(changes: Mapping[str, bytes | None]) -> None:
    """RevisionError if these are no revision: none at all, too many, or a key or value out of bounds."""
    if not changes:
        raise RevisionError("a revision has one change at least")
    if len(changes) > REVISION_CHANGES_MOST:
        raise RevisionError(f"{len(changes)} changes; a revision has {REVISION_CHANGES_MOST} at most")
    for key, value in changes.items():
        if wrong := why_not(key, value):
            raise RevisionError(f"{key[:KEY_MOST]}: {wrong}")
    if (size := packed_size(changes)) > REVISION_BYTES_MOST:
        raise RevisionError(f"{size} bytes; a revision has {REVISION_BYTES_MOST} at most")


def why_not(key: str, value: bytes | None) -> str:
    """What is wrong with one change, whatever it means; empty if nothing is."""
    try:
        length = len(key.encode())
    except UnicodeEncodeError:
        return "the key is not UTF-8"
    if not 0 < length <= KEY_MOST:
        return f"a key has 1 to {KEY_MOST} bytes"
    if not key.isprintable():
        return "a key has printable characters only"
    if value is not None and len(value) > VALUE_MOST:
        return f"a value has {VALUE_MOST} bytes at most"
    return ""


# Packed: one byte of length and the key, two of length + 1 (0: deleted) and the value.


def pack_entry(key: str, value: bytes | None) -> bytes:
    """One change as it goes over the wire, and as a leaf of the keyspace holds it."""
    name = key.encode()
    if value is None:
        return bytes((len(name),)) + name + b"\0\0"
    return bytes((len(name),)) + name + (len(value) + 1).to_bytes(2) + value


def packed_size(changes: Mapping[str, bytes | None]) -> int:
    """Bytes of all of them."""
    return sum(3 + len(key.encode()) + len(value or b"") for key, value in changes.items())


def unpack_entries(data: bytes) -> Iterator[tuple[str, bytes | None]]:
    """The changes in packed form; ValueError where they are not in form."""
    at, end = 0, len(data)
    while at < end:
        start = at + 1
        at = start + data[at]
        size = int.from_bytes(data[at : at + 2])
        stop = at + 2 + max(0, size - 1)
        if start == at or stop > end or at + 2 > end:
            raise ValueError("packed entries are cut off")
        key = data[start:at].decode()
        value = data[at + 2 : stop] if size else None
        if why_not(key, value):
            raise ValueError("a packed entry is out of bounds")
        yield key, value
        at = stop


def fold(steps: Iterable[Mapping[str, bytes | None]]) -> Changes:
    """Several steps as one: of each key the last value."""
    folded: Changes = {}
    for step in steps:
        folded.update(step)
    return folded
