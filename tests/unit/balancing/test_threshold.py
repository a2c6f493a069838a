"""The ordinary path: green, yellow, random, and one step of the threshold a placement."""

from __future__ import annotations

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ironmill.balancing.balancer import ALPHA
from ironmill.balancing.interface import (
    Abandoned,
    Carried,
    Entry,
    Established,
    ListChanged,
    ListKind,
    Outcome,
    Request,
    Send,
    Stage,
)
from tests.support.balancing import Relay, entries, sends


def carried(number: int, backend: int) -> Carried:
    return Carried(Request(f"c{number}", "read", 0.0), backend)


def test_threshold_starts_at_the_mean_of_what_is_open() -> None:
    relay = Relay(4)
    for number in range(9):
        relay.play(carried(number, 1 + number % 4))
    relay.request()
    # 9 over 4 is 2: backends 2, 3 and 4 hold 2, backend 1 holds 3; no green, three yellow, so no step.
    assert relay.balancer.threshold == 2
    assert sends(relay.actions)[0].backend != 1


def test_green_goes_before_yellow() -> None:
    relay = Relay(4)
    for number in range(8):
        relay.play(carried(number, 1 + number % 3))
    relay.request()
    assert sends(relay.actions)[0].backend == 4


def test_threshold_rises_when_at_most_one_yellow_token_is_left() -> None:
    relay = Relay(4)
    for _ in range(3):
        relay.request()
        assert relay.balancer.threshold == 0
    relay.request()  # the fourth takes the last yellow token
    assert relay.balancer.threshold == 1
    assert len({send.backend for send in sends(relay.actions)}) == 4


def test_threshold_falls_when_green_is_plenty_and_never_below_zero() -> None:
    relay = Relay(20)
    for number in range(20):
        relay.play(carried(number, 1 + number))
    relay.request()
    assert relay.balancer.threshold == 1
    for number in range(20):
        relay.play(Abandoned(f"c{number}"))
        relay.end(Send(f"c{number}", 1 + number, 0.0), Outcome.CANCELLED, final=True)
    assert (1 - ALPHA) * 20 <= 19
    relay.request()
    assert relay.balancer.threshold == 0
    relay.request()
    assert relay.balancer.threshold == 0


OUTCOMES = st.sampled_from(list(Outcome))
STEPS = st.lists(
    st.tuples(st.integers(0, 9), st.integers(0, 40), OUTCOMES, st.floats(0.0, 1.5)), min_size=20, max_size=80
)


@seed(7)
@settings(max_examples=80, database=None, deadline=None)
@given(STEPS)
def test_counts_agree_with_a_recount_over_any_events(steps: list[tuple[int, int, Outcome, float]]) -> None:
    """Counts never leak or go negative, at most one attempt is out, and each request has one answer."""
    relay = Relay(6)
    out: dict[str, Send] = {}
    attempts: dict[str, int] = {}
    over: set[str] = set()
    answered: dict[str, int] = {}

    def take(actions: list[object]) -> None:
        for action in actions:
            if isinstance(action, Send):
                assert action.id not in out, "two attempts out at once"
                assert action.id not in over, "sent after the end"
                out[action.id] = action
                attempts[action.id] = attempts.get(action.id, -1) + 1
            elif type(action).__name__ in ("Refuse", "Fail"):
                answered[action.id] = answered.get(action.id, 0) + 1  # type: ignore[attr-defined]
                over.add(action.id)  # type: ignore[attr-defined]

    for kind, pick, outcome, wait in steps:
        if kind <= 3:
            take(list(relay.request(wait=wait)))
        elif kind == 4:
            take(list(relay.run(relay.now + wait)))
        elif kind == 5:
            stage = (Stage.READY, Stage.DRAINING, Stage.GONE)[pick % 3]
            entry = Entry(1 + pick % 6, stage, started_at=relay.now if pick % 2 else 0.0)
            take(list(relay.play(ListChanged(ListKind.DELTA, (entry,)))))
        elif out:
            send = list(out.values())[pick % len(out)]
            if kind == 6:
                take(list(relay.play(Established(send.id, attempts[send.id], send.backend, 0.2))))
                over.add(send.id)
            elif kind == 7:
                over.add(send.id)
                take(list(relay.play(Abandoned(send.id))))
            else:
                del out[send.id]
                final = outcome is Outcome.OK or send.id in over
                if final:
                    over.add(send.id)
                take(list(relay.end(send, outcome, attempts[send.id], final)))
        live = relay.balancer.live_counts()
        for backend, count in live.items():
            assert count == sum(send.backend == backend for send in out.values())
        for backend, count in relay.balancer.token_counts().items():
            assert count >= live[backend] >= 0
    take(list(relay.run(relay.now + 5.0)))
    for send in list(out.values()):
        take(list(relay.end(send, Outcome.TIMEOUT, attempts[send.id], send.id in over)))
        over.discard("")
    take(list(relay.run(relay.now + 5.0)))
    for number in range(1, relay.serial + 1):
        assert answered.get(f"r{number}", 0) == 1 or f"r{number}" in over or f"r{number}" in out
    assert all(count == 1 for count in answered.values())


def test_fleet_changes_keep_the_table_whole() -> None:
    relay = Relay(5)
    relay.play(ListChanged(ListKind.FULL, entries(3)))
    assert sorted(relay.balancer.token_counts()) == [1, 2, 3]
    relay.play(ListChanged(ListKind.DELTA, (Entry(9, Stage.READY), Entry(2, Stage.GONE))))
    assert sorted(relay.balancer.token_counts()) == [1, 3, 9]
    relay.play(ListChanged(ListKind.FAILED))
    assert sorted(relay.balancer.token_counts()) == [1, 3, 9]


def test_backend_of_half_the_size_takes_half_of_the_placements() -> None:
    """A fleet of unlike machines: equal draws jam the small ones."""
    small = large = 0
    for number in range(400):
        relay = Relay(seed=number)
        fleet = [Entry(backend, Stage.READY, weight=1.0 if backend <= 5 else 2.0) for backend in range(1, 11)]
        relay.play(ListChanged(ListKind.FULL, tuple(fleet)))
        chosen = sends(relay.request())[0].backend
        small += chosen <= 5
        large += chosen > 5
    assert 1.5 < large / small < 2.7


def test_small_machine_is_used_at_once_when_the_large_one_is_not_ready() -> None:
    """Passing over small machines must never leave a request waiting beside a ready backend."""
    for number in range(60):
        relay = Relay(seed=number)
        cold = Entry(2, Stage.READY, weight=50.0, started_at=relay.now)
        relay.play(ListChanged(ListKind.FULL, (Entry(1, Stage.READY, weight=1.0), cold)))
        assert len(sends(relay.request(returning=True))) == 1
