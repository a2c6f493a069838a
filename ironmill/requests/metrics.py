"""Request metrics of one process. Each request is counted once, when its outcome is final.

For each class, ``received = established + rejected + failed + abandoned + pending`` always holds.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

OUTCOMES = ("received", "established", "rejected", "failed", "abandoned")


class EventCounts(dict[str, int]):
    """Counts of named events, which are logged when the process ends."""

    def add(self, name: str) -> None:
        """Increments the count of an event."""
        self[name] = self.get(name, 0) + 1


class ClassMetrics(Struct):
    """Counts of the requests of one class since the process started."""

    received: int = 0
    established: int = 0
    rejected: int = 0  # answered BUSY, so a retry is harmless
    failed: int = 0
    abandoned: int = 0  # the client closed the connection before its final answer
    attempts: int = 0  # attempts whose request line was completely written to a server

    @property
    def pending(self) -> int:
        """The number of requests that have no final answer yet."""
        return self.received - self.established - self.rejected - self.failed - self.abandoned


class RequestCounter:
    """Counts one request. Only the first outcome counts; an established request ends later, in ``closed``."""

    __slots__ = ("_class", "_in_progress", "_metrics", "_pending")

    def __init__(self, metrics: RequestMetrics, class_metrics: ClassMetrics) -> None:
        """Creates the counter of a request that ``RequestMetrics.start`` has counted as received."""
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
        """Counts the close of the connection; a request without an outcome counts as abandoned."""
        if self._pending:
            self.abandoned()
        elif self._in_progress:
            self._in_progress = False
            self._metrics.in_progress -= 1

    def _finish(self) -> None:
        self._pending = False
        self.closed()


class RequestMetrics:
    """Counts of all requests of the process, by class."""

    def __init__(self, classes: Iterable[str]) -> None:
        """Creates zero counts for these classes. Other classes are added at their first request."""
        self.classes = {name: ClassMetrics() for name in classes}
        self.in_progress = 0  # requests whose connection is not closed yet

    def start(self, class_name: str) -> RequestCounter:
        """Counts a request as received and returns the counter for its outcome."""
        class_metrics = self.classes.setdefault(class_name, ClassMetrics())
        class_metrics.received += 1
        self.in_progress += 1
        return RequestCounter(self, class_metrics)

    @property
    def attempts(self) -> int:
        """The number of attempts of all classes."""
        return sum(counts.attempts for counts in self.classes.values())

    def by_outcome(self) -> dict[str, dict[str, int]]:
        """Returns the number of requests by outcome and class."""
        return {
            outcome: {name: getattr(counts, outcome) for name, counts in self.classes.items()}
            for outcome in OUTCOMES
        }
