"""Migration of established connections off draining servers."""

from __future__ import annotations

from ironmill.balancing.interface import SetTimer
from ironmill.balancing.load_shedding import LoadShedder
from ironmill.balancing.migration_policy import MigrationPolicy
from ironmill.balancing.slow_start import SlowStartBudget
from ironmill.balancing.state import BalancerState

DRAIN_INTERVAL_S = 0.2  # mean time between two migrations off one server
# Migrated clients reconnect at once. While a server is in slow start, it accepts few of them, so that nearly
# all go to the other servers. Migrations are therefore less frequent during that time.
DRAIN_INTERVAL_IN_SLOW_START_S = 1.0
DRAIN_TIMER_PREFIX = "drain:"  # timer names are part of the simulator's protocol


class Draining:
    """Migrates the connections of a draining server one at a time, before the server stops and drops them."""

    def __init__(
        self,
        state: BalancerState,
        slow_start: SlowStartBudget,
        shedder: LoadShedder,
        migration_policy: MigrationPolicy,
    ) -> None:
        """Creates the drain logic, which is paced by slow start and pauses during load shedding."""
        self._state = state
        self._slow_start = slow_start
        self._shedder = shedder
        self._migration_policy = migration_policy

    def schedule(self, server_id: int) -> None:
        """Sets the timer for the next migration off a server."""
        warming_up = any(
            server.ready and self._slow_start.is_warming_up(server, self._state.now)
            for server in self._state.servers.values()
        )
        interval = DRAIN_INTERVAL_IN_SLOW_START_S if warming_up else DRAIN_INTERVAL_S
        delay = interval * self._state.fleet_scale * (0.5 + self._state.rng.random())
        self._state.actions.append(SetTimer(delay, f"{DRAIN_TIMER_PREFIX}{server_id}"))

    def migrate_next(self, server_id: int) -> None:
        """Migrates the connection with the highest priority weight, unless new requests are being shed.

        Sets the timer again while this proxy has a connection to the server or an attempt in flight there,
        since the attempt may become established.
        """
        server = self._state.servers.get(server_id)
        if server is None or server.ready:
            return
        in_flight = [
            request_state
            for request_state in self._state.requests.values()
            if request_state.in_flight and request_state.server_id == server_id
        ]
        established = [
            request_state
            for request_state in in_flight
            if request_state.established and not request_state.migrating
        ]
        if established and not self._shedder.is_shedding:
            self._migration_policy.migrate(
                max(established, key=lambda candidate: candidate.request_class.priority_weight)
            )
        if in_flight:
            self.schedule(server_id)
