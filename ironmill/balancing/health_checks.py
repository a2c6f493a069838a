"""Health checks, which request load reports from servers."""

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

HEALTH_CHECK_INTERVAL_S = 0.25  # mean time between two checks by one proxy, which takes the servers in turn
HEALTH_CHECK_TIMER = "probe"  # timer names are part of the simulator's protocol
LOAD_KEY = "x0"  # key in a load report: the ratio of requested work to capacity
MAX_REPORTED_LOAD = 4.0
STALE_AFTER_IDENTICAL_REPORTS = 4  # reports are stale after this many repetitions, as they normally vary
FAILED_OUTCOMES = (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)


class HealthChecker:
    """Checks the ready servers in turn and processes their load reports."""

    def __init__(
        self,
        state: BalancerState,
        counts: ServerCounts,
        breaker: CircuitBreaker,
        overload: OverloadTracker,
        migration_policy: MigrationPolicy,
    ) -> None:
        """Creates a health checker; the given modules are updated with its results."""
        self._state = state
        self._counts = counts
        self._breaker = breaker
        self._overload = overload
        self._migration_policy = migration_policy

    def start(self) -> None:
        """Sets the timer for the first check if the settings allow health checks."""
        if self._state.settings.health_checks:
            self._set_timer(self._state.rng.random())

    def check_next(self) -> None:
        """Checks the ready server that was checked least recently, a random one in case of a tie."""
        rng = self._state.rng
        self._set_timer(0.75 + 0.5 * rng.random())
        ready = [server for server in self._state.servers.values() if server.ready]
        if ready:
            server = min(ready, key=lambda server: (server.health_checked_at, rng.random()))
            server.health_checked_at = self._state.now
            self._state.actions.append(CheckHealth(server.server_id))

    def result_received(self, event: HealthChecked) -> None:
        """Processes the result of a health check."""
        server = self._state.servers.get(event.server_id)
        if server is None:
            return
        if event.outcome in FAILED_OUTCOMES:
            # This is the only way to eject an unreachable server that gets no other traffic.
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
