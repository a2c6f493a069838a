"""A revision store in memory, with simulated disk failures."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Literal

from ironmill.distribution.changes import Changes
from ironmill.distribution.errors import FencedError, StoreError
from ironmill.distribution.interfaces import RevisionStore
from ironmill.distribution.revision import START, Position, RevisionMetadata, StoredRevision


class Disk:
    """The durable state of a revision store. Each ``open`` fences the store that was opened before."""

    def __init__(self, lineage: int = 77, max_kept: int = 4096) -> None:
        """Creates an empty disk. The last ``max_kept`` revisions are kept and can be undone."""
        self.lineage = lineage
        self.epoch = 0
        self.observed = 0  # highest epoch that ``observe`` was given
        self.position = START
        self.values: dict[str, bytes] = {}
        self.kept: list[tuple[StoredRevision, Changes]] = []  # each with the previous values of its keys
        self.tickets: dict[str, Position] = {}
        self.failure: Literal["", "fails", "full"] = ""
        self._max_kept = max_kept

    def fill(self, values: dict[str, bytes]) -> None:
        """Adds entries as one revision that is not kept in the history."""
        self.values.update(values)
        self.position = Position(max(1, self.epoch), self.position.number + 1)

    def open(self) -> RevisionStore:
        """Opens the store for a writer and begins the next epoch."""
        self.epoch = max(self.epoch, self.observed) + 1
        return MemoryStore(self)

    def commit(self, entry: StoredRevision, ticket: str) -> None:
        """Stores a revision."""
        previous_values = {key: self.values.get(key) for key in entry.changes}
        for key, value in entry.changes.items():
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value
        self.kept.append((entry, previous_values))
        del self.kept[: -self._max_kept]
        self.tickets[ticket] = entry.position
        self.position = entry.position


class MemoryStore:
    """The store of one writer, which is fenced once another writer has opened the disk."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self.lineage = disk.lineage
        self.epoch = disk.epoch

    @property
    def position(self) -> Position:
        """The position of the last revision."""
        return self._disk.position

    @position.setter
    def position(self, position: Position) -> None:
        self._disk.position = position

    def entries(self) -> Iterator[tuple[str, bytes]]:
        """Yields all keys and values."""
        return iter(list(self._disk.values.items()))

    def commit(self, changes: Changes, metadata: RevisionMetadata) -> Position:
        """Stores the changes as the next revision and returns its position.

        Returns the earlier position if the ticket was stored before. Raises ``FencedError`` if another writer
        has opened the store, and ``StoreError`` if the disk fails.
        """
        if self._disk.failure:
            raise StoreError(f"the store cannot be written; simulated disk failure: {self._disk.failure}")
        if self.fenced():
            raise FencedError(f"epoch {self.epoch} is over: another writer has opened the store")
        committed_before = self.committed(metadata.ticket)
        if committed_before is not None:
            return committed_before
        position = Position(self.epoch, self._disk.position.number + 1)
        revision = StoredRevision(position, metadata.at, metadata.author, metadata.note, dict(changes))
        self._disk.commit(revision, metadata.ticket)
        return position

    def committed(self, ticket: str) -> Position | None:
        """Returns the position of the revision with this ticket, or None if there is none."""
        return self._disk.tickets.get(ticket)

    def history(self, max_count: int) -> list[StoredRevision]:
        """Returns at most ``max_count`` of the last revisions, the newest first."""
        return [entry for entry, _ in reversed(self._disk.kept[-max_count:])]

    def undo(self, number: int) -> Changes:
        """Returns the changes that restore a revision's values. Raises ``StoreError`` if it is not kept."""
        last = self._disk.position.number
        if number > last or number < last - len(self._disk.kept):
            raise StoreError(f"revision {number} is no longer kept, or does not exist")
        changes: Changes = {}
        for entry, previous_values in reversed(self._disk.kept):
            if entry.position.number > number:
                changes.update(previous_values)
        return {key: value for key, value in changes.items() if self._disk.values.get(key) != value}

    def fenced(self) -> bool:
        """Returns True if another writer has opened the store since."""
        return self.epoch != self._disk.epoch

    def observe(self, epoch: int) -> None:
        """Makes the next epoch higher than this one. Raises ``StoreError`` if the disk fails."""
        if self._disk.failure:
            raise StoreError(f"the store cannot be written; simulated disk failure: {self._disk.failure}")
        self._disk.observed = max(self._disk.observed, epoch)
