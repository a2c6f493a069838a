"""A log of the latest revisions, limited in number and bytes, from which deltas are built."""

from __future__ import annotations

from bisect import bisect_right
from operator import attrgetter

from ironmill.distribution.changes import merge_changes, packed_size
from ironmill.distribution.messages import MAX_BODY_BYTES, MAX_CHUNKS
from ironmill.distribution.revision import Delta, Position

MAX_STEPS = 4096
MAX_LOG_BYTES = 4 << 20
# Limit of a delta that merges several steps. It is half of what the chunks can hold: entries are not split
# between chunks, so that chunks may be little more than half full on average.
MAX_DELTA_BYTES = MAX_CHUNKS * MAX_BODY_BYTES // 2

_TARGET = attrgetter("target")


class RevisionLog:
    """Consecutive steps of one history, each of them a delta."""

    def __init__(self, max_steps: int = MAX_STEPS, max_bytes: int = MAX_LOG_BYTES) -> None:
        """Creates an empty log with these limits."""
        self._steps: list[Delta] = []
        self._size = 0
        self._max_steps = max_steps
        self._max_bytes = max_bytes

    @property
    def size(self) -> int:
        """Size of all logged changes in packed form, in bytes."""
        return self._size

    def __len__(self) -> int:
        """Returns the number of logged steps."""
        return len(self._steps)

    def clear(self) -> None:
        """Removes all steps, for example because the next one does not begin where they end."""
        self._steps.clear()
        self._size = 0

    def append(self, step: Delta) -> None:
        """Appends the next step and removes the oldest ones beyond the limits.

        A step that does not begin at the target of the last one replaces the whole log.
        """
        if self._steps and step.base != self._steps[-1].target:
            self.clear()
        self._steps.append(step)
        self._size += step.size
        excess = 0
        while len(self._steps) - excess > self._max_steps or (
            self._size > self._max_bytes and len(self._steps) - excess > 1
        ):
            self._size -= self._steps[excess].size
            excess += 1
        if excess:
            del self._steps[:excess]

    def covers(self, base: Position) -> bool:
        """Returns True if the log has all changes from this position to the latest one."""
        return bool(self._steps) and self._steps[0].base <= base < self._steps[-1].target

    def delta_since(self, base: Position) -> Delta | None:
        """Returns one delta from a position towards the latest one; None if the log does not cover the base.

        The delta ends before the latest position if it would otherwise exceed ``MAX_DELTA_BYTES``. For a base
        within a merged step it contains the whole step, which repeats keys that changed before the base. The
        receiver can tell by the digest whether the base belongs to this history.
        """
        if not self.covers(base):
            return None
        first = bisect_right(self._steps, base, key=_TARGET)
        steps: list[Delta] = []
        size = 0
        for step in self._steps[first:]:
            size += step.size
            if steps and size > MAX_DELTA_BYTES:
                break
            steps.append(step)
        if len(steps) == 1 and steps[0].base == base:
            return steps[0]
        changes = merge_changes(step.changes for step in steps)
        return Delta(base, steps[-1].target, steps[-1].digest, changes, packed_size(changes))
