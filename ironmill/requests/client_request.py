"""Client requests, their attempts, and the interfaces of the drivers that perform I/O for them."""

from __future__ import annotations

import math
from typing import Protocol

from msgspec import Struct

from ironmill.protocol.request import RequestAttributes
from ironmill.requests.metrics import RequestCounter
from ironmill.requests.routing_table import Server
from ironmill.runtime.timers import Timer


class RequestHandler(Protocol):
    """The gateway's interface to the driver of a client connection. No method may park."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Starts connecting to the attempt's server in order to send the request to it."""

    def cancel_attempt(self) -> bool:
        """Ends the current attempt. Returns True if its request line was written, so that it may have run."""

    def reject(self, retry_after_s: float) -> None:
        """Sends BUSY as the final answer: the client may safely retry after ``retry_after_s``."""

    def fail(self) -> None:
        """Sends ERR as the final answer."""

    def migrate(self, timeout_s: float | None = None) -> None:
        """Asks the client of an established connection to reconnect, between two lines of its server.

        Waits for the current line as long as it takes, because a connection may not be cut off while its
        server answers. With a timeout, in seconds, the connection is then closed in any case.
        """


class NullRequestHandler:
    """Replaces the handler of a finished request, so that the request holds no reference to its driver."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Does nothing."""

    def cancel_attempt(self) -> bool:
        """Returns False, as there is no attempt."""
        return False

    def reject(self, retry_after_s: float) -> None:
        """Does nothing."""

    def fail(self) -> None:
        """Does nothing."""

    def migrate(self, timeout_s: float | None = None) -> None:
        """Does nothing."""


NULL_HANDLER = NullRequestHandler()


class HealthChecker(Protocol):
    """The interface of the driver of health checks."""

    def check(self, server: Server) -> None:
        """Requests the server's load report and passes it to ``Gateway.on_health_check``. Must not park."""


class IncomingRequest(Struct, frozen=True):
    """A request as received by its driver."""

    class_name: str
    received_at: float = 0.0  # on the gateway's clock
    deadline_s: float | None = None  # from ``received_at``; None for the maximum of the class
    attributes: RequestAttributes = RequestAttributes()
    counter: RequestCounter | None = None  # set if its driver has already counted it


class ClientRequest(Struct, eq=False):
    """A client's request, from its arrival until its connection is closed."""

    id: str
    give_up_at: float
    handler: RequestHandler
    counter: RequestCounter
    attempt_count: int = 0
    attempt: Attempt | None = None  # the running attempt; attempts never overlap
    established: bool = False
    unresponsive: bool = False  # set if its server has become unresponsive
    resolved: bool = False  # set once it has its final answer or its client has closed
    deadline_timer: Timer | None = None


class Attempt(Struct, eq=False):
    """One attempt of a request at one server."""

    request: ClientRequest
    number: int
    server: Server
    started_at: float
    timeout_s: float
    start_by: float = math.inf  # on the gateway's clock; a later start could take effect a second time
    ended: bool = False
