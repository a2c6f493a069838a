"""The life of a request: attempts, effects, answers."""

from __future__ import annotations

import pytest

from ironmill.balancing.interface import (
    Abandoned,
    Ended,
    Entry,
    Established,
    Fail,
    ListChanged,
    ListKind,
    Note,
    NoteKind,
    Outcome,
    Refuse,
    Stage,
    TimerFired,
)
from tests.support.balancing import KEYED, UNSAFE, Relay, entries, sends


def answers(relay: Relay) -> list[object]:
    return [action for action in relay.actions if isinstance(action, Refuse | Fail)]


def test_further_attempts_go_to_other_backends_until_the_cap_then_one_answer() -> None:
    relay = Relay(6)
    relay.request()
    for attempt in range(4):
        sent = sends(relay.actions)
        assert len(sent) == attempt + 1
        relay.end(sent[-1], Outcome.FULL, attempt)
        relay.run(relay.now + 0.5)
    assert len({send.backend for send in sends(relay.actions)}) == 4
    assert len(answers(relay)) == 1
    relay.run(relay.now + 5)
    assert len(answers(relay)) == 1


def test_time_out_at_the_deadline_is_still_answered() -> None:
    relay = Relay(3)
    relay.request(wait=0.2)
    relay.now += 0.2
    relay.end(sends(relay.actions)[0], Outcome.TIMEOUT)
    relay.run(relay.now + 0.001)
    assert len(answers(relay)) == 1


def test_attempt_time_out_leaves_time_for_another() -> None:
    relay = Relay(3)
    relay.request(wait=2.0)
    assert sends(relay.actions)[0].timeout == pytest.approx(0.3)


def test_without_a_ready_backend_the_request_is_held_and_answered_in_time() -> None:
    relay = Relay()
    relay.request(wait=1.0)
    start = relay.now
    assert not answers(relay)
    relay.run(start + 0.7)
    assert not answers(relay)
    relay.run(start + 1.0)
    assert len(answers(relay)) == 1
    assert not sends(relay.actions)


def test_held_request_is_sent_once_a_backend_is_listed() -> None:
    relay = Relay()
    relay.request(wait=1.0)
    relay.play(ListChanged(ListKind.DELTA, entries(1)))
    relay.run(relay.now + 0.3)
    assert len(sends(relay.actions)) == 1


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.OTHER])
def test_unsafe_request_that_may_have_run_fails_at_once_and_is_never_sent_again(outcome: Outcome) -> None:
    relay = Relay(6)
    relay.request(UNSAFE)
    relay.end(sends(relay.actions)[0], outcome)
    relay.run(relay.now + 3)
    assert len(sends(relay.actions)) == 1
    assert [type(answer) for answer in answers(relay)] == [Fail]


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
def test_unsafe_request_that_never_ran_is_sent_again(outcome: Outcome) -> None:
    relay = Relay(6)
    relay.request(UNSAFE)
    relay.end(sends(relay.actions)[0], outcome)
    relay.run(relay.now + 0.5)
    assert len(sends(relay.actions)) == 2


def test_keyed_request_stays_in_its_group_and_window() -> None:
    relay = Relay(8)
    zones = {entry.backend: entry.zone for entry in entries(8)}
    for _ in range(40):
        relay.actions.clear()
        relay.request(KEYED)
        relay.end(sends(relay.actions)[0], Outcome.ERROR)
        relay.run(relay.now + 0.4)
        sent = sends(relay.actions)
        assert len(sent) == 2
        assert zones[sent[1].backend] == zones[sent[0].backend]
        relay.now += 0.8  # past the window of one second
        relay.end(sent[1], Outcome.TIMEOUT, 1)
        relay.run(relay.now + 1)
        assert len(sends(relay.actions)) == 2
        assert [type(answer) for answer in answers(relay)] == [Fail]


def test_nothing_is_sent_for_a_request_whose_client_left() -> None:
    relay = Relay(4)
    relay.request()
    relay.play(Abandoned("r1"))
    relay.end(sends(relay.actions)[0], Outcome.TIMEOUT, final=True)
    relay.run(relay.now + 3)
    assert len(sends(relay.actions)) == 1
    assert not answers(relay)
    assert sum(relay.balancer.live_counts().values()) == 0


def test_moot_send_ends_in_an_answer() -> None:
    relay = Relay(4)
    relay.request()
    relay.end(sends(relay.actions)[0], Outcome.MOOT)
    assert len(answers(relay)) == 1


def test_unknown_and_finished_requests_are_ignored() -> None:
    relay = Relay(2)
    for event in (
        Established("x", 0, 1, 0.1),
        Ended("x", 0, 1, Outcome.OK, 0.1, True),
        Note("x", 0, 1, NoteKind.DELAY, 500.0),
        Abandoned("x"),
        TimerFired("x"),
    ):
        assert relay.play(event) == []


def test_class_that_settings_do_not_name_is_treated_as_unsafe() -> None:
    relay = Relay(6)
    relay.balancer.handle(ListChanged(ListKind.DELTA, (Entry(1, Stage.READY),)), relay.now)
    from ironmill.balancing.interface import Request

    relay.play(Request("n1", "new-class", relay.now + 2))
    relay.end(sends(relay.actions)[0], Outcome.ERROR)
    relay.run(relay.now + 3)
    assert len(sends(relay.actions)) == 1
    assert [type(answer) for answer in answers(relay)] == [Fail]


def test_nothing_new_goes_to_a_draining_or_missing_backend() -> None:
    relay = Relay(4)
    relay.play(ListChanged(ListKind.DELTA, (Entry(1, Stage.DRAINING), Entry(2, Stage.GONE))))
    relay.play(ListChanged(ListKind.FULL, (*entries(1, stage=Stage.DRAINING), *entries(3)[2:])))
    for _ in range(20):
        relay.request()
    assert {send.backend for send in sends(relay.actions)} == {3}
