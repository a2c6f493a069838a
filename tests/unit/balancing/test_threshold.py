"""The threshold rule: order of green, yellow and other servers, and steps of the threshold."""

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
from tests.support.balancing import SimulatedProxy, endpoint_entries, sends


def resumed(number: int, server: int) -> Resumed:
    return Resumed(Request(f"c{number}", "read", 0.0), server)


def test_threshold_starts_at_mean_of_resumed_connections() -> None:
    proxy = SimulatedProxy(4)
    for number in range(9):
        proxy.handle(resumed(number, 1 + number % 4))
    proxy.request()
    # 9 connections on 4 servers have a mean of 2, rounded down. Server 1 has 3 and each other server 2: there
    # are no green and three yellow tokens, so the threshold does not change.
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
    proxy.request()  # the fourth request takes the last yellow token
    assert proxy.balancer.threshold == 1
    assert len({send.server_id for send in sends(proxy.actions)}) == 4


def test_threshold_falls_when_most_servers_are_green_and_never_below_zero() -> None:
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
    """Counts never leak or become negative, and each request has one answer and one attempt at a time."""
    proxy = SimulatedProxy(6)
    in_flight: dict[str, Send] = {}
    attempts: dict[str, int] = {}
    finished: set[str] = set()
    answer_counts: dict[str, int] = {}

    def record_actions(actions: list[object]) -> None:
        for action in actions:
            if isinstance(action, Send):
                assert action.request_id not in in_flight, "two attempts in flight"
                assert action.request_id not in finished, "attempt after the request has ended"
                in_flight[action.request_id] = action
                attempts[action.request_id] = attempts.get(action.request_id, -1) + 1
            elif type(action).__name__ in ("Reject", "Fail"):
                answer_counts[action.request_id] = answer_counts.get(action.request_id, 0) + 1  # type: ignore[attr-defined]
                finished.add(action.request_id)  # type: ignore[attr-defined]

    for step_kind, choice, outcome, duration in steps:
        if step_kind <= 3:
            record_actions(list(proxy.request(deadline_in=duration)))
        elif step_kind == 4:
            record_actions(list(proxy.run_until(proxy.now + duration)))
        elif step_kind == 5:
            stage = (Stage.READY, Stage.DRAINING, Stage.GONE)[choice % 3]
            entry = EndpointEntry(1 + choice % 6, stage, started_at=proxy.now if choice % 2 else 0.0)
            record_actions(list(proxy.watch(entry)))
        elif in_flight:
            send = list(in_flight.values())[choice % len(in_flight)]
            if step_kind == 6:
                record_actions(
                    list(
                        proxy.handle(
                            Established(send.request_id, attempts[send.request_id], send.server_id, 0.2)
                        )
                    )
                )
                finished.add(send.request_id)
            elif step_kind == 7:
                finished.add(send.request_id)
                record_actions(list(proxy.handle(Abandoned(send.request_id))))
            else:
                del in_flight[send.request_id]
                final = outcome is Outcome.OK or send.request_id in finished
                if final:
                    finished.add(send.request_id)
                record_actions(list(proxy.end(send, outcome, attempts[send.request_id], final)))
        connection_counts = proxy.balancer.connection_counts()
        for server_id, count in connection_counts.items():
            assert count == sum(send.server_id == server_id for send in in_flight.values())
        for server_id, count in proxy.balancer.token_counts().items():
            assert count >= connection_counts[server_id] >= 0
    record_actions(list(proxy.run_until(proxy.now + 5.0)))
    for send in list(in_flight.values()):
        record_actions(
            list(proxy.end(send, Outcome.TIMEOUT, attempts[send.request_id], send.request_id in finished))
        )
        finished.discard("")
    record_actions(list(proxy.run_until(proxy.now + 5.0)))
    for number in range(1, proxy.request_count + 1):
        assert (
            answer_counts.get(f"r{number}", 0) == 1 or f"r{number}" in finished or f"r{number}" in in_flight
        )
    assert all(count == 1 for count in answer_counts.values())


def test_list_changes_keep_token_table_complete() -> None:
    proxy = SimulatedProxy(5)
    proxy.watch(*endpoint_entries(3), kind=WatchEventKind.FULL)
    assert sorted(proxy.balancer.token_counts()) == [1, 2, 3]
    proxy.watch(EndpointEntry(9, Stage.READY), EndpointEntry(2, Stage.GONE))
    assert sorted(proxy.balancer.token_counts()) == [1, 3, 9]
    proxy.watch(kind=WatchEventKind.FAILED)
    assert sorted(proxy.balancer.token_counts()) == [1, 3, 9]


def test_server_of_half_the_weight_gets_half_of_the_placements() -> None:
    """Servers have different sizes; equal draws would overload the small ones."""
    small = large = 0
    for proxy_seed in range(400):
        proxy = SimulatedProxy(seed=proxy_seed)
        fleet = [
            EndpointEntry(server_id, Stage.READY, weight=1.0 if server_id <= 5 else 2.0)
            for server_id in range(1, 11)
        ]
        proxy.watch(*fleet, kind=WatchEventKind.FULL)
        selected_id = sends(proxy.request())[0].server_id
        small += selected_id <= 5
        large += selected_id > 5
    assert 1.5 < large / small < 2.7


def test_small_server_is_used_when_large_one_is_not_ready() -> None:
    """The draw by weight must never leave a request unplaced while a server is ready."""
    for proxy_seed in range(60):
        proxy = SimulatedProxy(seed=proxy_seed)
        starting = EndpointEntry(2, Stage.READY, weight=50.0, started_at=proxy.now)
        proxy.watch(EndpointEntry(1, Stage.READY, weight=1.0), starting, kind=WatchEventKind.FULL)
        assert len(sends(proxy.request(returning=True))) == 1
