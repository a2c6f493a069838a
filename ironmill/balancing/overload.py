"""Detection of overloaded servers from the latency of connections and from load reports."""

from __future__ import annotations

from ironmill.balancing.fault_penalty import LATENCY_PENALTY, current_penalty, set_latency_penalty
from ironmill.balancing.server_counts import ServerCounts
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.state import BalancerState

OVERLOAD_MEMORY_S = 2.5  # longer than the interval between samples
# If one message takes half of its latency objective, many other messages miss theirs.
OVERLOAD_LATENCY_FRACTION = 0.5
MAX_LOCAL_OVERLOAD_FRACTION = 0.4  # of the servers in use


class OverloadTracker:
    """Tracks which servers were too slow within the last ``OVERLOAD_MEMORY_S``."""

    def __init__(self, state: BalancerState, counts: ServerCounts) -> None:
        """Creates a tracker without any overloaded server."""
        self.overloaded_server_ids: dict[int, None] = {}
        self._state = state
        self._counts = counts

    def record_latency(self, server: ServerState, fraction: float) -> None:
        """Records a delay or a reported load, as a fraction of the acceptable value."""
        set_latency_penalty(server, fraction, self._state.now)
        self._counts.update(server)
        if fraction >= OVERLOAD_LATENCY_FRACTION:
            server.overloaded_at = self._state.now
            self.overloaded_server_ids[server.server_id] = None

    def clear(self, server: ServerState) -> None:
        """Removes a server from the overloaded servers."""
        self.overloaded_server_ids.pop(server.server_id, None)

    def connections(self) -> int:
        """Returns the number of own connections on overloaded servers."""
        connections = 0
        for server_id in list(self.overloaded_server_ids):
            server = self._state.servers.get(server_id)
            if server is None or self._state.now - server.overloaded_at > OVERLOAD_MEMORY_S:
                del self.overloaded_server_ids[server_id]
            else:
                connections += server.connections
        return connections

    def is_local(self) -> bool:
        """Returns True if so few servers are slow that the others in use can take their connections."""
        used = 0
        slow = 0
        for server in self._state.servers.values():
            if server.connections > 0:
                used += 1
                slow += current_penalty(server, self._state.now) >= LATENCY_PENALTY / 2
        return slow <= 1 or slow <= MAX_LOCAL_OVERLOAD_FRACTION * used
