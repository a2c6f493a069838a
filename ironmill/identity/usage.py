"""What each caller holds here, against its rights: connections, and openings a second."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ironmill.identity.gate import Bucket
from ironmill.identity.rules import Caller

CONNECTIONS_AGAIN = 1.0  # when a caller that holds all it may should come again, seconds


@dataclass(slots=True)
class _Held:
    connections: int = 0
    openings: Bucket | None = None


class Usage:
    """Counts by the caller's name. Forgets a caller that holds nothing and has all its openings."""

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}

    def open(self, caller: Caller, now: float) -> float | None:
        """One more connection for the caller: None, or how many seconds later to come again."""
        held = self._held.setdefault(caller.name, _Held())
        most, rate = caller.rights.connections, caller.rights.openings
        if most is not None and held.connections >= most:
            return CONNECTIONS_AGAIN
        if rate is not None:
            if held.openings is None or held.openings.rate != rate:
                held.openings = Bucket(rate, max(1.0, math.ceil(rate)), now)
            if not held.openings.take(now):
                return max(0.001, held.openings.wait())
        held.connections += 1
        return None

    def close(self, caller: Caller) -> None:
        """One connection of the caller is over."""
        held = self._held[caller.name]
        held.connections -= 1
        if held.connections <= 0 and held.openings is None:
            del self._held[caller.name]

    def connections(self, name: str) -> int:
        """How many the caller of that name holds."""
        held = self._held.get(name)
        return 0 if held is None else held.connections
