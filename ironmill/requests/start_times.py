"""Estimates when servers started, on this process's own steady clock.

Discovery lists a start as Unix time of another machine, and the wall clock of any machine may be wrong by
seconds or by an hour. A listed start is therefore believed only as far as it makes a server younger than
other observations show it to be: a server that is taken for too young merely gets less for a while.
"""

from __future__ import annotations

import math

LONG_AGO = 0.0  # the listed start of a server that did not start recently


class StartTimes:
    """Converts each listed start to a time on the own clock, once. Times are in seconds."""

    def __init__(self) -> None:
        """Knows no server and no response yet."""
        self._starts: dict[str, tuple[float, float]] = {}  # by uid: as listed, and on the own clock
        self._min_offset = -math.inf  # a lower bound of the machines' clock minus the own
        self._last_response_at = -math.inf

    def on_response(self, now: float) -> None:
        """Records that discovery has answered: a server first listed later was not in that answer."""
        self._last_response_at = now

    def observe(self, listed_start: float, now: float) -> None:
        """Records a listed start, which the machines' clock has passed.

        The own clock is an upper bound, so that one machine whose clock is ahead does not make all others
        old.
        """
        if listed_start != LONG_AGO:
            self._min_offset = max(self._min_offset, min(0.0, listed_start - now))

    def start_of(self, uid: str, listed_start: float, now: float) -> float:
        """Returns when the server started, on the own clock.

        Its age when it is first listed is at most the time since the newest start in any list, and since the
        last response in which it was not listed. ``observe`` must be called first for all of a list.
        """
        known = self._starts.get(uid)
        if known is not None and known[0] == listed_start:
            return known[1]
        start = LONG_AGO
        if listed_start != LONG_AGO:
            age = min(now + self._min_offset - listed_start, now - self._last_response_at)
            start = now - max(0.0, age)
        self._starts[uid] = (listed_start, start)
        return start
