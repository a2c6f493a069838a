"""Intake of requests: checks a client's credential and request line, and opens the request."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from msgspec import structs

from ironmill.net.clients.attempts import ResumedAttempt
from ironmill.net.clients.closing import DRAINING_RETRY_AFTER_S, NO_CAPACITY_RETRY_AFTER_S
from ironmill.protocol.client import ClientState
from ironmill.protocol.request import RequestLine, request_attributes
from ironmill.requests.client_request import IncomingRequest

if TYPE_CHECKING:
    from ironmill.net.clients.connection import ClientConnection
    from ironmill.net.clients.service import ClientService


class RequestIntake:
    """Checks credentials and requests, and passes admitted requests to the gateway."""

    __slots__ = ("_closer", "_connection_limiter", "_gateway", "_scheduler")

    def __init__(self, service: ClientService) -> None:
        """Creates the intake of a service whose ``closer`` must already be set."""
        self._connection_limiter = service.connection_limiter
        self._closer = service.closer
        self._gateway = service.gateway
        self._scheduler = service.scheduler

    def present_certificate(self, connection: ClientConnection) -> None:
        """Checks the client's TLS certificate, if callers are identified and the client presented one."""
        caller = connection.caller
        certificate = None if caller is None else connection.stream.peer_certificate()
        if caller is not None and certificate is not None:
            self._apply_verdict(connection, caller.present_certificate(certificate))

    def present_token(self, connection: ClientConnection, token: bytes) -> None:
        """Checks a token, unless the client has been rejected already."""
        if connection.caller is not None and connection.protocol.state is not ClientState.CLOSED:
            self._apply_verdict(connection, connection.caller.present_token(token))

    def open(self, connection: ClientConnection, line: RequestLine) -> None:
        """Opens the request, or sends the final answer if it is not admitted."""
        if connection.protocol.state is ClientState.CLOSED:
            return  # the client's credential was rejected, and the request line arrived in the same read
        received_at = self._gateway.now()
        queued_since = connection.stream.queued_since
        if queued_since is not None:  # the deadline counts from the time at which the client sent the line
            received_at -= time.monotonic() - queued_since
        if not self._gateway.has_class(line.class_name):
            self._closer.reject_violation(connection, "unknown request class")
            return
        connection.counter = self._gateway.metrics.start(line.class_name)
        if not self._admit(connection, line):
            return
        connection.request_line = line
        if line.resumes_at is not None:
            resumed = ResumedAttempt(connection, received_at)
            self._gateway.resuming.add(connection)  # before its task runs, which a shutdown may precede
            connection.attempt_task = self._scheduler.spawn(connection.run_guarded, resumed.resume)
            return
        incoming = self.incoming_request(connection, line, received_at)
        connection.request = self._gateway.open_request(connection, incoming)

    def incoming_request(
        self, connection: ClientConnection, line: RequestLine, received_at: float = 0.0
    ) -> IncomingRequest:
        """Returns the gateway's form of a request line; an identified caller determines the tenant."""
        attributes = request_attributes(line)
        if connection.caller is not None:
            attributes = structs.replace(attributes, tenant=connection.caller.tenant)
        return IncomingRequest(line.class_name, received_at, line.deadline_s, attributes, connection.counter)

    def _admit(self, connection: ClientConnection, line: RequestLine) -> bool:
        """Returns False if the request was answered: draining, not permitted, duplicate id or no capacity."""
        slot = connection.slot
        assert slot is not None
        if not self._gateway.lifecycle.policy.admits_requests:
            self._closer.reject(connection, DRAINING_RETRY_AFTER_S)
            return False
        caller = connection.caller
        if caller is not None and not self._apply_verdict(
            connection, caller.request_connection(line.class_name)
        ):
            return False
        if not self._connection_limiter.claim_id(slot, line.id):
            self._closer.reject_violation(connection, "the client id belongs to an open connection")
            return False
        if not self._connection_limiter.admit(slot):
            self._closer.reject(connection, NO_CAPACITY_RETRY_AFTER_S)
            return False
        return True

    def _apply_verdict(self, connection: ClientConnection, retry_after_s: float | None) -> bool:
        """Returns True for None; otherwise answers the client, with ``ERR`` if the time is infinite."""
        if retry_after_s is None:
            return True
        if math.isinf(retry_after_s):
            self._closer.reject_violation(connection, None)  # the session logged and counted it
        else:
            self._closer.reject(connection, retry_after_s)
        return False
