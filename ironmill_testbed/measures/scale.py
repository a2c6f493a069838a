"""What a fleet of the operators' plan costs: sweeps, stories on the virtual clock, hollow proxies on sockets.

In full all of it is run and written to ``docs/capacity/measured.json``, from which the page is made (``python
-m ironmill_testbed capacity``). With ``--quick`` sizes are small but for the stories, of which three are run
at the plan's size, sweeps and stories are run side by side, and nothing is written. A figure that was not run
is None.
"""

from __future__ import annotations

import multiprocessing
import sys
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from pathlib import Path
from typing import Any

from ironmill_testbed.capacity import data, on_sockets, scenarios, sweep_distribution, sweeps

QUICK_STORIES = ("zone", "storm", "loss")
QUICK_SWEEPS = (  # of what was there before, the others are those of distribution
    "placement_cpu",
    "membership_zone_bytes",
    "table_memory",
)
WORKERS = 4  # stories at once: each is one busy process of a quarter of a GB
LIMIT = 3600.0  # seconds for one story
# Hollow proxies, control machines, processes of hollow ones, whole proxies.
ON_SOCKETS, ON_SOCKETS_QUICK = (2800, 27, 20, 3), (280, 5, 4, 1)


def measure(quick: bool, poller: str, program: Path | None) -> dict[str, Any]:
    """The figures by name; ``poller`` and ``program`` are not used."""
    names = [name for name in sweeps.NAMES if not quick or name in QUICK_SWEEPS or name in DISTRIBUTION]
    found: dict[str, data.Sweep] = {}
    if quick:
        with ThreadPoolExecutor(1) as side:
            task = side.submit(_stories, quick)
            found = sweeps.measure_sweeps(quick=quick, names=names)
            played = task.result()
    else:
        played = _stories(quick)
    sockets = on_sockets.run(*(ON_SOCKETS_QUICK if quick else ON_SOCKETS), 15.0 if quick else 60.0, quick)
    print("on sockets:", *(f"{name} {value}" for name, value in sockets.items()), sep="\n  ")
    if not quick:
        told = {name: one | {"sign": data.Sign.VIRTUAL.value} for name, one in played.items()}
        told["on_sockets"] = sockets | {"sign": data.Sign.SIMULATED.value}
        data.save(data.merge(data.Measured({}, told, sweeps.machine())))  # kept, whatever comes after
        found = sweeps.measure_sweeps(quick=quick, names=names)  # last, when nothing else is busy
        data.save(data.merge(data.Measured(found, {}, sweeps.machine())))
    sweeps.print_fits(found)
    return summary(played, sockets)


DISTRIBUTION = frozenset(sweep.name for runs in sweep_distribution.RUNS for sweep in runs.sweeps)


def _stories(quick: bool) -> dict[str, dict[str, Any]]:
    names = QUICK_STORIES if quick else tuple(scenarios.SCENARIOS)
    found: dict[str, dict[str, Any]] = {}
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(WORKERS, context, max_tasks_per_child=1) as pool:
        tasks = {name: pool.submit(scenarios.play, name, scenarios.FULL_PLAN, quick) for name in names}
        for name, task in tasks.items():
            found[name] = task.result(LIMIT)
            print(f"{name}:", *(f"{key} {value}" for key, value in found[name].items()), sep="\n  ")
            for line in scenarios.broken(found[name]):
                print(f"NOT KEPT: {name}: {line}")
            sys.stdout.flush()
    return found


def summary(played: Mapping[str, Mapping[str, Any]], sockets: Mapping[str, Any]) -> dict[str, Any]:
    """The last line: each figure at its worst story, on the virtual clock or on sockets."""
    every = [*played.values(), sockets]
    worst: dict[str, Callable[[Iterable[Any]], Any]] = {
        "members_run": max,
        "change_p99_s": max,
        "change_max_s": max,
        "lost_changes": sum,
        "older_after_newer": sum,
        "half_in_force": sum,
        "stale_unnoticed": sum,
        "false_everywhere": sum,
    }
    found: dict[str, Any] = {
        name: _of(over, [one.get(name) for one in every]) for name, over in worst.items()
    }
    rest = played.get("rest") or next(iter(played.values()), {})  # before anything happens all are at rest
    found["control_bytes_per_s"] = rest.get("control_bytes_per_s")
    found["zone_loss_bytes_per_s"] = played.get("zone", {}).get("proxy_bytes_highest_s")
    for name in (
        "real_processes",
        "hollow_on_sockets",
        "control_core_percent",
        "control_memory_mb",
        "clients_lost",
    ):
        found[name] = sockets.get(name)
    found["peak_memory_mb"] = _of(max, [one.get("peak_memory_mb") for one in every])
    found["stories"] = sorted(played)
    found["not_kept"] = sorted(
        f"{name}: {line}" for name, one in played.items() for line in scenarios.broken(dict(one))
    )
    return found


def _of(over: Callable[[Iterable[Any]], Any], values: Iterable[Any]) -> Any:
    known = [value for value in values if value is not None]
    return over(known) if known else None
