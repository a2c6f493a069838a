"""Tests for the data of the capacity page: sweeps, fits and the plan."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from msgspec.structs import replace

from ironmill.distribution.changes import MAX_REVISION_CHANGES
from ironmill.distribution.revision_log import MAX_DELTA_BYTES
from ironmill.distribution.timing import POLL_INTERVAL_S
from ironmill.distribution.timing import Timing as DistributionTiming
from ironmill.membership.rings import RING_COUNT
from ironmill.membership.timing import Timing as MembershipTiming
from ironmill.requests import discovery_backoff
from ironmill_testbed.capacity import plan
from tests.unit.testbed.capacity_models import SIZES, line_sweep, make_model, power_sweep


def test_power_law_through_zeros_has_no_fit() -> None:
    zero_sweep = replace(
        power_sweep("a", "members", "s", 1.0, 1.0), points=tuple((size, 0.0) for size in SIZES)
    )
    assert make_model(zero_sweep).fit("a") is None


def test_rejects_plan_with_unknown_key(tmp_path: Path) -> None:
    plan_file = tmp_path / "plan.toml"
    plan_file.write_text(plan.PLAN.read_text().replace("[target]", "[target]\nproxys = 1"))
    with pytest.raises(msgspec.ValidationError, match="proxys"):
        plan.load(plan_file)


def test_plan_matches_constants_of_program() -> None:
    today = plan.load().today
    assert today.max_detection_s == MembershipTiming().max_detection_s
    assert today.ping_interval_s == MembershipTiming().ping_interval_s
    assert today.observers == RING_COUNT
    assert today.poll_interval_s == POLL_INTERVAL_S
    assert today.catch_up_bytes_per_s == DistributionTiming().catch_up_bytes_per_s
    assert today.serve_bytes_per_s == DistributionTiming().serve_bytes_per_s
    assert today.delta_bytes == MAX_DELTA_BYTES
    assert today.revision_changes == MAX_REVISION_CHANGES
    assert (today.call_interval_s, today.max_call_pause_s, today.min_call_pause_fraction) == (
        discovery_backoff.MEAN_CALL_INTERVAL_S,
        discovery_backoff.MAX_PAUSE_S,
        discovery_backoff.MIN_PAUSE_FRACTION,
    )


def test_zero_costs_do_not_dominate_fit() -> None:
    points = ((10.0, 0.0), (20.0, 0.0), (100.0, 5.0), (200.0, 10.0), (400.0, 20.0))
    fit = replace(line_sweep("a", "members", "s", 0.0, 0.0), points=points).fit()
    assert 0.04 < fit.slope < 0.06
    zero_points = tuple((x, 0.0) for x, _ in points)
    zero_fit = replace(line_sweep("a", "members", "s", 0.0, 0.0), points=zero_points).fit()
    assert (zero_fit.constant, zero_fit.slope, zero_fit.residual) == (0.0, 0.0, 0.0)


def test_fit_recovers_line_and_power_law() -> None:
    fit = line_sweep("a", "members", "s", 3.0, 0.25).fit()
    assert (fit.constant, fit.slope) == (pytest.approx(3.0), pytest.approx(0.25))
    fit = power_sweep("a", "members", "s", 3.0, 1.5).fit()
    assert (fit.constant, fit.slope) == (pytest.approx(3.0), pytest.approx(1.5))
