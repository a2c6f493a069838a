"""Measures how long servers take to answer lines, which the line protocol does not report.

There is one meter for each server. When the delay exceeds the threshold, the meter reports it at once and
then every ``REPORT_INTERVAL_S``, each time for one connection, and once more when the delay is below the
threshold again. An unanswered line counts with the time for which it has waited. Unanswered lines also reveal
connections whose server has become unresponsive.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

from ironmill.runtime.scheduler import Timers
from ironmill.runtime.timers import Timer

REPORT_INTERVAL_S = 1.0  # also the window in which answered lines count
# Clients send a line every 2 s, and connections must leave an unresponsive server within 7 s. These 7 s begin
# up to 2 s before the first unanswered line.
UNRESPONSIVE_TIMEOUT_S = 2.5
# Maximum number of timed unanswered lines per connection. Further lines are only counted, to bound memory.
MAX_TIMED_LINES = 256


class _ConnectionLines:
    """The unanswered lines of one connection."""

    __slots__ = ("sent_at", "timer", "untimed")

    def __init__(self) -> None:
        # At most MAX_TIMED_LINES entries. This is a list because an empty deque takes ten times the memory.
        self.sent_at: list[float] = []
        self.untimed = 0
        self.timer: Timer | None = None


class DelayMeter:
    """Measures the delay of one server on all connections that this proxy has established to it."""

    def __init__(
        self,
        timers: Timers,
        threshold_s: float,
        on_delay: Callable[[str, float], object],
        on_unresponsive: Callable[[str], object],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a meter without connections.

        ``on_delay`` is called with a connection's id and the delay in seconds, ``on_unresponsive`` with the
        id of a connection whose server has become unresponsive.
        """
        self._timers = timers
        self._threshold_s = threshold_s
        self._on_delay = on_delay
        self._on_unresponsive = on_unresponsive
        self._clock = clock
        self._connections: dict[str, _ConnectionLines] = {}
        # Both queues are ordered by time, so the cost of a line does not depend on the number of connections.
        self._answered: deque[tuple[float, float]] = deque()  # when a line was answered, and its delay
        self._answered_sum_s = 0.0  # sum of the delays in ``_answered``
        self._sent: deque[tuple[float, _ConnectionLines]] = deque()  # timed lines, some answered already
        self._last_measured = ""  # id of the connection that was measured last
        self._report_timer: Timer | None = None

    def add_connection(self, connection: str) -> None:
        """Starts measuring an established connection."""
        self._connections[connection] = _ConnectionLines()

    def remove_connection(self, connection: str) -> None:
        """Stops measuring a connection; does nothing if it is not measured."""
        lines = self._connections.pop(connection, None)
        if lines is not None:
            self._timers.cancel(lines.timer)
            lines.sent_at.clear()
        if not self._connections:
            self._reset()

    def lines_sent(self, connection: str, count: int) -> None:
        """Records that ``count`` lines were sent to the server."""
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
            self._set_threshold_timer(connection, lines)

    def lines_answered(self, connection: str, count: int) -> None:
        """Records that the oldest ``count`` unanswered lines were answered."""
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
            # An unresponsive server is detected only by a timed line, so one line counts as sent now.
            lines.untimed -= 1
            lines.sent_at.append(now)
            self._sent.append((now, lines))
        self._timers.cancel(lines.timer)
        lines.timer = None
        if lines.sent_at:
            self._set_threshold_timer(connection, lines)
        if self._report_timer is None and self.delay_s() > self._threshold_s:
            self._report()

    def delay_s(self) -> float:
        """Returns the current delay: the mean of recent answers, or the longest wait if that is longer."""
        now = self._clock()
        while self._answered and self._answered[0][0] < now - REPORT_INTERVAL_S:
            self._answered_sum_s -= self._answered.popleft()[1]
        if not self._answered:
            self._answered_sum_s = 0.0  # discards accumulated rounding errors
        sent = self._sent
        while sent and (not sent[0][1].sent_at or sent[0][1].sent_at[0] > sent[0][0]):
            sent.popleft()  # the line is answered, or its connection is closed
        waiting_s = now - sent[0][0] if sent else 0.0
        return max(self._answered_sum_s / max(1, len(self._answered)), waiting_s)

    def _reset(self) -> None:
        self._timers.cancel(self._report_timer)
        self._report_timer = None
        self._answered.clear()
        self._sent.clear()
        self._answered_sum_s = 0.0

    def _set_threshold_timer(self, connection: str, lines: _ConnectionLines) -> None:
        """Sets a timer for the oldest unanswered line to reach the threshold, and after that the timeout."""
        remaining_s = max(0.0, self._threshold_s - (self._clock() - lines.sent_at[0]))
        lines.timer = self._timers.call_later(remaining_s, self._on_threshold, connection, lines)

    def _on_threshold(self, connection: str, lines: _ConnectionLines) -> None:
        # This does not call _set_threshold_timer: a timer that fires early by a rounding error would be set
        # repeatedly.
        remaining_s = max(0.0, UNRESPONSIVE_TIMEOUT_S - (self._clock() - lines.sent_at[0]))
        lines.timer = self._timers.call_later(remaining_s, self._on_timeout, connection, lines)
        self._last_measured = connection
        if self._report_timer is None:
            # The delay is not compared because it equals the threshold here, apart from rounding errors.
            self._report_timer = self._timers.call_later(REPORT_INTERVAL_S, self._report)
            self._on_delay(connection, self.delay_s())

    def _on_timeout(self, connection: str, lines: _ConnectionLines) -> None:
        lines.timer = None
        self._on_unresponsive(connection)

    def _report(self) -> None:
        """Reports the delay for one connection, and schedules the next report if it exceeds the threshold."""
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
