"""Moves off draining servers: who is told, in what order and how fast."""

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
    WatchEvent,
    WatchEventKind,
)
from tests.support.balancing import SAFE, SimulatedProxy, entries, sends

DEAR = structs.replace(SAFE, name="dear", priority_weight=6.0)


def told(proxy: SimulatedProxy, server: int, stage: Stage) -> None:
    proxy.play(WatchEvent(WatchEventKind.DELTA, (EndpointEntry(server, stage, zone="a"),)))


def full(count: int = 4) -> tuple[SimulatedProxy, list[Send]]:
    """A proxy with standing connections on two servers, of both classes."""
    proxy = SimulatedProxy(2, classes=(SAFE, DEAR))
    out = [send for at in range(count) for send in sends(proxy.request((SAFE, DEAR)[at % 2]))]
    for send in out:
        proxy.stand(send)
    return proxy, out


def moved(actions: list[Action]) -> list[str]:
    return [action.request_id for action in actions if isinstance(action, Migrate)]


def test_all_on_a_draining_server_are_told_once_those_of_most_worth_first() -> None:
    proxy, out = full(8)
    told(proxy, 1, Stage.DRAINING)
    ids = moved(proxy.run(proxy.now + 10.0))
    here = [send.request_id for send in out if send.server_id == 1]
    assert sorted(ids) == sorted(here)
    dear = [id_ for id_ in here if int(id_[1:]) % 2 == 0]
    assert set(ids[: len(dear)]) == set(dear)


def test_moves_are_paced_and_slower_beside_a_cold_server() -> None:
    spans = []
    for boot in (0.0, 99.5):
        proxy, _ = full(8)
        proxy.play(
            WatchEvent(WatchEventKind.DELTA, (EndpointEntry(3, Stage.READY, zone="a", started_at=boot),))
        )
        told(proxy, 1, Stage.DRAINING)
        begin = proxy.now
        while not moved(proxy.run(proxy.now + 0.01)):
            assert proxy.now < begin + 2.0
        count = 0
        while proxy.now < begin + 2.0:
            count += len(moved(proxy.run(proxy.now + 0.05)))
        spans.append(count)
    assert spans[0] > spans[1]


def test_an_attempt_that_stands_later_is_told_too_and_a_returned_server_keeps_its_own() -> None:
    proxy, _ = full(2)
    (late,) = [s for s in sends(proxy.request()) if s] or [None]
    assert late is not None
    told(proxy, late.server_id, Stage.DRAINING)
    proxy.run(proxy.now + 3.0)
    proxy.stand(late)
    assert late.request_id in moved(proxy.run(proxy.now + 3.0))

    proxy, _ = full(4)
    told(proxy, 1, Stage.DRAINING)
    told(proxy, 1, Stage.READY)
    assert moved(proxy.run(proxy.now + 5.0)) == []


def test_carried_connections_are_told_and_what_ended_is_not() -> None:
    proxy = SimulatedProxy()
    proxy.play(WatchEvent(WatchEventKind.FULL, entries(2)))
    for at in range(2):
        proxy.play(Resumed(Request(f"c{at}", SAFE.name, 0.0), 1))
    proxy.end(Send("c0", 1, 0.0), Outcome.OK, final=True)
    told(proxy, 1, Stage.DRAINING)
    assert moved(proxy.run(proxy.now + 5.0)) == ["c1"]


def test_nothing_is_looked_at_once_the_server_is_empty() -> None:
    proxy, out = full(4)
    told(proxy, 1, Stage.DRAINING)
    for send in out:
        proxy.end(send, Outcome.OK, final=True)
    proxy.run(proxy.now + 5.0)
    assert proxy.timers == []
