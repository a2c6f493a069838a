"""Estimates when servers started, in terms of the local clock (``Gateway.now``), which never jumps.

Discovery lists start times in Unix time of other machines, whose wall clocks may be wrong by seconds or by an
hour. Other observations bound a server's age from above, and a listed start time is used only if it makes the
server younger than these bounds. Underestimating the age is safe: the server only gets fewer connections for
a while.
"""

from __future__ import annotations

import math

LONG_AGO = 0.0  # listed as the start time of a server that did not start recently


class StartTimes:
    """Converts each listed start time to the local clock, once. All times are in seconds."""

    def __init__(self) -> None:
        """Creates an estimator without any observations."""
        self._estimates: dict[str, tuple[float, float]] = {}  # by uid: the listed time and its local estimate
        self._min_clock_offset_s = -math.inf  # lower bound of (server clock - local clock)
        self._last_response_at = -math.inf

    def on_response(self, now: float) -> None:
        """Records a discovery response. A server that is first listed later was absent from this one."""
        self._last_response_at = now

    def observe(self, listed_start: float, now: float) -> None:
        """Records a listed start time, which is in the past on the server's clock.

        It bounds the clock offset from below. The bound is never above 0, so that one server whose clock is
        ahead does not make all others appear old.
        """
        if listed_start != LONG_AGO:
            self._min_clock_offset_s = max(self._min_clock_offset_s, min(0.0, listed_start - now))

    def estimate(self, uid: str, listed_start: float, now: float) -> float:
        """Returns when the server started, on the local clock.

        When a server is first listed, its age is at most the time since the newest start time in any list,
        and at most the time since the last response that did not list it. ``observe`` must be called first
        for all entries of a list.
        """
        cached = self._estimates.get(uid)
        if cached is not None and cached[0] == listed_start:
            return cached[1]
        start = LONG_AGO
        if listed_start != LONG_AGO:
            age = min(now + self._min_clock_offset_s - listed_start, now - self._last_response_at)
            start = now - max(0.0, age)
        self._estimates[uid] = (listed_start, start)
        return start
