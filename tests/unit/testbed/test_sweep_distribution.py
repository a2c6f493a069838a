"""Runs the sweeps of distribution at small sizes."""

from __future__ import annotations

import pytest

from ironmill_testbed.capacity import sweep_distribution, sweeps
from ironmill_testbed.capacity.data import MIN_SIZES
from ironmill_testbed.capacity.runs import Runs

SMALL_SIZES = {
    "measure_fleet": (20, 30),
    "measure_relay": (5, 10),
    "measure_relay_memory": (5, 50),
    "measure_keyspace": (50, 500),
    "measure_catch_up": (50, 500),
}


@pytest.mark.parametrize("runs", sweep_distribution.RUNS, ids=lambda runs: runs.run.__name__)
def test_distribution_sweep_has_positive_cost_at_each_size(runs: Runs) -> None:
    sizes = SMALL_SIZES[runs.run.__name__]
    sweeps_by_name = runs.measure(quick=True, sizes=sizes)
    assert set(sweeps_by_name) == {sweep.name for sweep in runs.sweeps}
    for sweep in sweeps_by_name.values():
        assert [size for size, _ in sweep.points] == list(sizes)
        assert all(cost > 0.0 for _, cost in sweep.points)
    assert len(runs.sizes) >= MIN_SIZES
    assert len(runs.quick) >= MIN_SIZES
    assert runs in sweeps.RUNS


def test_full_catch_up_costs_little_more_than_its_entries() -> None:
    costs = sweep_distribution.measure_catch_up(2000, True, 1)
    entries_bytes = sum(
        3 + len(key) + len(value) for key, value in sweep_distribution.shard_entries(2000).items()
    )
    assert entries_bytes < costs["catch_up_bytes"] < 1.25 * entries_bytes
