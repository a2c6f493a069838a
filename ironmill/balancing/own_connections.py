"""The connections and attempts of this proxy, counted by server, group and tenant."""

from __future__ import annotations

from ironmill.balancing.circuit_breaker import CircuitBreaker
from ironmill.balancing.connection_groups import GroupConnections
from ironmill.balancing.fault_penalty import OUTCOME_PENALTY, add_penalty
from ironmill.balancing.interface import Outcome
from ironmill.balancing.request_state import RequestState
from ironmill.balancing.server_counts import ServerCounts
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.slow_start import SlowStartBudget
from ironmill.balancing.state import BalancerState
from ironmill.balancing.tenant_quotas import TenantQuotas

# After these outcomes, the link to the server stays open for another connection.
LINK_REUSABLE_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.CANCELLED)


class OwnConnections:
    """Counts attempts and connections as they start and end, and attributes failures to servers."""

    def __init__(
        self,
        state: BalancerState,
        counts: ServerCounts,
        slow_start: SlowStartBudget,
        breaker: CircuitBreaker,
        quotas: TenantQuotas,
    ) -> None:
        """Creates the counters; the given modules are updated with each attempt and connection."""
        self.groups = GroupConnections()
        self._state = state
        self._counts = counts
        self._slow_start = slow_start
        self._breaker = breaker
        self._quotas = quotas

    def request_arrived(self) -> None:
        """Counts a new request for the ordinary arrival rate. Must not be called for returning clients."""
        self._slow_start.request_arrived(len(self._counts.table), self._state.now)

    def attempt_started(self, request_state: RequestState, server: ServerState) -> None:
        """Counts an attempt that starts now on the server."""
        now = self._state.now
        request_state.server_id = server.server_id
        request_state.attempt_started_at = now
        request_state.in_flight = True
        request_state.attempts += 1
        request_state.tried.append(server.server_id)
        server.connections += 1
        server.attempts_connecting += 1
        if self._state.settings.live_weights:
            server.unlisted_sends.append(now)
        self._quotas.change(request_state.request.tenant, 1)
        if server.idle_links_until:
            server.idle_links_until.pop()
        if self._slow_start.is_warming_up(server, now):
            server.slow_start_tokens -= 1
        self._counts.update(server)

    def resumed(self, request_state: RequestState, server_id: int) -> None:
        """Counts a connection that was open before the proxy started."""
        request_state.attempts = 1
        request_state.in_flight = True
        request_state.answered = True
        request_state.server_id = server_id
        self._opened(request_state)
        server = self._state.servers.get(server_id)
        if server is None:
            server = ServerState(server_id)
            self._state.servers[server_id] = server
        server.connections += 1
        self._quotas.change(request_state.request.tenant, 1)
        self._counts.update(server)

    def established(self, request_state: RequestState) -> ServerState:
        """Counts the current attempt as established, and returns its server."""
        request_state.answered = True
        self._opened(request_state)
        server = self._state.servers[request_state.server_id]
        server.attempts_connecting -= 1
        self._breaker.reset(server)
        return server

    def ended(self, request_state: RequestState, outcome: Outcome) -> ServerState:
        """Counts the end of the current attempt or its connection, and returns its server."""
        now = self._state.now
        request_state.in_flight = False
        server = self._state.servers[request_state.server_id]
        server.connections -= 1
        if request_state.attempt_started_at in server.unlisted_sends:
            server.unlisted_sends.remove(request_state.attempt_started_at)
        self._quotas.change(request_state.request.tenant, -1)
        if outcome in LINK_REUSABLE_OUTCOMES:
            server.idle_links_until.append(now + self._state.settings.keepalive_timeout)
        penalty = OUTCOME_PENALTY.get(outcome, 0.0)
        add_penalty(server, penalty, now)
        if request_state.established:
            self._closed(request_state, outcome)
        else:
            server.attempts_connecting -= 1
            if penalty > 0.0:
                self._breaker.record_failure(server)
        self._counts.update(server)
        if not server.ready and server.connections == 0:
            del self._state.servers[server.server_id]
        return server

    def _opened(self, request_state: RequestState) -> None:
        request_state.established = True
        self._slow_start.connection_established(self._state.now)
        if request_state.request.group is not None:
            self.groups.change(request_state.request.group, request_state.server_id, 1)

    def _closed(self, request_state: RequestState, outcome: Outcome) -> None:
        self._slow_start.connection_closed(self._state.now, completed=outcome is Outcome.OK)
        if request_state.request.group is not None:
            self.groups.change(request_state.request.group, request_state.server_id, -1)
