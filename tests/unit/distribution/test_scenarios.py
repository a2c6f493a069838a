"""Distribution in a simulated fleet: each scenario at a small size keeps every guarantee."""

from __future__ import annotations

import pytest

from ironmill_testbed.capacity.scenarios import SCENARIOS, SMALL_PLAN, broken, play


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_keeps_every_guarantee(name: str) -> None:
    found = play(name, SMALL_PLAN, quick=True)
    assert found["members_run"] == SMALL_PLAN.proxies + SMALL_PLAN.control + 1
    assert found["changes"] > 0
    assert broken(found) == [], found["broken"]
    assert found["over_budget_s"] == 0
