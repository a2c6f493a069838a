"""Migrates established connections: their clients are to reconnect, between two lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ironmill.net.clients.closing import GRACEFUL_CLOSE_TIMEOUT_S, ConnectionCloser
from ironmill.protocol.client import MIGRATE_LINE, ClientState
from ironmill.runtime.scheduler import Scheduler

if TYPE_CHECKING:
    from ironmill.net.clients.connection import ClientConnection

MIGRATION_TIMEOUT_S = 0.9  # for the current line to end; the client must not wait longer for its MOVE


class ConnectionMigrator:
    """Sends ``MOVE`` once no line is incomplete; closes after ``MIGRATION_TIMEOUT_S`` in any case."""

    __slots__ = ("_closer", "_scheduler")

    def __init__(self, scheduler: Scheduler, closer: ConnectionCloser) -> None:
        """Migrates in tasks of the scheduler."""
        self._scheduler = scheduler
        self._closer = closer

    def request(self, connection: ClientConnection) -> None:
        """Begins the migration; a second call only tries again at once. Does not park."""
        if not connection.migration_requested:
            connection.migration_requested = True
            self._scheduler.call_later(
                MIGRATION_TIMEOUT_S, self._scheduler.spawn, connection.run_guarded, self._force, connection
            )
        self.retry(connection)

    def retry(self, connection: ClientConnection) -> None:
        """Tries again in a task of its own, after data has been written to the client."""
        self._scheduler.spawn(connection.run_guarded, self._migrate_at_boundary, connection)

    def _migrate_at_boundary(self, connection: ClientConnection) -> None:
        if _can_migrate(connection) and _is_at_line_boundary(connection):
            self._finish(connection, MIGRATE_LINE)

    def _force(self, connection: ClientConnection) -> None:
        """Closes in any case; an incomplete line would merge with ``MOVE``, which is then left out."""
        if _can_migrate(connection):
            self._finish(connection, MIGRATE_LINE if _is_at_line_boundary(connection) else b"")

    def _finish(self, connection: ClientConnection, line: bytes) -> None:
        self._closer.finish(connection, line, GRACEFUL_CLOSE_TIMEOUT_S)


def _can_migrate(connection: ClientConnection) -> bool:
    return (
        connection.attempt_driver is not None
        and connection.attempt is not None
        and connection.protocol.state is ClientState.ESTABLISHED
    )


def _is_at_line_boundary(connection: ClientConnection) -> bool:
    driver = connection.attempt_driver
    return not connection.is_writing and driver is not None and driver.protocol.at_line_boundary
