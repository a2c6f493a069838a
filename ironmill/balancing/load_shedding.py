"""Load shedding: the fraction of new requests that is admitted while many servers are overloaded."""

from __future__ import annotations

import random

from msgspec import Struct

from ironmill.balancing.interface import Request
from ironmill.balancing.overload import OverloadTracker
from ironmill.balancing.server_state import REPORT_LIFETIME_S
from ironmill.balancing.state import BalancerState
from ironmill.balancing.tenant_quotas import TenantQuotas

OVERLOADED_LOAD = 0.9  # a server that reports this load or more misses its latency objectives


class SheddingThresholds(Struct, frozen=True):
    """Limits of the overloaded fraction: above one, shedding increases; below the other, it decreases."""

    increase_above: float
    decrease_below: float


BY_CONNECTIONS = SheddingThresholds(increase_above=0.2, decrease_below=0.1)
BY_REPORTS = SheddingThresholds(increase_above=0.3, decrease_below=0.2)

STEP_INTERVAL_S = 0.5
MAX_INCREASE_STEPS = 20  # in one update, which may follow a period without requests
DECREASE_FACTOR = 0.35
INCREASE = 0.04
MIN_ADMITTED_FRACTION = 0.02
OVER_QUOTA_EXPONENT = 3  # applied to the admission probability of work over a tenant's quota

MIN_OVERLOADED_SERVERS = 2  # if only one server is overloaded, the fault is in that server
MIN_MEAN_LOAD = 0.7  # below this, the other servers can take load from the overloaded ones
MIN_CONNECTIONS = 8  # fewer connections count as this many, because a smaller sample says little


class LoadShedder:
    """Controls the admitted fraction of new requests by multiplicative decrease and additive increase.

    If the fleet gets more work than it can do, every server queues work, drops connections and accepts them
    again shortly afterwards. Only a lower number of connections ends this state.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        """Creates a shedder that admits all requests until the first update."""
        self._rng = rng
        self._admitted_fraction = 1.0
        self._stepped_at = now

    @property
    def is_shedding(self) -> bool:
        """True while some new requests are rejected."""
        return self._admitted_fraction < 1.0

    def update(self, overloaded_fraction: float, thresholds: SheddingThresholds, now: float) -> None:
        """Adjusts the admitted fraction if ``STEP_INTERVAL_S`` has passed since the last adjustment."""
        elapsed = now - self._stepped_at
        if elapsed < STEP_INTERVAL_S:
            return
        self._stepped_at = now
        if overloaded_fraction > thresholds.increase_above:
            self._admitted_fraction = max(MIN_ADMITTED_FRACTION, self._admitted_fraction * DECREASE_FACTOR)
        elif overloaded_fraction < thresholds.decrease_below:
            steps = min(MAX_INCREASE_STEPS, int(elapsed / STEP_INTERVAL_S))
            self._admitted_fraction = min(1.0, self._admitted_fraction + INCREASE * steps)

    def admits(self, *, over_quota: bool) -> bool:
        """Decides at random, so that proxies with the same information do not all decide alike."""
        probability = self._admitted_fraction
        if over_quota:
            probability = probability**OVER_QUOTA_EXPONENT
        return probability >= 1.0 or self._rng.random() < probability


class AdmissionControl:
    """Admits new requests depending on the load of the fleet and the quota of the tenant."""

    def __init__(
        self, state: BalancerState, shedder: LoadShedder, overload: OverloadTracker, quotas: TenantQuotas
    ) -> None:
        """Creates an admission control that uses the given shedder, overload tracker and quotas."""
        self._state = state
        self._shedder = shedder
        self._overload = overload
        self._quotas = quotas

    def admits(self, request: Request) -> bool:
        """Returns False if the request must be rejected."""
        self._update()
        if request.rerouted:
            return True
        return self._shedder.admits(over_quota=self._quotas.is_exceeded(request.tenant))

    def _update(self) -> None:
        """Updates the shedder from fresh load reports, or from own connections if too few servers report.

        Reports take precedence, since slow establishment of connections may only mean that many clients
        reconnect at once. A proxy of a large fleet checks each server too rarely to have many fresh reports.
        """
        now = self._state.now
        loads = [
            server.load
            for server in self._state.servers.values()
            # ``has_fresh_report`` is inlined and comes first, as this runs for every server on each request.
            if now - server.load_reported_at <= REPORT_LIFETIME_S and server.ready
        ]
        if len(loads) < MIN_OVERLOADED_SERVERS:
            fraction = self._overload.connections() / max(MIN_CONNECTIONS, len(self._state.requests))
            self._shedder.update(fraction, BY_CONNECTIONS, now)
            return
        overloaded = sum(1 for load in loads if load >= OVERLOADED_LOAD)
        if overloaded >= MIN_OVERLOADED_SERVERS and sum(loads) >= MIN_MEAN_LOAD * len(loads):
            self._shedder.update(overloaded / len(loads), BY_REPORTS, now)
        else:
            self._shedder.update(0.0, BY_REPORTS, now)
