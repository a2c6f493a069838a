"""All sweeps of what the program costs today.

``python -m ironmill_testbed.capacity.sweeps`` writes them down. Real processes are measured first, by
themselves, and with them the bare epoll floor of the run. What needs no socket follows, each size in a
process of its own and ``WORKERS`` of them at once.
"""

from __future__ import annotations

import multiprocessing
import os
import platform
import sys
from collections.abc import Collection
from concurrent.futures import Future, ProcessPoolExecutor
from typing import Any

from msgspec import structs

from ironmill_testbed.capacity import data, sweep_core, sweep_distribution, sweep_membership, sweep_table
from ironmill_testbed.capacity.data import Measured, Sweep
from ironmill_testbed.capacity.runs import Runs

# The longest first.
RUNS: tuple[Runs, ...] = (*sweep_membership.RUNS, *sweep_distribution.RUNS, *sweep_table.RUNS)
NAMES = (*sweep_core.NAMES, *(sweep.name for runs in RUNS for sweep in runs.sweeps))
WORKERS = 4
LIMIT = 900.0  # seconds for one size


def sweep(quick: bool, seed: int = 1, names: Collection[str] = NAMES) -> dict[str, Sweep]:
    """The sweeps of these names, and those that are found with them. TimeoutError past ``LIMIT``."""
    wanted = [runs for runs in RUNS if set(names) & {it.name for it in runs.sweeps}]
    found: dict[str, Sweep] = {}
    floor: float | None = None
    if set(names) & set(sweep_core.NAMES):
        found = sweep_core.measure(quick)
        floor = sweep_core.floor_of(found["core_floor_line"])
    elif any(timed(one) for runs in wanted for one in runs.sweeps):
        floor = sweep_core.floor(quick)
    found |= _in_processes(wanted, quick, seed)
    return {name: structs.replace(one, floor_s=floor) if timed(one) else one for name, one in found.items()}


def timed(sweep: Sweep) -> bool:
    """True if its costs are seconds of CPU, so that they are told in times of the floor as well."""
    return sweep.name.endswith("_cpu") or sweep.name.startswith("core_floor")


def _in_processes(wanted: list[Runs], quick: bool, seed: int) -> dict[str, Sweep]:
    if not wanted:
        return {}
    context = multiprocessing.get_context("spawn")
    found: dict[str, Sweep] = {}
    # A process for each task: what one has held is gone before the next is measured.
    with ProcessPoolExecutor(WORKERS, context, max_tasks_per_child=1) as pool:
        tasks: list[tuple[Runs, list[tuple[int, Future[dict[str, float]]]]]] = [
            (runs, [(size, pool.submit(runs.run, size, quick, one)) for size, one in runs.tasks(quick, seed)])
            for runs in wanted
        ]
        for runs, results in tasks:
            found |= runs.gather([(size, result.result(LIMIT)) for size, result in results])
    return found


def machine() -> dict[str, Any]:
    """What the figures that are not ratios depend on."""
    return {"cores": os.cpu_count(), "python": platform.python_version()}


def main(words: list[str]) -> int:
    """Measure the sweeps named, or all; with ``--quick`` first they are printed and not written."""
    quick = words[:1] == ["--quick"]
    names = words[quick:] or NAMES
    if unknown := set(names) - set(NAMES):
        print(f"no sweep {', '.join(sorted(unknown))}; there are: {', '.join(NAMES)}", file=sys.stderr)
        return 2
    found = sweep(quick, names=names)
    print_fits(found)
    if not quick:
        data.MEASURED.parent.mkdir(exist_ok=True)
        data.save(data.merge(Measured(found, {}, machine())))
    return 0


def print_fits(found: dict[str, Sweep]) -> None:
    """A line for each sweep: its fit, one standard error of each figure, and how far points lie off it."""
    print(f"{'sweep':<26} {'shape':<6} {'constant':>11} {'+-':>9} {'slope':>11} {'+-':>9}  off   unit a x")
    for name, one in found.items():
        try:
            fit = one.fit()
        except ValueError as error:
            print(error)
            continue
        print(
            f"{name:<26} {fit.shape.value:<6} {fit.constant:>11.4g} {fit.constant_error:>9.2g} "
            f"{fit.slope:>11.4g} {fit.slope_error:>9.2g} {fit.residual:>4.0%}   {one.unit} a {one.x}"
        )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
