"""The state of one client connection, and the operations that the gateway calls on it."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from ironmill.net.attempt import AttemptDriver
from ironmill.net.clients.attempts import ClientAttempt
from ironmill.net.clients.closing import DRAINING_RETRY_AFTER_S, NO_CAPACITY_RETRY_AFTER_S
from ironmill.net.sockets import Stream
from ironmill.protocol.client import ERROR_LINE, ClientProtocol, ClientState
from ironmill.protocol.lines import LINE_END
from ironmill.protocol.request import MalformedLineError, RequestLine, parse_request_line
from ironmill.requests.client_request import Attempt, ClientRequest
from ironmill.requests.connection_limiter import ConnectionSlot
from ironmill.requests.metrics import RequestCounter
from ironmill.runtime.scheduler import Task

if TYPE_CHECKING:
    from ironmill.identity.sessions import CallerSession
    from ironmill.net.clients.service import ClientService

log = logging.getLogger("ironmill.client")


class ClientConnection:
    """A client connection: owns the socket, the tasks and the attempt, and implements ``RequestHandler``."""

    __slots__ = (
        "attempt",
        "attempt_driver",
        "attempt_task",
        "caller",
        "client_half_closed",
        "counter",
        "is_writing",
        "migration_requested",
        "protocol",
        "reader_task",
        "request",
        "request_line",
        "request_line_deadline",
        "server_is_sending",
        "service",
        "slot",
        "stream",
    )

    def __init__(self, service: ClientService, stream: Stream) -> None:
        """Creates the state of an accepted connection; ``start`` begins to read from it."""
        callers = service.callers
        self.service = service
        self.stream = stream
        self.protocol = ClientProtocol(accepts_credential=callers is not None)
        # None if callers are not identified.
        self.caller: CallerSession | None = (
            None if callers is None else callers.new_session(self, stream.peer_address())
        )
        self.slot: ConnectionSlot | None = None
        self.request_line: RequestLine | None = None  # set until the connection is established
        self.request_line_deadline = 0.0
        self.counter: RequestCounter | None = None  # set once the request line has been read
        self.request: ClientRequest | None = None
        self.reader_task: Task | None = None
        self.attempt: Attempt | None = None  # the current attempt, as the gateway knows it
        self.attempt_task: Task | None = None
        self.attempt_driver: AttemptDriver | None = None
        self.is_writing = False  # True while server data is written to the client
        self.client_half_closed = False
        self.migration_requested = False
        self.server_is_sending = False  # set by data from the server; cleared and read after a half-close

    def start(self) -> None:
        """Starts to read from the client, or rejects it if no descriptor is available."""
        self.slot = self.service.connection_limiter.enter(self._evict)
        if self.slot is None:
            self._count_unread_request()
            self.service.closer.reject_immediately(self, NO_CAPACITY_RETRY_AFTER_S)
            return
        self.stream.on_close = self._on_stream_closed
        self.reader_task = self.service.scheduler.spawn(self.run_guarded, self.service.reader.read, self)

    def run_guarded(self, function: Callable[..., object], *args: object) -> None:
        """Runs a task of this connection; an exception is logged and closes this connection only."""
        try:
            function(*args)
        except Exception:
            log.exception("unexpected error on a client connection; closing it")
            self._close_after_exception()

    # Implementation of RequestHandler

    def start_attempt(self, attempt: Attempt) -> None:
        """Runs the attempt in a task of its own."""
        self.attempt = attempt
        self.attempt_task = self.service.scheduler.spawn(self.run_guarded, ClientAttempt(self, attempt).run)

    def cancel_attempt(self) -> bool:
        """Cancels the attempt while the client still waits; returns True if the server may have run it."""
        driver = self.attempt_driver
        task = self.attempt_task
        self.attempt_driver = None
        self.attempt_task = None
        self.attempt = None
        self.service.scheduler.kill(task)
        if driver is None:
            return False
        may_have_run = not driver.protocol.unwritten
        driver.close()
        return may_have_run

    def reject(self, retry_after_s: float) -> None:
        """Answers ``BUSY`` with the delay before a retry, and closes."""
        self.service.closer.finish_later(self, self.service.closer.busy(retry_after_s))

    def fail(self) -> None:
        """Answers ``ERR`` and closes."""
        if self.counter is not None:
            self.counter.failed()
        self.service.closer.finish_later(self, ERROR_LINE)

    def migrate(self, timeout_s: float | None = None) -> None:
        """Sends ``MOVE`` once no line to the client is incomplete, and closes; without it at the timeout."""
        self.service.migrator.request(self, timeout_s)

    # Closing

    def _evict(self, *, immediately: bool) -> bool:
        """Rejects a client that has sent no request; returns False if received bytes have not been read yet.

        The answer is ``BUSY``, because a request may be in transit and is safe to retry.
        """
        if self.stream.has_unread():
            return False
        self.protocol.close()
        self.service.scheduler.kill(self.reader_task)
        closer = self.service.closer
        if immediately:
            closer.reject_immediately(self, NO_CAPACITY_RETRY_AFTER_S)
        else:
            self.service.scheduler.spawn(
                self.run_guarded, closer.finish, self, closer.busy(DRAINING_RETRY_AFTER_S)
            )
        return True

    def _count_unread_request(self) -> None:
        """Counts a request line that has already arrived as rejected. A later one is not counted."""
        gateway = self.service.gateway
        line, end, _ = self.stream.receive_nowait().partition(LINE_END)
        with contextlib.suppress(MalformedLineError):
            class_name = parse_request_line(line).class_name if end else ""
            if gateway.has_class(class_name):
                gateway.metrics.start(class_name).rejected()

    def _close_after_exception(self) -> None:
        """Fails the request and releases all resources of the connection after an unexpected exception."""
        was_established = self.protocol.state is ClientState.ESTABLISHED
        self.protocol.close()
        if self.counter is not None:
            self.counter.failed()
        try:
            if self.request is not None:
                self.service.gateway.on_client_closed(self.request)
            self.service.closer.finish(self, b"" if was_established else ERROR_LINE)
        finally:  # a second exception must not leak the descriptor, the client id or the slot
            self.stream.abort()

    def _on_stream_closed(self) -> None:
        self.service.gateway.resuming.discard(self)
        if self.slot is not None:
            self.service.connection_limiter.leave(self.slot)
        if self.counter is not None:
            self.counter.closed()
        if self.caller is not None:
            self.caller.close()
