"""Migration off draining servers: the connections concerned, their order and the rate."""

from __future__ import annotations

from typing import Any

import pytest
from msgspec import structs

from ironmill.balancing.draining import SHORTEST_DRAIN_S
from ironmill.balancing.interface import (
    Action,
    EndpointEntry,
    Migrate,
    Outcome,
    Request,
    Resumed,
    Send,
    Stage,
    WatchEventKind,
)
from tests.support.balancing import IDEMPOTENT, SimulatedProxy, endpoint_entries, sends

HIGH_PRIORITY = structs.replace(IDEMPOTENT, name="urgent", priority_weight=6.0)


def list_stage(proxy: SimulatedProxy, server: int, stage: Stage) -> None:
    proxy.watch(EndpointEntry(server, stage, zone="a"))


def proxy_with_connections(count: int = 4, **changes: Any) -> tuple[SimulatedProxy, list[Send]]:
    """Returns a proxy with established connections of both classes on two servers, and their sends."""
    proxy = SimulatedProxy(2, classes=(IDEMPOTENT, HIGH_PRIORITY), **changes)
    established = [
        send
        for index in range(count)
        for send in sends(proxy.request((IDEMPOTENT, HIGH_PRIORITY)[index % 2]))
    ]
    for send in established:
        proxy.establish(send)
    return proxy, established


def migrated(actions: list[Action]) -> list[str]:
    return [action.request_id for action in actions if isinstance(action, Migrate)]


def test_migrates_each_connection_off_draining_server_once_by_priority() -> None:
    proxy, established = proxy_with_connections(8)
    list_stage(proxy, 1, Stage.DRAINING)
    migrated_ids = migrated(proxy.run_until(proxy.now + 10.0))
    ids_on_server_1 = [send.request_id for send in established if send.server_id == 1]
    assert sorted(migrated_ids) == sorted(ids_on_server_1)
    high_priority = [request_id for request_id in ids_on_server_1 if int(request_id[1:]) % 2 == 0]
    assert set(migrated_ids[: len(high_priority)]) == set(high_priority)


def drain_of(proxy: SimulatedProxy, server: int, seconds: float = SHORTEST_DRAIN_S) -> list[float]:
    """Drains a server for so many seconds and returns when each of its connections was migrated."""
    start = proxy.now
    list_stage(proxy, server, Stage.DRAINING)
    migrated_at: list[float] = []
    while proxy.now < start + seconds - 0.005:
        count = len(migrated(proxy.run_until(proxy.now + 0.01)))
        migrated_at += [proxy.now - start] * count
    return migrated_at


@pytest.mark.parametrize("trouble", ["none", "slow start", "shedding"])
@pytest.mark.parametrize("count", [2, 16, 80])
@pytest.mark.parametrize("proxies", [1, 4, 200])
def test_every_connection_is_migrated_within_the_shortest_drain(
    trouble: str, count: int, proxies: int
) -> None:
    """Guards against clients that a draining server cuts off, as the pace did not follow their number."""
    proxy, established = proxy_with_connections(count, proxies=proxies)
    if trouble == "slow start":
        proxy.watch(EndpointEntry(3, Stage.READY, zone="a", started_at=proxy.now - 0.5))
    if trouble == "shedding":
        proxy.balancer._requests._admission._shedder._admitted_fraction = 0.1
    on_server_1 = sum(send.server_id == 1 for send in established)
    assert len(drain_of(proxy, 1)) == on_server_1


@pytest.mark.parametrize("slow_start", [False, True])
def test_migrations_are_spread_over_the_shortest_drain(slow_start: bool) -> None:
    """Guards against a burst of clients that come again, at the budgets and queues of the other servers."""
    proxy, established = proxy_with_connections(160)
    if slow_start:
        proxy.watch(EndpointEntry(3, Stage.READY, zone="a", started_at=proxy.now - 0.5))
    on_server_1 = sum(send.server_id == 1 for send in established)
    migrated_at = drain_of(proxy, 1)
    for start in (0.0, 0.4, 0.8, 1.2):
        share = sum(start <= moment < start + 0.4 for moment in migrated_at) / on_server_1
        assert share <= 0.4


def test_single_connections_of_a_large_fleet_are_spread_as_well() -> None:
    """Guards against one connection of each proxy that is migrated at the same moment in all of them."""
    moments = []
    for seed in range(200):
        proxy, _ = proxy_with_connections(2, seed=seed)
        moments += drain_of(proxy, 1)
    for start in (0.0, 0.4, 0.8, 1.2):
        assert sum(start <= moment < start + 0.4 for moment in moments) <= 0.35 * len(moments)


def test_connection_that_resumes_at_a_draining_server_is_migrated() -> None:
    """Guards against connections from before the start that nothing migrates at a known drain."""
    proxy = SimulatedProxy()
    proxy.watch(EndpointEntry(1, Stage.DRAINING), EndpointEntry(2, Stage.READY), kind=WatchEventKind.FULL)
    proxy.run_until(proxy.now + 10.0)
    for index in range(10):
        proxy.handle(Resumed(Request(f"c{index}", IDEMPOTENT.name, 0.0), 1))
    assert len(migrated(proxy.run_until(proxy.now + 1.5))) == 10


def test_drain_that_is_taken_back_and_comes_again_has_one_pace() -> None:
    """Guards against the timer of the first drain, which would double the pace of the second."""
    first_moments = []
    for seed in range(60):
        proxy, _ = proxy_with_connections(2, seed=seed)
        for _ in range(5):
            list_stage(proxy, 1, Stage.DRAINING)
            list_stage(proxy, 1, Stage.READY)
        first_moments += drain_of(proxy, 1)
    assert len(first_moments) == 60
    assert sum(moment > 0.8 for moment in first_moments) >= 20  # with six timers hardly any


def test_repeated_news_of_a_drain_does_not_delay_it() -> None:
    proxy, established = proxy_with_connections(16)
    on_server_1 = sum(send.server_id == 1 for send in established)
    count = 0
    for _ in range(20):
        list_stage(proxy, 1, Stage.DRAINING)
        count += len(migrated(proxy.run_until(proxy.now + 0.1)))
    assert count == on_server_1


def test_drain_migrates_late_connection_and_stops_when_server_is_ready_again() -> None:
    proxy, _ = proxy_with_connections(2)
    (late_send,) = [send for send in sends(proxy.request()) if send] or [None]
    assert late_send is not None
    list_stage(proxy, late_send.server_id, Stage.DRAINING)
    proxy.run_until(proxy.now + 3.0)
    proxy.establish(late_send)
    assert late_send.request_id in migrated(proxy.run_until(proxy.now + 3.0))

    proxy, _ = proxy_with_connections(4)
    list_stage(proxy, 1, Stage.DRAINING)
    list_stage(proxy, 1, Stage.READY)
    assert migrated(proxy.run_until(proxy.now + 5.0)) == []


def test_drain_migrates_resumed_connections_but_not_closed_ones() -> None:
    proxy = SimulatedProxy()
    proxy.watch(*endpoint_entries(2), kind=WatchEventKind.FULL)
    for index in range(2):
        proxy.handle(Resumed(Request(f"c{index}", IDEMPOTENT.name, 0.0), 1))
    proxy.end(Send("c0", 1, 0.0), Outcome.OK, final=True)
    list_stage(proxy, 1, Stage.DRAINING)
    assert migrated(proxy.run_until(proxy.now + 5.0)) == ["c1"]


def test_drain_timer_stops_when_server_has_no_connections() -> None:
    proxy, established = proxy_with_connections(4)
    list_stage(proxy, 1, Stage.DRAINING)
    for send in established:
        proxy.end(send, Outcome.OK, final=True)
    proxy.run_until(proxy.now + 5.0)
    assert proxy.timers == []
