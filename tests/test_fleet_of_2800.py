"""The plan's 2,800 proxies with the decisions' own objects: cold servers' budget, and discovery's calls.

The budget was looked at with live weights and without, with and without restarts; one of these runs here,
for each takes a minute or more.
"""

from __future__ import annotations

from ironmill.pace import PAUSE_MOST, SHORTEST, SPACING
from tests.test_cold_fleet import over_the_rule
from tests.test_pace import calls

PROXIES = 2800


def test_the_plans_proxies_keep_the_cold_budget_in_every_span_though_seven_in_ten_restart() -> None:
    assert over_the_rule(PROXIES, live=True, restarted=0.7, seed=1) <= 0.0


def test_the_plans_proxies_call_a_failing_discovery_no_more_often_than_it_takes_to_be_told_in_time() -> None:
    at, _ = calls(PROXIES, 40.0)
    late = [time for time in at if time >= 20.0]
    assert len(late) / 20.0 <= PROXIES / (PAUSE_MOST * (1.0 + SHORTEST) / 2.0) * 1.02


def test_the_plans_proxies_together_call_a_failing_discovery_as_far_apart_as_meant() -> None:
    """Ten times a second; twice that by chance."""
    at, _ = calls(PROXIES, 40.0)
    late = [time for time in at if time >= 20.0]
    assert len(late) / 20.0 <= 2.0 / SPACING
