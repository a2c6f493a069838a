"""Tests for the tables of the capacity page."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ironmill_testbed.capacity import formulas, roles, tables
from ironmill_testbed.capacity.data import Shape
from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas import Model
from tests.unit.testbed.capacity_models import full_model, line_sweep, make_model, power_sweep


def test_state_of_missing_mechanism_names_limit_of_present_one() -> None:
    missing_mechanism = formulas.gaps(make_model())[0]
    assert tables.format_state(make_model(), missing_mechanism).endswith("not run, or in part")
    complete = full_model()
    slopes = {"keyspace_memory": 800.0, "relay_push_cpu": 1e-6, "relay_poll_cpu": 1e-6}
    changed_sweeps = {name: line_sweep(name, "entries", "B", 0.0, slope) for name, slope in slopes.items()}
    model_with_costs = Model(
        replace(complete.measured, sweeps=complete.measured.sweeps | changed_sweeps), complete.plan
    )
    current_gaps = formulas.current_distribution_gaps(model_with_costs)
    assert (current_gaps[0].sweep, current_gaps[0].is_covered) == ("keyspace_memory", False)
    assert current_gaps[0].factor.value == pytest.approx(160_000.0 / 90.0)
    assert tables.format_state(model_with_costs, missing_mechanism).endswith(
        "required, by memory of the keyspace"
    )


@pytest.mark.parametrize(
    ("figure", "limit", "factor", "expected_verdict"),
    [
        (Figure(5.0, 0.5), 6.0, Figure(None), "within the limit"),
        (Figure(5.8, 0.5), 6.0, Figure(None), "within the limit, by less than its error"),
        (Figure(12.0), 6.0, Figure(None), "**over, 2 times the limit**"),
        (
            Figure(12.0),
            6.0,
            Figure(3.5, 0.25),
            "**exceeded at 3.50 ± 0.25 = times today's fleet**, 14 required",
        ),
        (Figure(12.0), 6.0, Figure(0.0), "**exceeded at any size**"),
        (Figure(12.0), None, Figure(None), "no limit is given"),
        (Figure(None), 6.0, Figure(2.0), "not run"),
    ],
)
def test_verdict_for_figure_limit_and_factor(
    figure: Figure, limit: float | None, factor: Figure, expected_verdict: str
) -> None:
    cost = roles.RoleCost("a cost", figure, "", "a mechanism", limit, (), factor, 14.0)
    assert roles.verdict(cost) == expected_verdict
    assert roles.verdict(replace(cost, mechanism="")) == "**no mechanism**"


def test_sweep_with_too_few_sizes_has_no_fit_and_no_value() -> None:
    two_point_sweep = replace(
        line_sweep("table_memory", "entries", "B", 0.0, 1.0), points=((1.0, 1.0), (2.0, 2.0))
    )
    assert make_model(two_point_sweep).at("table_memory", 10.0).value is None
    assert "no fit" in tables.slopes(make_model(two_point_sweep))


def test_slopes_are_given_as_multiples_of_floor() -> None:
    sweep = replace(line_sweep("core_line_cpu", "connections", "s", 2e-3, 1e-6), floor_s=1e-3)
    assert "| 2, (1)e-3 |" in tables.slopes(make_model(sweep))


def test_slopes_name_better_shape_and_list_rough_fits() -> None:
    curved = replace(power_sweep("membership_zone_bytes", "members", "B/s", 100.0, 2.0), shape=Shape.LINE)
    model_with_rough_fit = make_model(
        curved, line_sweep("membership_rest_bytes", "members", "B/s", 1000.0, 1.0)
    )
    rows = tables.slopes(model_with_rough_fit).split("\n")
    (row,) = [table_row for table_row in rows if "`membership_zone_bytes`" in table_row]
    assert "(power: 0 %, 784 MB/s there)" in row  # 100 x 2,800 ** 2
    (row,) = [table_row for table_row in rows if "`membership_rest_bytes`" in table_row]
    assert "power" not in row
    assert tables.rough_sweeps(model_with_rough_fit) == "`membership_zone_bytes`"
    assert tables.rough_sweeps(make_model()) == "none"
