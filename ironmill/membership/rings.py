"""Who observes whom: the same at every member that has the same view, and no work to agree on.

Each member stands once in each of some rings, in an order of that ring's own, made by a hash of its name. In
each ring it is observed by the next one that is not itself in doubt. So observers of one are spread evenly,
unlike those of another, and a set that is cut off is observed from outside it in all directions.
"""

from __future__ import annotations

import hashlib
import random
from bisect import bisect_left, insort
from collections.abc import Callable

RINGS = 6
WALK_MOST = 64  # steps past members in doubt, in one ring; guards the time of one look in a large fleet


def _places(name: str) -> list[int]:
    digest = hashlib.blake2b(name.encode(), digest_size=8 * RINGS).digest()
    return [int.from_bytes(digest[at : at + 8]) for at in range(0, 8 * RINGS, 8)]


class Rings:
    """The members of one view in their rings."""

    def __init__(self) -> None:
        self._rings: list[list[tuple[int, str]]] = [[] for _ in range(RINGS)]
        self._places: dict[str, list[int]] = {}

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, name: str) -> bool:
        return name in self._places

    def add(self, name: str) -> None:
        """Take a member in; a second time changes nothing."""
        if name not in self._places:
            self._places[name] = _places(name)
            for ring, place in zip(self._rings, self._places[name], strict=True):
                insort(ring, (place, name))

    def discard(self, name: str) -> None:
        """Take a member out, if it is in."""
        places = self._places.pop(name, None)
        if places is not None:
            for ring, place in zip(self._rings, places, strict=True):
                del ring[bisect_left(ring, (place, name))]

    def some(self, rng: random.Random, count: int) -> list[str]:
        """So many members by chance, each once."""
        ring = self._rings[0]
        return [name for _, name in rng.sample(ring, min(count, len(ring)))]

    def observers(self, name: str, doubted: Callable[[str], bool]) -> list[str]:
        """Who observes the member, whether it is in or not: one a ring, each once, in the rings' order."""
        places = self._places.get(name) or _places(name)
        found: dict[str, None] = {}
        for ring, place in zip(self._rings, places, strict=True):
            at = bisect_left(ring, (place, name))
            for step in range(min(WALK_MOST, len(ring))):
                other = ring[(at + step) % len(ring)][1]
                if other != name and not doubted(other):
                    found[other] = None
                    break
        return list(found)

    def subjects(self, name: str, doubted: Callable[[str], bool]) -> list[str]:
        """Whom the member observes: in each ring those before it, back to the first that is not in doubt."""
        places = self._places.get(name) or _places(name)
        found: dict[str, None] = {}
        for ring, place in zip(self._rings, places, strict=True):
            at = bisect_left(ring, (place, name))
            for step in range(1, min(WALK_MOST, len(ring)) + 1):
                other = ring[(at - step) % len(ring)][1]
                if other == name:
                    break
                found[other] = None
                if not doubted(other):
                    break
        return list(found)
