"""Migration of established connections, spread evenly over time so that clients do not reconnect at once."""

from __future__ import annotations

import math
import time

from ironmill.requests.gateway import Gateway
from ironmill.runtime.scheduler import Scheduler

MIGRATION_INTERVAL_S = 0.02
LAST_LINE_DELAY_S = 0.2  # for the line under way on the last connection to be relayed


def batch_size(waiting: int, remaining_s: float) -> int:
    """Number of waiting connections to migrate now so that the last one is migrated in time."""
    spread_s = max(MIGRATION_INTERVAL_S, remaining_s - LAST_LINE_DELAY_S)
    return math.ceil(waiting * MIGRATION_INTERVAL_S / spread_s)


class BulkMigration:
    """Migrates every established connection once, also those established while it runs."""

    def __init__(self, scheduler: Scheduler, gateway: Gateway) -> None:
        """Migrates nothing yet."""
        self._scheduler = scheduler
        self._gateway = gateway
        self._migrated: set[str] = set()

    def migrate_all(self, deadline: float) -> None:
        """Migrates until the deadline on the monotonic clock, or until no request is left. Parks.

        Connections whose packets reach other proxies are migrated as well: they end with the process too.
        """
        while (remaining_s := deadline - time.monotonic()) > 0.0 and self._gateway.request_count():
            waiting = [request for request in self._gateway.established() if request.id not in self._migrated]
            for request in waiting[: batch_size(len(waiting), remaining_s)]:
                self._migrated.add(request.id)
                request.handler.migrate()
            self._scheduler.sleep(MIGRATION_INTERVAL_S)
