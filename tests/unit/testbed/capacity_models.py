"""Small models of the capacity page, for its tests."""

from __future__ import annotations

from msgspec.structs import replace

from ironmill_testbed.capacity import plan, tables
from ironmill_testbed.capacity.data import Measured, Shape, Sign, Sweep
from ironmill_testbed.capacity.formulas import Model

SIZES = (100.0, 200.0, 400.0, 800.0, 1600.0)


def line(name: str, x: str, unit: str, constant: float, slope: float) -> Sweep:
    points = tuple((size, constant + slope * size) for size in SIZES)
    return Sweep(name, f"{name} of a test", x, unit, Sign.VIRTUAL, points)


def power(name: str, x: str, unit: str, factor: float, exponent: float) -> Sweep:
    points = tuple((size, factor * size**exponent) for size in SIZES)
    return Sweep(name, f"{name} of a test", x, unit, Sign.VIRTUAL, points, Shape.POWER)


def model(*sweeps: Sweep, scenarios: dict[str, dict[str, object]] | None = None) -> Model:
    return Model(Measured({one.name: one for one in sweeps}, scenarios or {}, {}), plan.load())


def full() -> Model:
    """All sweeps and scenarios that the page expects, and one of each that it does not."""
    sweeps = [line(name, "proxies", "s", 1e-5, 1e-9) for name in tables.EXPECTED]
    entries = ("table_", "keyspace_", "placement", "store", "catch_up")
    sweeps = [replace(one, x="entries") if one.name.startswith(entries) else one for one in sweeps]
    sweeps = [replace(one, x="connections") if one.name.startswith("core") else one for one in sweeps]
    known = [*sweeps, line("reload_cpu", "rules", "s", 0.001, 0.0001)]
    found: dict[str, dict[str, object]] = {
        name: {"members_run": 2827, "lost_changes": 0} for name in tables.SCENARIOS
    }
    found["zone"] |= {"proxy_bytes_highest_s": 4321.0, "catch_up_s": None, "sign": "virtual clock"}
    found["zone"]["way"] = [1, 2]
    found["another"] = {"something_ms": 12.5, "said": "so"}
    return model(*known, scenarios=found)


def small(**target: float) -> Model:
    """Ten proxies with 1,000 connections and 500 deliveries a second each; a line 2 ms, a set-up 4 ms."""
    given = plan.load()
    target_fleet = replace(
        given.target,
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
    assumed = replace(
        given.assumed,
        connection_lifetime=replace(given.assumed.connection_lifetime, value=20.0),
        change=replace(given.assumed.change, value=200.0),
        entry=replace(given.assumed.entry, value=100.0),
        process_share=replace(given.assumed.process_share, value=0.5),
        passes_per_line=replace(given.assumed.passes_per_line, value=2.0),
        return_window=replace(given.assumed.return_window, value=10.0),
    )
    today = replace(
        given.today,
        process_bytes=1e6,
        catch_up_bytes_per_s=2000.0,
        serve_bytes_per_s=3000.0,
    )
    sweeps = [
        line("core_line_cpu", "connections", "s", 0.002, 0.0),
        line("core_setup_cpu", "connections", "s", 0.004, 0.0),
        line("core_floor_line", "connections", "s", 0.001, 0.0),
        line("core_floor_setup", "connections", "s", 0.002, 0.0),
        line("core_memory", "connections", "B", 5e6, 7e3),
        line("relay_poll_cpu", "children", "s/s", 0.0, 0.01),
        line("relay_push_cpu", "children", "s", 0.001, 0.002),
        line("membership_zone_span", "members", "s", 6.0, 0.0),
        line("membership_zone_bytes", "members", "B/s", 0.0, 100.0),
        line("membership_rest_bytes", "members", "B/s", 40.0, 0.0),
    ]
    measured = Measured({one.name: one for one in sweeps}, {}, {})
    return Model(measured, replace(given, target=target_fleet, today=today, assumed=assumed))
