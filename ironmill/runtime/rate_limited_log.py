"""Rate limit for log lines about events that peers can trigger at any rate."""

from __future__ import annotations

import time

LINE_INTERVAL_S = 1.0


class LogRateLimiter:
    """Allows one line per ``LINE_INTERVAL_S``, which bounds the CPU time and the size of the log."""

    def __init__(self) -> None:
        """Creates a limiter that allows the first line."""
        self._logged_at = -LINE_INTERVAL_S
        self._suppressed = 0

    def allow(self) -> int | None:
        """Returns the number of suppressed lines since the last allowed one; None to suppress this line."""
        now = time.monotonic()
        if now - self._logged_at < LINE_INTERVAL_S:
            self._suppressed += 1
            return None
        suppressed = self._suppressed
        self._suppressed = 0
        self._logged_at = now
        return suppressed
