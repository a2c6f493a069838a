"""Metrics of one process: each request is counted once, at the moment its outcome is final.

In each class ``received = established + rejected + failed + abandoned + pending`` holds at any time.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

OUTCOMES = ("received", "established", "rejected", "failed", "abandoned")


class EventCounts(dict[str, int]):
    """Counts of named events, for the log line at the process's end."""

    def add(self, name: str) -> None:
        """Counts one event."""
        self[name] = self.get(name, 0) + 1


class ClassMetrics(Struct):
    """Requests of one class since the start of the process."""

    received: int = 0
    established: int = 0
    rejected: int = 0  # a retry is harmless
    failed: int = 0
    abandoned: int = 0  # the client closed before its final answer
    attempts: int = 0  # whose request line was completely written to a server

    @property
    def pending(self) -> int:
        """Requests that have no final answer yet."""
        return self.received - self.established - self.rejected - self.failed - self.abandoned


class RequestCounter:
    """Counts one request. Only its first outcome counts; an established one is closed later."""

    __slots__ = ("_class", "_in_progress", "_metrics", "_pending")

    def __init__(self, metrics: RequestMetrics, class_metrics: ClassMetrics) -> None:
        """Is created by ``RequestMetrics.start``, which has counted the request as received."""
        self._metrics = metrics
        self._class = class_metrics
        self._pending = True
        self._in_progress = True

    def established(self) -> None:
        """Counts the request as established."""
        if self._pending:
            self._pending = False
            self._class.established += 1

    def rejected(self) -> None:
        """Counts the request as rejected."""
        if self._pending:
            self._class.rejected += 1
            self._finish()

    def failed(self) -> None:
        """Counts the request as failed."""
        if self._pending:
            self._class.failed += 1
            self._finish()

    def abandoned(self) -> None:
        """Counts the request as abandoned by its client."""
        if self._pending:
            self._class.abandoned += 1
            self._finish()

    def attempt_sent(self) -> None:
        """Counts an attempt whose request line was completely written."""
        self._class.attempts += 1

    def closed(self) -> None:
        """Counts the end of the connection; a request without an outcome is abandoned."""
        if self._pending:
            self.abandoned()
        elif self._in_progress:
            self._in_progress = False
            self._metrics.in_progress -= 1

    def _finish(self) -> None:
        self._pending = False
        self.closed()


class RequestMetrics:
    """Metrics of all requests of the process."""

    def __init__(self, classes: Iterable[str]) -> None:
        """Starts with all counters of these classes at 0; others are added at their first request."""
        self.classes = {name: ClassMetrics() for name in classes}
        self.in_progress = 0  # received, and the connection is not closed yet

    def start(self, class_name: str) -> RequestCounter:
        """Counts a request as received; returns the counter for its outcome."""
        class_metrics = self.classes.setdefault(class_name, ClassMetrics())
        class_metrics.received += 1
        self.in_progress += 1
        return RequestCounter(self, class_metrics)

    @property
    def attempts(self) -> int:
        """Attempts of all classes."""
        return sum(one.attempts for one in self.classes.values())

    def by_outcome(self) -> dict[str, dict[str, int]]:
        """Returns the number of requests by outcome and class."""
        return {
            outcome: {name: getattr(one, outcome) for name, one in self.classes.items()}
            for outcome in OUTCOMES
        }
