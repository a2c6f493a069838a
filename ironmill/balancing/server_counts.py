"""The count of each ready server, which the threshold rule compares."""

from __future__ import annotations

from ironmill.balancing.circuit_breaker import EJECT_AFTER_FAILURES, CircuitBreaker
from ironmill.balancing.fault_penalty import current_penalty
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.slow_start import SlowStartBudget
from ironmill.balancing.state import BalancerState
from ironmill.balancing.token_table import TokenTable

LIST_DELAY_S = 1.2  # a listed live weight does not include own sends more recent than this
# Limits of the factor by which a load report corrects the listed connections of a server.
MIN_COST_RATIO = 0.7
MAX_COST_RATIO = 3.0
# A new connection to a server without an idle link costs a handshake. If the cost is at least
# MIN_HANDSHAKE_COST, the count of the server is higher by NEW_LINK_SURCHARGE, in connections.
MIN_HANDSHAKE_COST = 0.02
NEW_LINK_SURCHARGE = 2
ROUNDING_TOLERANCE = 1e-9
FULL_SERVER_QUANTILE = 0.9  # the fullest tenth of the servers may be overloaded


class ServerCounts:
    """Maintains the token table. No other class writes to it.

    A count is the number of connections on a server, plus its fault penalty, plus the cost of a new link. A
    server is in the table while it may get new connections.
    """

    def __init__(self, state: BalancerState, slow_start: SlowStartBudget, breaker: CircuitBreaker) -> None:
        """Creates an empty token table."""
        self.table = TokenTable()
        self.max_weight = 1.0  # of the ready servers
        self.time_dependent: dict[int, None] = {}  # servers whose count changes with time
        self._state = state
        self._slow_start = slow_start
        self._breaker = breaker
        self._live_weights = state.settings.live_weights
        self._new_link_surcharge = 0
        if state.settings.costs.handshake >= MIN_HANDSHAKE_COST:
            self._new_link_surcharge = NEW_LINK_SURCHARGE
        self._mean_weight = 1.0
        self._largest_weight = 0.0  # largest one ever listed; with live weights, the size of an empty server
        # Mean reported load per own connection, or per listed connection with live weights.
        self._connection_cost = 0.0

    def update(self, server: ServerState) -> None:
        """Recomputes the count of one server. Must be called after each change of its state."""
        now = self._state.now
        idle = server.idle_links_until
        while idle and idle[0] <= now:
            del idle[0]
        warming_up = self._slow_start.is_warming_up(server, now)
        penalty = current_penalty(server, now)
        if (
            server.ready
            and (server.failures == 0 or not self._breaker.is_ejected(server))
            # In slow start its count is the lowest, so it is in the table only while it has budget left.
            and (not warming_up or self._slow_start.allows(server, now))
        ):
            connections = int(self._connections_on(server) + ROUNDING_TOLERANCE)
            surcharge = 0 if idle else self._new_link_surcharge
            self.table.put(server.server_id, connections + int(penalty) + surcharge)
        elif server.server_id in self.table:
            self.table.remove(server.server_id)
        if server.ready and (
            warming_up
            or penalty > 0.0
            or idle
            or server.failures >= EJECT_AFTER_FAILURES
            or server.has_fresh_report(now)
        ):
            self.time_dependent[server.server_id] = None
        else:
            self.time_dependent.pop(server.server_id, None)

    def refresh(self) -> None:
        """Recomputes all counts that change with time."""
        servers = self._state.servers
        for server_id in list(self.time_dependent):
            self.update(servers[server_id])

    def weights_changed(self, *, listed: bool) -> None:
        """Recomputes what depends on all weights; ``listed`` is True if the event has entries."""
        weights = [server.weight for server in self._state.servers.values() if server.ready]
        self.max_weight = max(weights, default=1.0)
        self._mean_weight = sum(weights) / max(1, len(weights))
        previous_largest = self._largest_weight
        self._largest_weight = max(self._largest_weight, self.max_weight)
        if self._live_weights and listed:
            self._update_listed(every_server=self._largest_weight != previous_largest)
            self._update_slow_start()

    def report_received(self, server: ServerState) -> None:
        """Updates the cost of connections from a server's load report. The caller must update its count."""
        server.connection_cost = server.load * server.weight / self._largest_weight
        now = self._state.now
        reporting = [
            reporter
            for reporter in self._state.servers.values()
            if reporter.ready and reporter.has_fresh_report(now)
        ]
        if self._live_weights:
            total = sum(reporter.connection_cost for reporter in reporting)
            self._connection_cost = total / len(reporting) if reporting else 0.0
            return
        connections = sum(reporter.connections_at_report for reporter in reporting)
        total = sum(reporter.load for reporter in reporting)
        self._connection_cost = total / connections if connections > 0 else 0.0

    def _update_listed(self, *, every_server: bool) -> None:
        now = self._state.now
        for server in self._state.servers.values():
            if every_server or server.unlisted_sends or server.server_id in self.time_dependent:
                server.unlisted_sends = [
                    sent_at for sent_at in server.unlisted_sends if now - sent_at < LIST_DELAY_S
                ]
                self.update(server)

    def _update_slow_start(self) -> None:
        now, largest = self._state.now, self._largest_weight
        ordinary_weights = [
            server.weight
            for server in self._state.servers.values()
            if server.ready and not self._slow_start.is_warming_up(server, now)
        ]
        connections = sorted(largest * (largest / weight - 1.0) for weight in ordinary_weights)
        mean = sum(connections) / max(1, len(connections))
        full = connections[int(FULL_SERVER_QUANTILE * (len(connections) - 1))] if connections else 0.0
        self._slow_start.set_listed_connections(mean, full)

    def _connections_on(self, server: ServerState) -> float:
        """Returns the connections on a server, in the unit of the count.

        Live weights show the connections of all proxies per core, with a delay. An own send that is not yet
        listed also stands for sends of the other proxies, since they select servers by the same list. A fresh
        report corrects the number if a connection costs more or less than on other servers.

        Without live weights, own connections are counted. A fresh report replaces them, since it includes the
        other proxies and other load on the machine; changes of own connections since then are added to it.
        """
        fleet_scale = self._state.fleet_scale
        has_cost = self._connection_cost > 0.0 and server.has_fresh_report(self._state.now)
        if self._live_weights:
            listed = self._largest_weight / server.weight
            if has_cost:
                ratio = server.connection_cost / self._connection_cost
                listed *= min(MAX_COST_RATIO, max(MIN_COST_RATIO, ratio))
            return max(0.0, listed - 1.0) + fleet_scale * len(server.unlisted_sends)
        if has_cost:
            reported = server.load / self._connection_cost
            return max(0.0, reported + server.connections - server.connections_at_report) * fleet_scale
        return server.connections * fleet_scale * self._mean_weight / server.weight
