"""Reassembles a delta from the datagrams that carry it."""

from __future__ import annotations

from msgspec import Struct

from ironmill.distribution.changes import Changes, packed_size, unpack_entries
from ironmill.distribution.drop_reason import DistributionDropReason
from ironmill.distribution.messages import MAX_MISSING_CHUNKS, DeltaChunk
from ironmill.distribution.revision import START, Delta, Position
from ironmill.membership.envelope import DroppedError, DropReason


class _Assembly(Struct):
    """A delta of which some chunks have arrived."""

    base: Position
    target: Position
    digest: int
    count: int
    bodies: dict[int, bytes]  # by index

    def includes(self, chunk: DeltaChunk) -> bool:
        """Returns True if the chunk is of this delta."""
        return (self.base, self.target, self.digest, self.count) == (
            chunk.base,
            chunk.target,
            chunk.digest,
            chunk.count,
        )


class DeltaAssembler:
    """Keeps at most one incomplete delta."""

    def __init__(self) -> None:
        """Begins without a delta."""
        self._assembly: _Assembly | None = None

    @property
    def incomplete_target(self) -> Position:
        """Target of the incomplete delta; ``START`` if there is none."""
        return START if self._assembly is None else self._assembly.target

    def missing_chunks(self) -> list[int]:
        """Returns the indices of chunks that have not arrived, at most ``MAX_MISSING_CHUNKS``."""
        assembly = self._assembly
        if assembly is None:
            return []
        missing = [index for index in range(assembly.count) if index not in assembly.bodies]
        return missing[:MAX_MISSING_CHUNKS]

    def discard(self) -> None:
        """Drops the incomplete delta."""
        self._assembly = None

    def add(self, chunk: DeltaChunk) -> Delta | None:
        """Adds a chunk; returns the delta once it is complete.

        Raises ``DroppedError`` for a chunk of an older delta, and for a delta that is malformed.
        """
        assembly = self._assembly
        if assembly is None or not assembly.includes(chunk):
            if assembly is not None and assembly.base == chunk.base and assembly.target > chunk.target:
                raise DroppedError(DistributionDropReason.OUT_OF_ORDER)
            assembly = _Assembly(chunk.base, chunk.target, chunk.digest, chunk.count, {})
            self._assembly = assembly
        assembly.bodies[chunk.index] = chunk.body
        if len(assembly.bodies) < assembly.count:
            return None
        self._assembly = None
        return _unpack(assembly)


def _unpack(assembly: _Assembly) -> Delta:
    changes: Changes = {}
    try:
        for index in range(assembly.count):
            changes.update(unpack_entries(assembly.bodies[index]))
    except ValueError:
        raise DroppedError(DropReason.MALFORMED) from None
    return Delta(assembly.base, assembly.target, assembly.digest, changes, packed_size(changes))
