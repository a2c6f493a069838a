"""Each scenario of distribution keeps every guarantee in a small simulated fleet."""

from __future__ import annotations

import pytest

from ironmill_testbed.capacity.scenarios import SCENARIOS, SMALL_PLAN, broken, play


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_keeps_every_guarantee(name: str) -> None:
    result = play(name, SMALL_PLAN, quick=True)
    assert result["members_run"] == SMALL_PLAN.proxies + SMALL_PLAN.control + 1
    assert result["changes"] > 0
    assert broken(result) == [], result["broken"]
    assert result["over_budget_s"] == 0
