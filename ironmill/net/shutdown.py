"""Graceful shutdown, in which every pending request gets its final answer before the process exits."""

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

if TYPE_CHECKING:  # modules of disabled features are not imported
    from ironmill.net.admin_server import AdminServer

# ACCEPT_PERIOD_S and MIGRATION_DELAY_S are counted from the signal.
ACCEPT_PERIOD_S = 0.5  # new connections keep arriving for up to 0.4 s
# Proxies are restarted one after another. After this delay, the proxy that was restarted before this one
# serves again and can take the migrated clients.
MIGRATION_DELAY_S = 2.0
# SIGKILL follows no earlier than the longest request deadline, capped at MAX_DEADLINE_S, plus KILL_GRACE_S.
MAX_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7
EXIT_MARGIN_S = 0.25  # between the exit and the earliest SIGKILL
# Time before the exit to write final answers and for peers to close. The exit resets connections that have
# unread bytes.
FINAL_FLUSH_S = REJECTED_CLOSE_TIMEOUT_S + 0.05
EVICTION_INTERVAL_S = 0.01  # between rounds of evicting clients with an incomplete request line
MAX_ACCEPT_RETRY_S = 1.0  # for retries of failed accepts before the listener is closed
# Lower bounds for the case that all deadlines are short.
MIN_LAST_PLACEMENT_S = 0.05  # for the balancer to choose a server for the client accepted last
MIN_MIGRATION_S = 0.25  # for the migrations before the final answers

log = logging.getLogger("ironmill.shutdown")


class ShutdownSchedule(Struct, frozen=True):
    """Times of the phases of the shutdown, in seconds from the signal."""

    close_at: float  # when the listener is closed
    migrate_at: float  # when the migration of established connections begins
    end_at: float  # when the process exits

    @classmethod
    def for_deadline(cls, longest_deadline_s: float) -> ShutdownSchedule:
        """Returns the schedule for the longest request deadline that the settings allow."""
        end_at = min(MAX_DEADLINE_S, longest_deadline_s) + KILL_GRACE_S - EXIT_MARGIN_S
        flush_at = end_at - FINAL_FLUSH_S
        # With short deadlines the process exits before MIGRATION_DELAY_S, and half of the time until the exit
        # would be shorter than the period in which new connections still arrive.
        close_at = min(ACCEPT_PERIOD_S, flush_at - MIN_LAST_PLACEMENT_S)
        migrate_at = min(MIGRATION_DELAY_S, (close_at + end_at) / 2.0)
        latest_migrate_at = max((close_at + flush_at) / 2.0, flush_at - MIN_MIGRATION_S)
        return cls(close_at, min(migrate_at, latest_migrate_at), end_at)


class ConnectionAcceptor(Protocol):
    """Accepts new client connections."""

    def yield_to_successor(self) -> None:
        """Passes new connections to a successor process, if there is one."""

    def close(self, within: float) -> None:
        """Accepts the queued connections, with retries for ``within`` seconds, and stops accepting. Parks."""


class ShutdownContext(Struct, frozen=True):
    """The parts of a proxy that take part in its shutdown."""

    scheduler: Scheduler
    gateway: Gateway
    acceptor: ConnectionAcceptor
    config: Config
    connection_limiter: ConnectionLimiter
    admin_server: AdminServer | None = None


class Shutdown:
    """Shuts a proxy down gracefully and stops its scheduler; run by a signal handler."""

    def __init__(self, context: ShutdownContext) -> None:
        """Creates a shutdown of the parts in ``context``; ``run`` performs it."""
        self._scheduler = context.scheduler
        self._gateway = context.gateway
        self._acceptor = context.acceptor
        self._config = context.config
        self._connection_limiter = context.connection_limiter
        self._admin_server = context.admin_server
        self._bulk_migration = BulkMigration(context.scheduler, context.gateway)

    def run(self) -> None:
        """Shuts down and stops the scheduler. Does nothing if a shutdown is already running. Parks."""
        if self._gateway.lifecycle.state in TERMINAL_STATES:
            return
        self._gateway.lifecycle.handle(LifecycleEvent.SHUTDOWN_REQUESTED)
        pending, established = self._gateway.pending_count(), len(self._gateway.established())
        log.info("shutting down: %d pending, %d established", pending, established)
        longest_deadline_s = max(self._config.default_deadlines_s.values(), default=MAX_DEADLINE_S)
        self._close_and_migrate(ShutdownSchedule.for_deadline(longest_deadline_s))
        self._finalize()
        metrics, counts = self._gateway.metrics, self._gateway.counts
        log.info("shut down: %s, %d attempts, %s", metrics.by_outcome(), metrics.attempts, counts)
        self._scheduler.stop()

    def _close_and_migrate(self, schedule: ShutdownSchedule) -> None:
        """Stops accepting, serves the remaining requests and migrates established connections."""
        started_at = time.monotonic()
        flush_at = started_at + schedule.end_at - FINAL_FLUSH_S
        self._acceptor.yield_to_successor()
        self._scheduler.sleep(schedule.close_at)
        self._acceptor.yield_to_successor()  # again, as a successor may have begun to listen meanwhile
        self._acceptor.close(max(0.0, min(MAX_ACCEPT_RETRY_S, flush_at - time.monotonic())))
        self._scheduler.sleep(max(0.0, started_at + schedule.migrate_at - time.monotonic()))
        self._bulk_migration.migrate_all(flush_at)

    def _finalize(self) -> None:
        """Sends the remaining final answers and waits for clients to receive them. Starts no attempt."""
        finalized_at = time.monotonic()
        self._gateway.lifecycle.handle(LifecycleEvent.GRACE_PERIOD_ENDED)
        self._gateway.resolve_all()
        self._bulk_migration.close_remaining(FINAL_FLUSH_S / 2.0)
        self._scheduler.spawn(self._evict_silent, finalized_at + FINAL_FLUSH_S)
        if self._admin_server is not None:  # the exit would reset the connections of its pending requests
            self._admin_server.close(FINAL_FLUSH_S / 2.0)
        self._scheduler.sleep(max(0.0, finalized_at + FINAL_FLUSH_S - time.monotonic()))

    def _evict_silent(self, deadline: float) -> None:
        """Answers all clients whose request line is incomplete, in rounds until the deadline.

        A client with unread bytes is left to its reader, which answers a complete line. It is evicted in a
        later round if the line is still incomplete then.
        """
        while time.monotonic() < deadline:
            self._connection_limiter.evict_silent()
            self._scheduler.sleep(EVICTION_INTERVAL_S)
