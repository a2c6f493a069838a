"""Migration of established connections off draining servers, before these stop and drop them."""

from __future__ import annotations

import math

from ironmill.balancing.interface import SetTimer
from ironmill.balancing.migration_policy import MigrationPolicy
from ironmill.balancing.request_state import RequestState
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.state import BalancerState

SHORTEST_DRAIN_S = 2.0  # from the news of a drain to the end of its server, which is not announced
MIGRATION_MARGIN_S = 0.4  # for the current line to end, and for MOVE to reach the client
MIN_SPREAD_S = 0.2  # for the connections that are established later than that
CHECK_INTERVAL_S = 0.2  # mean time between two looks at a server whose connections are all being migrated
DRAIN_TIMER_PREFIX = "drain:"  # timer names are part of the simulator's protocol
TIMER_TOLERANCE_S = 0.001  # a timer may fire this much early, since clocks are rounded


class Draining:
    """Spreads the migrations off each draining server over the time in which it certainly still runs.

    A connection that is not migrated by then may be cut off, which costs more than any crowding elsewhere. So
    neither load shedding nor servers in slow start delay the migrations: new connections to those are limited
    by their own budgets. Each proxy spreads its own connections at random, so the fleet's are spread as well.
    """

    def __init__(self, state: BalancerState, migration_policy: MigrationPolicy) -> None:
        """Creates the drain logic, which migrates with ``migration_policy``."""
        self._state = state
        self._migration_policy = migration_policy
        self._migrated_by: dict[int, float] = {}  # the listed draining servers, by id
        self._next_at: dict[int, float] = {}  # when the current timer of a server is due

    def started(self, server: ServerState | None, server_id: int) -> None:
        """Starts to migrate connections off a server that discovery lists as draining.

        ``server`` is None if no connection to it is known. Does nothing if the drain has started before.
        """
        if server_id in self._migrated_by:
            return
        self._migrated_by[server_id] = self._state.now + SHORTEST_DRAIN_S - MIGRATION_MARGIN_S
        if server is not None and server.connections > 0:
            self._schedule(server_id)

    def cancelled(self, server_id: int) -> None:
        """Stops the migrations, because the server is ready again."""
        self._migrated_by.pop(server_id, None)
        self._next_at.pop(server_id, None)

    def removed(self, server_id: int) -> None:
        """Forgets a server that is not listed any more. Migrations that have started go on."""
        self._migrated_by.pop(server_id, None)

    def remove_absent(self, listed: set[int]) -> None:
        """Forgets all servers that are not listed any more."""
        for server_id in self._migrated_by.keys() - listed:
            self.removed(server_id)

    def connection_resumed(self, server_id: int) -> None:
        """Migrates a connection that was established again at a server that drains already."""
        if server_id in self._migrated_by and server_id not in self._next_at:
            self._schedule(server_id)

    def migrate_next(self, server_id: int) -> None:
        """Migrates the connection with the highest priority weight, and sets the timer for the next one.

        The timer is set while this proxy has a connection to the server or an attempt in flight there, since
        the attempt may become established.
        """
        if self._state.now < self._next_at.get(server_id, math.inf) - TIMER_TOLERANCE_S:
            return  # a timer of an earlier drain of this server
        del self._next_at[server_id]
        server = self._state.servers.get(server_id)
        if server is None or server.ready:
            return
        waiting = self._waiting(server_id)
        if waiting:
            self._migration_policy.migrate(
                max(waiting, key=lambda candidate: candidate.request_class.priority_weight)
            )
        if server.connections > 0:
            self._schedule(server_id)

    def _waiting(self, server_id: int) -> list[RequestState]:
        """Returns the established connections to a server whose migration has not started."""
        return [
            request_state
            for request_state in self._state.requests.values()
            if request_state.server_id == server_id
            and request_state.in_flight
            and request_state.established
            and not request_state.migrating
        ]

    def _schedule(self, server_id: int) -> None:
        """Sets the timer for the next migration off a server, or for a look at attempts in flight."""
        now = self._state.now
        count = len(self._waiting(server_id))
        if count:
            # The mean time to the first of ``count`` moments that are drawn evenly from the time left.
            time_left = max(MIN_SPREAD_S, self._migrated_by.get(server_id, now) - now)
            mean_delay = time_left / (count + 1)
        else:
            mean_delay = CHECK_INTERVAL_S
        delay = 2.0 * mean_delay * self._state.rng.random()
        self._next_at[server_id] = now + delay
        self._state.actions.append(SetTimer(delay, f"{DRAIN_TIMER_PREFIX}{server_id}"))
