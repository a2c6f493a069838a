"""Tests that compare the capacity formulas with values computed by hand."""

from __future__ import annotations

import math

import pytest
from msgspec.structs import replace

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.data import Fit, Shape, Sign
from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas import Model
from tests.unit.testbed.capacity_models import line_sweep, make_model, power_sweep, small_model


def test_factor_at_limit_of_line_and_of_power_law() -> None:
    measured = make_model(
        line_sweep("a", "members", "B/s", 1000.0, 5.0), power_sweep("b", "members", "B/s", 0.5, 1.5)
    )
    factor = formulas.factor_at_limit(lambda n: measured.at("a", n), 6000.0, 200.0)
    assert factor.value == pytest.approx(5.0, rel=1e-6)  # 1,000 + 5 x 1,000
    factor = formulas.factor_at_limit(lambda n: measured.at("b", n), 500.0, 200.0)
    assert factor.value == pytest.approx(0.5, rel=1e-6)  # 0.5 x 100 ** 1.5


def test_error_of_factor_at_limit_follows_error_of_slope() -> None:
    fit = Fit(Shape.LINE, 0.0, 10.0, 0.0, 2.0, 0.0)
    factor = formulas.factor_at_limit(lambda n: Figure(fit.at(n), fit.error_at(n)), 1200.0, 10.0)
    assert factor.value == pytest.approx(12.0, rel=1e-6)
    assert factor.error == pytest.approx(3.0, rel=1e-6)  # a slope of 8 gives 15, a slope of 12 gives 10


def test_factor_at_limit_is_zero_infinite_or_unknown() -> None:
    measured = make_model(
        line_sweep("a", "members", "B/s", 7000.0, 1.0), line_sweep("b", "members", "B/s", 10.0, 0.0)
    )
    assert formulas.factor_at_limit(lambda n: measured.at("a", n), 6000.0, 200.0).value == 0.0
    assert formulas.factor_at_limit(lambda n: measured.at("b", n), 6000.0, 200.0).value == math.inf
    assert formulas.factor_at_limit(lambda n: measured.at("none", n), 6000.0, 200.0).value is None


def test_data_path_formulas_match_values_by_hand() -> None:
    fleet = small_model()
    assert formulas.connections_per_proxy(fleet).value == 1000.0
    assert formulas.deliveries_per_proxy(fleet).value == 500.0
    assert formulas.setups_per_proxy(fleet).value == 50.0
    # Per second, 500 passes of 1 ms and 50 setups of 4 ms.
    assert formulas.process_load(fleet, 1000.0).value == pytest.approx(0.7)
    assert formulas.max_connections_per_process(fleet).value == pytest.approx(1000.0 * 0.5 / 0.7)
    assert formulas.processes_per_proxy(fleet).value == 2.0
    assert formulas.processes_with_error(fleet).value == 2.0
    assert formulas.data_path_cores(fleet).value == pytest.approx(0.7)
    assert formulas.data_path_memory(fleet).value == pytest.approx(2 * (1e6 + 5e6) + 1000 * 7e3)
    assert formulas.data_path_memory(fleet).sign is Sign.ASSUMED


def test_control_formulas_match_values_by_hand() -> None:
    fleet = small_model()
    assert formulas.change_rate(fleet).value == 1.0
    assert formulas.storm_rate(fleet).value == 24.0
    assert formulas.children_per_relay(fleet).value == 2.5
    assert formulas.relays_of_origin(fleet) == 3.0
    rate, storm = formulas.change_rate(fleet), formulas.storm_rate(fleet)
    assert formulas.relay_bytes(fleet, storm).value == pytest.approx(24.0 * 200.0 * 2.5)
    assert formulas.relay_cores(fleet, rate).value == pytest.approx(0.025 + 0.001 + 0.005)
    assert formulas.proxies_per_zone(fleet).value == 4.0
    assert formulas.proxies_per_region(fleet).value == 5.0
    assert formulas.children_after_zone(fleet).value == 3.0  # 6 proxies and 2 control machines remain
    assert formulas.min_revisions(fleet).value == 1.0
    # The rate is 1,000 B/s for 6 of 60 s and 40 B/s for the rest.
    assert formulas.worst_minute_mean(fleet, 10.0).value == pytest.approx((6.0 * 1000.0 + 54.0 * 40.0) / 60.0)


def test_full_catch_up_formulas_match_values_by_hand() -> None:
    fleet = small_model(control_bytes_per_s=500.0)
    assert formulas.starts_per_day(fleet).value == 10.0
    assert formulas.full_catch_up_bytes(fleet) == Figure(10_000.0, 0.0, Sign.ASSUMED)
    assert formulas.full_catch_up_time(fleet).value == 5.0
    assert formulas.full_catch_up_time_in_budget(fleet).value == 20.0
    assert formulas.concurrent_catch_up_time(fleet, Figure(4.0)).value == 5.0  # each relay takes only 3.3 s
    assert formulas.concurrent_catch_up_time(fleet, Figure(10.0)).value == pytest.approx(
        10 * 10_000 / 4 / 3000
    )
    assert formulas.full_catch_up_cpu(fleet).value is None
    sweeps = fleet.measured.sweeps | {
        "catch_up_bytes": line_sweep("catch_up_bytes", "entries", "B", 1000.0, 50.0),
        "keyspace_put_cpu": line_sweep("keyspace_put_cpu", "entries", "s", 0.002, 0.0),
    }
    measured_fleet = Model(replace(fleet.measured, sweeps=sweeps), fleet.plan)
    assert formulas.full_catch_up_bytes(measured_fleet).value == pytest.approx(6000.0)
    assert formulas.full_catch_up_bytes(measured_fleet).sign is Sign.DERIVED
    assert formulas.full_catch_up_cpu(measured_fleet).value == pytest.approx(0.2)


def test_returning_clients_formulas_match_values_by_hand() -> None:
    fleet, lost = small_model(), Figure(2.0)
    assert formulas.clients_of(fleet, lost).value == 2000.0
    assert formulas.returning_per_proxy(fleet, lost).value == 250.0
    assert formulas.returning_cores(fleet, lost).value == pytest.approx(25.0 * 0.004)


def test_delivery_formulas_match_values_by_hand() -> None:
    fleet = small_model(delivery_share=0.99)
    assert formulas.listeners_per_proxy(fleet).value == 5.0
    assert formulas.listeners_per_shard(fleet).value == 100.0
    assert formulas.proxies_per_shard(fleet).value == pytest.approx(10.0 * (1.0 - 0.9**100))
    assert formulas.floor_pass(fleet).value == pytest.approx(0.0005)
    # Each of the two processes has a load of 0.35: 1 ms x ln 100 / 0.65.
    assert formulas.queueing_time(fleet).value == pytest.approx(0.001 * math.log(100.0) / 0.65)
    single, shared = formulas.delivery_time(fleet)
    assert single.value is not None and shared.value is not None
    assert single.value - shared.value == pytest.approx((50 - 10) * 0.0005)
    other_hops = single.value - 50 * 0.0005
    assert other_hops == pytest.approx(0.230 + 2 * 0.001 * math.log(100.0) / 0.65 + 5 * 0.001)
    assert formulas.max_listeners_one_to_one(fleet).value == pytest.approx((0.290 - other_hops) / 0.0005)
    late_fleet = small_model(delivery_ms=1.0)
    assert formulas.max_listeners_one_to_one(late_fleet).value == 0.0  # never negative
    assert formulas.server_cores(fleet).value == pytest.approx(5000 * 0.0005 + 500 * 0.002)


def test_first_gaps_are_ordered_by_factor_and_omit_covered_mechanisms() -> None:
    measured = make_model(
        line_sweep("membership_zone_bytes", "members", "B/s", 0.0, 100.0),  # reaches its limit at 60 members
        line_sweep("membership_rest_bytes", "members", "B/s", 0.0, 10.0),  # reaches its limit at 600 members
        line_sweep("membership_rest_cpu", "members", "s/s", 0.001, 0.0),  # never reaches its limit
        line_sweep("table_memory", "entries", "B", 0.0, 1280.0),  # reaches its limit at 100,000 entries
    )
    known_gaps = [gap for gap in formulas.gaps(measured) if gap.factor.value is not None]
    assert [gap.sweep for gap in known_gaps] == [
        "",
        "membership_zone_bytes",
        "membership_rest_bytes",
        "table_memory",
        "membership_rest_cpu",
    ]
    factors = [gap.factor.value for gap in known_gaps]
    assert factors[0] == 0.0 and factors[4] == math.inf
    assert factors[1:4] == pytest.approx([0.3, 3.0, 100_000.0 / 90.0], rel=1e-6)
    assert [gap.is_covered for gap in known_gaps] == [False, False, False, False, True]
    first_gaps = formulas.first_gaps(measured)
    expected_mechanisms = [formulas.CONFIGURATION, formulas.FLAT_VIEW, formulas.FLAT_LIST]
    assert [gap.mechanism for gap in first_gaps[:3]] == expected_mechanisms
    assert len({gap.mechanism for gap in first_gaps}) == len(first_gaps)


def test_target_size_is_found_by_first_known_word_of_sweep_axis() -> None:
    without_sweeps = make_model()
    target_sizes = {
        "members": 2800.0,
        "standing entries": 640_000.0,
        "entries": 640_000.0,
        "relays": 26.0,
        "children of one relay": 2800.0 / 27.0,
        "caller rules": None,
    }
    for axis, target_size in target_sizes.items():
        assert formulas.target_size_of(without_sweeps, line_sweep("a", axis, "s", 1.0, 0.0)) == target_size


def test_discovery_calls_match_values_by_hand() -> None:
    without_sweeps = make_model()
    # Each of 20 proxies calls once in 2 s.
    assert formulas.discovery_calls(without_sweeps, 20.0).value == pytest.approx(10.0)
    assert formulas.discovery_calls(without_sweeps, 200.0).value == pytest.approx(200.0 / 3.75)
    assert formulas.discovery_calls(without_sweeps, 200.0, 0.8).value == pytest.approx(200.0 / 3.0)
