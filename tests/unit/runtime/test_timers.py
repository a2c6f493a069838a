"""Timers: a cancelled one never fires, others fire once and in order, and cancelled entries are swept."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ironmill.runtime import timers as module
from ironmill.runtime.timers import Timer, TimerQueue


class TimerModel(RuleBasedStateMachine):
    """Random timers, cancellations and steps of the clock against a list that is searched."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.queue = TimerQueue(lambda: self.now)
        self.expected: list[tuple[float, int]] = []
        self.timers: dict[int, Timer] = {}
        self.fired: list[int] = []
        self.before, module.MIN_CANCELLED_TO_SWEEP = module.MIN_CANCELLED_TO_SWEEP, 4

    def teardown(self) -> None:
        module.MIN_CANCELLED_TO_SWEEP = self.before

    @rule(delay=st.sampled_from([0.0, 0.5, 1.0, 2.0, 30.0]))
    def set(self, delay: float) -> None:
        number = len(self.timers)
        self.timers[number] = self.queue.call_later(delay, self.fired.append, number)
        self.expected.append((self.now + delay, number))

    @rule(pick=st.integers(0, 60))
    def cancel(self, pick: int) -> None:
        number = pick % max(1, len(self.timers))
        self.queue.cancel(self.timers.get(number))
        self.expected = [entry for entry in self.expected if entry[1] != number]

    @rule(span=st.sampled_from([0.0, 0.5, 1.5]))
    def step(self, span: float) -> None:
        self.now += span
        self.fired.clear()
        left = self.queue.run()
        due = sorted(entry for entry in self.expected if entry[0] <= self.now)
        assert self.fired == [number for _, number in due]
        self.expected = [entry for entry in self.expected if entry not in due]
        if self.expected:
            # A cancelled entry may be due sooner; no pending one may be missed.
            assert left is not None
            assert self.now + left <= min(self.expected)[0]

    @invariant()
    def counted(self) -> None:
        assert len(self.queue) == len(self.expected)


TestTimerModel = TimerModel.TestCase


def test_failing_action_is_logged_and_others_run(caplog: pytest.LogCaptureFixture) -> None:
    queue = TimerQueue()
    fired: list[int] = []
    queue.call_later(0.0, lambda: 1 // 0)
    queue.call_later(0.0, fired.append, 1)
    queue.run()
    assert (fired, len(queue), caplog.records[0].getMessage()) == ([1], 0, "a timer failed")


def test_long_timers_cancelled_at_once_are_swept() -> None:
    """Bounds memory: a mass reconnect sets and cancels one deadline per request."""
    queue = TimerQueue()
    for _ in range(10 * module.MIN_CANCELLED_TO_SWEEP):
        queue.cancel(queue.call_later(3600.0, print))
    assert len(queue) == 0
    assert queue._entries < 2 * module.MIN_CANCELLED_TO_SWEEP
