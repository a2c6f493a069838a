"""Reassembly of a delta from the datagrams that carry its chunks."""

from __future__ import annotations

from msgspec import Struct

from ironmill.distribution.changes import Changes, packed_size, unpack_entries
from ironmill.distribution.drop_reason import DistributionDropReason
from ironmill.distribution.messages import MAX_MISSING_CHUNKS, DeltaChunk
from ironmill.distribution.revision import START, Delta, Position
from ironmill.membership.envelope import DroppedError, DropReason


class _PartialDelta(Struct):
    """A delta of which only some chunks have arrived."""

    base: Position
    target: Position
    digest: int
    count: int  # of all chunks
    bodies: dict[int, bytes]  # by chunk index

    def includes(self, chunk: DeltaChunk) -> bool:
        """Returns True if the chunk belongs to this delta."""
        return (self.base, self.target, self.digest, self.count) == (
            chunk.base,
            chunk.target,
            chunk.digest,
            chunk.count,
        )


class DeltaAssembler:
    """A buffer for the chunks of at most one incomplete delta."""

    def __init__(self) -> None:
        """Creates an empty assembler."""
        self._partial: _PartialDelta | None = None

    @property
    def incomplete_target(self) -> Position:
        """The target position of the incomplete delta; ``START`` if there is none."""
        return START if self._partial is None else self._partial.target

    def missing_chunks(self) -> list[int]:
        """Returns the indices of at most ``MAX_MISSING_CHUNKS`` chunks that have not arrived."""
        partial = self._partial
        if partial is None:
            return []
        missing = [index for index in range(partial.count) if index not in partial.bodies]
        return missing[:MAX_MISSING_CHUNKS]

    def discard(self) -> None:
        """Drops the incomplete delta."""
        self._partial = None

    def add(self, chunk: DeltaChunk) -> Delta | None:
        """Adds a chunk. Returns the delta if it is now complete, otherwise None.

        A chunk of another delta replaces the incomplete one. Raises ``DroppedError`` if that other delta has
        the same base and an older target, or if the complete delta is malformed.
        """
        partial = self._partial
        if partial is None or not partial.includes(chunk):
            if partial is not None and partial.base == chunk.base and partial.target > chunk.target:
                raise DroppedError(DistributionDropReason.OUT_OF_ORDER)
            partial = _PartialDelta(chunk.base, chunk.target, chunk.digest, chunk.count, {})
            self._partial = partial
        partial.bodies[chunk.index] = chunk.body
        if len(partial.bodies) < partial.count:
            return None
        self._partial = None
        return _unpack(partial)


def _unpack(partial: _PartialDelta) -> Delta:
    changes: Changes = {}
    try:
        for index in range(partial.count):
            changes.update(unpack_entries(partial.bodies[index]))
    except ValueError:
        raise DroppedError(DropReason.MALFORMED) from None
    return Delta(partial.base, partial.target, partial.digest, changes, packed_size(changes))
