"""Assigns observers to members. Every member with the same view computes the same assignment.

Each member has one position in each of ``RING_COUNT`` rings, given by a hash of its name. In each ring it is
observed by the next member that is not itself suspected. The observers of different members therefore differ,
and a partitioned group of members has observers outside of it.
"""

from __future__ import annotations

import hashlib
import random
from bisect import bisect_left, insort
from collections.abc import Callable

RING_COUNT = 6
MAX_RING_STEPS = 64  # past suspected members in one ring; bounds the time of a look-up
_POSITION_BYTES = 8


def ring_positions(name: str) -> list[int]:
    """Returns the position of a name in each ring."""
    digest = hashlib.blake2b(name.encode(), digest_size=_POSITION_BYTES * RING_COUNT).digest()
    return [
        int.from_bytes(digest[at : at + _POSITION_BYTES]) for at in range(0, len(digest), _POSITION_BYTES)
    ]


class Rings:
    """The members of one view in their rings."""

    def __init__(self) -> None:
        """Starts without members."""
        self._rings: list[list[tuple[int, str]]] = [[] for _ in range(RING_COUNT)]
        self._positions: dict[str, list[int]] = {}

    def __len__(self) -> int:
        """Returns the number of members."""
        return len(self._positions)

    def __contains__(self, name: str) -> bool:
        """Returns whether a member is present."""
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
        """Returns up to ``count`` different members in random order."""
        ring = self._rings[0]
        return [name for _, name in rng.sample(ring, min(count, len(ring)))]

    def observers(self, name: str, is_suspected: Callable[[str], bool]) -> list[str]:
        """Returns the observers of a member, present or not: at most one per ring, in the rings' order."""
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
        """Returns the members that a member observes: in each ring back to the first unsuspected one."""
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
