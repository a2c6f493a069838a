"""At most one line a second in the log about something that may happen all the time."""

from __future__ import annotations

import time

PAUSE = 1.0  # seconds between two lines


class LogRateLimiter:
    """Guards processor and log against what others can make happen as often as they like."""

    def __init__(self) -> None:
        self._logged_at = -PAUSE
        self._left_out = 0

    def allow(self) -> int | None:
        """How many lines were left out since the last one; None if this one is to be left out, too."""
        now = time.monotonic()
        if now - self._logged_at < PAUSE:
            self._left_out += 1
            return None
        left_out, self._left_out = self._left_out, 0
        self._logged_at = now
        return left_out
