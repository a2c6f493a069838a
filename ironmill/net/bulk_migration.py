"""Migration of all established connections, spread evenly over time to avoid a burst of reconnects."""

from __future__ import annotations

import math
import time

from ironmill.requests.gateway import Gateway
from ironmill.runtime.scheduler import Scheduler

MIGRATION_INTERVAL_S = 0.02
LAST_LINE_DELAY_S = 0.2  # reserved for relaying the rest of the current line on the last connection


def batch_size(waiting_count: int, remaining_s: float) -> int:
    """Returns how many of the waiting connections to migrate now so that the last is migrated in time."""
    spread_s = max(MIGRATION_INTERVAL_S, remaining_s - LAST_LINE_DELAY_S)
    return math.ceil(waiting_count * MIGRATION_INTERVAL_S / spread_s)


class BulkMigration:
    """Migrates every established connection once, including those established while it runs."""

    def __init__(self, scheduler: Scheduler, gateway: Gateway) -> None:
        """Creates a migration of the gateway's connections that ``migrate_all`` runs."""
        self._scheduler = scheduler
        self._gateway = gateway
        self._migrated: set[str] = set()

    def migrate_all(self, deadline: float) -> None:
        """Migrates until the deadline on the monotonic clock, or until no request is left. Parks.

        Connections whose packets would reach other proxies are migrated too, as they end with the process.
        """
        while (remaining_s := deadline - time.monotonic()) > 0.0 and self._gateway.request_count():
            unmigrated = [
                request for request in self._gateway.established() if request.id not in self._migrated
            ]
            for request in unmigrated[: batch_size(len(unmigrated), remaining_s)]:
                self._migrated.add(request.id)
                request.handler.migrate()
            self._scheduler.sleep(MIGRATION_INTERVAL_S)

    def close_remaining(self, timeout_s: float) -> None:
        """Migrates what is established; closes it after ``timeout_s`` seconds if its line has not ended."""
        for request in self._gateway.established():
            request.handler.migrate(timeout_s)
