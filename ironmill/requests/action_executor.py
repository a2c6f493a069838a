"""Carries out the balancer's actions on requests and their handlers."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from ironmill.balancing.interface import (
    Action,
    CheckHealth,
    Ended,
    Event,
    Fail,
    Migrate,
    Outcome,
    Reject,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)
from ironmill.requests.client_request import Attempt, ClientRequest, HealthChecker
from ironmill.requests.metrics import EventCounts
from ironmill.requests.request_registry import RequestRegistry
from ironmill.requests.routing_table import RoutingTable
from ironmill.runtime.scheduler import Timers


class ExecutorParts(Struct, frozen=True, eq=False):
    """What an ``ActionExecutor`` works on."""

    requests: RequestRegistry
    servers: RoutingTable
    timers: Timers
    counts: EventCounts
    now: Callable[[], float]
    feed: Callable[[Event], None]
    max_attempts: int


class ActionExecutor:
    """Turns each action into an order to a handler, a timer or a health check. Never parks."""

    def __init__(self, parts: ExecutorParts) -> None:
        """Health checks are skipped until ``health_checker`` is set."""
        self._requests = parts.requests
        self._servers = parts.servers
        self._timers = parts.timers
        self._counts = parts.counts
        self._now = parts.now
        self._feed = parts.feed
        self._max_attempts = parts.max_attempts
        self.health_checker: HealthChecker | None = None

    def execute(self, action: Action) -> None:
        """Carries out one action."""
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                self._timers.call_later(action.delay, self._feed, TimerFired(action.name))
            case Reject():
                self._reject(action)
            case Fail():
                self._fail(action)
            case Migrate():
                self._migrate(action)
            case CheckHealth():
                self._check_health(action)
            case Subscribe():
                pass  # the watch on discovery is always open

    def _send(self, send: Send) -> None:
        request = self._requests.by_id.get(send.request_id)
        server = self._servers.by_number(send.server_id)
        left = 0.0 if request is None else request.give_up_at - self._now()
        if request is None or server is None or left <= 0.0 or not self._may_attempt(request):
            number = 0 if request is None else request.attempt_count
            self._feed(Ended(send.request_id, number, send.server_id, Outcome.NOT_SENT, 0.0, request is None))
            return
        timeout = min(left, send.timeout) if send.timeout > 0.0 else left
        attempt = Attempt(request, request.attempt_count, server, self._now(), timeout, send.start_by)
        request.attempt_count += 1
        request.attempt = attempt
        self._counts.add("attempts")
        request.handler.start_attempt(attempt)

    def _may_attempt(self, request: ClientRequest) -> bool:
        return (
            not request.resolved
            and request.attempt is None  # attempts never overlap
            and request.attempt_count < self._max_attempts
        )

    def _reject(self, reject: Reject) -> None:
        request = self._unresolved(reject.request_id)
        if request is not None:
            request.counter.rejected()
            self._requests.finish(request).reject(reject.retry_after)

    def _fail(self, fail: Fail) -> None:
        request = self._unresolved(fail.request_id)
        if request is not None:
            request.counter.failed()
            self._requests.finish(request).fail()

    def _unresolved(self, request_id: str) -> ClientRequest | None:
        request = self._requests.by_id.get(request_id)
        return None if request is None or request.resolved else request

    def _migrate(self, migrate: Migrate) -> None:
        request = self._requests.by_id.get(migrate.request_id)
        if request is not None and request.established:
            self._counts.add("migrated")
            request.handler.migrate()

    def _check_health(self, check: CheckHealth) -> None:
        server = self._servers.by_number(check.server_id)
        if server is not None and self.health_checker is not None:
            self.health_checker.check(server)
