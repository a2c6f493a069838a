"""The last revisions, bounded in number and bytes, and what leads from an older position to the newest."""

from __future__ import annotations

from bisect import bisect_right
from operator import attrgetter

from ironmill.distribution.changes import merge_changes, packed_size
from ironmill.distribution.revision import Delta, Position

STEPS_MOST = 4096  # an hour of 45,000 changes a day is 1,900; all of them within an hour last 5 minutes
BYTES_MOST = 4 << 20
DELTA_BYTES_MOST = 1 << 17  # folded; who is further behind asks for what differs by ranges instead

_TARGET = attrgetter("target")


class RevisionLog:
    """Steps of one history, each from where the one before led to."""

    def __init__(self, steps_most: int = STEPS_MOST, bytes_most: int = BYTES_MOST) -> None:
        self._steps: list[Delta] = []
        self._size = 0
        self._steps_most, self._bytes_most = steps_most, bytes_most

    @property
    def size(self) -> int:
        """Bytes of all changes that it holds, packed."""
        return self._size

    def __len__(self) -> int:
        return len(self._steps)

    def clear(self) -> None:
        """Forget all: what comes next does not follow on it."""
        self._steps.clear()
        self._size = 0

    def append(self, step: Delta) -> None:
        """The next step. One that does not follow on the last makes a new beginning."""
        if self._steps and step.base != self._steps[-1].target:
            self.clear()
        self._steps.append(step)
        self._size += step.size
        spare = 0
        while len(self._steps) - spare > self._steps_most or (
            self._size > self._bytes_most and len(self._steps) - spare > 1
        ):
            self._size -= self._steps[spare].size
            spare += 1
        if spare:
            del self._steps[:spare]

    def reaches(self, base: Position) -> bool:
        """True if there is a way from there to the newest position."""
        return bool(self._steps) and self._steps[0].base <= base < self._steps[-1].target

    def since(self, base: Position) -> Delta | None:
        """One step from there towards the newest position, as far as its size allows; None if it is not held.

        A base between two steps gets the whole of the step that it lies in: the keys that had changed by then
        are told once more with their later values. Whether the base was of this history, its digest tells.
        """
        if not self.reaches(base):
            return None
        first = bisect_right(self._steps, base, key=_TARGET)
        steps: list[Delta] = []
        size = 0
        for step in self._steps[first:]:
            size += step.size
            if steps and size > DELTA_BYTES_MOST:
                break
            steps.append(step)
        if len(steps) == 1 and steps[0].base == base:
            return steps[0]
        changes = merge_changes(step.changes for step in steps)
        return Delta(base, steps[-1].target, steps[-1].digest, changes, packed_size(changes))
