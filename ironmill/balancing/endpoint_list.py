"""The endpoint list: which servers discovery lists as ready, draining or gone."""

from __future__ import annotations

import math

from ironmill.balancing.circuit_breaker import CircuitBreaker
from ironmill.balancing.draining import Draining
from ironmill.balancing.interface import EndpointEntry, Stage, WatchEvent, WatchEventKind
from ironmill.balancing.placement import Placement
from ironmill.balancing.server_counts import ServerCounts
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.state import BalancerState

MIN_WEIGHT = 1e-6


class EndpointList:
    """Applies watch events to the servers in the state."""

    def __init__(
        self,
        state: BalancerState,
        counts: ServerCounts,
        placement: Placement,
        draining: Draining,
    ) -> None:
        """Creates the logic that applies events; the given modules are updated when the list changes."""
        self._state = state
        self._counts = counts
        self._placement = placement
        self._draining = draining

    def apply(self, event: WatchEvent) -> None:
        """Applies a full list or a delta. Must not be called with a ``FAILED`` event."""
        if event.kind is WatchEventKind.FULL:
            listed = {entry.server_id for entry in event.entries}
            self._draining.remove_absent(listed)
            for server in list(self._state.servers.values()):
                if server.server_id not in listed:
                    self._retire(server)
        for entry in event.entries:
            self._apply_entry(entry)
        self._counts.weights_changed(listed=bool(event.entries))
        if self._state.settings.live_weights and event.entries:
            self._placement.adapt_to_list()

    def _apply_entry(self, entry: EndpointEntry) -> None:
        server = self._state.servers.get(entry.server_id)
        if entry.stage is not Stage.READY:
            if entry.stage is Stage.DRAINING:
                self._draining.started(server, entry.server_id)
            else:
                self._draining.removed(entry.server_id)
            if server is not None:
                self._retire(server)
            return
        self._draining.cancelled(entry.server_id)
        if server is None:
            server = ServerState(entry.server_id)
            self._state.servers[entry.server_id] = server
        server.zone = entry.zone
        server.cell = entry.cell
        server.weight = max(entry.weight, MIN_WEIGHT)
        if entry.started_at != server.started_at:
            self._restarted(server, entry.started_at)
        server.ready = True
        self._counts.update(server)

    def _restarted(self, server: ServerState, started_at: float) -> None:
        """Discards the faults and the load report of the server's previous process."""
        server.started_at = started_at
        server.penalty = 0.0
        server.load_reported_at = -math.inf
        CircuitBreaker.reset(server)

    def _retire(self, server: ServerState) -> None:
        """Stops sending new requests to a server. Its open connections may continue."""
        server.ready = False
        self._counts.update(server)
        if server.connections == 0:
            del self._state.servers[server.server_id]
