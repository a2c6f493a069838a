"""The lifetime of a request: attempts, retries and the final answer."""

from __future__ import annotations

import pytest

from ironmill.balancing.interface import (
    Abandoned,
    ConnectionSample,
    Ended,
    EndpointEntry,
    Established,
    Fail,
    Outcome,
    Reject,
    Request,
    SampleKind,
    Stage,
    TimerFired,
    WatchEventKind,
)
from tests.support.balancing import NOT_IDEMPOTENT, WITH_KEY, SimulatedProxy, endpoint_entries, sends


def answers(proxy: SimulatedProxy) -> list[object]:
    return [action for action in proxy.actions if isinstance(action, Reject | Fail)]


def test_retries_go_to_other_servers_up_to_limit_then_one_answer() -> None:
    proxy = SimulatedProxy(6)
    proxy.request()
    for attempt in range(4):
        sent = sends(proxy.actions)
        assert len(sent) == attempt + 1
        proxy.end(sent[-1], Outcome.FULL, attempt)
        proxy.run_until(proxy.now + 0.5)
    assert len({send.server_id for send in sends(proxy.actions)}) == 4
    assert len(answers(proxy)) == 1
    proxy.run_until(proxy.now + 5)
    assert len(answers(proxy)) == 1


def test_timeout_at_deadline_is_answered() -> None:
    proxy = SimulatedProxy(3)
    proxy.request(deadline_in=0.2)
    proxy.now += 0.2
    proxy.end(sends(proxy.actions)[0], Outcome.TIMEOUT)
    proxy.run_until(proxy.now + 0.001)
    assert len(answers(proxy)) == 1


def test_attempt_timeout_leaves_time_for_retry() -> None:
    proxy = SimulatedProxy(3)
    proxy.request(deadline_in=2.0)
    assert sends(proxy.actions)[0].timeout == pytest.approx(0.3)


def test_request_without_ready_server_waits_and_is_answered_in_time() -> None:
    proxy = SimulatedProxy()
    proxy.request(deadline_in=1.0)
    start = proxy.now
    assert not answers(proxy)
    proxy.run_until(start + 0.7)
    assert not answers(proxy)
    proxy.run_until(start + 1.0)
    assert len(answers(proxy)) == 1
    assert not sends(proxy.actions)


def test_waiting_request_is_sent_when_server_is_listed() -> None:
    proxy = SimulatedProxy()
    proxy.request(deadline_in=1.0)
    proxy.watch(*endpoint_entries(1))
    proxy.run_until(proxy.now + 0.3)
    assert len(sends(proxy.actions)) == 1


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.OTHER])
def test_non_idempotent_request_that_may_have_run_fails_without_retry(outcome: Outcome) -> None:
    proxy = SimulatedProxy(6)
    proxy.request(NOT_IDEMPOTENT)
    proxy.end(sends(proxy.actions)[0], outcome)
    proxy.run_until(proxy.now + 3)
    assert len(sends(proxy.actions)) == 1
    assert [type(answer) for answer in answers(proxy)] == [Fail]


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
def test_non_idempotent_request_that_never_ran_is_retried(outcome: Outcome) -> None:
    proxy = SimulatedProxy(6)
    proxy.request(NOT_IDEMPOTENT)
    proxy.end(sends(proxy.actions)[0], outcome)
    proxy.run_until(proxy.now + 0.5)
    assert len(sends(proxy.actions)) == 2


def test_request_with_key_is_retried_only_in_its_scope_and_window() -> None:
    proxy = SimulatedProxy(8)
    zones = {entry.server_id: entry.zone for entry in endpoint_entries(8)}
    for _ in range(40):
        proxy.actions.clear()
        proxy.request(WITH_KEY)
        proxy.end(sends(proxy.actions)[0], Outcome.ERROR)
        proxy.run_until(proxy.now + 0.4)
        sent = sends(proxy.actions)
        assert len(sent) == 2
        assert zones[sent[1].server_id] == zones[sent[0].server_id]
        proxy.now += 0.8  # past the deduplication window of 1 s
        proxy.end(sent[1], Outcome.TIMEOUT, 1)
        proxy.run_until(proxy.now + 1)
        assert len(sends(proxy.actions)) == 2
        assert [type(answer) for answer in answers(proxy)] == [Fail]


def test_nothing_is_sent_after_client_left() -> None:
    proxy = SimulatedProxy(4)
    proxy.request()
    proxy.handle(Abandoned("r1"))
    proxy.end(sends(proxy.actions)[0], Outcome.TIMEOUT, final=True)
    proxy.run_until(proxy.now + 3)
    assert len(sends(proxy.actions)) == 1
    assert not answers(proxy)
    assert sum(proxy.balancer.connection_counts().values()) == 0


def test_attempt_that_was_not_sent_is_answered() -> None:
    proxy = SimulatedProxy(4)
    proxy.request()
    proxy.end(sends(proxy.actions)[0], Outcome.NOT_SENT)
    assert len(answers(proxy)) == 1


def test_unknown_and_finished_requests_are_ignored() -> None:
    proxy = SimulatedProxy(2)
    for event in (
        Established("x", 0, 1, 0.1),
        Ended("x", 0, 1, Outcome.OK, 0.1, True),
        ConnectionSample("x", 0, 1, SampleKind.DELAY, 500.0),
        Abandoned("x"),
        TimerFired("x"),
    ):
        assert proxy.handle(event) == []


def test_unknown_class_is_not_retried() -> None:
    proxy = SimulatedProxy(6)
    proxy.watch(EndpointEntry(1, Stage.READY))
    proxy.handle(Request("n1", "new-class", proxy.now + 2))
    proxy.end(sends(proxy.actions)[0], Outcome.ERROR)
    proxy.run_until(proxy.now + 3)
    assert len(sends(proxy.actions)) == 1
    assert [type(answer) for answer in answers(proxy)] == [Fail]


def test_draining_and_missing_servers_get_nothing_new() -> None:
    proxy = SimulatedProxy(4)
    proxy.watch(EndpointEntry(1, Stage.DRAINING), EndpointEntry(2, Stage.GONE))
    proxy.watch(
        *endpoint_entries(1, stage=Stage.DRAINING), *endpoint_entries(3)[2:], kind=WatchEventKind.FULL
    )
    for _ in range(20):
        proxy.request()
    assert {send.server_id for send in sends(proxy.actions)} == {3}
