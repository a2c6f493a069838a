"""Models with invented measurements for the tests of the capacity page."""

from __future__ import annotations

from msgspec.structs import replace

from ironmill_testbed.capacity import plan, tables
from ironmill_testbed.capacity.data import Measured, Shape, Sign, Sweep
from ironmill_testbed.capacity.formulas import Model

SIZES = (100.0, 200.0, 400.0, 800.0, 1600.0)


def line_sweep(name: str, x: str, unit: str, constant: float, slope: float) -> Sweep:
    points = tuple((size, constant + slope * size) for size in SIZES)
    return Sweep(name, f"{name} of a test", x, unit, Sign.VIRTUAL, points)


def power_sweep(name: str, x: str, unit: str, factor: float, exponent: float) -> Sweep:
    points = tuple((size, factor * size**exponent) for size in SIZES)
    return Sweep(name, f"{name} of a test", x, unit, Sign.VIRTUAL, points, Shape.POWER)


def make_model(*sweeps: Sweep, scenarios: dict[str, dict[str, object]] | None = None) -> Model:
    return Model(Measured({sweep.name: sweep for sweep in sweeps}, scenarios or {}, {}), plan.load())


def full_model() -> Model:
    """Returns a model with all expected sweeps and scenarios of the page, and one unexpected one of each."""
    sweeps = [line_sweep(name, "proxies", "s", 1e-5, 1e-9) for name in tables.EXPECTED]
    entry_prefixes = ("table_", "keyspace_", "placement", "store", "catch_up")
    sweeps = [
        replace(sweep, x="entries") if sweep.name.startswith(entry_prefixes) else sweep for sweep in sweeps
    ]
    sweeps = [replace(sweep, x="connections") if sweep.name.startswith("core") else sweep for sweep in sweeps]
    all_sweeps = [*sweeps, line_sweep("reload_cpu", "rules", "s", 0.001, 0.0001)]
    scenario_figures: dict[str, dict[str, object]] = {
        name: {"members_run": 2827, "lost_changes": 0} for name in tables.SCENARIOS
    }
    scenario_figures["zone"] |= {"proxy_bytes_highest_s": 4321.0, "catch_up_s": None, "sign": "virtual clock"}
    scenario_figures["zone"]["way"] = [1, 2]
    scenario_figures["another"] = {"something_ms": 12.5, "said": "so"}
    return make_model(*all_sweeps, scenarios=scenario_figures)


def small_model(**target: float) -> Model:
    """Returns a model of ten proxies, each with 1,000 connections and 500 deliveries per second.

    A measured line takes 2 ms and a connection setup 4 ms. ``target`` overrides figures of the target fleet.
    """
    committed_plan = plan.load()
    target_fleet = replace(
        committed_plan.target,
        proxies=10.0,
        connections=10_000.0,
        shards=100.0,
        largest_topic=50.0,
        deliveries_per_s=5000.0,
        regions=2.0,
        zones=3.0,
        changes_per_day=86_400.0,
        control_machines=4.0,
        failures_per_day=1.0,
        restarts_per_day=9.0,
        **target,
    )
    assumptions = replace(
        committed_plan.assumed,
        connection_lifetime=replace(committed_plan.assumed.connection_lifetime, value=20.0),
        change=replace(committed_plan.assumed.change, value=200.0),
        entry=replace(committed_plan.assumed.entry, value=100.0),
        process_share=replace(committed_plan.assumed.process_share, value=0.5),
        passes_per_line=replace(committed_plan.assumed.passes_per_line, value=2.0),
        return_window=replace(committed_plan.assumed.return_window, value=10.0),
    )
    today_fleet = replace(
        committed_plan.today,
        process_bytes=1e6,
        catch_up_bytes_per_s=2000.0,
        serve_bytes_per_s=3000.0,
    )
    sweeps = [
        line_sweep("core_line_cpu", "connections", "s", 0.002, 0.0),
        line_sweep("core_setup_cpu", "connections", "s", 0.004, 0.0),
        line_sweep("core_floor_line", "connections", "s", 0.001, 0.0),
        line_sweep("core_floor_setup", "connections", "s", 0.002, 0.0),
        line_sweep("core_memory", "connections", "B", 5e6, 7e3),
        line_sweep("relay_poll_cpu", "children", "s/s", 0.0, 0.01),
        line_sweep("relay_push_cpu", "children", "s", 0.001, 0.002),
        line_sweep("membership_zone_span", "members", "s", 6.0, 0.0),
        line_sweep("membership_zone_bytes", "members", "B/s", 0.0, 100.0),
        line_sweep("membership_rest_bytes", "members", "B/s", 40.0, 0.0),
    ]
    measured = Measured({sweep.name: sweep for sweep in sweeps}, {}, {})
    return Model(
        measured, replace(committed_plan, target=target_fleet, today=today_fleet, assumed=assumptions)
    )
