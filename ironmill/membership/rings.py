"""Assignment of observers to members. All members with the same view compute the same assignment.

Each member has one position in each of ``RING_COUNT`` rings, which is a hash of its name. In each ring, the
next member that is not itself suspected observes it. The observers of different members therefore differ, and
a partitioned group of members has observers outside the group.
"""

from __future__ import annotations

import hashlib
import random
from bisect import bisect_left, insort
from collections.abc import Callable

RING_COUNT = 6
MAX_RING_STEPS = 64  # members that a lookup examines in one ring, which bounds its time
_POSITION_BYTES = 8


def ring_positions(name: str) -> list[int]:
    """Returns the position of a name in each ring."""
    digest = hashlib.blake2b(name.encode(), digest_size=_POSITION_BYTES * RING_COUNT).digest()
    return [
        int.from_bytes(digest[at : at + _POSITION_BYTES]) for at in range(0, len(digest), _POSITION_BYTES)
    ]


class Rings:
    """The rings of the members in one view."""

    def __init__(self) -> None:
        """Creates rings without members."""
        self._rings: list[list[tuple[int, str]]] = [[] for _ in range(RING_COUNT)]
        self._positions: dict[str, list[int]] = {}

    def __len__(self) -> int:
        """Returns the number of members."""
        return len(self._positions)

    def __contains__(self, name: str) -> bool:
        """Returns whether a member is in the rings."""
        return name in self._positions

    def add(self, name: str) -> None:
        """Adds a member; does nothing if it is present."""
        if name not in self._positions:
            self._positions[name] = ring_positions(name)
            for ring, position in zip(self._rings, self._positions[name], strict=True):
                insort(ring, (position, name))

    def discard(self, name: str) -> None:
        """Removes a member; does nothing if it is absent."""
        positions = self._positions.pop(name, None)
        if positions is not None:
            for ring, position in zip(self._rings, positions, strict=True):
                del ring[bisect_left(ring, (position, name))]

    def sample(self, rng: random.Random, count: int) -> list[str]:
        """Returns up to ``count`` distinct members in random order."""
        ring = self._rings[0]
        return [name for _, name in rng.sample(ring, min(count, len(ring)))]

    def observers(self, name: str, is_suspected: Callable[[str], bool]) -> list[str]:
        """Returns the observers of a member, at most one per ring, in the order of the rings.

        The member itself need not be in the rings.
        """
        positions = self._positions.get(name) or ring_positions(name)
        observers: dict[str, None] = {}
        for ring, position in zip(self._rings, positions, strict=True):
            start = bisect_left(ring, (position, name))
            for step in range(min(MAX_RING_STEPS, len(ring))):
                other = ring[(start + step) % len(ring)][1]
                if other != name and not is_suspected(other):
                    observers[other] = None
                    break
        return list(observers)

    def subjects(self, name: str, is_suspected: Callable[[str], bool]) -> list[str]:
        """Returns the members that a member observes.

        In each ring these are the preceding members, up to and including the first that is not suspected.
        """
        positions = self._positions.get(name) or ring_positions(name)
        subjects: dict[str, None] = {}
        for ring, position in zip(self._rings, positions, strict=True):
            start = bisect_left(ring, (position, name))
            for step in range(1, min(MAX_RING_STEPS, len(ring)) + 1):
                other = ring[(start - step) % len(ring)][1]
                if other == name:
                    break
                subjects[other] = None
                if not is_suspected(other):
                    break
        return list(subjects)
