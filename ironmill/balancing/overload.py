"""Which servers are overloaded, by the latency of connections and by load reports."""

from __future__ import annotations

from ironmill.balancing.fault_penalty import LATENCY_PENALTY, current_penalty, set_latency_penalty
from ironmill.balancing.server_counts import ServerCounts
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.state import BalancerState

OVERLOAD_MEMORY_S = 2.5  # longer than the interval of samples
# Where a message takes half of its latency objective, many others miss it.
OVERLOAD_LATENCY_FRACTION = 0.5
MAX_LOCAL_OVERLOAD_FRACTION = 0.4  # of the servers in use


class OverloadTracker:
    """Remembers for a short time which servers were too slow."""

    def __init__(self, state: BalancerState, counts: ServerCounts) -> None:
        """Creates a tracker that knows of no overload."""
        self.server_ids: dict[int, None] = {}
        self._state = state
        self._counts = counts

    def record_latency(self, server: ServerState, fraction: float) -> None:
        """Takes in a delay, or a reported load, as a fraction of what is acceptable."""
        set_latency_penalty(server, fraction, self._state.now)
        self._counts.update(server)
        if fraction >= OVERLOAD_LATENCY_FRACTION:
            server.overloaded_at = self._state.now
            self.server_ids[server.server_id] = None

    def clear(self, server: ServerState) -> None:
        """Forgets the overload of a server."""
        self.server_ids.pop(server.server_id, None)

    def connections(self) -> int:
        """Returns the number of own connections on overloaded servers."""
        connections = 0
        for server_id in list(self.server_ids):
            server = self._state.servers.get(server_id)
            if server is None or self._state.now - server.overloaded_at > OVERLOAD_MEMORY_S:
                del self.server_ids[server_id]
            else:
                connections += server.connections
        return connections

    def is_local(self) -> bool:
        """Returns True if most servers in use can take connections from the slow ones."""
        used = 0
        slow = 0
        for server in self._state.servers.values():
            if server.connections > 0:
                used += 1
                slow += current_penalty(server, self._state.now) >= LATENCY_PENALTY / 2
        return slow <= 1 or slow <= MAX_LOCAL_OVERLOAD_FRACTION * used
