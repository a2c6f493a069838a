"""Metrics of requests: each is counted once."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ironmill.requests.metrics import RequestMetrics

STEPS = ("established", "rejected", "failed", "abandoned", "closed", "attempt_sent")


@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from(STEPS))))
def test_each_request_is_counted_once_at_any_time(steps: list[tuple[int, str]]) -> None:
    metrics = RequestMetrics(["read", "write"])
    counts = [metrics.start("read" if at % 2 else "write") for at in range(10)]
    outcomes: dict[int, str] = {}
    over: set[int] = set()
    for which, step in steps:
        getattr(counts[which], step)()
        if step in STEPS[:4]:
            outcomes.setdefault(which, step)
        if step == "closed":
            outcomes.setdefault(which, "abandoned")
            over.add(which)
        over |= {at for at, outcome in outcomes.items() if outcome != "established"}
        for one in metrics.classes.values():
            assert one.received == 5
            assert one.pending >= 0
        outcome_sums = [sum(by.values()) for by in metrics.by_outcome().values()][1:]
        assert outcome_sums == [list(outcomes.values()).count(name) for name in STEPS[:4]]
        assert metrics.in_progress == 10 - len(over)
