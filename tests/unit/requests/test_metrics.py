"""Tests that request metrics count each request once."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ironmill.requests.metrics import RequestMetrics

STEPS = ("established", "rejected", "failed", "abandoned", "closed", "attempt_sent")


@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from(STEPS))))
def test_each_request_is_counted_once_at_any_time(steps: list[tuple[int, str]]) -> None:
    metrics = RequestMetrics(["read", "write"])
    counters = [metrics.start("read" if index % 2 else "write") for index in range(10)]
    outcomes: dict[int, str] = {}
    closed: set[int] = set()
    for request_index, step in steps:
        getattr(counters[request_index], step)()
        if step in STEPS[:4]:
            outcomes.setdefault(request_index, step)
        if step == "closed":
            outcomes.setdefault(request_index, "abandoned")
            closed.add(request_index)
        closed |= {index for index, outcome in outcomes.items() if outcome != "established"}
        for class_metrics in metrics.classes.values():
            assert class_metrics.received == 5
            assert class_metrics.pending >= 0
        outcome_sums = [sum(by_class.values()) for by_class in metrics.by_outcome().values()][1:]
        assert outcome_sums == [list(outcomes.values()).count(name) for name in STEPS[:4]]
        assert metrics.in_progress == 10 - len(closed)
