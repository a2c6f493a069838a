"""Decides when a proxy calls discovery, a small service for all proxies that know only their own calls.

It works on spans of time and knows neither sockets nor a clock. All times are in seconds.
"""

from __future__ import annotations

import random

# Between two calls of all proxies together, on average, while discovery fails; an overloaded discovery could
# not recover from more.
MEAN_CALL_INTERVAL_S = 0.1
RECONNECT_DELAY_S = 0.1  # discovery continues a watch that reconnects within 0.2 s
# A change counts as notified so long after discovery had it and was reachable, even if calls failed.
NOTIFICATION_TIMEOUT_S = 6.0
MAX_CALL_S = 1.0  # of a call that does not wait for changes, from its connect to the last byte of its answer
TIMING_MARGIN_S = 0.25  # for late turns of a busy process, and for the balancer to take the change
# From the start of a call that fails to the start of the next, however many proxies there are: in the worst
# case a call starts just before discovery is reachable, and the next one brings the change. A large fleet
# therefore calls more often than ``MEAN_CALL_INTERVAL_S``.
MAX_CALL_GAP_S = NOTIFICATION_TIMEOUT_S - MAX_CALL_S - TIMING_MARGIN_S
MAX_PAUSE_S = MAX_CALL_GAP_S - MAX_CALL_S  # after a call of the longest duration
MIN_PAUSE_FRACTION = 0.8  # a pause is drawn between this fraction of the longest and the longest
MAX_DOUBLINGS = 16


class DiscoveryBackoff:
    """Computes the delays of one proxy's calls."""

    def __init__(
        self,
        proxies: int,
        rng: random.Random,
        *,
        polls_discovery: bool = True,
        first_immediately: bool = False,
    ) -> None:
        """``proxies`` is the size of the fleet.

        ``polls_discovery``: a call is work for discovery; otherwise the local agent answers it from what it
        was sent. ``first_immediately``: this process starts alone, as in an upgrade, and not with the fleet.
        """
        self._first_immediately = first_immediately or not polls_discovery
        self._polls_discovery = polls_discovery
        self._mean_interval_s = MEAN_CALL_INTERVAL_S * (max(1, proxies) if polls_discovery else 1)
        self._rng = rng
        self._failures = 0

    @property
    def answers_immediately(self) -> bool:
        """True if a call is no work for discovery and is answered without a wait."""
        return not self._polls_discovery

    def first_delay(self) -> float:
        """Returns the delay of the first call, where an endpoint list is available.

        It is random, so that proxies that start together do not call together; 0 where the agent has been
        sent changes, because these count as notified.
        """
        if self._first_immediately:
            return 0.0
        return self._rng.random() * min(MAX_PAUSE_S, self._mean_interval_s)

    def succeeded(self) -> None:
        """Records that a call was answered."""
        self._failures = 0

    def failed(self, duration_s: float = MAX_CALL_S) -> float:
        """Records that a call failed after ``duration_s``; returns the pause until the next one.

        The first pause is short enough for the watch to continue. Each further one is twice as long as the
        last, with jitter, up to this proxy's part of the mean interval. A call that fails early leaves more
        of the time in which the next one has to start.
        """
        self._failures += 1
        if self._failures == 1:
            return RECONNECT_DELAY_S
        # The longest of pauses whose mean is this proxy's interval.
        by_interval = 2.0 / (1.0 + MIN_PAUSE_FRACTION) * self._mean_interval_s
        by_gap = MAX_CALL_GAP_S - min(duration_s, MAX_CALL_S)
        by_doubling = RECONNECT_DELAY_S * 2.0 ** min(self._failures, MAX_DOUBLINGS)
        longest = min(by_interval, by_gap, by_doubling)
        jittered = longest * (MIN_PAUSE_FRACTION + (1.0 - MIN_PAUSE_FRACTION) * self._rng.random())
        return max(RECONNECT_DELAY_S, jittered)
