"""Measures the fleet that operators plan: sweeps, simulated scenarios, and simulated proxies on sockets.

The full measurement is written to ``docs/capacity/measured.json``, from which ``python -m ironmill_testbed
capacity`` generates the page. With ``--quick`` nothing is written and sizes are small, except for three
scenarios, which run at the plan's size and at the same time as the sweeps. A figure that was not measured is
None.
"""

from __future__ import annotations

import multiprocessing
import sys
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from typing import Any

from ironmill_testbed.capacity import data, on_sockets, scenarios, sweep_distribution, sweeps
from ironmill_testbed.measures.options import MeasurementOptions

QUICK_SCENARIOS = ("zone", "storm", "loss")
QUICK_SWEEPS = (  # in addition to those of distribution
    "placement_cpu",
    "membership_zone_bytes",
    "table_memory",
)
DISTRIBUTION_SWEEPS = frozenset(sweep.name for runs in sweep_distribution.RUNS for sweep in runs.sweeps)
PARALLEL_SCENARIOS = 4  # each is one process that uses a whole core and a quarter of a GB
MAX_SCENARIO_S = 3600.0
SOCKETS_SPAN_S, QUICK_SOCKETS_SPAN_S = 60.0, 15.0
# The numbers of simulated proxies, control machines, processes of simulated proxies, and real proxies.
ON_SOCKETS, QUICK_ON_SOCKETS = (2800, 27, 20, 3), (280, 5, 4, 1)


def measure(options: MeasurementOptions) -> dict[str, Any]:
    """Prints the figures and returns them by name; only ``is_quick`` is used."""
    quick = options.is_quick
    names = [
        name for name in sweeps.NAMES if not quick or name in QUICK_SWEEPS or name in DISTRIBUTION_SWEEPS
    ]
    measured_sweeps: dict[str, data.Sweep] = {}
    if quick:
        with ThreadPoolExecutor(1) as executor:
            task = executor.submit(_run_scenarios, quick=quick)
            measured_sweeps = sweeps.measure_sweeps(quick=quick, names=names)
            results = task.result()
    else:
        results = _run_scenarios(quick=quick)
    extent = QUICK_ON_SOCKETS if quick else ON_SOCKETS
    sockets = on_sockets.run(*extent, QUICK_SOCKETS_SPAN_S if quick else SOCKETS_SPAN_S, quick)
    print("on sockets:", *(f"{name} {value}" for name, value in sockets.items()), sep="\n  ")
    if not quick:
        measured = {name: figures | {"sign": data.Sign.VIRTUAL.value} for name, figures in results.items()}
        measured["on_sockets"] = sockets | {"sign": data.Sign.SIMULATED.value}
        # The scenarios are stored before the sweeps, which may fail.
        data.save(data.merge(data.Measured({}, measured, sweeps.machine())))
        # The sweeps run last, while no other process of the measurement is busy.
        measured_sweeps = sweeps.measure_sweeps(quick=quick, names=names)
        data.save(data.merge(data.Measured(measured_sweeps, {}, sweeps.machine())))
    sweeps.print_fits(measured_sweeps)
    return summary(results, sockets)


def _run_scenarios(*, quick: bool) -> dict[str, dict[str, Any]]:
    names = QUICK_SCENARIOS if quick else tuple(scenarios.SCENARIOS)
    results: dict[str, dict[str, Any]] = {}
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(PARALLEL_SCENARIOS, context, max_tasks_per_child=1) as pool:
        tasks = {name: pool.submit(scenarios.simulate, name, scenarios.FULL_PLAN, quick) for name in names}
        for name, task in tasks.items():
            results[name] = task.result(MAX_SCENARIO_S)
            print(f"{name}:", *(f"{key} {value}" for key, value in results[name].items()), sep="\n  ")
            for line in scenarios.broken_guarantees(results[name]):
                print(f"NOT KEPT: {name}: {line}")
            sys.stdout.flush()
    return results


def summary(results: Mapping[str, Mapping[str, Any]], sockets: Mapping[str, Any]) -> dict[str, Any]:
    """Returns each figure in its worst scenario, on the virtual clock or on sockets."""
    all_figures = [*results.values(), sockets]
    aggregates: dict[str, Callable[[Iterable[Any]], Any]] = {
        "members_run": max,
        "change_p99_s": max,
        "change_max_s": max,
        "lost_changes": sum,
        "older_after_newer": sum,
        "half_in_force": sum,
        "stale_unnoticed": sum,
        "false_everywhere": sum,
    }
    summary_figures: dict[str, Any] = {
        name: _aggregate(aggregate, [figures.get(name) for figures in all_figures])
        for name, aggregate in aggregates.items()
    }
    # If the scenario "rest" was not run, any other is used, since each begins with a time without changes.
    idle = results.get("rest") or next(iter(results.values()), {})
    summary_figures["control_bytes_per_s"] = idle.get("control_bytes_per_s")
    summary_figures["zone_loss_bytes_per_s"] = results.get("zone", {}).get("proxy_bytes_highest_s")
    for name in (
        "real_processes",
        "hollow_on_sockets",
        "control_core_percent",
        "control_memory_mb",
        "clients_lost",
    ):
        summary_figures[name] = sockets.get(name)
    summary_figures["peak_memory_mb"] = _aggregate(
        max, [figures.get("peak_memory_mb") for figures in all_figures]
    )
    summary_figures["stories"] = sorted(results)
    summary_figures["not_kept"] = sorted(
        f"{name}: {line}"
        for name, figures in results.items()
        for line in scenarios.broken_guarantees(dict(figures))
    )
    return summary_figures


def _aggregate(function: Callable[[Iterable[Any]], Any], values: Iterable[Any]) -> Any:
    measured = [value for value in values if value is not None]
    return function(measured) if measured else None
