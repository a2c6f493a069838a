"""Measures how long lines sent to a server take to be answered; no line on the wire states it.

There is one meter for each server. While the delay exceeds the threshold the meter reports it at once and
then every ``REPORT_INTERVAL_S``, for one connection, and once more when it is below again. A line without an
answer counts with the time it has waited. The same lines reveal a connection whose server has become
unresponsive.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

from ironmill.runtime.scheduler import Timers
from ironmill.runtime.timers import Timer

REPORT_INTERVAL_S = 1.0  # also the time for which answered lines count
# Clients send a line every 2 s, and an unresponsive server must be given up within 7 s, which begin up to 2 s
# before the first line without an answer.
UNRESPONSIVE_TIMEOUT_S = 2.5
# Unanswered lines of one connection that are timed; further ones are only counted, which bounds the memory.
MAX_TIMED_LINES = 256


class _ConnectionLines:
    """The unanswered lines of one connection."""

    __slots__ = ("sent_at", "timer", "untimed")

    def __init__(self) -> None:
        # At most MAX_TIMED_LINES. A list: an empty deque takes ten times the memory.
        self.sent_at: list[float] = []
        self.untimed = 0
        self.timer: Timer | None = None


class DelayMeter:
    """Measures one server, on all connections of this proxy that are established there."""

    def __init__(
        self,
        timers: Timers,
        threshold_s: float,
        on_delay: Callable[[str, float], object],
        on_unresponsive: Callable[[str], object],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """``on_delay`` gets a connection's id and the delay in seconds; ``on_unresponsive`` the id."""
        self._timers = timers
        self._threshold_s = threshold_s
        self._on_delay = on_delay
        self._on_unresponsive = on_unresponsive
        self._clock = clock
        self._connections: dict[str, _ConnectionLines] = {}
        # Ordered by time, so that the cost of a line does not depend on the number of connections.
        self._answered: deque[tuple[float, float]] = deque()  # when a line was answered, and its delay
        self._answered_sum_s = 0.0  # of the delays in ``_answered``
        self._sent: deque[tuple[float, _ConnectionLines]] = deque()  # timed lines, some answered already
        self._last_measured = ""  # the connection of the newest measurement
        self._report_timer: Timer | None = None

    def add_connection(self, connection: str) -> None:
        """Begins to measure an established connection."""
        self._connections[connection] = _ConnectionLines()

    def remove_connection(self, connection: str) -> None:
        """Ends the measurement of a connection; does nothing if there is none."""
        lines = self._connections.pop(connection, None)
        if lines is not None:
            self._timers.cancel(lines.timer)
            lines.sent_at.clear()
        if not self._connections:
            self._reset()

    def lines_sent(self, connection: str, count: int) -> None:
        """Records that so many lines were sent to the server."""
        lines = self._connections.get(connection)
        if lines is None or count == 0:
            return
        timed = min(count, MAX_TIMED_LINES - len(lines.sent_at))
        if lines.untimed or timed < count:
            timed = 0 if lines.untimed else timed
            lines.untimed += count - timed
        now = self._clock()
        for _ in range(timed):
            lines.sent_at.append(now)
            self._sent.append((now, lines))
        if lines.timer is None:
            self._watch(connection, lines)

    def lines_answered(self, connection: str, count: int) -> None:
        """Records that so many lines were answered, in the order in which they were sent."""
        lines = self._connections.get(connection)
        if lines is None:
            return
        now = self._clock()
        timed = min(count, len(lines.sent_at))
        for _ in range(timed):
            delay_s = now - lines.sent_at.pop(0)
            self._answered.append((now, delay_s))
            self._answered_sum_s += delay_s
            self._last_measured = connection
        lines.untimed = max(0, lines.untimed - (count - timed))
        if lines.untimed and not lines.sent_at:
            # Without a timed line an unresponsive server would go unnoticed: one counts as sent now.
            lines.untimed -= 1
            lines.sent_at.append(now)
            self._sent.append((now, lines))
        self._timers.cancel(lines.timer)
        lines.timer = None
        if lines.sent_at:
            self._watch(connection, lines)
        if self._report_timer is None and self.delay_s() > self._threshold_s:
            self._report()

    def delay_s(self) -> float:
        """Returns the present delay: the mean of recent answers, or the longest wait if that is longer."""
        now = self._clock()
        while self._answered and self._answered[0][0] < now - REPORT_INTERVAL_S:
            self._answered_sum_s -= self._answered.popleft()[1]
        if not self._answered:
            self._answered_sum_s = 0.0  # without the rounding errors
        sent = self._sent
        while sent and (not sent[0][1].sent_at or sent[0][1].sent_at[0] > sent[0][0]):
            sent.popleft()  # answered, or its connection is closed
        waiting_s = now - sent[0][0] if sent else 0.0
        return max(self._answered_sum_s / max(1, len(self._answered)), waiting_s)

    def _reset(self) -> None:
        self._timers.cancel(self._report_timer)
        self._report_timer = None
        self._answered.clear()
        self._sent.clear()
        self._answered_sum_s = 0.0

    def _watch(self, connection: str, lines: _ConnectionLines) -> None:
        """Sets a timer for the oldest unanswered line: first for the threshold, then for the timeout."""
        left = max(0.0, self._threshold_s - (self._clock() - lines.sent_at[0]))
        lines.timer = self._timers.call_later(left, self._on_threshold, connection, lines)

    def _on_threshold(self, connection: str, lines: _ConnectionLines) -> None:
        # Not by _watch: a timer that fires early by a rounding error would be set again and again.
        left = max(0.0, UNRESPONSIVE_TIMEOUT_S - (self._clock() - lines.sent_at[0]))
        lines.timer = self._timers.call_later(left, self._on_timeout, connection, lines)
        self._last_measured = connection
        if self._report_timer is None:
            # Reported without a comparison: at this moment the delay equals the threshold but for rounding.
            self._report_timer = self._timers.call_later(REPORT_INTERVAL_S, self._report)
            self._on_delay(connection, self.delay_s())

    def _on_timeout(self, connection: str, lines: _ConnectionLines) -> None:
        lines.timer = None
        self._on_unresponsive(connection)

    def _report(self) -> None:
        """Reports the delay for one connection, and again later while it exceeds the threshold."""
        self._report_timer = None
        if not self._connections:
            return
        connection = self._last_measured
        if connection not in self._connections:
            connection = next(iter(self._connections))
        delay_s = self.delay_s()
        if delay_s > self._threshold_s:
            self._report_timer = self._timers.call_later(REPORT_INTERVAL_S, self._report)
        self._on_delay(connection, delay_s)
