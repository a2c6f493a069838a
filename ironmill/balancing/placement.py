"""Placement by the self-learning threshold rule of Goldsztajn, Borst and van Leeuwaarden.

A server whose count is below the threshold has a green token, and one whose count equals it has a yellow
token. A request goes to a random server with a green token, else to one with a yellow token, else to any
ready server. After a placement, the threshold rises by one if at most one server had a token, and falls by
one if the fraction of servers with a green token was at least ``1 - ALPHA``.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from functools import partial

from ironmill.balancing.connection_groups import GroupConnections, preference
from ironmill.balancing.request_state import RequestState
from ironmill.balancing.server_counts import ServerCounts
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.slow_start import SlowStartBudget
from ironmill.balancing.state import BalancerState

# Parameter of the rule: the threshold falls if the fraction of green servers is at least 1 - ALPHA.
ALPHA = 0.9
# Some work is done once per group on each server that has connections of it. So when a further connection of
# the group is placed, the count of such a server is taken as lower by this many connections.
GROUP_DISCOUNT = 3
# With live weights, the discount also applies to this many servers that the group prefers, because other
# proxies probably have connections of the group there.
GROUP_PREFERRED_SERVERS = 3


class Placement:
    """Selects servers and adapts the threshold."""

    def __init__(
        self,
        state: BalancerState,
        counts: ServerCounts,
        slow_start: SlowStartBudget,
        groups: GroupConnections,
    ) -> None:
        """Creates a placement without a threshold, which the first request sets."""
        self.threshold: int | None = None  # set by the first placement
        self._state = state
        self._counts = counts
        self._slow_start = slow_start
        self._groups = groups

    def select(self, request_state: RequestState) -> ServerState | None:
        """Returns the server for the next attempt, or None if no server may get it now."""
        self._counts.refresh()
        table = self._counts.table
        if self.threshold is None:
            self.threshold = table.mean()  # the resumed connections determine this mean
        green = table.below(self.threshold)
        yellow = table.below(self.threshold + 1)
        ready = len(table)
        # For green, yellow and all servers: the end index in the table and the exclusive limit of the counts.
        token_ranges = ((green, self.threshold), (yellow, self.threshold + 1), (ready, math.inf))
        server_id = self._select_from(token_ranges, request_state)
        if server_id is None:
            return None
        if yellow <= 1:
            self.threshold += 1
        elif green >= (1.0 - ALPHA) * ready and self.threshold > 0:
            self.threshold -= 1
        return self._state.servers[server_id]

    def adapt_to_list(self) -> None:
        """Moves the threshold by at most one step towards the mean count, after a list of live weights.

        In a large fleet, each proxy places too few requests for its threshold to follow the load. So the
        probability of a step grows with the fleet.
        """
        probability = 1.0 - 1.0 / self._state.fleet_scale
        table = self._counts.table
        if self.threshold is None or not len(table) or not probability:
            return
        if self._state.rng.random() < probability:
            mean = table.mean()
            self.threshold += (mean > self.threshold) - (mean < self.threshold)

    def _select_from(
        self, token_ranges: tuple[tuple[int, float], ...], request_state: RequestState
    ) -> int | None:
        state, table = self._state, self._counts.table
        servers, random_number, now = state.servers, state.rng.random, state.now
        max_weight, by_weight = self._counts.max_weight, not state.settings.live_weights
        tried, may_retry_anywhere = request_state.tried, request_state.uncertain_attempt is None

        def accepts(server_id: int) -> bool:
            # A server with half of the largest weight is accepted in half of its draws.
            if by_weight and random_number() * max_weight > servers[server_id].weight:
                return False
            if server_id in tried:
                return False
            return may_retry_anywhere or request_state.may_retry_at(servers[server_id], now)

        start = 0
        for end, count_limit in token_ranges:
            if request_state.request.group is None:
                selected = table.draw(start, end, state.rng, accepts)
            else:
                selected = self._select_for_group(request_state, end, count_limit, accepts)
            if selected is not None:
                return selected
            start = end
        # No server was accepted: each was tried before, was skipped because of its weight, or does not allow
        # a retry. Only the last condition still applies to this draw.
        return table.draw(
            0, len(table), state.rng, lambda server_id: request_state.may_retry_at(servers[server_id], now)
        )

    def _select_for_group(
        self, request_state: RequestState, end: int, count_limit: float, accepts: Callable[[int], bool]
    ) -> int | None:
        """Returns the server that the request's group prefers among those before ``end`` in the table.

        A server that has connections of the group from this proxy, or probably from others, is also
        considered if its count is less than ``GROUP_DISCOUNT`` above ``count_limit``.
        """
        group, rerouted = request_state.request.group, request_state.request.rerouted
        assert group is not None
        table, own_counts = self._counts.table, self._groups.counts(group)
        discounted = dict.fromkeys(own_counts)
        if self._state.settings.live_weights:
            preferred = heapq.nlargest(
                GROUP_PREFERRED_SERVERS, table.first(len(table)), partial(preference, group)
            )
            discounted |= dict.fromkeys(preferred)
            if not rerouted and not self._has_server_in_slow_start():
                # Has the same result as the code below, without examining every server of a large fleet.
                for server_id in preferred:
                    if table.count(server_id) < count_limit + GROUP_DISCOUNT and accepts(server_id):
                        return server_id
        candidates = [server_id for server_id in table.first(end) if accepts(server_id)]
        candidates += [
            server_id
            for server_id in discounted
            if server_id in table
            and count_limit <= table.count(server_id) < count_limit + GROUP_DISCOUNT
            and accepts(server_id)
        ]
        if rerouted:
            # The connection is probably open on the server with most of the group, even if that has no token.
            used_servers = [
                server_id for server_id in own_counts if server_id in table and accepts(server_id)
            ]
            if used_servers:
                return max(used_servers, key=lambda server_id: (own_counts[server_id], server_id))
        else:
            # Servers in slow start take precedence, because their unused budget is not carried over.
            candidates = [
                candidate for candidate in candidates if self._is_warming_up(candidate)
            ] or candidates
        return max(candidates, key=partial(preference, group), default=None)

    def _is_warming_up(self, server_id: int) -> bool:
        return self._slow_start.is_warming_up(self._state.servers[server_id], self._state.now)

    def _has_server_in_slow_start(self) -> bool:
        """Returns True if a server in slow start may get a connection now."""
        table = self._counts.table
        return any(
            server_id in table and self._is_warming_up(server_id) for server_id in self._counts.time_dependent
        )
