"""The slow-start budget of a whole fleet, in every window of the rule's length.

The rule allows N + 2 * sqrt(N) + 2 new connections, where N is a multiple of the server's current capacity.
These tests take the ordinary rate of a server as its capacity, which is lower.
"""

from __future__ import annotations

import math
import random

import pytest

from ironmill.balancing import balancer, slow_start
from ironmill.balancing.interface import (
    EndpointEntry,
    HandoverStarted,
    Outcome,
    Stage,
    WatchEventKind,
)
from tests.support.balancing import SETTINGS, SimulatedProxy, sends

# The number of ordinary servers, the ID of the server in slow start, and the cores of each server.
ORDINARY_SERVERS, STARTING_SERVER, SERVER_SIZE = 4, 50, 4.0
LISTED_CONNECTIONS = 40.0  # on an ordinary server, with live weights
ARRIVAL_RATE = 6.0  # new connections per second on an ordinary server, without live weights


def started_proxy(
    seed: int,
    proxies: int,
    uses_live_weights: bool,
    now: float,
    starting_entries: tuple[EndpointEntry, ...],
    handover: bool = False,
) -> SimulatedProxy:
    """Returns a proxy after its first lists. With live weights, the first one shows the size of a server."""
    proxy = SimulatedProxy(0, seed=seed, proxies=proxies, live_weights=uses_live_weights)
    proxy.now = now
    proxy.balancer = balancer.Balancer(proxy.settings, seed, now)
    if handover:
        proxy.handle(HandoverStarted(now + 6.0))
    weight = SERVER_SIZE / (1.0 + LISTED_CONNECTIONS / SERVER_SIZE) if uses_live_weights else 1.0
    ordinary_servers = tuple(
        EndpointEntry(server_id, Stage.READY, weight=weight) for server_id in range(1, ORDINARY_SERVERS + 1)
    )
    if uses_live_weights:
        proxy.watch(
            *ordinary_servers, EndpointEntry(99, Stage.READY, weight=SERVER_SIZE), kind=WatchEventKind.FULL
        )
    proxy.watch(*ordinary_servers, *starting_entries, kind=WatchEventKind.FULL)
    return proxy


def ordinary_traffic(fleet: list[SimulatedProxy], rng: random.Random) -> float:
    """Simulates 40 s of uneven traffic: one in four proxies gets three times as much as the others."""
    end = fleet[0].now + 40.0
    now = fleet[0].now
    weighted_proxies = [proxy for index, proxy in enumerate(fleet) for _ in range(3 if index % 4 == 0 else 1)]
    while (now := now + rng.expovariate(ARRIVAL_RATE * ORDINARY_SERVERS)) < end:
        proxy = rng.choice(weighted_proxies)
        proxy.now = now
        for send in sends(proxy.request()):
            proxy.establish(send)
            proxy.end(send, Outcome.OK, final=True)
    for proxy in fleet:
        proxy.now = end
    return end


def excess_over_budget(
    proxies: int, uses_live_weights: bool, restarted: float, seed: int, upgraded: float = 0.0
) -> float:
    """Returns the largest excess over the rule in any window, negative if all windows keep the rule.

    Clients return to all proxies continuously, so any grant is used at once. After a second, a fraction of
    the proxies restarts, or is replaced by processes that serve in parallel with them for a limited time.
    """
    rng = random.Random(seed)
    fleet = [
        started_proxy(seed * 1000 + index, proxies, uses_live_weights, 100.0, ()) for index in range(proxies)
    ]
    server_start = 100.0 if uses_live_weights else ordinary_traffic(fleet, rng)
    starting = EndpointEntry(
        STARTING_SERVER,
        Stage.READY,
        weight=SERVER_SIZE if uses_live_weights else 1.0,
        started_at=server_start,
    )
    for proxy in fleet:
        proxy.watch(starting)
    sent_at: list[float] = []
    for step in range(60):
        now = server_start + 2.1 + 0.06 * step
        if step == 17:
            for index in range(int(proxies * restarted)):
                fleet[index] = started_proxy(
                    seed * 1000 + 500 + index, proxies, uses_live_weights, now, (starting,)
                )
            for index in range(int(proxies * upgraded)):
                fleet.append(
                    started_proxy(
                        seed * 1000 + 700 + index, proxies, uses_live_weights, now, (starting,), handover=True
                    )
                )
        for proxy in fleet:
            proxy.now = now
            for send in sends(proxy.request(deadline_in=0.5, returning=True)):
                if send.server_id == STARTING_SERVER:
                    sent_at.append(now)
                proxy.establish(send)  # closed at once, so that own connections do not affect the counts
                proxy.end(send, Outcome.OK, final=True)
    largest_excess = -math.inf
    for start in dict.fromkeys(sent_at):
        sent = sum(1 for time in sent_at if start <= time < start + SETTINGS.slow_start_window)
        budget = rule_budget(start - server_start, uses_live_weights)
        largest_excess = max(largest_excess, sent - (budget + 2.0 * math.sqrt(budget) + 2.0))
    return largest_excess


def rule_budget(age: float, uses_live_weights: bool) -> float:
    """Returns the N of the rule for a window that begins when the server has this age."""
    initial = SETTINGS.initial_capacity_fraction
    capacity = initial + (1.0 - initial) * min(1.0, age / SETTINGS.slow_start_duration)
    rate = LISTED_CONNECTIONS / SETTINGS.slow_start_duration if uses_live_weights else ARRIVAL_RATE
    return SETTINGS.slow_start_rate_multiple * capacity * SETTINGS.slow_start_window * rate


FLEETS = [(4, 4), (20, 4), (30, 4), (200, 1)]  # proxies, seeds


@pytest.mark.parametrize("restarted", [0.0, 0.7])
@pytest.mark.parametrize("uses_live_weights", [True, False])
@pytest.mark.parametrize(("proxies", "seeds"), FLEETS)
def test_fleet_keeps_slow_start_budget_in_every_window(
    proxies: int, seeds: int, uses_live_weights: bool, restarted: float
) -> None:
    for seed in range(1, 1 + seeds):
        assert excess_over_budget(proxies, uses_live_weights, restarted, seed) <= 0.0


@pytest.mark.parametrize("uses_live_weights", [True, False])
def test_handover_keeps_slow_start_budget(uses_live_weights: bool) -> None:
    """Guards against a doubled budget while old and new processes serve in parallel, for up to 6 s."""
    for proxies in (1, 4, 20):
        for seed in range(1, 5):
            assert excess_over_budget(proxies, uses_live_weights, 0.0, seed, upgraded=1.0) <= 0.0


@pytest.mark.parametrize("uses_live_weights", [True, False])
@pytest.mark.parametrize("proxies", [20, 30, 200])
def test_fleet_breaks_slow_start_budget_without_safety_factor(
    monkeypatch: pytest.MonkeyPatch, proxies: int, uses_live_weights: bool
) -> None:
    """Proves that the tests above can fail. With live weights, only restarts exceed the rule."""
    monkeypatch.setattr(slow_start, "BUDGET_SAFETY_FACTOR", 1.0)
    assert excess_over_budget(proxies, uses_live_weights, 0.7 if uses_live_weights else 0.0, 1) > 0.0
