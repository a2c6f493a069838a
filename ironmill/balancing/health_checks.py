"""Health checks: requests for the load reports of servers."""

from __future__ import annotations

import math

from ironmill.balancing.circuit_breaker import CircuitBreaker
from ironmill.balancing.interface import CheckHealth, HealthChecked, Outcome, SetTimer
from ironmill.balancing.load_shedding import OVERLOADED_LOAD
from ironmill.balancing.migration_policy import MigrationPolicy
from ironmill.balancing.overload import OverloadTracker
from ironmill.balancing.server_counts import ServerCounts
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.state import BalancerState

HEALTH_CHECK_INTERVAL_S = 0.25  # between two checks of a proxy, each of another server
HEALTH_CHECK_TIMER = "probe"  # timer names are visible on the simulator's wire
LOAD_KEY = "x0"  # of a report: requested work over capacity
MAX_REPORTED_LOAD = 4.0
STALE_AFTER_IDENTICAL_REPORTS = 4  # true reports vary a little
FAILED_OUTCOMES = (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)


class HealthChecker:
    """Checks the ready servers in turn and takes in their load reports."""

    def __init__(
        self,
        state: BalancerState,
        counts: ServerCounts,
        breaker: CircuitBreaker,
        overload: OverloadTracker,
        migration_policy: MigrationPolicy,
    ) -> None:
        """Takes the modules that use a server's report."""
        self._state = state
        self._counts = counts
        self._breaker = breaker
        self._overload = overload
        self._migration_policy = migration_policy

    def start(self) -> None:
        """Sets the timer of the first check, where the settings allow health checks."""
        if self._state.settings.health_checks:
            self._set_timer(self._state.rng.random())

    def check_next(self) -> None:
        """Checks the server whose last check is the longest ago; by chance if several were never checked."""
        rng = self._state.rng
        self._set_timer(0.75 + 0.5 * rng.random())
        ready = [server for server in self._state.servers.values() if server.ready]
        if ready:
            server = min(ready, key=lambda server: (server.health_checked_at, rng.random()))
            server.health_checked_at = self._state.now
            self._state.actions.append(CheckHealth(server.server_id))

    def checked(self, event: HealthChecked) -> None:
        """Takes in the result of a health check."""
        server = self._state.servers.get(event.server_id)
        if server is None:
            return
        if event.outcome in FAILED_OUTCOMES:
            # Only this ejects a server whose machine is gone and which gets no other traffic.
            self._breaker.record_failure(server)
            server.load_reported_at = -math.inf
            self._counts.update(server)
            return
        load = dict(event.report).get(LOAD_KEY)
        if event.outcome is Outcome.OK and load is not None and math.isfinite(load) and load >= 0.0:
            self._load_reported(server, load, event.report)

    def _load_reported(self, server: ServerState, load: float, report: tuple[tuple[str, float], ...]) -> None:
        server.identical_reports = server.identical_reports + 1 if report == server.report else 0
        server.report = report
        stale = server.identical_reports >= STALE_AFTER_IDENTICAL_REPORTS and server.connections > 0
        server.load = min(load, MAX_REPORTED_LOAD)
        server.connections_at_report = server.connections
        server.load_reported_at = -math.inf if stale else self._state.now
        self._counts.report_received(server)
        if stale or load < OVERLOADED_LOAD:
            self._counts.update(server)
            return
        self._overload.record_latency(server, load)
        self._migration_policy.relieve(server)

    def _set_timer(self, intervals: float) -> None:
        delay = HEALTH_CHECK_INTERVAL_S * self._state.fleet_scale * intervals
        self._state.actions.append(SetTimer(delay, HEALTH_CHECK_TIMER))
