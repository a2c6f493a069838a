"""How often discovery is called: one small service for all proxies, each of which knows only its own calls.

Decides on times alone; it knows no socket and no clock.
"""

from __future__ import annotations

import random

# Seconds between two calls of all proxies together, on average, while discovery fails. Guards against a crowd
# that holds an overbooked discovery down: 40 proxies that each came again after 0.1 s made 330 calls a
# second, two in a hundred were answered, and 34 of the 40 learnt of no change in a day of 25 s.
SPACING = 0.1
# A watch that broke is the same watch to discovery if it is taken up again within 200 ms.
REJOIN = 0.1
# What discovery has to tell counts as told so many seconds after it had it and could be reached, whatever
# became of the calls before (PROTOCOL, and the operators' letter on acceptance).
TOLD_AFTER = 6.0
# A call that does not wait for news takes so long at the most, from its connect to the last byte of its
# answer.
CALL_MOST = 1.0
SPARE = 0.25  # for late turns of a busy process, and for the news to go through the decisions
# However many proxies there are: from the begin of a call that fails to the begin of the next. The worst case
# is a call that began just before discovery could be reached, then the call that tells. Guards the rule on
# draining servers: 200 proxies that went by their number alone would let 10.7 s pass between two calls. It
# also is why many proxies call a failing discovery more often than ``SPACING`` means: none may wait longer.
CALL_GAP_MOST = TOLD_AFTER - CALL_MOST - SPARE
PAUSE_MOST = CALL_GAP_MOST - CALL_MOST  # the same from the end of a call that took as long as it may
# A pause is drawn from this part of the longest up to all of it. Guards discovery: 200 proxies whose pauses
# are cut at PAUSE_MOST make the fewer calls the less is drawn off. Jitter adds up from one pause to the next.
SHORTEST = 0.8


class CallPace:
    """When one of so many proxies may call discovery. All times are in seconds."""

    def __init__(
        self, proxies: int, rng: random.Random, asks: bool = True, first_at_once: bool = False
    ) -> None:
        """``asks``: a call is work for discovery. Else the agent answers it with what it was sent.

        ``first_at_once``: it starts by itself, not in a crowd, as a new version beside the old one does.
        """
        self._first_at_once = first_at_once or not asks
        self._asks = asks
        self._share = SPACING * (max(1, proxies) if asks else 1)
        self._rng = rng
        self._failures = 0

    @property
    def at_once(self) -> bool:
        """True where a call costs discovery nothing and is answered at once."""
        return not self._asks

    def first(self) -> float:
        """Until the first call, where a list is at hand: proxies that start together do not call together.

        At once where the agent was sent all changes unasked, for they count as told: on a day when a lost
        zone came back, a proxy that started with an old list sent to a server that was long listed as gone.
        """
        return 0.0 if self._first_at_once else self._rng.random() * min(PAUSE_MOST, self._share)

    def answered(self) -> None:
        """A call was answered."""
        self._failures = 0

    def failed(self, took: float = CALL_MOST) -> float:
        """A call failed after so long: the pause until the next one.

        The first comes in time for the watch to go on; the others are each twice as far off as the last, with
        jitter, and on average as far as this proxy's share. One that fails at once leaves more of the time
        in which the next has to begin.
        """
        self._failures += 1
        if self._failures == 1:
            return REJOIN
        share = 2.0 / (1.0 + SHORTEST) * self._share  # the longest of those whose mean it is
        in_time = CALL_GAP_MOST - min(took, CALL_MOST)
        longest = min(share, in_time, REJOIN * 2.0 ** min(self._failures, 16))
        return max(REJOIN, longest * (SHORTEST + (1.0 - SHORTEST) * self._rng.random()))
