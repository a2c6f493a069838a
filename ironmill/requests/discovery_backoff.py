"""Decides when a proxy calls discovery, so that the calls of the fleet do not overload it.

Discovery is a small service that all proxies share, but each proxy knows only its own calls. This module
computes durations, in seconds, and has no access to sockets or a clock.
"""

from __future__ import annotations

import random

# Mean interval between the calls of all proxies together while discovery fails. An overloaded discovery could
# not recover from more frequent calls.
MEAN_CALL_INTERVAL_S = 0.1
RECONNECT_DELAY_S = 0.1  # discovery resumes a watch that reconnects within 0.2 s
# A proxy counts as notified of a change this long after discovery had the change and was reachable, even if
# calls failed.
NOTIFICATION_TIMEOUT_S = 6.0
MAX_CALL_S = 1.0  # duration of a call that does not wait for changes, from connect to the last byte received
TIMING_MARGIN_S = 0.25  # covers scheduling delays of a busy process and the balancer applying the change
# Maximum time from the start of a failed call to the start of the next one, for fleets of any size. In the
# worst case, a call starts just before discovery becomes reachable, and only the next one returns the change.
# A large fleet therefore calls more often than every ``MEAN_CALL_INTERVAL_S``.
MAX_CALL_GAP_S = NOTIFICATION_TIMEOUT_S - MAX_CALL_S - TIMING_MARGIN_S
MAX_PAUSE_S = MAX_CALL_GAP_S - MAX_CALL_S  # pause after a call that took ``MAX_CALL_S``
# A call that is not answered by its timeout is made again, while its answer is still awaited beside that. The
# timeout follows the time that answers take, so that a slow discovery is not called much more often than it
# answers.
MAX_CALL_TIMEOUT_S = 2.5
ANSWER_TIME_FACTOR = 1.5  # of the last answer's time
MAX_LATE_S = NOTIFICATION_TIMEOUT_S - TIMING_MARGIN_S  # after which a later answer is of no use
MIN_PAUSE_FRACTION = 0.8  # each pause is random, between this fraction of its upper limit and the limit
MAX_DOUBLINGS = 16


class DiscoveryBackoff:
    """Computes the delays between one proxy's calls to discovery."""

    def __init__(
        self,
        proxies: int,
        rng: random.Random,
        *,
        polls_discovery: bool = True,
        first_immediately: bool = False,
    ) -> None:
        """Creates the backoff of one proxy in a fleet of ``proxies``.

        ``polls_discovery`` is true if calls reach discovery; otherwise the local agent answers them from the
        changes it was sent. ``first_immediately`` is true if this process starts alone, as in an upgrade,
        and not together with the fleet.
        """
        self._first_immediately = first_immediately or not polls_discovery
        self._polls_discovery = polls_discovery
        self._mean_interval_s = MEAN_CALL_INTERVAL_S * (max(1, proxies) if polls_discovery else 1)
        self._rng = rng
        self._failures = 0
        self._call_timeout_s = MAX_CALL_S

    @property
    def call_timeout_s(self) -> float:
        """How long an answer is awaited before the next call, without the time that discovery may hold it."""
        return self._call_timeout_s

    def answered(self, answer_time_s: float) -> None:
        """Sets the timeout by the time that an answer took, without the time for which it could be held.

        A local agent answers at once or is down, so its timeout stays short.
        """
        if self._polls_discovery:
            timeout_s = ANSWER_TIME_FACTOR * answer_time_s
            self._call_timeout_s = min(MAX_CALL_TIMEOUT_S, max(MAX_CALL_S, timeout_s))

    def timed_out(self) -> None:
        """Doubles the timeout of the next call, up to its limit."""
        if self._polls_discovery:
            self._call_timeout_s = min(MAX_CALL_TIMEOUT_S, 2.0 * self._call_timeout_s)

    @property
    def answers_immediately(self) -> bool:
        """True if the local agent answers calls at once, without a request to discovery."""
        return not self._polls_discovery

    def first_delay(self) -> float:
        """Returns the delay of the first call if an endpoint list is already available.

        The delay is random, so that proxies that start together do not call at the same time. It is 0 if a
        local agent answers calls, because changes sent to the agent count as notified.
        """
        if self._first_immediately:
            return 0.0
        return self._rng.random() * min(MAX_PAUSE_S, self._mean_interval_s)

    def succeeded(self) -> None:
        """Records that a call was answered."""
        self._failures = 0

    def failed(self, duration_s: float = MAX_CALL_S) -> float:
        """Records that a call failed after ``duration_s`` and returns the pause before the next one.

        The first pause is short enough for discovery to resume the watch. Each further pause is twice as long
        as the previous one, with jitter, up to this proxy's share of the mean interval. The pause may be
        longer after a call that fails early, because ``MAX_CALL_GAP_S`` runs from the start of that call.
        """
        self._failures += 1
        if self._failures == 1:
            return RECONNECT_DELAY_S
        # The upper limit at which the mean of the pauses equals this proxy's interval.
        interval_limit = 2.0 / (1.0 + MIN_PAUSE_FRACTION) * self._mean_interval_s
        gap_limit = MAX_CALL_GAP_S - min(duration_s, MAX_CALL_TIMEOUT_S)
        doubling_limit = RECONNECT_DELAY_S * 2.0 ** min(self._failures, MAX_DOUBLINGS)
        max_pause = min(interval_limit, gap_limit, doubling_limit)
        pause = max_pause * (MIN_PAUSE_FRACTION + (1.0 - MIN_PAUSE_FRACTION) * self._rng.random())
        return max(RECONNECT_DELAY_S, pause)
