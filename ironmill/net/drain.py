"""Drain of a proxy at an operator's request: clients are migrated, and the process keeps running.

If packets pass through (``familyInfo.mode`` is ``pass``), established connections are not migrated: their
packets still arrive at this proxy, or at another one after this proxy has exited.
"""

from __future__ import annotations

import logging
import time

from ironmill.net.bulk_migration import BulkMigration
from ironmill.requests.gateway import Gateway
from ironmill.runtime.lifecycle import POLICIES, LifecycleEvent, ProcessState
from ironmill.runtime.scheduler import Scheduler, Task

# Delays from the drain request.
# The front-end load balancer polls every 0.1 s and may route clients here for another 0.2 s. Requests are
# admitted until this delay is over.
FRONT_UPDATE_DELAY_S = 0.5
# By this time the migration of every connection established so far has been requested.
MIGRATION_DEADLINE_S = 2.8
FINAL_ANSWER_DEADLINE_S = 3.0  # pending requests get their final answer at this time
LATE_MIGRATION_S = 0.7  # from the final answers, to migrate the connections established since
# Then, for the current lines of the last connections to end. No connection may be left after 4 s.
LAST_LINE_TIMEOUT_S = 0.1

log = logging.getLogger("ironmill.drain")


class Drain:
    """Runs a drain while the process is in a state that requires one."""

    def __init__(self, scheduler: Scheduler, gateway: Gateway, *, keeps_established: bool) -> None:
        """Creates a drain that starts with the state ``DRAINING``.

        If ``keeps_established`` is True, connections are not migrated, which saves their clients a reconnect.
        """
        self._scheduler = scheduler
        self._gateway = gateway
        self._keeps_established = keeps_established
        self._task: Task | None = None
        gateway.lifecycle.add_listener(self._on_state)

    def _on_state(self, state: ProcessState) -> None:
        if state is ProcessState.DRAINING:
            self._task = self._scheduler.spawn(self._run)
        elif self._task is not None and not POLICIES[state].migrates_clients:
            self._scheduler.kill(self._task)
            self._task = None
            log.info("drain ended: %s", state.value)

    def _run(self) -> None:
        started_at = time.monotonic()
        log.info("draining: %d pending, %d established", self._gateway.pending_count(), self._established())
        self._scheduler.sleep(FRONT_UPDATE_DELAY_S)
        self._gateway.lifecycle.handle(LifecycleEvent.DRAIN_PROPAGATED)
        bulk_migration = None if self._keeps_established else BulkMigration(self._scheduler, self._gateway)
        if bulk_migration is not None:
            bulk_migration.migrate_all(started_at + MIGRATION_DEADLINE_S)
        self._scheduler.sleep(max(0.0, started_at + FINAL_ANSWER_DEADLINE_S - time.monotonic()))
        self._gateway.resolve_all()
        if bulk_migration is not None:
            bulk_migration.migrate_all(time.monotonic() + LATE_MIGRATION_S)
            self._scheduler.sleep(
                max(0.0, started_at + FINAL_ANSWER_DEADLINE_S + LATE_MIGRATION_S - time.monotonic())
            )
            bulk_migration.close_remaining(LAST_LINE_TIMEOUT_S)
        log.info("drained: %d established", self._established())

    def _established(self) -> int:
        return len(self._gateway.established())
