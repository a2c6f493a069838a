"""Sends standing connections away, evenly over a time: their clients are not to come again all at once."""

from __future__ import annotations

import math
import time

from ironmill.requests.gateway import Gateway
from ironmill.runtime.scheduler import Scheduler

MIGRATION_INTERVAL_S = 0.02
LAST_LINE_DELAY_S = 0.2  # for the last line under way to end


def due(waiting: int, left: float) -> int:
    """How many of those that wait are sent away at this look, so that the last one goes in time."""
    return math.ceil(waiting * MIGRATION_INTERVAL_S / max(MIGRATION_INTERVAL_S, left - LAST_LINE_DELAY_S))


class Migration:
    """One planned departure of all that stands, and of all that comes to stand meanwhile."""

    def __init__(self, scheduler: Scheduler, gateway: Gateway) -> None:
        self._scheduler = scheduler
        self._gateway = gateway
        self._moved: set[str] = set()

    def run(self, end: float) -> None:
        """Until then on the monotonic clock, or until nothing stands and no answer is owed. Parks.

        Also where packets pass through: what stands when the process ends is set up anew there, too.
        """
        while (left := end - time.monotonic()) > 0.0 and self._gateway.busy():
            waiting = [one for one in self._gateway.standing() if one.id not in self._moved]
            for request in waiting[: due(len(waiting), left)]:
                self._moved.add(request.id)
                request.holder.move()
            self._scheduler.sleep(MIGRATION_INTERVAL_S)
