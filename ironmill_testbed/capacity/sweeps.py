"""All sweeps of the program's costs.

``python -m ironmill_testbed.capacity.sweeps`` measures and stores them. Real processes are measured first and
alone, with the bare epoll loop as their floor. Runs without sockets follow, each size in a separate process
and ``WORKERS`` of them at once.
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

# In the order of decreasing duration.
RUNS: tuple[Runs, ...] = (*sweep_membership.RUNS, *sweep_distribution.RUNS, *sweep_table.RUNS)
NAMES = (*sweep_core.NAMES, *(sweep.name for runs in RUNS for sweep in runs.sweeps))
WORKERS = 4
RUN_TIMEOUT_S = 900.0  # of one size


def measure_sweeps(*, quick: bool, seed: int = 1, names: Collection[str] = NAMES) -> dict[str, Sweep]:
    """Measures the named sweeps and returns them with all others of the same runs.

    Raises ``TimeoutError`` if one size takes longer than ``RUN_TIMEOUT_S``.
    """
    wanted = [runs for runs in RUNS if set(names) & {sweep.name for sweep in runs.sweeps}]
    found: dict[str, Sweep] = {}
    floor: float | None = None
    if set(names) & set(sweep_core.NAMES):
        found = sweep_core.measure(quick=quick)
        floor = sweep_core.floor_of(found["core_floor_line"])
    elif any(has_floor(sweep) for runs in wanted for sweep in runs.sweeps):
        floor = sweep_core.measure_floor(quick=quick)
    found |= _measure_in_processes(wanted, quick=quick, seed=seed)
    return {
        name: structs.replace(sweep, floor_s=floor) if has_floor(sweep) else sweep
        for name, sweep in found.items()
    }


def has_floor(sweep: Sweep) -> bool:
    """Returns whether the costs are seconds of CPU, which are also given as multiples of the floor."""
    return sweep.name.endswith("_cpu") or sweep.name.startswith("core_floor")


def _measure_in_processes(wanted: list[Runs], *, quick: bool, seed: int) -> dict[str, Sweep]:
    if not wanted:
        return {}
    context = multiprocessing.get_context("spawn")
    found: dict[str, Sweep] = {}
    # A process for each task: memory of one does not affect the next.
    with ProcessPoolExecutor(WORKERS, context, max_tasks_per_child=1) as pool:
        tasks: list[tuple[Runs, list[tuple[int, Future[dict[str, float]]]]]] = [
            (
                runs,
                [
                    (size, pool.submit(runs.run, size, quick, task_seed))
                    for size, task_seed in runs.tasks(quick=quick, seed=seed)
                ],
            )
            for runs in wanted
        ]
        for runs, results in tasks:
            found |= runs.gather([(size, result.result(RUN_TIMEOUT_S)) for size, result in results])
    return found


def machine() -> dict[str, Any]:
    """Describes the machine, on which figures other than ratios depend."""
    return {"cores": os.cpu_count(), "python": platform.python_version()}


def main(arguments: list[str]) -> int:
    """Measures the named sweeps, or all; with ``--quick`` first they are printed and not stored."""
    quick = arguments[:1] == ["--quick"]
    names = arguments[quick:] or NAMES
    if unknown := set(names) - set(NAMES):
        print(f"no sweep {', '.join(sorted(unknown))}; there are: {', '.join(NAMES)}", file=sys.stderr)
        return 2
    found = measure_sweeps(quick=quick, names=names)
    print_fits(found)
    if not quick:
        data.MEASURED.parent.mkdir(exist_ok=True)
        data.save(data.merge(Measured(found, {}, machine())))
    return 0


def print_fits(found: dict[str, Sweep]) -> None:
    """Prints a line for each sweep: its fit, one standard error of each figure, and the residual."""
    print(f"{'sweep':<26} {'shape':<6} {'constant':>11} {'+-':>9} {'slope':>11} {'+-':>9}  off   unit a x")
    for name, sweep in found.items():
        try:
            fit = sweep.fit()
        except ValueError as error:
            print(error)
            continue
        print(
            f"{name:<26} {fit.shape.value:<6} {fit.constant:>11.4g} {fit.constant_error:>9.2g} "
            f"{fit.slope:>11.4g} {fit.slope_error:>9.2g} {fit.residual:>4.0%}   {sweep.unit} a {sweep.x}"
        )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
