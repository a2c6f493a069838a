"""Moves off draining backends: who is told, in what order and how fast."""

from __future__ import annotations

from msgspec import structs

from ironmill.balancing.interface import (
    Action,
    Carried,
    Entry,
    ListChanged,
    ListKind,
    Move,
    Outcome,
    Request,
    Send,
    Stage,
)
from tests.support.balancing import SAFE, Relay, entries, sends

DEAR = structs.replace(SAFE, name="dear", worth=6.0)


def told(relay: Relay, backend: int, stage: Stage) -> None:
    relay.play(ListChanged(ListKind.DELTA, (Entry(backend, stage, zone="a"),)))


def full(count: int = 4) -> tuple[Relay, list[Send]]:
    """A relay with standing connections on two backends, of both classes."""
    relay = Relay(2, classes=(SAFE, DEAR))
    out = [send for at in range(count) for send in sends(relay.request((SAFE, DEAR)[at % 2]))]
    for send in out:
        relay.stand(send)
    return relay, out


def moved(actions: list[Action]) -> list[str]:
    return [action.id for action in actions if isinstance(action, Move)]


def test_all_on_a_draining_backend_are_told_once_those_of_most_worth_first() -> None:
    relay, out = full(8)
    told(relay, 1, Stage.DRAINING)
    ids = moved(relay.run(relay.now + 10.0))
    here = [send.id for send in out if send.backend == 1]
    assert sorted(ids) == sorted(here)
    dear = [id_ for id_ in here if int(id_[1:]) % 2 == 0]
    assert set(ids[: len(dear)]) == set(dear)


def test_moves_are_paced_and_slower_beside_a_cold_backend() -> None:
    spans = []
    for boot in (0.0, 99.5):
        relay, _ = full(8)
        relay.play(ListChanged(ListKind.DELTA, (Entry(3, Stage.READY, zone="a", started_at=boot),)))
        told(relay, 1, Stage.DRAINING)
        begin = relay.now
        while not moved(relay.run(relay.now + 0.01)):
            assert relay.now < begin + 2.0
        count = 0
        while relay.now < begin + 2.0:
            count += len(moved(relay.run(relay.now + 0.05)))
        spans.append(count)
    assert spans[0] > spans[1]


def test_an_attempt_that_stands_later_is_told_too_and_a_returned_backend_keeps_its_own() -> None:
    relay, _ = full(2)
    (late,) = [s for s in sends(relay.request()) if s] or [None]
    assert late is not None
    told(relay, late.backend, Stage.DRAINING)
    relay.run(relay.now + 3.0)
    relay.stand(late)
    assert late.id in moved(relay.run(relay.now + 3.0))

    relay, _ = full(4)
    told(relay, 1, Stage.DRAINING)
    told(relay, 1, Stage.READY)
    assert moved(relay.run(relay.now + 5.0)) == []


def test_carried_connections_are_told_and_what_ended_is_not() -> None:
    relay = Relay()
    relay.play(ListChanged(ListKind.FULL, entries(2)))
    for at in range(2):
        relay.play(Carried(Request(f"c{at}", SAFE.name, 0.0), 1))
    relay.end(Send("c0", 1, 0.0), Outcome.OK, final=True)
    told(relay, 1, Stage.DRAINING)
    assert moved(relay.run(relay.now + 5.0)) == ["c1"]


def test_nothing_is_looked_at_once_the_backend_is_empty() -> None:
    relay, out = full(4)
    told(relay, 1, Stage.DRAINING)
    for send in out:
        relay.end(send, Outcome.OK, final=True)
    relay.run(relay.now + 5.0)
    assert relay.timers == []
