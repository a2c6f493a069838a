"""Executes the balancer's actions on requests and their handlers."""

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


class ExecutorDependencies(Struct, frozen=True, eq=False):
    """The dependencies of an ``ActionExecutor``."""

    requests: RequestRegistry
    servers: RoutingTable
    timers: Timers
    counts: EventCounts
    now: Callable[[], float]
    feed: Callable[[Event], None]
    max_attempts: int


class ActionExecutor:
    """Turns each action into a call of a request handler, a timer or a health check. Never parks."""

    def __init__(self, dependencies: ExecutorDependencies) -> None:
        """Creates an executor that skips health checks until ``health_checker`` is set."""
        self._requests = dependencies.requests
        self._servers = dependencies.servers
        self._timers = dependencies.timers
        self._counts = dependencies.counts
        self._now = dependencies.now
        self._feed = dependencies.feed
        self._max_attempts = dependencies.max_attempts
        self.health_checker: HealthChecker | None = None

    def execute(self, action: Action) -> None:
        """Executes one action."""
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
                pass  # no action is needed: the watch on discovery is always open

    def _send(self, send: Send) -> None:
        request = self._requests.by_id.get(send.request_id)
        server = self._servers.by_number(send.server_id)
        remaining_s = 0.0 if request is None else request.give_up_at - self._now()
        if request is None or server is None or remaining_s <= 0.0 or not self._may_attempt(request):
            attempt_number = 0 if request is None else request.attempt_count
            self._feed(
                Ended(send.request_id, attempt_number, send.server_id, Outcome.NOT_SENT, 0.0, request is None)
            )
            return
        timeout_s = min(remaining_s, send.timeout) if send.timeout > 0.0 else remaining_s
        attempt = Attempt(request, request.attempt_count, server, self._now(), timeout_s, send.start_by)
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
