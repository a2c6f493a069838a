"""Slow start: servers that have just started get few connections at first."""

from __future__ import annotations

from ironmill.balancing.interface import (
    EndpointEntry,
    Outcome,
    Stage,
    WatchEventKind,
)
from ironmill.balancing.slow_start import BUDGET_SAFETY_FACTOR
from tests.support.balancing import SimulatedProxy, endpoint_entries, sends


def ordinary_traffic(proxy: SimulatedProxy, rate: float, duration: float) -> None:
    """Sends requests at an even rate; each connection ends as soon as it is established."""
    for _ in range(int(rate * duration)):
        proxy.now += 1.0 / rate
        actions = proxy.request()
        for send in sends(actions):
            proxy.establish(send)
            proxy.end(send, Outcome.OK, final=True)
    proxy.actions.clear()


def test_reconnect_burst_keeps_slow_start_budget() -> None:
    """Guards against a budget that each proxy keeps but the fleet exceeds, while most servers start.

    Each of the many proxies has less than one connection per server, and all of them act alike.
    """
    proxies = [SimulatedProxy(10, seed=number) for number in range(100)]
    window, multiple, initial_capacity = 2.0, 3.0, 0.3
    for proxy in proxies:
        ordinary_traffic(proxy, 1.0, 40.0)
        starting_entries = tuple(
            EndpointEntry(server, Stage.READY, started_at=proxy.now) for server in range(1, 8)
        )
        proxy.watch(*starting_entries)
        for _ in range(5):  # the clients of each proxy reconnect within 0.5 s
            proxy.now += 0.1
            proxy.request(returning=True)
    placements = [
        sum(send.server_id == server for proxy in proxies for send in sends(proxy.actions))
        for server in range(1, 11)
    ]
    assert sum(placements) == 500
    ordinary_rate = 100 * 1.0 / 10  # new connections per second to an ordinary server
    budget = multiple * initial_capacity * ordinary_rate * window
    assert all(count <= budget for count in placements[:7])
    assert sum(placements[:7]) > 0.2 * BUDGET_SAFETY_FACTOR * 7 * budget, "too little of the budget is used"


def test_server_in_slow_start_does_not_win_every_draw() -> None:
    proxy = SimulatedProxy(5)
    for _ in range(10):
        proxy.request()
    ordinary_sends = len(sends(proxy.actions))
    proxy.watch(EndpointEntry(9, Stage.READY, started_at=proxy.now))
    for _ in range(10):
        proxy.request()
    assert sum(send.server_id == 9 for send in sends(proxy.actions)[ordinary_sends:]) <= 4


def test_server_is_ready_after_slow_start() -> None:
    proxy = SimulatedProxy(3)
    proxy.watch(EndpointEntry(9, Stage.READY, started_at=proxy.now))
    proxy.run_until(proxy.now + 9.0)
    proxy.request()
    assert 9 in proxy.balancer.token_counts()


def test_server_that_restarted_before_first_list_is_in_slow_start() -> None:
    proxy = SimulatedProxy(3)
    proxy.watch(*endpoint_entries(3, started_at=proxy.now - 1.0), kind=WatchEventKind.FULL)
    for _ in range(30):
        proxy.request()
    assert len(sends(proxy.actions)) < 20


def test_reconnects_after_start_do_not_raise_ordinary_rate() -> None:
    """Clients that reconnect at the proxy's start must not raise the budget."""
    proxy = SimulatedProxy(4)
    for _ in range(200):
        proxy.request()
    proxy.run_until(proxy.now + 6.0)
    proxy.watch(EndpointEntry(9, Stage.READY, started_at=proxy.now))
    selected_ids = [send.server_id for _ in range(40) for send in sends(proxy.request())]
    assert selected_ids.count(9) <= 2
