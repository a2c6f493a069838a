"""When servers started, on this process's own steady clock. No I/O.

Discovery tells a start as Unix time of some other machine, and a machine's wall clock may be wrong by seconds
or by an hour, this one's too. So a told time is believed only as far as it makes a server younger than
something else shows it to be; a server that is taken for younger than it is merely gets less for a while.
"""

from __future__ import annotations

import math

LONG_AGO = 0.0


class StartTimes:
    """Turns told starts into times of the own clock, once for each start. Times are in seconds."""

    def __init__(self) -> None:
        self._told: dict[str, tuple[float, float]] = {}  # by uid: the start as told, and on the own clock
        self._ahead = -math.inf  # the machines' clock less the own, at least
        self._answered_at = -math.inf

    def answered(self, now: float) -> None:
        """Discovery has answered: what is told later for the first time started after that, or was late."""
        self._answered_at = now

    def see(self, told: float, now: float) -> None:
        """A start is listed: the machines' clock is past it.

        The own clock is an upper bound: one machine that is ahead must not make all others look old.
        """
        if told != LONG_AGO:
            self._ahead = max(self._ahead, min(0.0, told - now))

    def start_of(self, uid: str, told: float, now: float) -> float:
        """When the server started, on the own clock: not before what this process has seen shows.

        Its age when it is first seen is at most what has passed since the newest start in any list, and since
        the last answer in which it was not listed. ``see`` comes first for all of a list.
        """
        known = self._told.get(uid)
        if known is not None and known[0] == told:
            return known[1]
        if told == LONG_AGO:
            start = LONG_AGO
        else:
            age = min(now + self._ahead - told, now - self._answered_at)
            start = now - max(0.0, age)
        self._told[uid] = told, start
        return start
