"""Migration of established connections off overloaded servers."""

from __future__ import annotations

from ironmill.balancing.interface import ConnectionSample, Migrate, SampleKind
from ironmill.balancing.load_shedding import LoadShedder
from ironmill.balancing.overload import OVERLOAD_LATENCY_FRACTION, OverloadTracker
from ironmill.balancing.request_state import RequestState
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.state import BalancerState

# A message delay of this fraction of its latency objective migrates the connection with this probability.
MIGRATION_LATENCY_FRACTION = 0.7
MIGRATION_PROBABILITY = 0.35
# A report of overload migrates one connection, plus this fraction of the connections above the target load.
MIGRATION_FRACTION = 0.5
MIGRATION_TARGET_LOAD = 0.8


class MigrationPolicy:
    """Migrates connections off overloaded servers while other servers can accept them.

    If most servers are overloaded and no requests are shed, reconnecting clients would only add to the load.
    """

    def __init__(self, state: BalancerState, shedder: LoadShedder, overload: OverloadTracker) -> None:
        """Creates a policy that depends on load shedding and on which servers are overloaded."""
        self._state = state
        self._shedder = shedder
        self._overload = overload

    def sample_received(self, event: ConnectionSample) -> None:
        """Processes the measured delay of a message, and may migrate its connection."""
        request_state = self._state.requests.get(event.request_id)
        if (
            event.kind is not SampleKind.DELAY
            or request_state is None
            or not request_state.is_current(event.attempt)
        ):
            return
        server = self._state.servers[request_state.server_id]
        latency_fraction = event.value / 1000.0 / request_state.request_class.message_latency_objective
        self._overload.record_latency(server, latency_fraction)
        if latency_fraction < OVERLOAD_LATENCY_FRACTION:
            self._overload.clear(server)
        if (
            latency_fraction < MIGRATION_LATENCY_FRACTION
            or not request_state.established
            or not self._migration_helps()
        ):
            return
        if self._state.rng.random() < MIGRATION_PROBABILITY / self._state.fleet_scale:
            self.migrate(request_state)

    def relieve(self, server: ServerState) -> None:
        """Migrates some connections off a server that reports overload, those of small groups first."""
        if not self._migration_helps():
            return
        migratable = [
            request_state
            for request_state in self._state.requests.values()
            if request_state.in_flight
            and request_state.established
            and not request_state.migrating
            and request_state.server_id == server.server_id
        ]
        group_sizes: dict[int | None, int] = {}
        for request_state in migratable:
            group_sizes[request_state.request.group] = group_sizes.get(request_state.request.group, 0) + 1
        migratable.sort(
            key=lambda request_state: (group_sizes[request_state.request.group], self._state.rng.random())
        )
        excess = max(0.0, 1.0 - MIGRATION_TARGET_LOAD / server.load)
        count = 1 + int(excess * len(migratable) * MIGRATION_FRACTION)
        for request_state in migratable[:count]:
            self.migrate(request_state)

    def migrate(self, request_state: RequestState) -> None:
        """Migrates an established connection, unless its migration has already started."""
        if not request_state.migrating:
            request_state.migrating = True
            self._state.actions.append(Migrate(request_state.request.id))

    def _migration_helps(self) -> bool:
        return self._shedder.is_shedding or self._overload.is_local()
