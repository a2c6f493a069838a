"""Migration of one established connection: the client is told between two lines to reconnect."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ironmill.net.clients.closing import ConnectionCloser
from ironmill.protocol.client import MIGRATE_LINE, ClientState
from ironmill.requests.metrics import EventCounts
from ironmill.runtime.rate_limited_log import LogRateLimiter
from ironmill.runtime.scheduler import Scheduler

if TYPE_CHECKING:
    from ironmill.net.clients.connection import ClientConnection

log = logging.getLogger("ironmill.client")


class ConnectionMigrator:
    """Sends ``MOVE`` behind a complete line and closes; waits for the end of the line if it is incomplete.

    The reads of a server that streams seldom end with a complete line. While a migration is requested, such a
    read is therefore written up to its last complete line only, and ``MOVE`` takes the place of the rest.
    """

    __slots__ = ("_closer", "_counts", "_log_throttle", "_scheduler")

    def __init__(self, scheduler: Scheduler, closer: ConnectionCloser, counts: EventCounts) -> None:
        """Creates a migrator that runs its migrations in tasks of the scheduler and counts their ends."""
        self._scheduler = scheduler
        self._closer = closer
        self._counts = counts
        self._log_throttle = LogRateLimiter()

    def request(self, connection: ClientConnection, timeout_s: float | None) -> None:
        """Starts the migration, or retries it. Does not park.

        If the migration has not been possible after ``timeout_s`` seconds, the connection is closed without
        ``MOVE``. With None there is no such limit, and the limits of other calls stay.
        """
        connection.migration_requested = True
        self._scheduler.spawn(connection.run_guarded, self.migrate_at_boundary, connection)
        if timeout_s is not None:
            self._scheduler.call_later(
                timeout_s,
                self._scheduler.spawn,
                connection.run_guarded,
                self._force_close,
                connection,
            )

    def migrate_at_boundary(self, connection: ClientConnection) -> bool:
        """Migrates if all data written to the client is complete lines; returns False if not. Parks."""
        if not (_needs_move(connection) and _is_at_line_boundary(connection)):
            return False
        self._finish(connection, MIGRATE_LINE)
        return True

    def migrate_after_lines(self, connection: ClientConnection, data: bytes) -> bool:
        """Writes the complete lines of ``data`` and ``MOVE``, and closes; the rest of ``data`` is dropped.

        ``data`` is what the server sent last, of which nothing has been written. Returns False, and writes
        nothing, if it completes no line. Parks.
        """
        driver = connection.attempt_driver
        if driver is None or not _needs_move(connection):
            return False
        lines = driver.protocol.complete_lines(data)
        if not lines:
            return False
        self._finish(connection, lines + MIGRATE_LINE)
        return True

    def _force_close(self, connection: ClientConnection) -> None:
        """Closes the connection; omits ``MOVE`` after an incomplete line, with which it would merge."""
        if not _can_migrate(connection):
            return
        if not _is_at_line_boundary(connection):
            self._report_close_without_move(connection)
            self._finish(connection, b"")
        else:
            self._finish(connection, MIGRATE_LINE if _needs_move(connection) else b"")

    def _finish(self, connection: ClientConnection, last_lines: bytes) -> None:
        if last_lines:
            self._counts.add("MOVE sent")
        self._closer.finish_established(connection, last_lines)

    def _report_close_without_move(self, connection: ClientConnection) -> None:
        """Counts and logs why the client is not told to reconnect; the log is limited in its rate."""
        is_client_slow = connection.is_writing
        reason = "the client reads too slowly" if is_client_slow else "the server has not ended its line"
        self._counts.add(f"closed without MOVE: {reason}")
        suppressed = self._log_throttle.allow()
        if suppressed is not None:
            log.info("client closed without MOVE: %s (%d similar messages suppressed)", reason, suppressed)


def _can_migrate(connection: ClientConnection) -> bool:
    return (
        connection.attempt_driver is not None
        and connection.attempt is not None
        and connection.protocol.state is ClientState.ESTABLISHED
    )


def _needs_move(connection: ClientConnection) -> bool:
    """Returns False if the server has told the client itself that the connection ends, or it has ended."""
    driver = connection.attempt_driver
    return _can_migrate(connection) and driver is not None and not driver.protocol.has_announced_end


def _is_at_line_boundary(connection: ClientConnection) -> bool:
    driver = connection.attempt_driver
    return not connection.is_writing and driver is not None and driver.protocol.at_line_boundary
