"""The slow-start budget of a whole fleet, in every window of the rule's length.

The rule's N is a multiple of the server's capacity at the moment, in new connections; it allows 2 x root of N
+ 2 more. The capacity is taken as the ordinary rate of a server, which is less.
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

ORDINARY, STARTING, SIZE = 4, 50, 4.0
LISTED = 40.0  # connections on an ordinary server, with live weights
RATE = 6.0  # new connections per second on an ordinary server, without them


def started_proxy(
    seed: int,
    proxies: int,
    live: bool,
    now: float,
    entries: tuple[EndpointEntry, ...],
    handover: bool = False,
) -> SimulatedProxy:
    """One proxy with its first lists; with live weights the first one shows the size of an empty server."""
    proxy = SimulatedProxy(0, seed=seed, proxies=proxies, live_weights=live)
    proxy.now = now
    proxy.balancer = balancer.Balancer(proxy.settings, seed, now)
    if handover:
        proxy.handle(HandoverStarted(now + 6.0))
    weight = SIZE / (1.0 + LISTED / SIZE) if live else 1.0
    ordinary_servers = tuple(
        EndpointEntry(number, Stage.READY, weight=weight) for number in range(1, ORDINARY + 1)
    )
    if live:
        proxy.watch(*ordinary_servers, EndpointEntry(99, Stage.READY, weight=SIZE), kind=WatchEventKind.FULL)
    proxy.watch(*ordinary_servers, *entries, kind=WatchEventKind.FULL)
    return proxy


def ordinary_traffic(fleet: list[SimulatedProxy], rng: random.Random) -> float:
    """40 s of traffic, uneven between proxies: one in four gets three times as much as the others."""
    end = fleet[0].now + 40.0
    now = fleet[0].now
    busy = [proxy for at, proxy in enumerate(fleet) for _ in range(3 if at % 4 == 0 else 1)]
    while (now := now + rng.expovariate(RATE * ORDINARY)) < end:
        proxy = rng.choice(busy)
        proxy.now = now
        for send in sends(proxy.request()):
            proxy.establish(send)
            proxy.end(send, Outcome.OK, final=True)
    for proxy in fleet:
        proxy.now = end
    return end


def excess_over_budget(proxies: int, live: bool, restarted: float, seed: int, upgraded: float = 0.0) -> float:
    """Returns by how much the worst window exceeds the rule; negative if none does.

    Clients return to all proxies all the time, so any grant is used at once. After a second a fraction of the
    proxies restarts, or is replaced by processes that serve beside them for a while.
    """
    rng = random.Random(seed)
    fleet = [started_proxy(seed * 1000 + at, proxies, live, 100.0, ()) for at in range(proxies)]
    boot = 100.0 if live else ordinary_traffic(fleet, rng)
    starting = EndpointEntry(STARTING, Stage.READY, weight=SIZE if live else 1.0, started_at=boot)
    for proxy in fleet:
        proxy.watch(starting)
    sent_at: list[float] = []
    for step in range(60):
        now = boot + 2.1 + 0.06 * step
        if step == 17:
            for at in range(int(proxies * restarted)):
                fleet[at] = started_proxy(seed * 1000 + 500 + at, proxies, live, now, (starting,))
            for at in range(int(proxies * upgraded)):
                fleet.append(
                    started_proxy(seed * 1000 + 700 + at, proxies, live, now, (starting,), handover=True)
                )
        for proxy in fleet:
            proxy.now = now
            for send in sends(proxy.request(wait=0.5, returning=True)):
                if send.server_id == STARTING:
                    sent_at.append(now)
                proxy.establish(send)  # closed at once, so that the own count does not matter
                proxy.end(send, Outcome.OK, final=True)
    worst = -math.inf
    for start in dict.fromkeys(sent_at):
        sent = sum(1 for time in sent_at if start <= time < start + SETTINGS.slow_start_window)
        budget = rule_budget(start - boot, live)
        worst = max(worst, sent - (budget + 2.0 * math.sqrt(budget) + 2.0))
    return worst


def rule_budget(age: float, live: bool) -> float:
    """Returns the rule's N for a window that begins at this age of the server."""
    initial = SETTINGS.initial_capacity_fraction
    capacity = initial + (1.0 - initial) * min(1.0, age / SETTINGS.slow_start_duration)
    rate = LISTED / SETTINGS.slow_start_duration if live else RATE
    return SETTINGS.slow_start_rate_multiple * capacity * SETTINGS.slow_start_window * rate


FLEETS = [(4, 4), (20, 4), (30, 4), (200, 1)]  # proxies, seeds


@pytest.mark.parametrize("restarted", [0.0, 0.7])
@pytest.mark.parametrize("live", [True, False])
@pytest.mark.parametrize(("proxies", "seeds"), FLEETS)
def test_fleet_keeps_slow_start_budget_in_every_window(
    proxies: int, seeds: int, live: bool, restarted: float
) -> None:
    for seed in range(1, 1 + seeds):
        assert excess_over_budget(proxies, live, restarted, seed) <= 0.0


@pytest.mark.parametrize("live", [True, False])
def test_handover_keeps_slow_start_budget(live: bool) -> None:
    """The old and the new process of each proxy serve side by side for up to 6 s."""
    for proxies in (1, 4, 20):
        for seed in range(1, 5):
            assert excess_over_budget(proxies, live, 0.0, seed, upgraded=1.0) <= 0.0


@pytest.mark.parametrize("live", [True, False])
@pytest.mark.parametrize("proxies", [20, 30, 200])
def test_fleet_breaks_slow_start_budget_without_safety_factor(
    monkeypatch: pytest.MonkeyPatch, proxies: int, live: bool
) -> None:
    """Shows that the test above can fail. With live weights only restarts exceed the rule."""
    monkeypatch.setattr(slow_start, "BUDGET_SAFETY_FACTOR", 1.0)
    assert excess_over_budget(proxies, live, 0.7 if live else 0.0, 1) > 0.0
