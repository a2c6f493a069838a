"""Tests of the capacity formulas against values by hand."""

from __future__ import annotations

import math

import pytest
from msgspec.structs import replace

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.data import Fit, Shape, Sign
from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas import Model
from tests.unit.testbed.capacity_models import line, model, power, small


def test_factor_at_limit_of_line_and_of_power_law() -> None:
    found = model(line("a", "members", "B/s", 1000.0, 5.0), power("b", "members", "B/s", 0.5, 1.5))
    at = formulas.factor_at_limit(lambda n: found.at("a", n), 6000.0, 200.0)
    assert at.value == pytest.approx(5.0, rel=1e-6)  # 1,000 + 5 x 1,000
    at = formulas.factor_at_limit(lambda n: found.at("b", n), 500.0, 200.0)
    assert at.value == pytest.approx(0.5, rel=1e-6)  # 0.5 x 100 ** 1.5


def test_error_of_factor_at_limit_follows_error_of_slope() -> None:
    fit = Fit(Shape.LINE, 0.0, 10.0, 0.0, 2.0, 0.0)
    at = formulas.factor_at_limit(lambda n: Figure(fit.at(n), fit.error_at(n)), 1200.0, 10.0)
    assert at.value == pytest.approx(12.0, rel=1e-6)
    assert at.error == pytest.approx(3.0, rel=1e-6)  # 1,200 / 8 is further off than 1,200 / 12


def test_factor_at_limit_is_zero_infinite_or_unknown() -> None:
    found = model(line("a", "members", "B/s", 7000.0, 1.0), line("b", "members", "B/s", 10.0, 0.0))
    assert formulas.factor_at_limit(lambda n: found.at("a", n), 6000.0, 200.0).value == 0.0
    assert formulas.factor_at_limit(lambda n: found.at("b", n), 6000.0, 200.0).value == math.inf
    assert formulas.factor_at_limit(lambda n: found.at("none", n), 6000.0, 200.0).value is None


def test_data_path_formulas_match_values_by_hand() -> None:
    found = small()
    assert formulas.connections_per_proxy(found).value == 1000.0
    assert formulas.deliveries_per_proxy(found).value == 500.0
    assert formulas.setups_per_proxy(found).value == 50.0
    # 500 passes of 1 ms and 50 set-ups of 4 ms
    assert formulas.process_load(found, 1000.0).value == pytest.approx(0.7)
    assert formulas.max_connections_per_process(found).value == pytest.approx(1000.0 * 0.5 / 0.7)
    assert formulas.processes_per_proxy(found).value == 2.0
    assert formulas.processes_with_error(found).value == 2.0
    assert formulas.data_path_cores(found).value == pytest.approx(0.7)
    assert formulas.data_path_memory(found).value == pytest.approx(2 * (1e6 + 5e6) + 1000 * 7e3)
    assert formulas.data_path_memory(found).sign is Sign.ASSUMED


def test_control_formulas_match_values_by_hand() -> None:
    found = small()
    assert formulas.change_rate(found).value == 1.0
    assert formulas.storm_rate(found).value == 24.0
    assert formulas.children_per_relay(found).value == 2.5
    assert formulas.relays_of_origin(found) == 3.0
    rate, storm = formulas.change_rate(found), formulas.storm_rate(found)
    assert formulas.relay_bytes(found, storm).value == pytest.approx(24.0 * 200.0 * 2.5)
    assert formulas.relay_cores(found, rate).value == pytest.approx(0.025 + 0.001 + 0.005)
    assert formulas.proxies_per_zone(found).value == 4.0
    assert formulas.proxies_per_region(found).value == 5.0
    assert formulas.children_after_zone(found).value == 3.0  # 6 proxies, 2 machines
    assert formulas.min_revisions(found).value == 1.0
    # 6 of 60 s at 1,000 B/s, the others at 40
    assert formulas.worst_minute_mean(found, 10.0).value == pytest.approx((6.0 * 1000.0 + 54.0 * 40.0) / 60.0)


def test_full_catch_up_formulas_match_values_by_hand() -> None:
    found = small(control_bytes_per_s=500.0)
    assert formulas.starts_per_day(found).value == 10.0
    assert formulas.full_catch_up_bytes(found) == Figure(10_000.0, 0.0, Sign.ASSUMED)
    assert formulas.full_catch_up_time(found).value == 5.0
    assert formulas.full_catch_up_time_in_budget(found).value == 20.0
    assert formulas.concurrent_catch_up_time(found, Figure(4.0)).value == 5.0  # 3.3 s from each relay
    assert formulas.concurrent_catch_up_time(found, Figure(10.0)).value == pytest.approx(
        10 * 10_000 / 4 / 3000
    )
    assert formulas.full_catch_up_cpu(found).value is None
    sweeps = found.measured.sweeps | {
        "catch_up_bytes": line("catch_up_bytes", "entries", "B", 1000.0, 50.0),
        "keyspace_put_cpu": line("keyspace_put_cpu", "entries", "s", 0.002, 0.0),
    }
    known = Model(replace(found.measured, sweeps=sweeps), found.plan)
    assert formulas.full_catch_up_bytes(known).value == pytest.approx(6000.0)
    assert formulas.full_catch_up_bytes(known).sign is Sign.DERIVED
    assert formulas.full_catch_up_cpu(known).value == pytest.approx(0.2)


def test_returning_clients_formulas_match_values_by_hand() -> None:
    found, lost = small(), Figure(2.0)
    assert formulas.clients_of(found, lost).value == 2000.0
    assert formulas.returning_per_proxy(found, lost).value == 250.0
    assert formulas.returning_cores(found, lost).value == pytest.approx(25.0 * 0.004)


def test_delivery_formulas_match_values_by_hand() -> None:
    found = small(delivery_share=0.99)
    assert formulas.listeners_per_proxy(found).value == 5.0
    assert formulas.listeners_per_shard(found).value == 100.0
    assert formulas.proxies_per_shard(found).value == pytest.approx(10.0 * (1.0 - 0.9**100))
    assert formulas.floor_pass(found).value == pytest.approx(0.0005)
    # two processes with a load of 0.35: 1 ms x ln 100 / 0.65
    assert formulas.queueing_time(found).value == pytest.approx(0.001 * math.log(100.0) / 0.65)
    single, shared = formulas.delivery_time(found)
    assert single.value is not None and shared.value is not None
    assert single.value - shared.value == pytest.approx((50 - 10) * 0.0005)
    rest = single.value - 50 * 0.0005
    assert rest == pytest.approx(0.230 + 2 * 0.001 * math.log(100.0) / 0.65 + 5 * 0.001)
    assert formulas.max_listeners_one_to_one(found).value == pytest.approx((0.290 - rest) / 0.0005)
    late = small(delivery_ms=1.0)
    assert formulas.max_listeners_one_to_one(late).value == 0.0  # never less than nobody
    assert formulas.server_cores(found).value == pytest.approx(5000 * 0.0005 + 500 * 0.002)


def test_first_gaps_are_ordered_by_factor_and_omit_covered_mechanisms() -> None:
    found = model(
        line("membership_zone_bytes", "members", "B/s", 0.0, 100.0),  # 60 members
        line("membership_rest_bytes", "members", "B/s", 0.0, 10.0),  # 600
        line("membership_rest_cpu", "members", "s/s", 0.001, 0.0),  # never
        line("table_memory", "entries", "B", 0.0, 1280.0),  # 100,000
    )
    known = [gap for gap in formulas.gaps(found) if gap.factor.value is not None]
    assert [gap.sweep for gap in known] == [
        "",
        "membership_zone_bytes",
        "membership_rest_bytes",
        "table_memory",
        "membership_rest_cpu",
    ]
    values = [gap.factor.value for gap in known]
    assert values[0] == 0.0 and values[4] == math.inf
    assert values[1:4] == pytest.approx([0.3, 3.0, 100_000.0 / 90.0], rel=1e-6)
    assert [gap.is_covered for gap in known] == [False, False, False, False, True]
    first = formulas.first_gaps(found)
    wanted = [formulas.CONFIGURATION, formulas.FLAT_VIEW, formulas.FLAT_LIST]
    assert [gap.mechanism for gap in first[:3]] == wanted
    assert len({gap.mechanism for gap in first}) == len(first)


def test_target_size_is_found_by_first_known_word_of_sweep_axis() -> None:
    found = model()
    sizes = {
        "members": 2800.0,
        "standing entries": 640_000.0,
        "entries": 640_000.0,
        "relays": 26.0,
        "children of one relay": 2800.0 / 27.0,
        "caller rules": None,
    }
    for x, size in sizes.items():
        assert formulas.target_size_of(found, line("a", x, "s", 1.0, 0.0)) == size


def test_discovery_calls_match_values_by_hand() -> None:
    found = model()
    assert formulas.discovery_calls(found, 20.0).value == pytest.approx(10.0)  # each once in 2 s
    assert formulas.discovery_calls(found, 200.0).value == pytest.approx(200.0 / 3.75)
    assert formulas.discovery_calls(found, 200.0, 0.8).value == pytest.approx(200.0 / 3.0)
