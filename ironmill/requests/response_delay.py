"""How long a line sent to a server takes to come back: no line on the wire tells it.

One meter for each server. While the delay is over the threshold it tells of it at once and then
once a second, on one connection; once more when it is back under. A line that is still unanswered
counts with the time it has waited. The same lines show a connection that has gone silent.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

from ironmill.runtime.scheduler import Timers
from ironmill.runtime.timers import Timer

PERIOD = 1.0  # between two tellings, and how far back answered lines count
# A sound connection brings a line back at once, and clients send one every 2 s. A silent server must be
# given up on within 7 s of falling silent, which is up to 2 s before the first line that is not answered.
SILENT_AFTER = 2.5
# Unanswered lines of one connection that are timed. Guards memory against a client that sends at full speed
# what is not answered; those beyond are counted alone, until the timed ones have come back.
TIMED_MOST = 256


class _Lines:
    """The unanswered lines of one connection."""

    __slots__ = ("sent", "timer", "untimed")

    def __init__(self) -> None:
        self.sent: list[float] = []  # TIMED_MOST at the most; an empty deque weighs ten times as much
        self.untimed = 0
        self.timer: Timer | None = None


class DelayMeter:
    """Measures one server on all connections of this proxy that stand there."""

    def __init__(
        self,
        timers: Timers,
        threshold: float,
        tell: Callable[[str, float], object],
        silent: Callable[[str], object],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._timers = timers
        self._threshold = threshold
        self._tell = tell
        self._silent = silent
        self._clock = clock
        self._open: dict[str, _Lines] = {}
        # In the order of their times, for the clock does not go back: what is asked of all connections at
        # each line must not cost more the more of them stand.
        self._samples: deque[tuple[float, float]] = deque()  # when a line was answered, what it took
        self._sum = 0.0  # of what they took
        self._sent: deque[tuple[float, _Lines]] = deque()  # timed lines, answered ones among them
        self._last = ""  # the connection that the latest measurement came from
        self._telling: Timer | None = None

    def add_connection(self, connection: str) -> None:
        """The connection stands here now."""
        self._open[connection] = _Lines()

    def remove_connection(self, connection: str) -> None:
        """The connection stands here no more."""
        lines = self._open.pop(connection, None)
        if lines is not None:
            self._timers.cancel(lines.timer)
            lines.sent.clear()
        if not self._open:
            self._timers.cancel(self._telling)
            self._telling = None
            self._samples.clear()
            self._sent.clear()
            self._sum = 0.0

    def lines_sent(self, connection: str, count: int) -> None:
        """So many lines went to the server."""
        lines = self._open.get(connection)
        if lines is None or count == 0:
            return
        timed = min(count, TIMED_MOST - len(lines.sent))
        if lines.untimed or timed < count:
            timed = 0 if lines.untimed else timed
            lines.untimed += count - timed
        now = self._clock()
        for _ in range(timed):
            lines.sent.append(now)
            self._sent.append((now, lines))
        if lines.timer is None:
            self._watch(connection, lines)

    def lines_answered(self, connection: str, count: int) -> None:
        """So many lines came back, in the order in which theirs went."""
        lines = self._open.get(connection)
        if lines is None:
            return
        now = self._clock()
        timed = min(count, len(lines.sent))
        for _ in range(timed):
            took = now - lines.sent.pop(0)
            self._samples.append((now, took))
            self._sum += took
            self._last = connection
        lines.untimed = max(0, lines.untimed - (count - timed))
        if lines.untimed and not lines.sent:
            # Guards the watch for silence: one that was not timed is taken as sent now.
            lines.untimed -= 1
            lines.sent.append(now)
            self._sent.append((now, lines))
        self._timers.cancel(lines.timer)
        lines.timer = None
        if lines.sent:
            self._watch(connection, lines)
        if self._telling is None and self.delay() > self._threshold:
            self._report()

    def delay(self) -> float:
        """What a line takes now, in seconds."""
        now = self._clock()
        while self._samples and self._samples[0][0] < now - PERIOD:
            self._sum -= self._samples.popleft()[1]
        if not self._samples:
            self._sum = 0.0  # what rounding has left
        sent = self._sent
        while sent and (not sent[0][1].sent or sent[0][1].sent[0] > sent[0][0]):
            sent.popleft()  # answered, or its connection is gone
        waiting = now - sent[0][0] if sent else 0.0
        return max(self._sum / max(1, len(self._samples)), waiting)

    def _watch(self, connection: str, lines: _Lines) -> None:
        """A timer for the oldest unanswered line: first for slowness, then for silence."""
        left = max(0.0, self._threshold - (self._clock() - lines.sent[0]))
        lines.timer = self._timers.call_later(left, self._slow, connection, lines)

    def _slow(self, connection: str, lines: _Lines) -> None:
        # Not by way of _watch: a timer that is early by a rounding would be set again and again.
        left = max(0.0, SILENT_AFTER - (self._clock() - lines.sent[0]))
        lines.timer = self._timers.call_later(left, self._give_up, connection, lines)
        self._last = connection
        if self._telling is None:
            # Told without asking whether it is over: at this moment it lies just on the threshold.
            self._telling = self._timers.call_later(PERIOD, self._report)
            self._tell(connection, self.delay())

    def _give_up(self, connection: str, lines: _Lines) -> None:
        lines.timer = None
        self._silent(connection)

    def _report(self) -> None:
        """Tell the delay on one connection, and again after a second while it is over the threshold."""
        self._telling = None
        if not self._open:
            return
        connection = self._last if self._last in self._open else next(iter(self._open))
        delay = self.delay()
        if delay > self._threshold:
            self._telling = self._timers.call_later(PERIOD, self._report)
        self._tell(connection, delay)
