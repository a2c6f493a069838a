"""Interfaces that a node's owner implements: the consumer of configuration and the store of revisions."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from ironmill.distribution.changes import Changes
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.revision import Position, RevisionMetadata, StoredRevision

ChangeCheck = Callable[[Changes], Rejection | None]


class Consumer(Protocol):
    """Applies configuration in one process. Each set of changes is checked before it is applied."""

    lookup_prefixes: tuple[str, ...]
    """Prefixes of keys that the consumer reads from the keyspace on demand. A catch-up does not pass changes
    of such keys to the consumer; single revisions do."""

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """Returns the reason why the changes cannot be applied, or None. Must not change any state."""

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Applies all of the changes. Called only with changes that have passed ``check``."""


class RevisionStore(Protocol):
    """Orders revisions and stores them durably. A consensus store can replace the embedded one."""

    lineage: int
    """Random identifier of the history. Nodes never mix histories of different lineages."""

    epoch: int
    """Epoch taken when the store was opened for writing; higher than that of every earlier opening."""

    position: Position
    """Position of the last revision."""

    def entries(self) -> Iterator[tuple[str, bytes]]:
        """Yields all keys and values as of ``position``."""

    def commit(self, changes: Changes, metadata: RevisionMetadata) -> Position:
        """Stores the changes durably as the next revision and returns its position.

        If the ticket was used before, stores nothing and returns the position of that revision. Raises
        ``RevisionError``, ``FencedError`` and ``StoreError``.
        """

    def committed(self, ticket: str) -> Position | None:
        """Returns the position of the revision with this ticket, or None if there is none."""

    def history(self, max_count: int) -> list[StoredRevision]:
        """Returns the latest revisions, the newest first."""

    def undo(self, number: int) -> Changes:
        """Returns the changes that restore all values as of a revision. Raises ``StoreError`` if the
        revision is no longer stored."""

    def fenced(self) -> bool:
        """Returns True once another writer has opened the store."""

    def observe(self, epoch: int) -> None:
        """Records an epoch that another process has reported, so that the next opening takes a higher one."""
