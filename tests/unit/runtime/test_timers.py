"""Timers: cancelled ones never fire, others fire once and in order, and cancelled entries are removed."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ironmill.runtime import timers as timers_module
from ironmill.runtime.timers import Timer, TimerQueue


class TimerModel(RuleBasedStateMachine):
    """Compares random timers, cancellations and clock steps with a plain list of pending timers."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.queue = TimerQueue(lambda: self.now)
        self.pending: list[tuple[float, int]] = []  # due time and number
        self.timers: dict[int, Timer] = {}
        self.fired: list[int] = []
        self.default_threshold, timers_module.MIN_CANCELLED_TO_REMOVE = (
            timers_module.MIN_CANCELLED_TO_REMOVE,
            4,
        )

    def teardown(self) -> None:
        timers_module.MIN_CANCELLED_TO_REMOVE = self.default_threshold

    @rule(delay=st.sampled_from([0.0, 0.5, 1.0, 2.0, 30.0]))
    def call_later(self, delay: float) -> None:
        number = len(self.timers)
        self.timers[number] = self.queue.call_later(delay, self.fired.append, number)
        self.pending.append((self.now + delay, number))

    @rule(choice=st.integers(0, 60))
    def cancel(self, choice: int) -> None:
        number = choice % max(1, len(self.timers))
        self.queue.cancel(self.timers.get(number))
        self.pending = [entry for entry in self.pending if entry[1] != number]

    @rule(duration=st.sampled_from([0.0, 0.5, 1.5]))
    def advance_clock(self, duration: float) -> None:
        self.now += duration
        self.fired.clear()
        delay = self.queue.run()
        due = sorted(entry for entry in self.pending if entry[0] <= self.now)
        assert self.fired == [number for _, number in due]
        self.pending = [entry for entry in self.pending if entry not in due]
        if self.pending:
            # The delay may end early for a cancelled entry, but not after a pending one is due.
            assert delay is not None
            assert self.now + delay <= min(self.pending)[0]

    @invariant()
    def length_is_pending_count(self) -> None:
        assert len(self.queue) == len(self.pending)


TestTimerModel = TimerModel.TestCase


def test_failing_action_is_logged_and_others_run(caplog: pytest.LogCaptureFixture) -> None:
    queue = TimerQueue()
    fired: list[int] = []
    queue.call_later(0.0, lambda: 1 // 0)
    queue.call_later(0.0, fired.append, 1)
    queue.run()
    assert (fired, len(queue), caplog.records[0].getMessage()) == ([1], 0, "timer action failed")


def test_long_timers_cancelled_at_once_are_removed() -> None:
    """Guards against unbounded memory when a mass reconnect sets and cancels a deadline per request."""
    queue = TimerQueue()
    for _ in range(10 * timers_module.MIN_CANCELLED_TO_REMOVE):
        queue.cancel(queue.call_later(3600.0, print))
    assert len(queue) == 0
    assert queue._entries < 2 * timers_module.MIN_CANCELLED_TO_REMOVE
