"""Runs the sweeps at small sizes; checks fits, stored data, and members that intern equal values."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from pathlib import Path

import pytest
from msgspec import structs

from ironmill.membership.member import Member
from ironmill_testbed.capacity import data, sweep_core, sweep_membership, sweep_table, sweeps
from ironmill_testbed.capacity.data import Measured, Shape, Sign, Sweep
from ironmill_testbed.capacity.runs import Runs, fill
from ironmill_testbed.faults.interning import MemberInterner
from ironmill_testbed.faults.schedule import Fault
from ironmill_testbed.faults.simulated_cluster import ClusterOptions, SimulatedCluster

SIZES = (10, 20, 30, 40, 50)


def make_sweep(points: Sequence[tuple[float, float]], shape: Shape = Shape.LINE, name: str = "one") -> Sweep:
    return Sweep(name, "What was measured.", "things", "s", Sign.VIRTUAL, tuple(points), shape)


@pytest.mark.parametrize("runs", sweep_table.RUNS, ids=lambda runs: runs.run.__name__)
def test_table_sweep_has_positive_cost_at_each_size(runs: Runs) -> None:
    sweeps_by_name = runs.measure(quick=True, sizes=SIZES)
    assert set(sweeps_by_name) == {sweep.name for sweep in runs.sweeps}
    for sweep in sweeps_by_name.values():
        assert [size for size, _ in sweep.points] == list(SIZES)
        assert all(cost > 0.0 for _, cost in sweep.points)
        assert sweep.floor_s is None, "the sweep has a floor although none was measured"


def test_simulated_balancer_keeps_a_tenth_of_entries_established() -> None:
    for has_live_weights in (False, True):
        simulated = sweep_table.SimulatedBalancer(100, 1, live_weights=has_live_weights)
        for _ in range(100):
            simulated.place(new_group=True)
        assert sum(simulated.balancer.connection_counts().values()) == 10


def test_memory_of_routing_table_grows_with_entries() -> None:
    (sweep,) = sweep_table.RUNS[3].measure(quick=True, sizes=(100, 200, 300, 400, 500)).values()
    assert sweep.name == "table_memory"
    fit = sweep.fit()
    assert 200.0 < fit.slope < 5000.0, "bytes per entry"


def test_idle_members_have_a_positive_cost_at_each_size() -> None:
    sweeps_by_name = sweep_membership.RUNS[1].measure(quick=True, sizes=SIZES)
    for sweep in sweeps_by_name.values():
        assert [size for size, _ in sweep.points] == list(SIZES)
        assert all(cost > 0.0 for _, cost in sweep.points)
    # From ten members on, each observer pings six others every 0.6 s and acknowledges as many pings.
    assert all(500.0 < cost < 2000.0 for _, cost in sweeps_by_name["membership_rest_bytes"].points)


def test_all_members_of_a_killed_zone_are_removed() -> None:
    costs = sweep_membership.measure_zone_failure(33, True, 1)
    assert 2.0 < costs["membership_zone_gone"] < sweep_membership.ZONE_FAILURE_SPAN_S
    assert costs["membership_zone_bytes"] > 1000.0
    assert costs["membership_zone_span"] >= 0.0
    assert costs == sweep_membership.measure_zone_failure(33, True, 1), (
        "the costs depend on more than the seed"
    )


def test_infinite_cost_is_omitted_and_named() -> None:
    results = [(size, {"one": math.inf if size == 30 else 1.0}) for size in SIZES]
    sweep = fill((make_sweep(()),), results)["one"]
    assert [size for size, _ in sweep.points] == [10, 20, 40, 50]
    assert sweep.what.endswith("Not found, and left out, at 30.")


def test_memory_of_a_view_grows_with_its_members() -> None:
    (sweep,) = sweep_membership.RUNS[2].measure(quick=True, sizes=(20, 40, 60, 80, 100)).values()
    assert 500.0 < sweep.fit().slope < 4000.0, "bytes per member"


def test_core_sweep_measures_proxy_and_floor() -> None:
    costs = sweep_core.measure_size(10, sweep_core.Effort(lines=20, setups=8, rounds=1))
    assert set(costs) == {"proxy", "epoll"}
    for process_costs in costs.values():
        assert process_costs.size == 10
        assert process_costs.line_ms > 0.0
        assert process_costs.setup_ms > 0.0
    assert costs["proxy"].kib > 0.0


def test_sweeps_have_unique_names_and_enough_sizes() -> None:
    assert len(set(sweeps.NAMES)) == len(sweeps.NAMES)
    for runs in sweeps.RUNS:
        assert len(set(runs.sizes)) >= data.MIN_SIZES
        assert len(set(runs.quick)) >= data.MIN_SIZES
        for quick in (False, True):
            assert {size for size, _ in runs.tasks(quick=quick, seed=1)} == set(
                runs.quick if quick else runs.sizes
            )
    assert len(set(sweep_core.SIZES)) >= data.MIN_SIZES
    assert len(set(sweep_core.QUICK_SIZES)) >= data.MIN_SIZES


def test_only_seconds_of_cpu_have_a_floor() -> None:
    for name in sweeps.NAMES:
        sweep = make_sweep((), name=name)
        floor_names = ("core_floor_line", "core_floor_setup")
        assert sweeps.has_floor(sweep) is (name.endswith("_cpu") or name in floor_names)


def test_fit_recovers_noisy_line_within_its_errors() -> None:
    rng = random.Random(3)
    clean = make_sweep([(float(x), 5.0 + 0.25 * x) for x in (10, 100, 1000, 10_000, 100_000)]).fit()
    assert clean.constant == pytest.approx(5.0)
    assert clean.slope == pytest.approx(0.25)
    assert clean.residual < 1e-9
    noisy = make_sweep(
        [(float(x), (5.0 + 0.25 * x) * rng.uniform(0.95, 1.05)) for x in (10, 100, 1000, 10_000) * 5]
        + [(100_000.0, 25_005.0)]
    ).fit()
    assert abs(noisy.slope - 0.25) < 4.0 * noisy.slope_error < 0.05
    assert abs(noisy.constant - 5.0) < 4.0 * noisy.constant_error < 2.0
    assert 0.01 < noisy.residual < 0.05


def test_fit_recovers_power_law() -> None:
    fit = make_sweep([(float(x), 3.0 * x**0.7) for x in (10, 30, 100, 300, 1000)], Shape.POWER).fit()
    assert fit.constant == pytest.approx(3.0)
    assert fit.slope == pytest.approx(0.7)
    assert fit.at(2800.0) == pytest.approx(3.0 * 2800.0**0.7)


@pytest.mark.parametrize("shape", Shape)
def test_fit_rejects_fewer_than_five_sizes(shape: Shape) -> None:
    points = [(float(x), 1.0 + x) for x in (1, 2, 3, 4) * 3]
    with pytest.raises(ValueError, match="5 sizes"):
        make_sweep(points, shape).fit()
    assert make_sweep([*points, (5.0, 6.0)], shape).fit().slope > 0.0


def test_data_survives_save_and_load_and_merge_keeps_other_sweeps(tmp_path: Path) -> None:
    path = tmp_path / "measured.json"
    old = Measured(
        {"a": make_sweep([(1.0, 2.0)]), "b": make_sweep([(1.0, 3.0)])},
        {"scenario": {"x": None}},
        {"cores": 8},
    )
    assert data.merge(old, path) == old
    data.save(old, path)
    assert data.load(path) == old
    new = Measured({"b": make_sweep([(1.0, 4.0)], Shape.POWER)}, {}, {})
    merged = data.merge(new, path)
    assert merged.sweeps == {"a": old.sweeps["a"], "b": new.sweeps["b"]}
    assert merged.scenarios == old.scenarios
    assert merged.machine == {"cores": 8}
    data.save(merged, path)
    assert data.load(path) == merged


def test_interned_members_share_one_object_of_each_record() -> None:
    cluster = SimulatedCluster(12, seed=3, options=ClusterOptions(make_member=MemberInterner()))
    cluster.start_converged()
    cluster.run(3.0)
    cluster.kill("p00003")
    cluster.run(15.0)
    members = [member for member in cluster.running_members() if isinstance(member, Member)]
    assert len(members) == 11
    views = [dict(member.view.records) for member in members]
    assert cluster.agree()
    for name, record in views[0].items():
        assert all(view[name] is record for view in views[1:])
    ring_positions = [member.view.rings._positions for member in members]
    assert all(
        positions[name] is ring_positions[0][name]
        for positions in ring_positions
        for name in ring_positions[0]
    )


@pytest.mark.parametrize("seed", (1, 2))
def test_interning_alters_neither_a_view_nor_a_datagram(seed: int) -> None:
    faults = [
        Fault("loss", 2.0, 8.0, fraction=0.2),
        Fault("kill", 3.0, names=("p00004", "p00005")),
        Fault("pause", 4.0, 8.0, names=("p00007",)),
        Fault("start", 14.0, names=("p00004",)),
    ]
    plain = SimulatedCluster(15, faults, seed)
    interned = SimulatedCluster(15, faults, seed, ClusterOptions(make_member=MemberInterner()))
    for cluster in (plain, interned):
        cluster.start_converged()
    for until in (2.5, 6.0, 10.0, 14.0, 20.0):
        for cluster in (plain, interned):
            cluster.run(until)
        assert interned.datagrams == plain.datagrams
        assert interned.events == plain.events
        for member, interning_member in zip(plain.running_members(), interned.running_members(), strict=True):
            assert member.members() == interning_member.members()
            assert member.sent_bytes == interning_member.sent_bytes


def test_interned_record_is_equal_and_the_newest() -> None:
    interner = MemberInterner()
    cluster = SimulatedCluster(3)
    cluster.start_converged()
    record = cluster.running_members()[0].members()[0]
    copy = structs.replace(record)
    assert copy is not record
    assert interner.intern_record(record) is record
    assert interner.intern_record(copy) is record
    newer = structs.replace(record, transitions=record.transitions + 1)
    assert interner.intern_record(newer) is newer
    assert interner.intern_record(record) is record, "a lagging member got a newer record"
    assert interner.intern_record(structs.replace(newer)) is newer
