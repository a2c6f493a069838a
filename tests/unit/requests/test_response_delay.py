"""Compares the delay meter with a simple model, and checks its memory bound for one client."""

from __future__ import annotations

from collections import deque

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from ironmill.requests.response_delay import MAX_TIMED_LINES, REPORT_INTERVAL_S, DelayMeter
from ironmill.runtime.timers import TimerQueue


class DelayMeterMachine(RuleBasedStateMachine):
    """Sends and answers lines; the delay equals that of a model that searches all connections."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        timers = TimerQueue(lambda: self.now)
        self.meter = DelayMeter(timers, 0.05, lambda *_: None, lambda _: None, clock=lambda: self.now)
        self.sent: dict[str, deque[float]] = {}
        self.samples: list[tuple[float, float]] = []

    @rule(name=st.sampled_from("abc"))
    def add_connection(self, name: str) -> None:
        if name not in self.sent:
            self.sent[name] = deque()
            self.meter.add_connection(name)

    @rule(name=st.sampled_from("abc"))
    def remove_connection(self, name: str) -> None:
        self.sent.pop(name, None)
        self.meter.remove_connection(name)
        if not self.sent:
            self.samples.clear()

    @rule(name=st.sampled_from("abc"), count=st.integers(0, 3))
    def send(self, name: str, count: int) -> None:
        if name in self.sent:
            self.sent[name].extend([self.now] * count)
        self.meter.lines_sent(name, count)

    @rule(name=st.sampled_from("abc"), count=st.integers(0, 3))
    def answer(self, name: str, count: int) -> None:
        for _ in range(min(count, len(self.sent.get(name, ())))):
            self.samples.append((self.now, self.now - self.sent[name].popleft()))
        self.meter.lines_answered(name, count)

    @rule(duration_s=st.sampled_from([0.01, 0.3, 1.0]))
    def advance_clock(self, duration_s: float) -> None:
        self.now += duration_s
        recent_delays = [
            delay for answered_at, delay in self.samples if answered_at >= self.now - REPORT_INTERVAL_S
        ]
        mean = sum(recent_delays) / max(1, len(recent_delays))
        longest_wait = max((self.now - lines[0] for lines in self.sent.values() if lines), default=0.0)
        assert self.meter.delay_s() == pytest.approx(max(mean, longest_wait))


TestDelayMeter = DelayMeterMachine.TestCase


def test_timed_unanswered_lines_are_bounded() -> None:
    """Guards against unbounded memory if a client sends empty lines at full speed."""
    now = 0.0
    meter = DelayMeter(TimerQueue(lambda: now), 0.05, lambda *_: None, lambda _: None, clock=lambda: now)
    meter.add_connection("a")
    for _ in range(100):
        meter.lines_sent("a", 1000)
    lines = meter._connections["a"]
    assert (len(lines.sent_at), lines.untimed) == (MAX_TIMED_LINES, 100_000 - MAX_TIMED_LINES)
    assert len(meter._sent) == MAX_TIMED_LINES
    now = 1.0
    meter.lines_answered("a", MAX_TIMED_LINES + 10)
    # Untimed lines are still unanswered, and one of them is timed to detect an unresponsive server.
    assert (len(lines.sent_at), lines.untimed) == (1, 100_000 - MAX_TIMED_LINES - 11)
    meter.lines_answered("a", 100_000)
    assert (len(lines.sent_at), lines.untimed) == (0, 0)
