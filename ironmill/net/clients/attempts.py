"""Attempts for client requests: new requests, and connections that were open before the proxy started."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ironmill.balancing.interface import Outcome
from ironmill.net.attempt import AttemptDriver, AttemptEnd, AttemptPlan
from ironmill.protocol.client import ClientState
from ironmill.protocol.server import ServerDataReceived
from ironmill.requests.client_request import Attempt
from ironmill.requests.routing_table import Server

if TYPE_CHECKING:
    from ironmill.net.clients.connection import ClientConnection

RESUME_TIMEOUT_S = 38.0  # to re-establish a connection that was open before the proxy started
RESUME_RETRY_INTERVAL_S = 0.25


class ClientAttempt:
    """One attempt to connect a client's request to a server; implements ``AttemptOwner`` for the driver."""

    __slots__ = ("_attempt", "_connection", "_service", "run_guarded")

    def __init__(self, connection: ClientConnection, attempt: Attempt | None) -> None:
        """Creates an attempt that ``run`` starts; ``attempt`` is None for a connection to be resumed."""
        self._connection = connection
        self._attempt = attempt
        self._service = connection.service
        # An attribute instead of a method that forwards the call, because it is called for every read.
        self.run_guarded = connection.run_guarded

    def run(self) -> None:
        """Runs the attempt; must be called in a task of its own."""
        connection = self._connection
        attempt = self._attempt
        request_line = connection.request_line
        assert request_line is not None
        assert attempt is not None
        if not self._check_client():
            return
        plan = AttemptPlan(
            request_line.with_deadline(max(1, int(attempt.timeout_s * 1000.0))),
            attempt.server.address,
            self._service.config.connect_timeout_s,
            attempt.timeout_s,
        )
        connection.attempt_driver = AttemptDriver(self._service.dial, plan)
        connection.attempt_driver.run(self)

    # Implementation of AttemptOwner

    def may_start(self) -> bool:
        """Returns False if the start time or the server's drain grace is over, or the client has closed."""
        attempt = self._attempt
        return attempt is not None and self._service.gateway.may_start(attempt) and self._check_client()

    def on_request_sent(self) -> None:
        """Counts the attempt in the metrics of the request's class."""
        if self._connection.counter is not None:
            self._connection.counter.attempt_sent()

    def on_established(self, driver: AttemptDriver, line: bytes) -> bool:
        """Writes the server's ``UP`` line to the client and starts to relay; returns False if that fails."""
        connection = self._connection
        if connection.protocol.state is not ClientState.AWAITING_ANSWER or connection.request_line is None:
            driver.close()
            return False
        if not self._report_established(connection):
            driver.close()
            return False
        connection.request_line = None
        if connection.caller is not None:
            connection.caller.connection_established()
        early_data = connection.protocol.establish()
        if not self._service.relay.write(connection, line):
            return False
        self._service.relay.forward(connection, early_data)
        return not connection.stream.closed

    def on_server_data(self, event: ServerDataReceived) -> bool:
        """Writes the server's bytes to the client; the server is not read until they are written."""
        connection = self._connection
        attempt = connection.attempt
        service = self._service
        if attempt is not None:
            service.gateway.on_lines_answered(attempt, event.answers)
            for load in event.loads:
                service.gateway.on_load(attempt, load)
        connection.server_is_sending = True
        if connection.migration_requested and service.migrator.migrate_after_lines(connection, event.data):
            return False
        if not service.relay.write(connection, event.data):
            return False
        # The migration may have been requested while the client was slow to read.
        return not (connection.migration_requested and service.migrator.migrate_at_boundary(connection))

    def on_ended(self, driver: AttemptDriver, end: AttemptEnd) -> None:
        """Closes the client the way the server closed, or reports the end so that a retry can follow."""
        if end.was_established:
            self._end_established(driver, end)
        else:
            self._end_unestablished(end)

    def _report_established(self, connection: ClientConnection) -> bool:
        """Tells the gateway that the server accepted; returns False if the client no longer waits for it."""
        attempt = connection.attempt
        return attempt is not None and self._service.gateway.on_established(attempt)

    def _end_unestablished(self, end: AttemptEnd) -> None:
        connection = self._connection
        attempt = connection.attempt
        if attempt is None:
            return
        connection.attempt_driver = None
        connection.attempt_task = None
        connection.attempt = None
        if end.outcome is Outcome.OK:
            self._service.closer.finish_later(connection, end.answer_line)
        self._service.gateway.on_attempt_ended(attempt, end.outcome, end.report)

    def _end_established(self, driver: AttemptDriver, end: AttemptEnd) -> None:
        connection = self._connection
        attempt = connection.attempt
        connection.protocol.close()
        self._service.scheduler.kill(connection.reader_task)
        driver.close()
        connection.attempt = None
        connection.attempt_task = None
        if attempt is not None:
            by_client = connection.client_half_closed and end.outcome is Outcome.RESET
            outcome = Outcome.CANCELLED if by_client else end.outcome
            self._service.gateway.on_attempt_ended(attempt, outcome, end.report)
        if end.was_reset:
            connection.stream.abort()
        else:
            self._service.closer.linger(connection)

    def _check_client(self) -> bool:
        """Returns False if the client has closed, and handles the close. Called just before an attempt sends.

        The FIN of a client that closed while its connection was in the accept queue follows the request line.
        Without this check the attempt would reach a server before the FIN is read.
        """
        if self._connection.stream.is_closed_by_peer():
            self._service.closer.client_closed(self._connection, reset=False)
            return False
        return True


class ResumedAttempt(ClientAttempt):
    """Attempts that reconnect a client to the server it was connected to before the proxy started."""

    __slots__ = ("_opened_at", "_schedule", "_server")

    def __init__(self, connection: ClientConnection, opened_at: float) -> None:
        """Creates the attempts of a request line that arrived at ``opened_at``, on the gateway's clock."""
        super().__init__(connection, None)
        self._opened_at = opened_at
        request_line = connection.request_line
        assert request_line is not None
        self._schedule = self._service.gateway.resume_schedule(
            request_line.class_name, time.monotonic() + RESUME_TIMEOUT_S, RESUME_RETRY_INTERVAL_S
        )
        self._server: Server | None = None  # of the current attempt

    def resume(self) -> None:
        """Retries until the connection is established, and fails it when its schedule ends. Parks."""
        connection = self._connection
        try:
            established = self._run_attempts(connection)
        finally:
            self._service.gateway.resuming.discard(connection)
        if not established and not connection.stream.closed:
            self._service.gateway.counts.add("resume given up")
            connection.fail()

    def may_start(self) -> bool:
        """Returns False if the client has its answer or has closed, or a repeat could take effect twice.

        The server may be draining, as it has this connection.
        """
        is_waiting = self._connection.protocol.state is ClientState.AWAITING_ANSWER
        return is_waiting and self._schedule.may_send(time.monotonic()) and self._check_client()

    def on_ended(self, driver: AttemptDriver, end: AttemptEnd) -> None:
        """Schedules the next attempt, or passes on the end of the established connection."""
        if end.was_established:
            super().on_ended(driver, end)
            return
        self._service.gateway.counts.add(f"resume attempt {end.outcome.name}")
        self._schedule.attempt_ended(end.outcome, time.monotonic(), sent=not driver.protocol.unwritten)

    def _run_attempts(self, connection: ClientConnection) -> bool:
        """Returns False if the connection is not established in time or its client has closed."""
        schedule = self._schedule
        while (start_at := schedule.next_start(time.monotonic())) is not None:
            self._service.scheduler.sleep(max(0.0, start_at - time.monotonic()))
            if not self._check_client():
                return False
            server = self._available_server(connection)
            if server is None:
                schedule.postpone(time.monotonic())
            elif self._run_attempt(connection, server):
                return True
        return False

    def _available_server(self, connection: ClientConnection) -> Server | None:
        """Returns the connection's server; None while it is not listed or may not get another connection."""
        request_line = connection.request_line
        assert request_line is not None
        gateway = self._service.gateway
        server = gateway.server(request_line.resumes_at or "")
        if server is None or not gateway.may_resume_at(server, self._opened_at):
            return None
        return server

    def _run_attempt(self, connection: ClientConnection, server: Server) -> bool:
        """Makes one attempt. Returns True if it is established; its connection is closed otherwise."""
        request_line = connection.request_line
        assert request_line is not None
        timeout_s = self._schedule.start(time.monotonic())
        deadline_s = timeout_s if request_line.deadline_s is None else min(timeout_s, request_line.deadline_s)
        plan = AttemptPlan(
            request_line.with_deadline(max(1, int(deadline_s * 1000.0))),
            server.address,
            self._service.config.connect_timeout_s,
            timeout_s,
        )
        self._server = server
        driver = AttemptDriver(self._service.dial, plan)
        connection.attempt_driver = driver
        driver.run(self)
        return driver.protocol.established

    def _report_established(self, connection: ClientConnection) -> bool:
        request_line = connection.request_line
        assert request_line is not None
        assert self._server is not None
        incoming = self._service.intake.incoming_request(connection, request_line)
        connection.attempt = self._service.gateway.resume(connection, self._server, incoming)
        connection.request = connection.attempt.request
        return True
