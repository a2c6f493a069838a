"""The decision engine of one proxy, which dispatches each event to the module responsible for it.

A proxy passes each event and its time to its ``Balancer`` and carries out the returned actions. Requests are
placed by the self-learning threshold rule (``placement``). The other modules determine the counts that the
rule compares, which servers are ready, and when a connection is placed or migrated; ``docs/design.md`` lists
them with their conditions.
"""

from __future__ import annotations

from ironmill.balancing.circuit_breaker import CircuitBreaker
from ironmill.balancing.draining import DRAIN_TIMER_PREFIX, Draining
from ironmill.balancing.endpoint_list import EndpointList
from ironmill.balancing.health_checks import HEALTH_CHECK_TIMER, HealthChecker
from ironmill.balancing.interface import (
    Abandoned,
    Action,
    AnswerDue,
    ConnectionSample,
    Ended,
    Established,
    Event,
    HandoverStarted,
    HealthChecked,
    Request,
    Resumed,
    Settings,
    TimerFired,
    WatchEvent,
    WatchEventKind,
)
from ironmill.balancing.load_shedding import AdmissionControl, LoadShedder
from ironmill.balancing.migration_policy import MigrationPolicy
from ironmill.balancing.overload import OverloadTracker
from ironmill.balancing.own_connections import OwnConnections
from ironmill.balancing.placement import Placement
from ironmill.balancing.request_lifetime import RequestLifetime
from ironmill.balancing.server_counts import ServerCounts
from ironmill.balancing.slow_start import SlowStartBudget
from ironmill.balancing.state import BalancerState
from ironmill.balancing.subscription import SUBSCRIBE_TIMER, Subscription
from ironmill.balancing.tenant_quotas import TenantQuotas


class Balancer:
    """The decision engine of one proxy. Equal settings, seeds and events produce equal actions."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        """Creates the engine of a proxy that starts at ``now``. Random decisions depend on ``seed``."""
        state = BalancerState(settings, seed, now)
        self._state = state
        self._slow_start = SlowStartBudget(settings, state.rng, now)
        self._breaker = CircuitBreaker(state)
        self._counts = ServerCounts(state, self._slow_start, self._breaker)
        quotas = TenantQuotas(settings)
        self._connections = OwnConnections(state, self._counts, self._slow_start, self._breaker, quotas)
        self._placement = Placement(state, self._counts, self._slow_start, self._connections.groups)
        self._overload = OverloadTracker(state, self._counts)
        shedder = LoadShedder(state.rng, now)
        admission = AdmissionControl(state, shedder, self._overload, quotas)
        self._requests = RequestLifetime(state, admission, self._placement, self._connections, self._overload)
        self._migration_policy = MigrationPolicy(state, shedder, self._overload)
        self._health_checks = HealthChecker(
            state, self._counts, self._breaker, self._overload, self._migration_policy
        )
        self._draining = Draining(state, self._migration_policy)
        self._endpoints = EndpointList(state, self._counts, self._placement, self._draining)
        self._subscription = Subscription(state)
        self._subscription.start()
        self._health_checks.start()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Processes one event and returns the actions to carry out, in order."""
        state = self._state
        state.now = now
        match event:
            case Request():
                self._requests.request_arrived(event)
            case Ended():
                self._requests.attempt_ended(event)
            case Established():
                self._requests.attempt_established(event)
            case ConnectionSample():
                self._migration_policy.sample_received(event)
            case TimerFired():
                self._timer_fired(event.name)
            case WatchEvent():
                self._endpoints_changed(event)
            case Resumed():
                self._requests.connection_resumed(event)
                self._draining.connection_resumed(event.server_id)
            case HealthChecked():
                self._health_checks.result_received(event)
            case Abandoned():
                self._requests.request_abandoned(event)
            case AnswerDue():
                self._requests.answer_due(event)
            case HandoverStarted():
                self._slow_start.withhold_until(event.until)
        actions = state.actions
        state.actions = []
        return actions

    @property
    def threshold(self) -> int:
        """The current threshold of the placement rule, or 0 before the first placement."""
        return self._placement.threshold or 0

    def connection_counts(self) -> dict[int, int]:
        """Returns the number of this proxy's connections and attempts in flight on each server."""
        return {server.server_id: server.connections for server in self._state.servers.values()}

    def token_counts(self) -> dict[int, int]:
        """Returns the count that the rule compares, for each server that may receive new connections."""
        table = self._counts.table
        return {server_id: table.count(server_id) for server_id in self._state.servers if server_id in table}

    def may_resume_at(self, server_id: int, opened_at: float, now: float) -> bool:
        """Takes a connection to a server that restarted after ``opened_at`` from its slow-start budget.

        Returns False if the budget is used up, and True for any other server.
        """
        server = self._state.servers.get(server_id)
        if server is None or server.started_at <= opened_at:
            return True
        return not self._slow_start.is_warming_up(server, now) or self._slow_start.take(server, now)

    def ejected(self) -> set[int]:
        """Returns the ready servers that receive no new requests because of consecutive failures."""
        return self._breaker.ejected()

    def _endpoints_changed(self, event: WatchEvent) -> None:
        if event.kind is WatchEventKind.FAILED:
            self._subscription.failed()
            return
        self._subscription.succeeded()
        self._endpoints.apply(event)

    def _timer_fired(self, name: str) -> None:
        if name == SUBSCRIBE_TIMER:
            self._subscription.subscribe()
        elif name == HEALTH_CHECK_TIMER:
            self._health_checks.check_next()
        elif name.startswith(DRAIN_TIMER_PREFIX):
            self._draining.migrate_next(int(name.removeprefix(DRAIN_TIMER_PREFIX)))
        else:
            self._requests.timer_fired(name)
