"""Slow start: how much of its budget one proxy grants to a server that is still cold."""

from __future__ import annotations

import math
import random

from ironmill.balancing.health import Backend
from ironmill.balancing.interface import Settings

# Cold start: the part of the rule's budget N that all proxies together grant in one window. A span as long as
# a window holds the end of one and the begin of the next at each proxy: 2 x 0.4 N on average at the most, if
# nothing came before and all comes at once. A proxy that has just started grants anew what the process before
# it may have used, but only for what is left of its window: 0.7 x 0.4 N / 2 more when seven in ten restart
# together. In sum 0.94 N on average; grants are rounded by chance, so the sum spreads by less than its root,
# and the rule leaves 2 x root of N + 2. Traffic that is uneven between proxies changes nothing: their rates
# add up to the true one, and what is held is shared out evenly. Of the two processes of an upgrade the new
# one grants nothing until the old one gets nothing new.
COLD_SAFETY = 0.4
# What all but the fullest tenth of the warm backends hold a backend can hold: those beyond that may be
# dropping connections. The mean may be a third of it in quiet times.
FULLEST = 0.9
# Memory of the ordinary rate of placements, seconds; longer trusts the past more.
RATE_MEMORY = 30.0
RATE_LEAST_SPAN = 5.0
# Where weights are live the list tells what backends hold, also to a proxy that has just started: over the
# mean life of a connection it is a rate, and counts like RATE_TOLD seconds of arrivals. LIFE, longest
# mean life the operators tell, seconds, counts like LIFE_SURE own connections served to their end. Guards
# cold backends against standing empty: of 40 proxies 28 had just started, knew no rate and granted nothing.
LIFE = 52.0
LIFE_SURE = 3.0
RATE_TOLD = 30.0
RATE_SKIP = 3.0  # of a proxy's life: what comes at its start is a crowd, and no ordinary rate


class SlowStartBudget:
    """How much this proxy may send to a backend that is still cold.

    A cold backend reads zero at every proxy, and all of them together may send it only so much in
    a window of ``tip_after``. Each proxy keeps to what it sends a warm backend in ordinary times,
    times the multiple and the share of capacity that the cold one is sure to have: if all do so,
    the sum keeps too. With many proxies that is far below one connection a window; whole ones are
    then granted by seeded chance. What a window leaves unused is lost, not saved for a burst.

    Where the list tells what backends hold, a cold one may also be filled along with its capacity: the rule
    counts a capacity in new connections by what fills the backend over its warm-up.
    """

    def __init__(self, settings: Settings, rng: random.Random, now: float) -> None:
        self._settings = settings
        self._rng = rng
        self._born = now  # it grants from then on
        self._start = self._sum_at = now + RATE_SKIP
        self._sum = 0.0
        self._phase = rng.random() * settings.slow_start_window
        self._standing = 0  # own connections, and for how long all of them together have stood
        self._stood = 0.0
        self._stood_at = now
        self._served = 0  # to their end
        # On a warm backend by all proxies, as the list tells, 0 where it does not: on average and on a full
        # one.
        self.held = self.held_full = 0.0

    def arrived(self, ready: int, now: float) -> None:
        """A first try came (crowds that come again say nothing about the ordinary rate)."""
        if now < self._start:
            return
        self._sum = self._sum * math.exp((self._sum_at - now) / RATE_MEMORY) + 1.0 / max(1, ready)
        self._sum_at = now

    def stands(self, change: int, now: float, served: bool = False) -> None:
        """An own connection stands from now on, or no more."""
        self._stood += self._standing * (now - self._stood_at)
        self._standing += change
        self._stood_at = now
        self._served += served

    def _life(self, now: float) -> float:
        """Mean life of a connection, seconds."""
        stood = self._stood + self._standing * (now - self._stood_at)
        return (LIFE * LIFE_SURE + stood) / (LIFE_SURE + self._served)

    def succeed(self, until: float) -> None:
        """Another process of this proxy serves as well until then, and grants the proxy's part."""
        self._born = until

    def is_cold(self, backend: Backend, now: float) -> bool:
        """True until the stated warm-up is over."""
        return backend.started_at > 0.0 and now < backend.started_at + self._settings.slow_start_duration

    def allows(self, backend: Backend, now: float) -> bool:
        """True if this window still has a connection for the cold backend."""
        if now < self._born:
            return False
        window = int((now + self._phase) / self._settings.slow_start_window)
        if backend.cold_window != window:
            backend.cold_window = window
            share = self._share(backend, now)
            if now - self._born < self._settings.slow_start_window:
                # Guards against a start in the midst of a window whose grant the process before may have
                # used.
                share *= 1.0 - (now + self._phase) / self._settings.slow_start_window % 1.0
            backend.cold_tokens = int(share + self._rng.random())
        return backend.cold_tokens > 0

    def _share(self, backend: Backend, now: float) -> float:
        rules = self._settings
        span = RATE_MEMORY * (1.0 - math.exp(min(0.0, self._start - now) / RATE_MEMORY))
        told = RATE_TOLD if self.held > 0.0 else 0.0
        rate = self.held / self._life(now) / rules.proxies
        total = self._sum * math.exp((self._sum_at - now) / RATE_MEMORY) + told * rate
        rate = total / (max(RATE_LEAST_SPAN, span) + told)
        age = min(1.0, max(0.0, (now - backend.started_at) / rules.slow_start_duration))
        capacity = rules.initial_capacity_fraction + (1.0 - rules.initial_capacity_fraction) * age
        # Guards cold backends against standing empty while the others jam: the ordinary rate of connections
        # that last 30 s is a tenth of what comes when half of the backends are replaced within seconds.
        filling = self.held_full / (max(rules.slow_start_window, rules.slow_start_duration) * rules.proxies)
        return (
            COLD_SAFETY
            * rules.slow_start_rate_multiple
            * max(rate, filling)
            * capacity
            * rules.slow_start_window
        )
