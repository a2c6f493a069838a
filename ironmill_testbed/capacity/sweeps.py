"""Measures all sweeps of the program's costs.

``python -m ironmill_testbed.capacity.sweeps`` measures and stores them. Real processes are measured first,
while nothing else runs, with the bare epoll loop as their floor. Runs without sockets follow: each size in a
separate process, with at most ``WORKERS`` processes at a time.
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

# The longest runs start first.
RUNS: tuple[Runs, ...] = (*sweep_membership.RUNS, *sweep_distribution.RUNS, *sweep_table.RUNS)
NAMES = (*sweep_core.NAMES, *(sweep.name for runs in RUNS for sweep in runs.sweeps))
WORKERS = 4
RUN_TIMEOUT_S = 900.0  # for one size


def measure_sweeps(*, quick: bool, seed: int = 1, names: Collection[str] = NAMES) -> dict[str, Sweep]:
    """Measures the runs that the named sweeps belong to, and returns all sweeps of these runs.

    Raises ``TimeoutError`` if one size takes longer than ``RUN_TIMEOUT_S``.
    """
    selected_runs = [runs for runs in RUNS if set(names) & {sweep.name for sweep in runs.sweeps}]
    measured: dict[str, Sweep] = {}
    floor_cpu_s: float | None = None
    if set(names) & set(sweep_core.NAMES):
        measured = sweep_core.measure(quick=quick)
        floor_cpu_s = sweep_core.floor_of(measured["core_floor_line"])
    elif any(has_floor(sweep) for runs in selected_runs for sweep in runs.sweeps):
        floor_cpu_s = sweep_core.measure_floor(quick=quick)
    measured |= _measure_in_processes(selected_runs, quick=quick, seed=seed)
    return {
        name: structs.replace(sweep, floor_s=floor_cpu_s) if has_floor(sweep) else sweep
        for name, sweep in measured.items()
    }


def has_floor(sweep: Sweep) -> bool:
    """Returns True if the costs are CPU seconds, which are also given as multiples of the floor."""
    return sweep.name.endswith("_cpu") or sweep.name.startswith("core_floor")


def _measure_in_processes(selected_runs: list[Runs], *, quick: bool, seed: int) -> dict[str, Sweep]:
    if not selected_runs:
        return {}
    context = multiprocessing.get_context("spawn")
    measured: dict[str, Sweep] = {}
    # Each task has its own process, so that the memory of one does not affect the next.
    with ProcessPoolExecutor(WORKERS, context, max_tasks_per_child=1) as pool:
        tasks: list[tuple[Runs, list[tuple[int, Future[dict[str, float]]]]]] = [
            (
                runs,
                [
                    (size, pool.submit(runs.run, size, quick, task_seed))
                    for size, task_seed in runs.tasks(quick=quick, seed=seed)
                ],
            )
            for runs in selected_runs
        ]
        for runs, results in tasks:
            measured |= runs.gather([(size, result.result(RUN_TIMEOUT_S)) for size, result in results])
    return measured


def machine() -> dict[str, Any]:
    """Describes the machine; all figures except ratios depend on it."""
    return {"cores": os.cpu_count(), "python": platform.python_version()}


def main(arguments: list[str]) -> int:
    """Measures the named sweeps, or all of them, and stores the result; prints their fits.

    With ``--quick`` as the first argument nothing is stored. Returns the exit status: 2 for an unknown name.
    """
    quick = arguments[:1] == ["--quick"]
    names = arguments[quick:] or NAMES
    if unknown := set(names) - set(NAMES):
        print(f"no sweep {', '.join(sorted(unknown))}; the sweeps are: {', '.join(NAMES)}", file=sys.stderr)
        return 2
    measured = measure_sweeps(quick=quick, names=names)
    print_fits(measured)
    if not quick:
        data.MEASURED.parent.mkdir(exist_ok=True)
        data.save(data.merge(Measured(measured, {}, machine())))
    return 0


def print_fits(measured: dict[str, Sweep]) -> None:
    """Prints a line for each sweep: its fit, one standard error of each figure, and the residual."""
    print(f"{'sweep':<26} {'shape':<6} {'constant':>11} {'+-':>9} {'slope':>11} {'+-':>9}  off   unit a x")
    for name, sweep in measured.items():
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
