"""Decides when a connection from before the proxy's start is attempted at its server, and for how long."""

from __future__ import annotations

import math

from ironmill.balancing.interface import Idempotency, Outcome, RequestClass

MAX_RESUME_ATTEMPTS = 3  # request lines that one client's connection may cost its server
TIMEOUT_GROWTH = 4.0  # each attempt may take this many times as long as the one before it
# A repeat starts this long before its deduplication window ends, so that its connect is within the window.
WINDOW_MARGIN_S = 0.5
MAX_UNSENT_PAUSE_S = 2.0  # between two tries to reach a server that accepts no connection


class ResumeSchedule:
    """Divides the time in which a connection may be resumed among a few attempts.

    A server that does not answer may have lost the request line, which only a repeat can mend, or may be
    slow, in which case a repeat is wasted work. So the first attempts are short enough to leave time for a
    repeat, and the last one gets all the time that is left. Points in time are in seconds on one monotonic
    clock.
    """

    __slots__ = (
        "_attempts_left",
        "_deadline",
        "_last_start",
        "_not_before",
        "_request_class",
        "_retry_by",
        "_retry_interval",
        "_started_at",
        "_unsent_pause",
    )

    def __init__(
        self, request_class: RequestClass, max_attempts: int, deadline: float, retry_interval: float
    ) -> None:
        """Creates the schedule of a connection that has had no attempt.

        ``retry_interval`` is the shortest pause between two tries, in seconds.
        """
        self._request_class = request_class
        self._deadline = deadline
        self._attempts_left = min(max_attempts, MAX_RESUME_ATTEMPTS)
        self._retry_interval = retry_interval
        self._unsent_pause = retry_interval
        self._not_before = -math.inf
        self._retry_by = math.inf  # a later attempt could take effect a second time
        self._started_at = 0.0
        self._last_start = 0.0  # when the last attempt starts if all before it time out

    @property
    def attempts_left(self) -> int:
        """The number of request lines that may still be written."""
        return self._attempts_left

    def next_start(self, now: float) -> float | None:
        """Returns when the next attempt may start, or None if the connection must be given up now."""
        start = max(now, self._not_before)
        if self._attempts_left == 0 or start >= self._deadline or start >= self._retry_by:
            return None
        return start

    def postpone(self, now: float) -> None:
        """Records that the server cannot be attempted now, for example because it is not listed yet."""
        self._not_before = now + self._retry_interval

    def start(self, now: float) -> float:
        """Records that an attempt starts, and returns its timeout in seconds."""
        self._started_at = now
        attempts = self._attempts_left
        self._last_start = now + (self._deadline - now) * _shares(attempts - 1) / _shares(attempts)
        return self._attempt_timeout(now)

    def may_send(self, now: float) -> bool:
        """Returns False if the request line of the current attempt must not be written any more."""
        return now < self._retry_by

    def attempt_ended(self, outcome: Outcome, now: float, *, sent: bool) -> None:
        """Records that the current attempt was not established.

        ``sent`` is True if its request line was completely written. Only then does the attempt count.
        """
        if not sent:
            self._not_before = now + self._unsent_pause
            self._unsent_pause = min(2.0 * self._unsent_pause, MAX_UNSENT_PAUSE_S)
            return
        self._attempts_left -= 1
        self._unsent_pause = self._retry_interval
        if not outcome.never_ran:
            self._retry_by = min(self._retry_by, self._latest_repeat(self._started_at))
        self._not_before = now + self._retry_interval
        if self._attempts_left == 1:
            # A server that fails at once may do so for some seconds. The last attempt is kept until then.
            last_start = min(self._last_start, self._retry_by - WINDOW_MARGIN_S)
            self._not_before = max(self._not_before, last_start)

    def _latest_repeat(self, sent_at: float) -> float:
        """Returns when the last repeat must start if an attempt that started at ``sent_at`` may have run."""
        match self._request_class.idempotency:
            case Idempotency.ALWAYS:
                return math.inf
            case Idempotency.BY_KEY:
                return sent_at + self._request_class.deduplication_window
            case Idempotency.NONE:
                return -math.inf

    def _attempt_timeout(self, now: float) -> float:
        """Returns the timeout of an attempt that starts now.

        An attempt that would be shorter than the latency objective of its class is not made: there are fewer
        and longer ones then. So the first attempt is the only one if it must not be repeated.
        """
        time_left = self._deadline - now
        latest_repeat = min(self._retry_by, self._latest_repeat(now)) - WINDOW_MARGIN_S
        for attempts in range(self._attempts_left, 1, -1):
            shares = _shares(attempts)
            last_start = min(now + time_left * _shares(attempts - 1) / shares, latest_repeat)
            timeout = (last_start - now) / _shares(attempts - 1)
            if timeout >= self._request_class.latency_objective:
                return timeout
        return time_left


def _shares(attempts: int) -> float:
    """Returns the duration of so many attempts together, in units of the first one's."""
    return sum(TIMEOUT_GROWTH**index for index in range(attempts))
