"""Graceful shutdown: every pending request gets its final answer before the process exits."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

from ironmill.configuration.proxy_config import Config
from ironmill.net.bulk_migration import BulkMigration
from ironmill.net.clients.closing import REJECTED_CLOSE_TIMEOUT_S
from ironmill.requests.connection_limiter import ConnectionLimiter
from ironmill.requests.gateway import Gateway
from ironmill.runtime.lifecycle import TERMINAL_STATES, LifecycleEvent
from ironmill.runtime.scheduler import Scheduler

if TYPE_CHECKING:  # what is off is not imported
    from ironmill.net.admin_server import AdminServer

# Spans from the signal.
ACCEPT_PERIOD_S = 0.5  # new connections go on coming for up to 0.4 s
# Proxies are restarted one after another: the one before this one is back by then and takes the clients.
MIGRATION_DELAY_S = 2.0
# SIGKILL comes no sooner than the longest deadline, counted as at most this, and the grace.
MAX_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7
EXIT_MARGIN_S = 0.25  # from the exit to the earliest SIGKILL
# Before the exit: final answers are written and peers close, since the exit resets what has unread bytes.
FINAL_FLUSH_S = REJECTED_CLOSE_TIMEOUT_S + 0.05
EVICTION_INTERVAL_S = 0.01  # between rounds of answers to clients whose request line is incomplete
MAX_ACCEPT_RETRY_S = 1.0  # for accepts that fail while the queue of the listener is emptied
# Minima where all deadlines are short:
MIN_LAST_PLACEMENT_S = 0.05  # for the client accepted last to be placed
MIN_MIGRATION_S = 0.25

log = logging.getLogger("ironmill.shutdown")


class ShutdownSchedule(Struct, frozen=True):
    """Moments of the shutdown, in seconds from the signal."""

    close_at: float  # the listener is closed
    migrate_at: float  # established connections are migrated from then on
    end_at: float  # the process exits

    @classmethod
    def for_deadline(cls, longest_deadline_s: float) -> ShutdownSchedule:
        """Returns the schedule for the longest deadline that the settings allow a client."""
        end_at = min(MAX_DEADLINE_S, longest_deadline_s) + KILL_GRACE_S - EXIT_MARGIN_S
        flush_at = end_at - FINAL_FLUSH_S
        # With short deadlines the end comes before MIGRATION_DELAY_S, and half of the time until then would
        # be less than new connections go on coming.
        close_at = min(ACCEPT_PERIOD_S, flush_at - MIN_LAST_PLACEMENT_S)
        migrate_at = min(MIGRATION_DELAY_S, (close_at + end_at) / 2.0)
        latest_migrate_at = max((close_at + flush_at) / 2.0, flush_at - MIN_MIGRATION_S)
        return cls(close_at, min(migrate_at, latest_migrate_at), end_at)


class ConnectionAcceptor(Protocol):
    """Accepts new connections of clients."""

    def yield_to_successor(self) -> None:
        """Leaves new connections to a successor, if there is one."""

    def close(self, within: float) -> None:
        """Stops accepting. Queued connections are accepted first, retried for ``within`` seconds. Parks."""


class ShutdownContext(Struct, frozen=True):
    """The parts of a proxy that take part in its shutdown."""

    scheduler: Scheduler
    gateway: Gateway
    acceptor: ConnectionAcceptor
    config: Config
    connection_limiter: ConnectionLimiter
    admin_server: AdminServer | None = None


class Shutdown:
    """Ends the run of the scheduler gracefully when a signal asks for it."""

    def __init__(self, context: ShutdownContext) -> None:
        """Does nothing until ``run``."""
        self._scheduler = context.scheduler
        self._gateway = context.gateway
        self._acceptor = context.acceptor
        self._config = context.config
        self._connection_limiter = context.connection_limiter
        self._admin_server = context.admin_server

    def run(self) -> None:
        """Shuts down and stops the scheduler. A second signal changes nothing. Parks."""
        if self._gateway.lifecycle.state in TERMINAL_STATES:
            return
        self._gateway.lifecycle.handle(LifecycleEvent.SHUTDOWN_REQUESTED)
        pending, established = self._gateway.pending_count(), len(self._gateway.established())
        log.info("shutting down: %d pending, %d established", pending, established)
        longest_deadline_s = max(self._config.default_deadlines_s.values(), default=MAX_DEADLINE_S)
        self._empty_gracefully(ShutdownSchedule.for_deadline(longest_deadline_s))
        self._finalize()
        metrics, counts = self._gateway.metrics, self._gateway.counts
        log.info("shut down: %s, %d attempts, %s", metrics.by_outcome(), metrics.attempts, counts)
        self._scheduler.stop()

    def _empty_gracefully(self, schedule: ShutdownSchedule) -> None:
        """Stops accepting, serves what is left, and migrates established connections."""
        started_at = time.monotonic()
        flush_at = started_at + schedule.end_at - FINAL_FLUSH_S
        self._acceptor.yield_to_successor()
        self._scheduler.sleep(schedule.close_at)
        self._acceptor.yield_to_successor()  # again: a successor may have begun to listen only now
        self._acceptor.close(max(0.0, min(MAX_ACCEPT_RETRY_S, flush_at - time.monotonic())))
        self._scheduler.sleep(max(0.0, started_at + schedule.migrate_at - time.monotonic()))
        BulkMigration(self._scheduler, self._gateway).migrate_all(flush_at)

    def _finalize(self) -> None:
        """Answers everything that is still open, and lets the answers leave. Nothing begins any more."""
        finalized_at = time.monotonic()
        self._gateway.lifecycle.handle(LifecycleEvent.GRACE_PERIOD_ENDED)
        self._gateway.resolve_all()
        for request in self._gateway.established():
            request.handler.migrate()  # also those established since the migration
        self._scheduler.spawn(self._evict_silent, finalized_at + FINAL_FLUSH_S)
        if self._admin_server is not None:  # the exit would reset the calls in its queue
            self._admin_server.close(FINAL_FLUSH_S / 2.0)
        self._scheduler.sleep(max(0.0, finalized_at + FINAL_FLUSH_S - time.monotonic()))

    def _evict_silent(self, until: float) -> None:
        """Answers all clients without a complete request line.

        One that has unread bytes is left to its reader, which answers a complete line. It is evicted in a
        later round if the line is still incomplete then.
        """
        while time.monotonic() < until:
            self._connection_limiter.evict_silent()
            self._scheduler.sleep(EVICTION_INTERVAL_S)
