"""Migration off draining servers: which connections, in which order and how fast."""

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
from tests.support.balancing import IDEMPOTENT, SimulatedProxy, entries, sends

HIGH_PRIORITY = structs.replace(IDEMPOTENT, name="urgent", priority_weight=6.0)


def list_stage(proxy: SimulatedProxy, server: int, stage: Stage) -> None:
    proxy.watch(EndpointEntry(server, stage, zone="a"))


def proxy_with_connections(count: int = 4) -> tuple[SimulatedProxy, list[Send]]:
    """A proxy with established connections on two servers, of both classes."""
    proxy = SimulatedProxy(2, classes=(IDEMPOTENT, HIGH_PRIORITY))
    out = [send for at in range(count) for send in sends(proxy.request((IDEMPOTENT, HIGH_PRIORITY)[at % 2]))]
    for send in out:
        proxy.establish(send)
    return proxy, out


def migrated(actions: list[Action]) -> list[str]:
    return [action.request_id for action in actions if isinstance(action, Migrate)]


def test_migrates_each_connection_off_draining_server_once_by_priority() -> None:
    proxy, out = proxy_with_connections(8)
    list_stage(proxy, 1, Stage.DRAINING)
    ids = migrated(proxy.run_until(proxy.now + 10.0))
    here = [send.request_id for send in out if send.server_id == 1]
    assert sorted(ids) == sorted(here)
    high_priority = [id_ for id_ in here if int(id_[1:]) % 2 == 0]
    assert set(ids[: len(high_priority)]) == set(high_priority)


def test_drain_is_paced_and_slower_beside_server_in_slow_start() -> None:
    spans = []
    for started_at in (0.0, 99.5):
        proxy, _ = proxy_with_connections(8)
        proxy.watch(EndpointEntry(3, Stage.READY, zone="a", started_at=started_at))
        list_stage(proxy, 1, Stage.DRAINING)
        begin = proxy.now
        while not migrated(proxy.run_until(proxy.now + 0.01)):
            assert proxy.now < begin + 2.0
        count = 0
        while proxy.now < begin + 2.0:
            count += len(migrated(proxy.run_until(proxy.now + 0.05)))
        spans.append(count)
    assert spans[0] > spans[1]


def test_drain_migrates_late_connection_and_stops_when_server_is_ready_again() -> None:
    proxy, _ = proxy_with_connections(2)
    (late,) = [s for s in sends(proxy.request()) if s] or [None]
    assert late is not None
    list_stage(proxy, late.server_id, Stage.DRAINING)
    proxy.run_until(proxy.now + 3.0)
    proxy.establish(late)
    assert late.request_id in migrated(proxy.run_until(proxy.now + 3.0))

    proxy, _ = proxy_with_connections(4)
    list_stage(proxy, 1, Stage.DRAINING)
    list_stage(proxy, 1, Stage.READY)
    assert migrated(proxy.run_until(proxy.now + 5.0)) == []


def test_drain_migrates_resumed_connections_but_not_closed_ones() -> None:
    proxy = SimulatedProxy()
    proxy.watch(*entries(2), kind=WatchEventKind.FULL)
    for at in range(2):
        proxy.handle(Resumed(Request(f"c{at}", IDEMPOTENT.name, 0.0), 1))
    proxy.end(Send("c0", 1, 0.0), Outcome.OK, final=True)
    list_stage(proxy, 1, Stage.DRAINING)
    assert migrated(proxy.run_until(proxy.now + 5.0)) == ["c1"]


def test_drain_timer_stops_when_server_has_no_connections() -> None:
    proxy, out = proxy_with_connections(4)
    list_stage(proxy, 1, Stage.DRAINING)
    for send in out:
        proxy.end(send, Outcome.OK, final=True)
    proxy.run_until(proxy.now + 5.0)
    assert proxy.timers == []
