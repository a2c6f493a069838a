"""The budget of new connections that one proxy may open to a server in slow start."""

from __future__ import annotations

import math
import random

from ironmill.balancing.interface import Settings
from ironmill.balancing.server_state import ServerState

# The slow-start rule allows N connections to a server in one window. All proxies together grant this fraction
# of N in one window. Any period of one window's length overlaps two windows of each proxy, and a restarted
# proxy grants again what its previous process may have used. The grants then add up to 0.94 N on average if
# seven in ten proxies restart together. The rest, and the tolerance of 2 * sqrt(N) + 2 in the rule, allow for
# the randomness of the grants.
BUDGET_SAFETY_FACTOR = 0.4
RATE_MEMORY_S = 30.0  # time constant of the mean arrival rate
MIN_RATE_SPAN_S = 5.0  # a shorter observation period counts as this long
STARTUP_S = 3.0  # arrivals within this time after the start are reconnecting clients, not the ordinary rate
# With live weights, listed connections per server divided by their mean lifetime also give an arrival rate.
LISTED_RATE_WEIGHT_S = 30.0  # that rate has the weight of this many seconds of observed arrivals
ASSUMED_LIFETIME_S = 52.0  # lifetime of a connection that is assumed before this proxy has observed any
ASSUMED_LIFETIME_WEIGHT = 3.0  # weight of the assumed lifetime, in connections that ended normally


class SlowStartBudget:
    """Limits the connections that this proxy opens to servers in slow start.

    A server in slow start has no connections, so every proxy would select it. But the slow-start rule limits
    what all proxies together may send it in a window of ``slow_start_window``. Each proxy limits itself to
    its rate of new connections to an ordinary server, times ``slow_start_rate_multiple`` and the server's
    current fraction of its capacity; then all proxies together keep the rule. Grants of a fraction of a
    connection are rounded at random. An unused grant is not carried over to the next window, so grants cannot
    accumulate to a burst.

    With live weights, a server in slow start may also be filled as its capacity grows, because the rule
    measures capacity by the connections that fill the server during its warm-up.
    """

    def __init__(self, settings: Settings, rng: random.Random, now: float) -> None:
        """Creates the budget of a proxy that starts at ``now``."""
        self._settings = settings
        self._rng = rng
        self._grants_start_at = now
        self._observed_from = now + STARTUP_S
        self._arrivals = 0.0  # decayed number of arrivals per ready server, as of _arrivals_at
        self._arrivals_at = self._observed_from
        self._phase = rng.random() * settings.slow_start_window
        self._connections = 0
        self._connection_seconds = 0.0  # total time that own connections were established
        self._connection_seconds_at = now
        self._completed = 0  # own connections that ended normally
        self._listed_mean = 0.0
        self._listed_full_server = 0.0

    def set_listed_connections(self, mean: float, full: float) -> None:
        """Sets the listed connections of an average and of a full server, without servers in slow start."""
        self._listed_mean = mean
        self._listed_full_server = full

    def request_arrived(self, ready_servers: int, now: float) -> None:
        """Counts a new request. Must not be called for returning clients."""
        if now < self._observed_from:
            return
        decay = math.exp((self._arrivals_at - now) / RATE_MEMORY_S)
        self._arrivals = self._arrivals * decay + 1.0 / max(1, ready_servers)
        self._arrivals_at = now

    def connection_established(self, now: float) -> None:
        """Counts a new connection of this proxy."""
        self._add_connection_seconds(now)
        self._connections += 1

    def connection_closed(self, now: float, *, completed: bool) -> None:
        """Counts the end of a connection of this proxy; ``completed`` is True if it ended normally."""
        self._add_connection_seconds(now)
        self._connections -= 1
        self._completed += completed

    def mean_lifetime(self, now: float) -> float:
        """Returns the mean lifetime of a connection, in seconds."""
        own_seconds = self._connection_seconds + self._connections * (now - self._connection_seconds_at)
        assumed_seconds = ASSUMED_LIFETIME_S * ASSUMED_LIFETIME_WEIGHT
        return (assumed_seconds + own_seconds) / (ASSUMED_LIFETIME_WEIGHT + self._completed)

    def withhold_until(self, time: float) -> None:
        """Grants nothing before the given time, until which another process uses this proxy's share."""
        self._grants_start_at = time

    def is_warming_up(self, server: ServerState, now: float) -> bool:
        """Returns True until the slow start of the server has ended."""
        return server.started_at > 0.0 and now < server.started_at + self._settings.slow_start_duration

    def allows(self, server: ServerState, now: float) -> bool:
        """Returns True if the budget of the current window still allows a connection to the server."""
        if now < self._grants_start_at:
            return False
        window = int((now + self._phase) / self._settings.slow_start_window)
        if server.slow_start_window != window:
            server.slow_start_window = window
            grant = self._grant(server, now)
            if now - self._grants_start_at < self._settings.slow_start_window:
                # The previous process may have used the elapsed part of this window.
                grant *= 1.0 - (now + self._phase) / self._settings.slow_start_window % 1.0
            server.slow_start_tokens = int(grant + self._rng.random())
        return server.slow_start_tokens > 0

    def take(self, server: ServerState, now: float) -> bool:
        """Takes one connection from the budget of a server in slow start; returns False if none is left."""
        if not self.allows(server, now):
            return False
        server.slow_start_tokens -= 1
        return True

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
        """Returns the number of connections that this proxy may open to the server in one window."""
        settings = self._settings
        progress = min(1.0, max(0.0, (now - server.started_at) / settings.slow_start_duration))
        initial = settings.initial_capacity_fraction
        capacity = initial + (1.0 - initial) * progress
        # Long-lived connections have a low ordinary rate, at which replaced servers would stay empty while
        # the others are overloaded. So the rate is at least the one that fills a server during its warm-up.
        warm_up = max(settings.slow_start_window, settings.slow_start_duration)
        rate = max(self._arrival_rate(now), self._listed_full_server / (warm_up * settings.proxies))
        multiple = settings.slow_start_rate_multiple
        return BUDGET_SAFETY_FACTOR * multiple * rate * capacity * settings.slow_start_window
