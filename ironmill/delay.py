"""How long a line sent to an issuer host takes to come back: no line on the wire tells it.

One meter for each issuer host. While the delay is over the threshold it tells of it at once and then
once a second, on one connection; once more when it is back under. A line that is still unanswered
counts with the time it has waited. The same lines show a connection that has gone silent.
"""

from __future__ import annotations

import sched
import time
from collections import deque
from collections.abc import Callable

from ironmill.scheduler import Timers

PERIOD = 1.0  # between two tellings, and how far back answered lines count
# A sound connection brings a line back at once, and clients send one every 2 s. A silent issuer host must be
# given up on within 7 s of falling silent, which is up to 2 s before the first line that is not answered.
SILENT_AFTER = 2.5


class _Lines:
    """The unanswered lines of one connection."""

    __slots__ = ("sent", "timer")

    def __init__(self) -> None:
        self.sent: deque[float] = deque()
        self.timer: sched.Event | None = None


class DelayMeter:
    """Measures one issuer host on all connections of this proxy that stand there."""

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
        self._samples: deque[tuple[float, float]] = deque()
        self._last = ""  # the connection that the latest measurement came from
        self._telling: sched.Event | None = None

    def add(self, connection: str) -> None:
        """The connection stands here now."""
        self._open[connection] = _Lines()

    def drop(self, connection: str) -> None:
        """The connection stands here no more."""
        lines = self._open.pop(connection, None)
        if lines is not None:
            self._timers.cancel(lines.timer)
        if not self._open:
            self._timers.cancel(self._telling)
            self._telling = None
            self._samples.clear()

    def sent(self, connection: str, count: int) -> None:
        """So many lines went to the issuer host."""
        lines = self._open.get(connection)
        if lines is None or count == 0:
            return
        lines.sent.extend([self._clock()] * count)
        if lines.timer is None:
            self._watch(connection, lines)

    def answered(self, connection: str, count: int) -> None:
        """So many lines came back, in the order in which theirs went."""
        lines = self._open.get(connection)
        if lines is None:
            return
        now = self._clock()
        for _ in range(min(count, len(lines.sent))):
            self._samples.append((now, now - lines.sent.popleft()))
            self._last = connection
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
            self._samples.popleft()
        mean = sum(delay for _, delay in self._samples) / max(1, len(self._samples))
        waiting = max((now - lines.sent[0] for lines in self._open.values() if lines.sent), default=0.0)
        return max(mean, waiting)

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
