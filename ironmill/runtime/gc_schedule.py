"""When the garbage collector may look through everything.

A full collection visits every object there is, so its pause grows with the connections that stand: 86 ms were
seen at 5,000, and the rule on drains leaves 250. What a connection leaves behind is freed by its reference
counts alone (``tests/system/test_garbage_collection.py`` holds that), so full collections are left to times
when few stand.
"""

from __future__ import annotations

import gc
from collections.abc import Callable

from ironmill.runtime.scheduler import Timers

YOUNG_THRESHOLD = 2000  # objects made beyond those freed, between two collections of the youngest
MIDDLE_THRESHOLD = 10  # of those, between two of the middle generation
DISABLED_THRESHOLD = 1 << 30
CHECK_INTERVAL_S = 30.0  # seconds between two looks
MAX_CONNECTIONS_FOR_FULL_COLLECTION = 500  # connections: a full collection then takes some 10 ms


class GcSchedule:
    """Keeps full collections to quiet times."""

    def __init__(self, timers: Timers, held: Callable[[], int]) -> None:
        self._timers = timers
        self._held = held

    def start(self) -> None:
        """What is there now stays for good and is never looked through."""
        gc.freeze()
        gc.enable()  # ``__main__`` has turned it off
        gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, DISABLED_THRESHOLD)
        self._timers.call_later(CHECK_INTERVAL_S, self._look)

    def _look(self) -> None:
        if self._held() <= MAX_CONNECTIONS_FOR_FULL_COLLECTION:
            gc.collect()
        self._timers.call_later(CHECK_INTERVAL_S, self._look)
