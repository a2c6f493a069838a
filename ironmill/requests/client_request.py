"""A request, its attempts, and the interface of the drivers that serve them."""

from __future__ import annotations

import math
from typing import Protocol

from msgspec import Struct

from ironmill.protocol.request import RequestAttributes
from ironmill.requests.metrics import RequestCounter
from ironmill.requests.routing_table import Server
from ironmill.runtime.timers import Timer


class RequestHandler(Protocol):
    """The driver of a client's connection, as the gateway orders it. No method may park."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Connects to the attempt's server and sends the request there."""

    def cancel_attempt(self) -> bool:
        """Ends the current attempt. Returns True if its request line was written: it may have run."""

    def reject(self, retry_after_s: float) -> None:
        """Gives the final answer that a retry is harmless, after so many seconds."""

    def fail(self) -> None:
        """Gives the final answer that the request failed."""

    def migrate(self) -> None:
        """Notifies the client of an established connection that it is to reconnect."""


class NullRequestHandler:
    """Replaces the handler of a finished request, so that the request does not keep its driver alive."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Does nothing."""

    def cancel_attempt(self) -> bool:
        """Returns False: there is no attempt."""
        return False

    def reject(self, retry_after_s: float) -> None:
        """Does nothing."""

    def fail(self) -> None:
        """Does nothing."""

    def migrate(self) -> None:
        """Does nothing."""


NULL_HANDLER = NullRequestHandler()


class HealthChecker(Protocol):
    """The driver of health checks."""

    def check(self, server: Server) -> None:
        """Requests the server's load report and passes it to ``Gateway.on_health_check``. Must not park."""


class IncomingRequest(Struct, frozen=True):
    """A request as its driver received it."""

    class_name: str
    received_at: float = 0.0  # on the gateway's clock
    deadline_s: float | None = None  # from ``received_at``; None: the longest that the class allows
    attributes: RequestAttributes = RequestAttributes()
    counter: RequestCounter | None = None  # if its driver has counted it already


class ClientRequest(Struct, eq=False):
    """A client's request, from its arrival until its connection is closed."""

    id: str
    give_up_at: float
    handler: RequestHandler
    counter: RequestCounter
    attempt_count: int = 0
    attempt: Attempt | None = None  # the current one; attempts never overlap
    established: bool = False
    unresponsive: bool = False  # the server has not answered for long
    resolved: bool = False  # it has its final answer, or its client has closed
    deadline_timer: Timer | None = None


class Attempt(Struct, eq=False):
    """One attempt of a request at one server."""

    request: ClientRequest
    number: int
    server: Server
    started_at: float
    timeout_s: float
    start_by: float = math.inf  # on the gateway's clock; started later, it could take effect a second time
    ended: bool = False
