"""The threshold rule: green, yellow, any server, and one step of the threshold after each placement."""

from __future__ import annotations

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ironmill.balancing.interface import (
    Abandoned,
    EndpointEntry,
    Established,
    Outcome,
    Request,
    Resumed,
    Send,
    Stage,
    WatchEventKind,
)
from ironmill.balancing.placement import ALPHA
from tests.support.balancing import SimulatedProxy, entries, sends


def resumed(number: int, server: int) -> Resumed:
    return Resumed(Request(f"c{number}", "read", 0.0), server)


def test_threshold_starts_at_mean_of_resumed_connections() -> None:
    proxy = SimulatedProxy(4)
    for number in range(9):
        proxy.handle(resumed(number, 1 + number % 4))
    proxy.request()
    # The mean of 9 over 4 servers is 2. Server 1 has 3, the others 2: no green, three yellow, so no step.
    assert proxy.balancer.threshold == 2
    assert sends(proxy.actions)[0].server_id != 1


def test_green_goes_before_yellow() -> None:
    proxy = SimulatedProxy(4)
    for number in range(8):
        proxy.handle(resumed(number, 1 + number % 3))
    proxy.request()
    assert sends(proxy.actions)[0].server_id == 4


def test_threshold_rises_when_at_most_one_yellow_token_is_left() -> None:
    proxy = SimulatedProxy(4)
    for _ in range(3):
        proxy.request()
        assert proxy.balancer.threshold == 0
    proxy.request()  # the fourth takes the last yellow token
    assert proxy.balancer.threshold == 1
    assert len({send.server_id for send in sends(proxy.actions)}) == 4


def test_threshold_falls_when_green_is_plenty_and_never_below_zero() -> None:
    proxy = SimulatedProxy(20)
    for number in range(20):
        proxy.handle(resumed(number, 1 + number))
    proxy.request()
    assert proxy.balancer.threshold == 1
    for number in range(20):
        proxy.handle(Abandoned(f"c{number}"))
        proxy.end(Send(f"c{number}", 1 + number, 0.0), Outcome.CANCELLED, final=True)
    assert (1 - ALPHA) * 20 <= 19
    proxy.request()
    assert proxy.balancer.threshold == 0
    proxy.request()
    assert proxy.balancer.threshold == 0


OUTCOMES = st.sampled_from(list(Outcome))
STEPS = st.lists(
    st.tuples(st.integers(0, 9), st.integers(0, 40), OUTCOMES, st.floats(0.0, 1.5)), min_size=20, max_size=80
)


@seed(7)
@settings(max_examples=80, database=None, deadline=None)
@given(STEPS)
def test_counts_agree_with_a_recount_over_any_events(steps: list[tuple[int, int, Outcome, float]]) -> None:
    """Counts never leak or go negative, one attempt at most is in flight, and each request has one answer."""
    proxy = SimulatedProxy(6)
    out: dict[str, Send] = {}
    attempts: dict[str, int] = {}
    over: set[str] = set()
    answered: dict[str, int] = {}

    def take(actions: list[object]) -> None:
        for action in actions:
            if isinstance(action, Send):
                assert action.request_id not in out, "two attempts in flight"
                assert action.request_id not in over, "sent after the end"
                out[action.request_id] = action
                attempts[action.request_id] = attempts.get(action.request_id, -1) + 1
            elif type(action).__name__ in ("Reject", "Fail"):
                answered[action.request_id] = answered.get(action.request_id, 0) + 1  # type: ignore[attr-defined]
                over.add(action.request_id)  # type: ignore[attr-defined]

    for kind, pick, outcome, wait in steps:
        if kind <= 3:
            take(list(proxy.request(wait=wait)))
        elif kind == 4:
            take(list(proxy.run_until(proxy.now + wait)))
        elif kind == 5:
            stage = (Stage.READY, Stage.DRAINING, Stage.GONE)[pick % 3]
            entry = EndpointEntry(1 + pick % 6, stage, started_at=proxy.now if pick % 2 else 0.0)
            take(list(proxy.watch(entry)))
        elif out:
            send = list(out.values())[pick % len(out)]
            if kind == 6:
                take(
                    list(
                        proxy.handle(
                            Established(send.request_id, attempts[send.request_id], send.server_id, 0.2)
                        )
                    )
                )
                over.add(send.request_id)
            elif kind == 7:
                over.add(send.request_id)
                take(list(proxy.handle(Abandoned(send.request_id))))
            else:
                del out[send.request_id]
                final = outcome is Outcome.OK or send.request_id in over
                if final:
                    over.add(send.request_id)
                take(list(proxy.end(send, outcome, attempts[send.request_id], final)))
        live = proxy.balancer.connection_counts()
        for server, count in live.items():
            assert count == sum(send.server_id == server for send in out.values())
        for server, count in proxy.balancer.token_counts().items():
            assert count >= live[server] >= 0
    take(list(proxy.run_until(proxy.now + 5.0)))
    for send in list(out.values()):
        take(list(proxy.end(send, Outcome.TIMEOUT, attempts[send.request_id], send.request_id in over)))
        over.discard("")
    take(list(proxy.run_until(proxy.now + 5.0)))
    for number in range(1, proxy.serial + 1):
        assert answered.get(f"r{number}", 0) == 1 or f"r{number}" in over or f"r{number}" in out
    assert all(count == 1 for count in answered.values())


def test_list_changes_keep_token_table_complete() -> None:
    proxy = SimulatedProxy(5)
    proxy.watch(*entries(3), kind=WatchEventKind.FULL)
    assert sorted(proxy.balancer.token_counts()) == [1, 2, 3]
    proxy.watch(EndpointEntry(9, Stage.READY), EndpointEntry(2, Stage.GONE))
    assert sorted(proxy.balancer.token_counts()) == [1, 3, 9]
    proxy.watch(kind=WatchEventKind.FAILED)
    assert sorted(proxy.balancer.token_counts()) == [1, 3, 9]


def test_server_of_half_the_weight_gets_half_of_the_placements() -> None:
    """Servers have different sizes; equal draws would overload the small ones."""
    small = large = 0
    for number in range(400):
        proxy = SimulatedProxy(seed=number)
        fleet = [
            EndpointEntry(server, Stage.READY, weight=1.0 if server <= 5 else 2.0) for server in range(1, 11)
        ]
        proxy.watch(*fleet, kind=WatchEventKind.FULL)
        chosen = sends(proxy.request())[0].server_id
        small += chosen <= 5
        large += chosen > 5
    assert 1.5 < large / small < 2.7


def test_small_server_is_used_when_large_one_is_not_ready() -> None:
    """Skipping small servers must never leave a request waiting while a server is ready."""
    for number in range(60):
        proxy = SimulatedProxy(seed=number)
        starting = EndpointEntry(2, Stage.READY, weight=50.0, started_at=proxy.now)
        proxy.watch(EndpointEntry(1, Stage.READY, weight=1.0), starting, kind=WatchEventKind.FULL)
        assert len(sends(proxy.request(returning=True))) == 1
