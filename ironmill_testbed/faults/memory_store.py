"""A store of revisions in memory, with switches for a disk that fails or is full."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Literal

from ironmill.distribution.changes import Changes
from ironmill.distribution.errors import FencedError, StoreError
from ironmill.distribution.interfaces import RevisionStore
from ironmill.distribution.revision import START, Position, RevisionMetadata, StoredRevision


class Disk:
    """What stays when a writer ends: its stores come and go, and each opening fences the one before."""

    def __init__(self, lineage: int = 77, keep: int = 4096) -> None:
        """``keep``: so many of the last revisions can be undone."""
        self.lineage = lineage
        self.epoch = 0
        self.observed = 0
        self.position = START
        self.values: dict[str, bytes] = {}
        self.kept: list[tuple[StoredRevision, Changes]] = []  # with what its keys had before
        self.tickets: dict[str, Position] = {}
        self.failure: Literal["", "fails", "full"] = ""
        self._keep = keep

    def fill(self, values: dict[str, bytes]) -> None:
        """As after a long time: these are there, and what led to them is not kept."""
        self.values.update(values)
        self.position = Position(max(1, self.epoch), self.position.number + 1)

    def open(self) -> RevisionStore:
        """A writer's store."""
        self.epoch = max(self.epoch, self.observed) + 1
        return MemoryStore(self)

    def commit(self, entry: StoredRevision, ticket: str) -> None:
        """Keep it."""
        before = {key: self.values.get(key) for key in entry.changes}
        for key, value in entry.changes.items():
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value
        self.kept.append((entry, before))
        del self.kept[: -self._keep]
        self.tickets[ticket] = self.position = entry.position


class MemoryStore:
    """One writer's store."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self.lineage = disk.lineage
        self.epoch = disk.epoch

    @property
    def position(self) -> Position:
        """Of the last revision."""
        return self._disk.position

    @position.setter
    def position(self, position: Position) -> None:
        self._disk.position = position

    def entries(self) -> Iterator[tuple[str, bytes]]:
        """All keys and values."""
        return iter(list(self._disk.values.items()))

    def commit(self, changes: Changes, metadata: RevisionMetadata) -> Position:
        """Keep the changes as the next revision; FencedError, StoreError."""
        if self._disk.failure:
            raise StoreError(f"the store cannot be written: the disk {self._disk.failure}")
        if self.fenced():
            raise FencedError(f"epoch {self.epoch} is over")
        before = self.committed(metadata.ticket)
        if before is not None:
            return before
        position = Position(self.epoch, self._disk.position.number + 1)
        revision = StoredRevision(position, metadata.at, metadata.author, metadata.note, dict(changes))
        self._disk.commit(revision, metadata.ticket)
        return position

    def committed(self, ticket: str) -> Position | None:
        """The position that this ticket got."""
        return self._disk.tickets.get(ticket)

    def history(self, max_count: int) -> list[StoredRevision]:
        """The last revisions, the newest first."""
        return [entry for entry, _ in reversed(self._disk.kept[-max_count:])]

    def undo(self, number: int) -> Changes:
        """What brings every key back to its value as of that revision; StoreError."""
        last = self._disk.position.number
        if number > last or number < last - len(self._disk.kept):
            raise StoreError(f"revision {number} is not kept")
        changes: Changes = {}
        for entry, before in reversed(self._disk.kept):
            if entry.position.number > number:
                changes.update(before)
        return {key: value for key, value in changes.items() if self._disk.values.get(key) != value}

    def fenced(self) -> bool:
        """True once another writer has opened it."""
        return self.epoch != self._disk.epoch

    def observe(self, epoch: int) -> None:
        """The next opening takes a higher one; StoreError."""
        if self._disk.failure:
            raise StoreError(f"the store cannot be written: the disk {self._disk.failure}")
        self._disk.observed = max(self._disk.observed, epoch)
