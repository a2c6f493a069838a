"""Schedule of the garbage collector.

A full collection visits every object, so its pause grows with the number of connections. Reference counting
alone frees the objects of a connection, as ``tests/system/test_garbage_collection.py`` checks. Full
collections can therefore wait until few connections are open.
"""

from __future__ import annotations

import gc
from collections.abc import Callable

from ironmill.runtime.scheduler import Timers

YOUNG_THRESHOLD = 2000  # net allocations between two collections of the youngest generation
MIDDLE_THRESHOLD = 10  # collections of the youngest generation between two of the middle one
DISABLED_THRESHOLD = 1 << 30  # so high that no automatic full collection runs
CHECK_INTERVAL_S = 30.0
MAX_CONNECTIONS_FOR_FULL_COLLECTION = 500  # keeps the pause at about 10 ms


class GcSchedule:
    """Runs full collections only while few connections are open."""

    def __init__(self, timers: Timers, count_connections: Callable[[], int]) -> None:
        """Creates a schedule; ``count_connections`` returns the number of open connections."""
        self._timers = timers
        self._count_connections = count_connections

    def start(self) -> None:
        """Exempts all existing objects from collection, enables the collector and starts the schedule."""
        gc.freeze()
        gc.enable()  # ``__main__`` disabled it
        gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, DISABLED_THRESHOLD)
        self._timers.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        if self._count_connections() <= MAX_CONNECTIONS_FOR_FULL_COLLECTION:
            gc.collect()
        self._timers.call_later(CHECK_INTERVAL_S, self._check)
