"""The token table: the ready servers in the order of their counts, and draws among them."""

from __future__ import annotations

import random
from collections.abc import Callable


class TokenTable:
    """The ready backends, ordered by count.

    Backends of equal count stand together, so "all below c" is a prefix of one list: a draw is one
    index, a count goes up or down by one swap with the edge of its bucket, and a step of the
    threshold moves no backend at all. All three cost the same in a fleet of any size.
    """

    def __init__(self) -> None:
        self._order: list[int] = []
        self._place: dict[int, int] = {}
        self._count: dict[int, int] = {}
        self._below: list[int] = [0, 0]  # _below[c]: how many have a count under c

    def __len__(self) -> int:
        return len(self._order)

    def __contains__(self, backend: int) -> bool:
        return backend in self._count

    def count(self, backend: int) -> int:
        """The count that the table holds for a member."""
        return self._count[backend]

    def below(self, count: int) -> int:
        """How many members have a count under the one given: the tokens of that threshold."""
        return self._below[count] if count < len(self._below) else len(self._order)

    def put(self, backend: int, count: int) -> None:
        """Make the backend a member with this count, or change its count."""
        if backend not in self._count:
            self._place[backend] = len(self._order)
            self._order.append(backend)
            self._count[backend] = len(self._below) - 2
            self._below[-1] += 1
        while self._count[backend] < count:
            self._up(backend)
        while self._count[backend] > count:
            self._down(backend)

    def drop(self, backend: int) -> None:
        """End the membership."""
        while self._count[backend] < len(self._below) - 2:
            self._up(backend)
        self._swap(backend, len(self._order) - 1)
        self._order.pop()
        del self._place[backend], self._count[backend]
        self._below[-1] -= 1

    def draw(self, start: int, end: int, rng: random.Random, fits: Callable[[int], bool]) -> int | None:
        """A random fitting member among those placed from start to before end."""
        if end <= start:
            return None
        for _ in range(12):  # most fit, mostly
            backend = self._order[start + int(rng.random() * (end - start))]
            if fits(backend):
                return backend
        fitting = [backend for backend in self._order[start:end] if fits(backend)]
        return rng.choice(fitting) if fitting else None

    def mean(self) -> int:
        """The mean count, rounded down; 0 without members."""
        return sum(self._count.values()) // max(1, len(self._order))

    def members(self, end: int) -> list[int]:
        """The members placed before end, the lowest counts first."""
        return self._order[:end]

    def _up(self, backend: int) -> None:
        count = self._count[backend]
        edge = self._below[count + 1] - 1
        self._swap(backend, edge)
        self._below[count + 1] = edge
        self._count[backend] = count + 1
        if count + 2 == len(self._below):
            self._below.append(len(self._order))

    def _down(self, backend: int) -> None:
        count = self._count[backend]
        edge = self._below[count]
        self._swap(backend, edge)
        self._below[count] = edge + 1
        self._count[backend] = count - 1

    def _swap(self, backend: int, to: int) -> None:
        order, place = self._order, self._place
        other, at = order[to], place[backend]
        order[at], order[to] = other, backend
        place[other], place[backend] = at, to
