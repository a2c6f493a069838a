"""Each scenario of distribution keeps every guarantee in a small simulated fleet."""

from __future__ import annotations

import pytest

from ironmill_testbed.capacity.scenarios import SCENARIOS, SMALL_PLAN, broken_guarantees, simulate


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_keeps_every_guarantee(name: str) -> None:
    result = simulate(name, SMALL_PLAN, quick=True)
    assert result["members_run"] == SMALL_PLAN.proxies + SMALL_PLAN.control + 1
    assert result["changes"] > 0
    assert broken_guarantees(result) == [], result["broken"]
    assert result["over_budget_s"] == 0
