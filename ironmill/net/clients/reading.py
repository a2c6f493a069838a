"""Reader of client connections: the request line, within its time limit, and then the data."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ironmill.net.clients.closing import ANSWER_TIMEOUT_S, NO_CAPACITY_RETRY_AFTER_S
from ironmill.net.sockets import TimedOutError
from ironmill.protocol.client import (
    DRAINING_LINE,
    PONG_LINE,
    ClientClosed,
    ClientEvent,
    ClientHalfClosed,
    ClientState,
    CredentialPresented,
    DataReceived,
    PingReceived,
    ProtocolViolated,
    RequestReceived,
)

if TYPE_CHECKING:
    from ironmill.net.clients.connection import ClientConnection
    from ironmill.net.clients.service import ClientService

# From the accept, or from the reply to a PING, to the end of the request line. Some clients take 2 s to write
# it, and a client that stops in the middle of it must get its answer within 3 s.
REQUEST_LINE_TIMEOUT_S = 2.5
# Without data from the server, after the client has half-closed its connection. A client that has closed both
# directions looks the same until data is sent to it.
HALF_CLOSED_TIMEOUT_S = 6.0


class ClientReader:
    """Reads from clients and dispatches the events of the client protocol."""

    __slots__ = ("_closer", "_connection_limiter", "_gateway", "_intake", "_relay", "_scheduler")

    def __init__(self, service: ClientService) -> None:
        """Creates the reader of a service whose closer, intake and relay must already be set."""
        self._connection_limiter = service.connection_limiter
        self._closer = service.closer
        self._gateway = service.gateway
        self._intake = service.intake
        self._relay = service.relay
        self._scheduler = service.scheduler

    def read(self, connection: ClientConnection) -> None:
        """Reads a new connection until it ends, or until it is established and has no data for now."""
        protocol = connection.protocol
        connection.request_line_deadline = time.monotonic() + REQUEST_LINE_TIMEOUT_S
        try:
            connection.stream.handshake(connection.request_line_deadline)
            self._intake.present_certificate(connection)
            self._read_request(connection)
        except TimedOutError:
            self._reject_late(connection)
        except OSError as error:
            is_before_request = protocol.state is ClientState.AWAITING_REQUEST
            if is_before_request and not isinstance(error, ConnectionResetError):
                self._connection_limiter.log_violation(str(error))
            self._closer.client_closed(connection, reset=True)
        else:
            has_request = connection.request is not None or connection.request_line is not None
            if protocol.state is ClientState.CLOSED and not has_request:
                self._closer.finish(connection, b"")  # the client closed without a request

    def read_established(self, connection: ClientConnection) -> None:
        """Forwards the client's data, then schedules a task that runs once more data arrives."""
        stream = connection.stream
        protocol = connection.protocol
        try:
            while protocol.state is not ClientState.CLOSED:
                if stream.recv_buffer_empty:
                    connection.reader_task = stream.spawn_when_readable(
                        connection.run_guarded, self.read_established, connection
                    )
                    return
                data = stream.receive()
                for event in protocol.receive(data) if data else protocol.end_of_stream():
                    self._handle(connection, event)
                stream.queued_since = None
                if not data:
                    return
        except OSError:
            self._closer.client_closed(connection, reset=True)

    def _read_request(self, connection: ClientConnection) -> None:
        """Reads until the connection is established or closed.

        Raises ``TimedOutError`` if the request line is not complete by its deadline.
        """
        stream = connection.stream
        protocol = connection.protocol
        while protocol.state in (ClientState.AWAITING_REQUEST, ClientState.AWAITING_ANSWER):
            timeout_s = None
            if protocol.state is ClientState.AWAITING_REQUEST:
                timeout_s = max(0.0, connection.request_line_deadline - time.monotonic())
            data = stream.receive(timeout_s)  # with a timeout of 0 too, bytes that have arrived are read
            for event in protocol.receive(data) if data else protocol.end_of_stream():
                self._handle(connection, event)
            stream.queued_since = None
            if not data:
                return
            is_late = time.monotonic() >= connection.request_line_deadline
            if protocol.state is ClientState.AWAITING_REQUEST and is_late:
                raise TimedOutError  # the timeout of a single read does not bound a slow line
        if protocol.state is ClientState.ESTABLISHED:
            self.read_established(connection)

    def _reject_late(self, connection: ClientConnection) -> None:
        """Answers a client whose request line was not complete in time.

        A client that has sent only a part of the line violated the protocol. One that has sent nothing may be
        about to send a request, which is safe to retry.
        """
        if connection.protocol.has_partial_line:
            self._closer.reject_violation(connection, "the request line was not complete by its deadline")
        else:
            self._connection_limiter.log_violation("no request line was received by its deadline")
            self._closer.finish(connection, self._closer.busy(NO_CAPACITY_RETRY_AFTER_S))

    def _handle(self, connection: ClientConnection, event: ClientEvent) -> None:
        match event:
            case DataReceived():
                self._relay.forward(connection, event)
            case PingReceived():
                self._reply_to_ping(connection)
            case CredentialPresented():
                self._intake.present_token(connection, event.token)
            case RequestReceived():
                self._intake.open(connection, event.line)
            case ProtocolViolated():
                self._closer.reject_violation(connection, event.reason)
            case ClientHalfClosed():
                self._half_close(connection)
            case ClientClosed():
                self._closer.client_closed(connection, reset=False)

    def _reply_to_ping(self, connection: ClientConnection) -> None:
        connection.request_line_deadline = time.monotonic() + REQUEST_LINE_TIMEOUT_S
        line = PONG_LINE if self._gateway.lifecycle.policy.answers_pong else DRAINING_LINE
        connection.stream.send(line, ANSWER_TIMEOUT_S)

    def _half_close(self, connection: ClientConnection) -> None:
        """Half-closes the server's connection and waits for the server, whose close kills this task.

        Closes both sides once the server has sent nothing for ``HALF_CLOSED_TIMEOUT_S``.
        """
        connection.client_half_closed = True
        driver = connection.attempt_driver
        if driver is not None and driver.stream is not None:
            driver.stream.shutdown_write()
        connection.server_is_sending = True
        while connection.server_is_sending:
            connection.server_is_sending = False
            self._scheduler.sleep(HALF_CLOSED_TIMEOUT_S)
        self._closer.client_closed(connection, reset=False)
