"""Checks the summary that ``measure scale`` prints as its last line."""

from __future__ import annotations

from typing import Any

from ironmill_testbed.capacity import scenarios
from ironmill_testbed.measures.scale import QUICK_SCENARIOS, QUICK_SWEEPS, summary, sweeps

SUMMARY_KEYS = (
    "members_run",
    "real_processes",
    "hollow_on_sockets",
    "control_core_percent",
    "control_memory_mb",
    "control_bytes_per_s",
    "zone_loss_bytes_per_s",
    "change_p99_s",
    "change_max_s",
    "lost_changes",
    "older_after_newer",
    "half_in_force",
    "stale_unnoticed",
    "clients_lost",
    "peak_memory_mb",
)


def _scenario_figures(**overrides: Any) -> dict[str, Any]:
    figures = dict.fromkeys(
        (
            "lost_changes",
            "older_after_newer",
            "older_after_restart",
            "half_in_force",
            "stale_unnoticed",
            "false_everywhere",
        ),
        0,
    ) | {"change_max_s": 0.9, "change_p99_s": 0.2, "catch_up_s": None, "reattach_s": None}
    return figures | {"members_run": 2828, "peak_memory_mb": 200.0} | overrides


def test_summary_takes_worst_figure_of_all_scenarios() -> None:
    results = {
        "rest": _scenario_figures(control_bytes_per_s=800.0),
        "zone": _scenario_figures(proxy_bytes_highest_s=600.0, change_p99_s=0.4),
        "loss": _scenario_figures(change_max_s=3.5, lost_changes=2),
    }
    sockets = {
        "lost_changes": 1,
        "change_max_s": 1.0,
        "clients_lost": 0,
        "real_processes": 30,
        "peak_memory_mb": 900.0,
        "hollow_on_sockets": 2800,
        "control_core_percent": 7.0,
        "control_memory_mb": 37.0,
    }
    found = summary(results, sockets)
    assert set(SUMMARY_KEYS) <= set(found)
    assert (found["change_p99_s"], found["change_max_s"], found["lost_changes"]) == (0.4, 3.5, 3)
    assert (found["control_bytes_per_s"], found["zone_loss_bytes_per_s"]) == (800.0, 600.0)
    assert (found["peak_memory_mb"], found["hollow_on_sockets"], found["members_run"]) == (900.0, 2800, 2828)
    assert found["not_kept"] == ["loss: change_max_s 3.5 > 3.0", "loss: lost_changes 2 > 0"]


def test_summary_is_none_for_figures_not_run() -> None:
    found = summary({"storm": _scenario_figures()}, {})
    assert set(SUMMARY_KEYS) <= set(found)
    for name in ("zone_loss_bytes_per_s", "real_processes", "clients_lost", "control_bytes_per_s"):
        assert found[name] is None
    assert found["stories"] == ["storm"]
    assert found["not_kept"] == []


def test_quick_scenarios_and_sweeps_exist() -> None:
    assert set(QUICK_SCENARIOS) <= set(scenarios.SCENARIOS)
    assert set(QUICK_SWEEPS) <= set(sweeps.NAMES)
