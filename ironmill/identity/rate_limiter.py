"""A rate limiter with a token bucket."""

from __future__ import annotations

BLOCKED_RETRY_S = 0.5  # returned by retry_after if the rate is 0


class RateLimiter:
    """Allows ``rate`` events per second on average, and ``burst`` events at once."""

    __slots__ = ("_tokens", "_updated_at", "burst", "rate")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Creates a limiter whose bucket is full."""
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._updated_at = now

    def acquire(self, now: float) -> bool:
        """Returns True and counts the event if it is allowed at this time."""
        self._tokens = min(self.burst, self._tokens + max(0.0, now - self._updated_at) * self.rate)
        self._updated_at = max(now, self._updated_at)  # the wall clock may be stepped back
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def retry_after(self) -> float:
        """Returns the seconds from the last call of ``acquire`` until the next event is allowed."""
        if self.rate <= 0.0:
            return BLOCKED_RETRY_S
        return max(0.0, 1.0 - self._tokens) / self.rate
