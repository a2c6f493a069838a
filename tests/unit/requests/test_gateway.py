"""Tests of the gateway, its delay meter and its routing table, without sockets and on a fake clock."""

from __future__ import annotations

import itertools
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import Abandoned, Ended, Event, Outcome, Resumed, Stage, WatchEventKind
from ironmill.protocol.discovery import EndpointUpdate, parse_endpoint_update
from ironmill.protocol.json_object import JsonObject, MalformedError
from ironmill.protocol.request import RequestAttributes
from ironmill.requests.client_request import Attempt, IncomingRequest
from ironmill.requests.gateway import Gateway
from ironmill.requests.request_registry import OVERDUE_DELAY_S
from ironmill.requests.response_delay import UNRESPONSIVE_TIMEOUT_S, DelayMeter
from ironmill.requests.routing_table import RoutingTable
from tests.support.balancing import SETTINGS
from tests.support.requests import FakeTimers, RecordingHandler, config, listed


class GatewayMachine(RuleBasedStateMachine):
    """Checks that each request gets one answer, each attempt ends once, and attempts never overlap."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.timers = FakeTimers(self.patch)
        self.events: list[Event] = []
        original_handle = Balancer.handle

        def recording_handle(balancer: Balancer, event: Event, now: float) -> Any:
            self.events.append(event)
            return original_handle(balancer, event, now)

        self.patch.setattr(Balancer, "handle", recording_handle)
        self.gateway = Gateway(config(), self.timers)
        self.handlers: list[tuple[RecordingHandler, Any]] = []
        self.established_ids: set[str] = set()
        self.abandoned_ids: set[str] = set()

    def teardown(self) -> None:
        self.timers.run(5.0)  # all deadlines have passed by then
        for handler, request in self.handlers:
            outcome_count = (
                len(handler.answers)
                + (request.id in self.established_ids)
                + (request.id in self.abandoned_ids)
            )
            assert outcome_count == 1, (handler.answers, request)
        assert self.gateway.pending_count() == 0
        self.patch.undo()

    def running_attempts(self) -> list[Attempt]:
        last_attempts = [handler.attempts[-1] for handler, _ in self.handlers if handler.attempts]
        return [attempt for attempt in last_attempts if not attempt.ended]

    @rule(deadline_s=st.sampled_from([0.0, 0.05, 1.0, None]), is_rerouted=st.booleans())
    def open_request(self, deadline_s: float | None, is_rerouted: bool) -> None:
        handler = RecordingHandler()
        incoming = IncomingRequest(
            "read", self.gateway.now(), deadline_s, RequestAttributes(rerouted=is_rerouted)
        )
        request = self.gateway.open_request(handler, incoming)
        self.handlers.append((handler, request))

    @precondition(lambda self: self.running_attempts())
    @rule(index=st.integers(0, 99))
    def establish(self, index: int) -> None:
        attempt = self.running_attempts()[index % len(self.running_attempts())]
        pending = not attempt.request.resolved
        assert self.gateway.on_established(attempt) == pending
        if pending:
            self.established_ids.add(attempt.request.id)

    @precondition(lambda self: self.running_attempts())
    @rule(index=st.integers(0, 99), outcome=st.sampled_from([o for o in Outcome if o is not Outcome.OK]))
    def end_attempt(self, index: int, outcome: Outcome) -> None:
        attempt = self.running_attempts()[index % len(self.running_attempts())]
        self.gateway.on_attempt_ended(attempt, outcome)
        self.gateway.on_attempt_ended(attempt, Outcome.RESET)  # a second call is not reported

    @precondition(lambda self: self.handlers)
    @rule(index=st.integers(0, 99))
    def close_client(self, index: int) -> None:
        handler, request = self.handlers[index % len(self.handlers)]
        if not request.resolved:
            self.abandoned_ids.add(request.id)
        self.gateway.on_client_closed(request)
        if handler.attempts:
            self.gateway.on_attempt_ended(handler.attempts[-1], Outcome.CANCELLED)

    @rule(duration_s=st.sampled_from([0.01, 0.2, 3.0]))
    def advance_clock(self, duration_s: float) -> None:
        self.timers.run(duration_s)

    @rule(stage=st.sampled_from([Stage.READY, Stage.DRAINING, Stage.GONE]), full=st.booleans())
    def update_endpoints(self, stage: Stage, full: bool) -> None:
        self.gateway.on_endpoints(EndpointUpdate(2, full, (listed("s-2", stage),)))

    @invariant()
    def each_attempt_ends_once(self) -> None:
        ended_attempts = [
            (event.request_id, event.attempt) for event in self.events if isinstance(event, Ended)
        ]
        assert len(ended_attempts) == len(set(ended_attempts))
        attempts = [attempt for handler, _ in self.handlers for attempt in handler.attempts]
        assert set(ended_attempts) >= {
            (attempt.request.id, attempt.number) for attempt in attempts if attempt.ended
        }


TestGateway = GatewayMachine.TestCase


def test_request_without_a_decision_is_failed_at_its_deadline(
    timers: FakeTimers, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Every request is answered, even if the balancer raises an exception."""
    gateway, handler = Gateway(config(), timers), RecordingHandler()

    def broken(*_: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(Balancer, "handle", broken)
    gateway.open_request(handler, IncomingRequest("read", gateway.now(), 1.0))
    timers.run(0.9)
    assert handler.answers == []
    timers.run(0.1 + OVERDUE_DELAY_S)
    assert handler.answers == ["ERR"]


def test_attempt_may_not_start_late_at_a_leaving_server(timers: FakeTimers) -> None:
    """The drain rule also applies to an attempt that was requested in time but connects slowly."""
    gateway, handler = Gateway(config(EndpointUpdate(1, True, (listed("s-1"),))), timers), RecordingHandler()
    gateway.open_request(handler, IncomingRequest("read", gateway.now(), 1.0))
    (attempt,) = handler.attempts
    gateway.on_endpoints(EndpointUpdate(2, False, (listed("s-1", Stage.DRAINING),)))
    assert gateway.may_start(attempt)
    gateway.on_endpoints(EndpointUpdate(3, False, (listed("s-1", Stage.GONE),)))
    timers.run(0.24)
    assert not gateway.may_start(attempt)
    gateway.on_endpoints(EndpointUpdate(4, False, (listed("s-1"),)))
    assert gateway.may_start(attempt)
    # The grace period starts when the proxy was notified, not when the update is applied.
    gateway.on_endpoints(EndpointUpdate(5, True, (), age=0.06))
    assert gateway.may_start(attempt)
    timers.run(0.06)
    assert not gateway.may_start(attempt)


def test_attempt_starts_early_enough_for_a_suspended_process_to_meet_the_drain_grace(
    timers: FakeTimers,
) -> None:
    """Guards against a request line written after the drain grace period.

    The process may be suspended for 0.15 s between reading its clock and writing.
    """
    gateway, handler = Gateway(config(EndpointUpdate(1, True, (listed("s-1"),))), timers), RecordingHandler()
    gateway.open_request(handler, IncomingRequest("read", gateway.now(), 1.0))
    (attempt,) = handler.attempts
    gateway.on_endpoints(EndpointUpdate(2, False, (listed("s-1", Stage.DRAINING),)))
    timers.run(0.09)
    assert gateway.may_start(attempt)
    timers.run(0.02)
    assert not gateway.may_start(attempt)


def test_resumed_connection_is_reported_at_a_removed_server_as_well(
    timers: FakeTimers, monkeypatch: pytest.MonkeyPatch
) -> None:
    gateway, events = Gateway(config(), timers), list[Event]()
    gateway.on_endpoints(EndpointUpdate(2, True, (listed("s-2"),)))
    handle = Balancer.handle
    monkeypatch.setattr(Balancer, "handle", lambda b, e, now: events.append(e) or handle(b, e, now))
    server = gateway.server("s-1")
    assert server is not None
    attempt = gateway.resume(
        RecordingHandler(), server, IncomingRequest("read", attributes=RequestAttributes(key=5))
    )
    gateway.on_attempt_ended(attempt, Outcome.OK)
    resumed, ended = events
    assert isinstance(resumed, Resumed)
    assert isinstance(ended, Ended)
    assert (resumed.server_id, resumed.request.key, ended.attempt, ended.final) == (server.number, 5, 0, True)
    assert gateway.established() == []


def test_abandoned_request_is_reported_before_the_end_of_its_attempt(
    timers: FakeTimers, monkeypatch: pytest.MonkeyPatch
) -> None:
    gateway, handler, events = Gateway(config(), timers), RecordingHandler(), list[Event]()
    request = gateway.open_request(handler, IncomingRequest("read", gateway.now(), 1.0))
    handle = Balancer.handle
    monkeypatch.setattr(Balancer, "handle", lambda b, e, now: events.append(e) or handle(b, e, now))
    gateway.on_client_closed(request)
    gateway.on_attempt_ended(handler.attempts[0], Outcome.CANCELLED)
    assert [type(event) for event in events] == [Abandoned, Ended]
    assert isinstance(events[1], Ended)
    assert events[1].final


class RecordingMeter:
    """A delay meter on a fake clock that records its reports."""

    def __init__(self, timers: FakeTimers) -> None:
        self.reports: list[tuple[str, float]] = []
        self.unresponsive: list[str] = []
        self.meter = DelayMeter(
            timers,
            0.05,
            lambda id_, delay: self.reports.append((id_, round(delay, 3))),
            self.unresponsive.append,
            clock=lambda: timers.now,
        )


def test_quick_answers_are_not_reported(timers: FakeTimers) -> None:
    recording = RecordingMeter(timers)
    recording.meter.add_connection("a")
    for _ in range(20):
        recording.meter.lines_sent("a", 1)
        timers.run(0.04)
        recording.meter.lines_answered("a", 1)
        timers.run(2.0)
    assert (recording.reports, recording.unresponsive) == ([], [])


def test_slow_answers_are_reported_every_second_and_once_at_recovery(timers: FakeTimers) -> None:
    recording = RecordingMeter(timers)
    for id_ in "ab":
        recording.meter.add_connection(id_)
    for _ in range(3):
        recording.meter.lines_sent("a", 1)
        timers.run(0.2)
        recording.meter.lines_answered("a", 1)
        timers.run(0.6)
    assert recording.reports == [("a", 0.05), ("a", 0.2), ("a", 0.2)]
    timers.run(5.0)
    assert recording.reports[-1][1] <= 0.05
    count = len(recording.reports)
    timers.run(5.0)
    assert len(recording.reports) == count


def test_unanswered_line_counts_as_delay_and_unresponsive_connection_is_given_up(timers: FakeTimers) -> None:
    """Guards against clients that wait forever: connections of a lost machine stay open without any data."""
    recording = RecordingMeter(timers)
    recording.meter.add_connection("a")
    recording.meter.lines_sent("a", 1)
    timers.run(UNRESPONSIVE_TIMEOUT_S - 0.1)
    assert [delay for _, delay in recording.reports] == [0.05, 1.05, 2.05]
    assert UNRESPONSIVE_TIMEOUT_S + 2.0 < 6.0  # clients send a line every 2 s; 7 s are allowed
    assert recording.unresponsive == []
    timers.run(0.2)
    assert recording.unresponsive == ["a"]
    recording.meter.remove_connection("a")
    count = len(recording.reports)
    timers.run(9.0)
    assert len(recording.reports) == count


def test_server_numbers_are_stable_and_a_full_list_drops_absent_servers() -> None:
    table = RoutingTable()
    first = table.apply(EndpointUpdate(4, True, (listed("s-1"), listed("s-2", started_at=7.5))), 1.0)
    assert first.kind is WatchEventKind.FULL
    numbers = [entry.server_id for entry in first.entries]
    assert [entry.started_at for entry in first.entries] == [0.0, 1.0]  # 7.5 is in the future
    # Another proxy that gets the list in another order assigns the same numbers.
    other = RoutingTable().apply(EndpointUpdate(9, True, (listed("s-2"), listed("s-1"))), 1.0)
    assert [entry.server_id for entry in other.entries] == numbers[::-1]
    delta = table.apply(EndpointUpdate(5, False, (listed("s-1", Stage.DRAINING),)), 2.0)
    (entry,) = delta.entries
    assert (delta.kind, entry.server_id, entry.stage) == (WatchEventKind.DELTA, numbers[0], Stage.DRAINING)
    table.apply(EndpointUpdate(6, True, (listed("s-1", Stage.DRAINING), listed("s-3"))), 3.0)
    servers = [table.by_uid(uid) for uid in ("s-1", "s-2", "s-3")]
    assert [server.leaving_since for server in servers if server] == [2.0, 3.0, None]
    assert table.revision == 6


def test_unknown_server_state_is_skipped_and_malformed_entry_raises() -> None:
    target = {"uid": "s-1", "endpoint": "127.0.0.1:5", "state": "resting"}
    tree = {"rev": 3, "all": True, "targets": [target, target | {"state": "up", "boot_ms": 1500}]}
    (server,) = parse_endpoint_update(JsonObject(tree)).servers
    assert (server.started_at, server.port) == (1.5, 5)
    for invalid_field in ({"endpoint": "nowhere"}, {"state": 5}, {"uid": None}):
        with pytest.raises(MalformedError):
            parse_endpoint_update(
                JsonObject({"rev": 3, "targets": [target | {"state": "up"} | invalid_field]})
            )


def test_attempts_are_limited_by_the_settings(timers: FakeTimers) -> None:
    gateway, handler = Gateway(config(), timers), RecordingHandler()
    gateway.open_request(handler, IncomingRequest("read", gateway.now(), 1.9))
    for step in itertools.count():
        if handler.answers or step > 50:
            break
        if handler.attempts and not handler.attempts[-1].ended:
            gateway.on_attempt_ended(handler.attempts[-1], Outcome.CONNECT_FAILED)
        timers.run(0.02)
    assert len(handler.attempts) == SETTINGS.max_attempts
    assert handler.answers[0].startswith("BUSY 0.")
