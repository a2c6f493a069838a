"""Counts the connections of each caller through this proxy and enforces its limits."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ironmill.identity.rate_limiter import RateLimiter
from ironmill.identity.rules import Caller

RETRY_AFTER_S = 1.0  # for a caller that has reached its maximum number of connections
MIN_RETRY_AFTER_S = 0.001


@dataclass(slots=True)
class _Usage:
    connections: int = 0
    openings: RateLimiter | None = None  # None without a limit on openings per second


class CallerUsage:
    """Counts connections by caller name."""

    def __init__(self) -> None:
        """Creates a counter without callers."""
        self._usage: dict[str, _Usage] = {}

    def open_connection(self, caller: Caller, now: float) -> float | None:
        """Counts a connection. If the caller is at a limit, returns the seconds until it may retry."""
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
        """Releases a connection of the caller. Forgets a caller without connections and rate limiter."""
        usage = self._usage[caller.name]
        usage.connections -= 1
        if usage.connections <= 0 and usage.openings is None:
            del self._usage[caller.name]

    def connections(self, name: str) -> int:
        """Returns the number of connections of the caller with this name."""
        usage = self._usage.get(name)
        return 0 if usage is None else usage.connections
