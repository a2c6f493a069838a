"""Distribution in a simulated fleet: each story at a small size, and what is kept through it."""

from __future__ import annotations

import pytest

from ironmill_testbed.capacity.stories import SMALL, STORIES, broken, play


@pytest.mark.parametrize("name", STORIES)
def test_scenario_keeps_every_guarantee(name: str) -> None:
    found = play(name, SMALL, quick=True)
    assert found["members_run"] == SMALL.proxies + SMALL.control + 1
    assert found["changes"] > 0
    assert broken(found) == [], found["broken"]
    assert found["over_budget_s"] == 0
