"""The budget of new connections that one proxy may open to a server in slow start."""

from __future__ import annotations

import math
import random

from ironmill.balancing.interface import Settings
from ironmill.balancing.server_state import ServerState

# All proxies together grant this fraction of the rule's budget N in one window. Any span as long as a window
# touches two windows of each proxy, and a proxy that has just started grants anew what the process before it
# may have used: 0.94 N on average if seven in ten restart together. The rest, and the rule's allowance of
# 2 x root of N + 2, is for the chance in the grants.
BUDGET_SAFETY_FACTOR = 0.4
RATE_MEMORY_S = 30.0  # time constant of the mean arrival rate
MIN_RATE_SPAN_S = 5.0  # a shorter observation counts as this long
STARTUP_S = 3.0  # arrivals this soon after the start are clients that reconnect, not the ordinary rate
# Where listed weights are live, connections per server over the mean lifetime of a connection are a rate too.
LISTED_RATE_WEIGHT_S = 30.0  # that rate counts like this many seconds of arrivals
ASSUMED_LIFETIME_S = 52.0  # of a connection, until this proxy has observed some
ASSUMED_LIFETIME_WEIGHT = 3.0  # in connections closed by their clients


class SlowStartBudget:
    """Limits what this proxy sends to servers in slow start.

    A server in slow start has no connections, so every proxy would choose it, and all together may send it
    only a limited number in a window of ``slow_start_window``. Each proxy limits itself to what it sends an
    ordinary server, times the multiple and the fraction of capacity that the rule allows; then the sum of all
    proxies keeps the rule. Grants below one connection a window are made by chance. An unused grant is not
    carried over to the next window, so grants cannot add up to a burst.

    Where the list shows the connections of servers, a server in slow start may also be filled along with its
    capacity, for the rule counts capacity in the connections that fill the server over its warm-up.
    """

    def __init__(self, settings: Settings, rng: random.Random, now: float) -> None:
        """Creates the budget of a proxy that starts at ``now``."""
        self._settings = settings
        self._rng = rng
        self._grants_from = now
        self._observed_from = now + STARTUP_S
        self._arrivals = 0.0  # per ready server, decayed, as of _arrivals_at
        self._arrivals_at = self._observed_from
        self._phase = rng.random() * settings.slow_start_window
        self._connections = 0
        self._connection_seconds = 0.0  # total time that own connections were established
        self._connection_seconds_at = now
        self._completed = 0  # connections that ended in the ordinary way
        self._listed_mean = 0.0
        self._listed_full = 0.0

    def set_listed_connections(self, mean: float, full: float) -> None:
        """Sets the connections of all proxies on an ordinary server, on average and on a full one."""
        self._listed_mean = mean
        self._listed_full = full

    def request_arrived(self, ready_servers: int, now: float) -> None:
        """Counts a new request. Must not be called for clients that return."""
        if now < self._observed_from:
            return
        decay = math.exp((self._arrivals_at - now) / RATE_MEMORY_S)
        self._arrivals = self._arrivals * decay + 1.0 / max(1, ready_servers)
        self._arrivals_at = now

    def connection_established(self, now: float) -> None:
        """Counts an own connection."""
        self._add_connection_seconds(now)
        self._connections += 1

    def connection_closed(self, now: float, *, completed: bool) -> None:
        """Ends an own connection; ``completed`` if it ended in the ordinary way."""
        self._add_connection_seconds(now)
        self._connections -= 1
        self._completed += completed

    def mean_lifetime(self, now: float) -> float:
        """Returns the mean lifetime of a connection, in seconds."""
        own = self._connection_seconds + self._connections * (now - self._connection_seconds_at)
        assumed = ASSUMED_LIFETIME_S * ASSUMED_LIFETIME_WEIGHT
        return (assumed + own) / (ASSUMED_LIFETIME_WEIGHT + self._completed)

    def grant_from(self, time: float) -> None:
        """Grants nothing before the given time: until then another process uses this proxy's part."""
        self._grants_from = time

    def is_warming_up(self, server: ServerState, now: float) -> bool:
        """Returns True until the slow start of the server is over."""
        return server.started_at > 0.0 and now < server.started_at + self._settings.slow_start_duration

    def allows(self, server: ServerState, now: float) -> bool:
        """Returns True if a connection to the server in slow start is left in the current window."""
        if now < self._grants_from:
            return False
        window = int((now + self._phase) / self._settings.slow_start_window)
        if server.slow_start_window != window:
            server.slow_start_window = window
            grant = self._grant(server, now)
            if now - self._grants_from < self._settings.slow_start_window:
                # The previous process may have used the part of this window that is over.
                grant *= 1.0 - (now + self._phase) / self._settings.slow_start_window % 1.0
            server.slow_start_tokens = int(grant + self._rng.random())
        return server.slow_start_tokens > 0

    def _add_connection_seconds(self, now: float) -> None:
        self._connection_seconds += self._connections * (now - self._connection_seconds_at)
        self._connection_seconds_at = now

    def _arrival_rate(self, now: float) -> float:
        """Returns the ordinary rate of new connections from this proxy to one server, per second."""
        observed = RATE_MEMORY_S * (1.0 - math.exp(min(0.0, self._observed_from - now) / RATE_MEMORY_S))
        listed_weight = LISTED_RATE_WEIGHT_S if self._listed_mean > 0.0 else 0.0
        listed_rate = self._listed_mean / self.mean_lifetime(now) / self._settings.proxies
        decay = math.exp((self._arrivals_at - now) / RATE_MEMORY_S)
        arrivals = self._arrivals * decay + listed_weight * listed_rate
        return arrivals / (max(MIN_RATE_SPAN_S, observed) + listed_weight)

    def _grant(self, server: ServerState, now: float) -> float:
        """Returns the connections that this proxy may open to the server in a window."""
        settings = self._settings
        progress = min(1.0, max(0.0, (now - server.started_at) / settings.slow_start_duration))
        initial = settings.initial_capacity_fraction
        capacity = initial + (1.0 - initial) * progress
        # Long-lived connections have a low ordinary rate, at which replaced servers would stay empty while
        # the others are overloaded. So the rate may also be the one that fills a server over its warm-up.
        warm_up = max(settings.slow_start_window, settings.slow_start_duration)
        rate = max(self._arrival_rate(now), self._listed_full / (warm_up * settings.proxies))
        multiple = settings.slow_start_rate_multiple
        return BUDGET_SAFETY_FACTOR * multiple * rate * capacity * settings.slow_start_window
