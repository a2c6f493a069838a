"""A token bucket."""

from __future__ import annotations

BLOCKED_RETRY_S = 0.5  # where the rate is 0


class RateLimiter:
    """Allows ``rate`` events per second on average, and ``burst`` events at once."""

    __slots__ = ("_level", "_updated_at", "burst", "rate")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Allows a whole burst at first."""
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._updated_at = now

    def acquire(self, now: float) -> bool:
        """Returns True if an event is allowed now, and counts it."""
        self._level = min(self.burst, self._level + max(0.0, now - self._updated_at) * self.rate)
        self._updated_at = max(now, self._updated_at)  # the wall clock may be stepped back
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def retry_after(self) -> float:
        """Returns the seconds until the next event is allowed."""
        if self.rate <= 0.0:
            return BLOCKED_RETRY_S
        return max(0.0, 1.0 - self._level) / self.rate
