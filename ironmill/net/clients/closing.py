"""Closing of client connections: the final answer, the close of the socket and the end of the attempt."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from ironmill.balancing.interface import Outcome
from ironmill.net.lingering_close import LINGER_IDLE_TIMEOUT_S, LingeringClose
from ironmill.net.sockets import TimedOutError
from ironmill.protocol.client import ERROR_LINE
from ironmill.protocol.request import busy_line
from ironmill.requests.connection_limiter import ConnectionLimiter
from ironmill.requests.gateway import Gateway
from ironmill.runtime.scheduler import Scheduler

if TYPE_CHECKING:
    from ironmill.net.clients.connection import ClientConnection

ANSWER_TIMEOUT_S = 1.0  # for a client to take its final answer
REJECTED_CLOSE_TIMEOUT_S = 0.2  # for a rejected client to close its side
NO_CAPACITY_RETRY_AFTER_S = 0.5  # sent to a client for which no descriptor is left
# Sent while the proxy drains. After this time the front-end load balancer routes the client to another proxy.
DRAINING_RETRY_AFTER_S = 0.2


class ConnectionCloser:
    """Sends final answers and closes client connections."""

    __slots__ = ("_connection_limiter", "_gateway", "_scheduler", "_sends_retry_after")

    def __init__(
        self,
        scheduler: Scheduler,
        gateway: Gateway,
        connection_limiter: ConnectionLimiter,
        *,
        sends_retry_after: bool,
    ) -> None:
        """Creates a closer; ``sends_retry_after`` is True if the settings allow a delay in ``BUSY`` lines."""
        self._scheduler = scheduler
        self._gateway = gateway
        self._connection_limiter = connection_limiter
        self._sends_retry_after = sends_retry_after

    def busy(self, retry_after_s: float) -> bytes:
        """Returns a ``BUSY`` line, with the delay before a retry if the settings allow it in the line."""
        return busy_line(retry_after_s if self._sends_retry_after else 0.0)

    def finish(self, connection: ClientConnection, line: bytes) -> None:
        """Ends the attempt, writes the final answer and closes; waits a moment for the client to close."""
        connection.protocol.close()
        self.end_attempt(connection, Outcome.CANCELLED)
        stream = connection.stream
        if stream.closed:
            return
        may_linger = connection.slot is None or self._connection_limiter.start_leaving(connection.slot)
        try:
            stream.send(line, ANSWER_TIMEOUT_S)
        except (OSError, TimedOutError):
            stream.abort()
            return
        if may_linger:
            stream.close_gracefully(REJECTED_CLOSE_TIMEOUT_S)
        else:
            stream.close_immediately()

    def finish_established(self, connection: ClientConnection, last_lines: bytes) -> None:
        """Ends the attempt, writes the last lines and closes once the client has received them. Parks."""
        connection.protocol.close()
        self.end_attempt(connection, Outcome.CANCELLED)
        stream = connection.stream
        if stream.closed:
            return
        try:
            stream.send(last_lines, LINGER_IDLE_TIMEOUT_S)
        except (OSError, TimedOutError):
            stream.abort()
            return
        self.linger(connection)

    def linger(self, connection: ClientConnection) -> None:
        """Closes a client's connection once the client has received everything written to it. Parks.

        Until then the connection counts for as many descriptors as before.
        """
        LingeringClose(self._scheduler, connection.stream).run()

    def finish_later(self, connection: ClientConnection, line: bytes) -> None:
        """Calls ``finish`` in a task of its own; later events of the client are ignored."""
        connection.protocol.close()
        self._scheduler.spawn(connection.run_guarded, self.finish, connection, line)

    def reject(self, connection: ClientConnection, retry_after_s: float) -> None:
        """Answers ``BUSY`` to a request that has not been passed to the balancer, and closes."""
        if connection.counter is not None:
            connection.counter.rejected()
        self.finish(connection, self.busy(retry_after_s))

    def reject_immediately(self, connection: ClientConnection, retry_after_s: float) -> None:
        """Answers ``BUSY`` and closes without parking, because the descriptor is needed at once."""
        with contextlib.suppress(OSError):
            connection.stream.send_nowait(self.busy(retry_after_s))
        connection.stream.close_immediately()

    def reject_violation(self, connection: ClientConnection, reason: str | None) -> None:
        """Answers ``ERR`` to a client that violated the protocol, and closes; logs the reason unless None."""
        if reason is not None:
            self._connection_limiter.log_violation(reason)
        connection.protocol.close()
        if connection.counter is not None:
            connection.counter.failed()
        if connection.request is not None:
            self._gateway.on_client_closed(connection.request)
        self.finish(connection, ERROR_LINE)

    def client_closed(self, connection: ClientConnection, *, reset: bool) -> None:
        """Closes the server's connection in the way the client closed its own; may be called in any task."""
        connection.protocol.close()
        if connection.request is not None:
            self._gateway.on_client_closed(connection.request)
        self.end_attempt(connection, Outcome.CANCELLED, reset=reset)
        connection.stream.close()

    def end_attempt(self, connection: ClientConnection, outcome: Outcome, *, reset: bool = False) -> None:
        """Kills the other tasks of the connection, closes the server's connection and reports the outcome."""
        attempt = connection.attempt
        connection.attempt = None
        driver = connection.attempt_driver
        driver_task = None if driver is None else driver.task
        for task in (connection.reader_task, connection.attempt_task, driver_task):
            if task is not None and not task.is_current():
                self._scheduler.kill(task)
        if driver is not None:
            driver.close(reset=reset)
        if attempt is not None:
            self._gateway.on_attempt_ended(attempt, outcome)
