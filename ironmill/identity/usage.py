"""The connections of each caller through this proxy, against its rights."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ironmill.identity.rate_limiter import RateLimiter
from ironmill.identity.rules import Caller

RETRY_AFTER_S = 1.0  # for a caller that has all the connections it may have
MIN_RETRY_AFTER_S = 0.001


@dataclass(slots=True)
class _Usage:
    connections: int = 0
    openings: RateLimiter | None = None


class CallerUsage:
    """Counts connections by the name of the caller."""

    def __init__(self) -> None:
        """Counts nothing yet."""
        self._usage: dict[str, _Usage] = {}

    def open_connection(self, caller: Caller, now: float) -> float | None:
        """Counts a connection of the caller. If it may have none, returns the seconds until it may retry."""
        usage = self._usage.setdefault(caller.name, _Usage())
        limit, rate = caller.rights.max_connections, caller.rights.max_openings_per_s
        if limit is not None and usage.connections >= limit:
            return RETRY_AFTER_S
        if rate is not None:
            if usage.openings is None or usage.openings.rate != rate:
                usage.openings = RateLimiter(rate, max(1.0, math.ceil(rate)), now)
            if not usage.openings.acquire(now):
                return max(MIN_RETRY_AFTER_S, usage.openings.retry_after())
        usage.connections += 1
        return None

    def close_connection(self, caller: Caller) -> None:
        """Ends a connection of the caller. Forgets a caller without connections and without a rate."""
        usage = self._usage[caller.name]
        usage.connections -= 1
        if usage.connections <= 0 and usage.openings is None:
            del self._usage[caller.name]

    def connections(self, name: str) -> int:
        """Returns the number of connections of the caller with that name."""
        usage = self._usage.get(name)
        return 0 if usage is None else usage.connections
