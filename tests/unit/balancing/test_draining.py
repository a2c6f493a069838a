"""Migration off draining servers: the connections concerned, their order and the rate."""

from __future__ import annotations

from msgspec import structs

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


def proxy_with_connections(count: int = 4) -> tuple[SimulatedProxy, list[Send]]:
    """Returns a proxy with established connections of both classes on two servers, and their sends."""
    proxy = SimulatedProxy(2, classes=(IDEMPOTENT, HIGH_PRIORITY))
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


def test_drain_is_paced_and_slower_beside_server_in_slow_start() -> None:
    migration_counts = []
    for started_at in (0.0, 99.5):
        proxy, _ = proxy_with_connections(8)
        proxy.watch(EndpointEntry(3, Stage.READY, zone="a", started_at=started_at))
        list_stage(proxy, 1, Stage.DRAINING)
        start = proxy.now
        while not migrated(proxy.run_until(proxy.now + 0.01)):
            assert proxy.now < start + 2.0
        migration_count = 0
        while proxy.now < start + 2.0:
            migration_count += len(migrated(proxy.run_until(proxy.now + 0.05)))
        migration_counts.append(migration_count)
    assert migration_counts[0] > migration_counts[1]


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
