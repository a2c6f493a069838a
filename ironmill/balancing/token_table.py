"""The token table: the ready servers ordered by their counts, and random draws among them."""

from __future__ import annotations

import random
from collections.abc import Callable

MAX_RANDOM_DRAWS = 12  # random draws that are tried before all candidates are examined


class TokenTable:
    """The ready servers in one list, ordered by count.

    Servers of equal count form a contiguous bucket, so all servers below a count are a prefix of the list. A
    draw is one random index, a change of a count by one is one swap with the edge of its bucket, and a step
    of the threshold moves no server. The cost of all three is independent of the number of servers.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self._order: list[int] = []
        self._index: dict[int, int] = {}
        self._count: dict[int, int] = {}
        self._below: list[int] = [0, 0]  # _below[c] is the number of servers with a count below c

    def __len__(self) -> int:
        """Returns the number of servers in the table."""
        return len(self._order)

    def __contains__(self, server_id: int) -> bool:
        """Returns True if the server is in the table."""
        return server_id in self._count

    def count(self, server_id: int) -> int:
        """Returns the count of a server. Raises KeyError if it is not in the table."""
        return self._count[server_id]

    def below(self, count: int) -> int:
        """Returns the number of servers with a lower count; for the threshold, those with a green token."""
        return self._below[count] if count < len(self._below) else len(self._order)

    def put(self, server_id: int, count: int) -> None:
        """Adds a server with the given count, or changes its count."""
        if server_id not in self._count:
            self._index[server_id] = len(self._order)
            self._order.append(server_id)
            self._count[server_id] = len(self._below) - 2
            self._below[-1] += 1
        while self._count[server_id] < count:
            self._increment(server_id)
        while self._count[server_id] > count:
            self._decrement(server_id)

    def remove(self, server_id: int) -> None:
        """Removes a server. Raises KeyError if it is not in the table."""
        while self._count[server_id] < len(self._below) - 2:
            self._increment(server_id)
        self._swap(server_id, len(self._order) - 1)
        self._order.pop()
        del self._index[server_id], self._count[server_id]
        self._below[-1] -= 1

    def draw(self, start: int, end: int, rng: random.Random, accepts: Callable[[int], bool]) -> int | None:
        """Returns a random accepted server with an index in ``range(start, end)``, or None."""
        if end <= start:
            return None
        for _ in range(MAX_RANDOM_DRAWS):
            server_id = self._order[start + int(rng.random() * (end - start))]
            if accepts(server_id):
                return server_id
        accepted = [server_id for server_id in self._order[start:end] if accepts(server_id)]
        return rng.choice(accepted) if accepted else None

    def mean(self) -> int:
        """Returns the mean count, rounded down; 0 for an empty table."""
        return sum(self._count.values()) // max(1, len(self._order))

    def first(self, end: int) -> list[int]:
        """Returns the servers at indexes before ``end``, the lowest counts first."""
        return self._order[:end]

    def _increment(self, server_id: int) -> None:
        count = self._count[server_id]
        edge = self._below[count + 1] - 1
        self._swap(server_id, edge)
        self._below[count + 1] = edge
        self._count[server_id] = count + 1
        if count + 2 == len(self._below):
            self._below.append(len(self._order))

    def _decrement(self, server_id: int) -> None:
        count = self._count[server_id]
        edge = self._below[count]
        self._swap(server_id, edge)
        self._below[count] = edge + 1
        self._count[server_id] = count - 1

    def _swap(self, server_id: int, new_index: int) -> None:
        order, index = self._order, self._index
        other_id = order[new_index]
        old_index = index[server_id]
        order[old_index] = other_id
        order[new_index] = server_id
        index[other_id] = old_index
        index[server_id] = new_index
