"""Migration of established connections off overloaded servers."""

from __future__ import annotations

from ironmill.balancing.interface import ConnectionSample, Migrate, SampleKind
from ironmill.balancing.load_shedding import LoadShedder
from ironmill.balancing.overload import OVERLOAD_LATENCY_FRACTION, OverloadTracker
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.state import BalancerState
from ironmill.balancing.tracked_request import TrackedRequest

# A sample that takes this fraction of its latency objective migrates its connection with this probability.
MIGRATION_LATENCY_FRACTION = 0.7
MIGRATION_PROBABILITY = 0.35
# A load report migrates one connection, and this fraction of those above the target load.
MIGRATION_FRACTION = 0.5
MIGRATION_TARGET_LOAD = 0.8


class MigrationPolicy:
    """Sends clients away from overloaded servers while other servers can take them.

    If most servers are overloaded and no requests are shed, migrated clients would only add to the load.
    """

    def __init__(self, state: BalancerState, shedder: LoadShedder, overload: OverloadTracker) -> None:
        """Takes the modules that a migration depends on."""
        self._state = state
        self._shedder = shedder
        self._overload = overload

    def sample_received(self, event: ConnectionSample) -> None:
        """Takes in the delay of a message, and may migrate its connection."""
        tracked = self._state.requests.get(event.request_id)
        if event.kind is not SampleKind.DELAY or tracked is None or not tracked.is_current(event.attempt):
            return
        server = self._state.servers[tracked.server_id]
        fraction = event.value / 1000.0 / tracked.request_class.message_latency_objective
        self._overload.record_latency(server, fraction)
        if fraction < OVERLOAD_LATENCY_FRACTION:
            self._overload.clear(server)
        if fraction < MIGRATION_LATENCY_FRACTION or not tracked.established or not self._may_help():
            return
        if self._state.rng.random() < MIGRATION_PROBABILITY / self._state.fleet_scale:
            self.migrate(tracked)

    def relieve(self, server: ServerState) -> None:
        """Migrates some connections off a server that reports overload, those of small groups first."""
        if not self._may_help():
            return
        present = [
            tracked
            for tracked in self._state.requests.values()
            if tracked.in_flight
            and tracked.established
            and not tracked.migrating
            and tracked.server_id == server.server_id
        ]
        group_sizes: dict[int | None, int] = {}
        for tracked in present:
            group_sizes[tracked.request.group] = group_sizes.get(tracked.request.group, 0) + 1
        present.sort(key=lambda tracked: (group_sizes[tracked.request.group], self._state.rng.random()))
        excess = max(0.0, 1.0 - MIGRATION_TARGET_LOAD / server.load)
        count = 1 + int(excess * len(present) * MIGRATION_FRACTION)
        for tracked in present[:count]:
            self.migrate(tracked)

    def migrate(self, tracked: TrackedRequest) -> None:
        """Sends the client of an established connection away, once."""
        if not tracked.migrating:
            tracked.migrating = True
            self._state.actions.append(Migrate(tracked.request.id))

    def _may_help(self) -> bool:
        return self._shedder.is_shedding or self._overload.is_local()
