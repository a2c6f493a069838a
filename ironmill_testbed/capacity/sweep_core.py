"""Sweeps of the costs of established connections, in a real proxy and in a bare epoll loop.

The epoll loop is the floor that the proxy's CPU is compared with. A run has four processes: this one, which
has the clients, the emulated dependencies, the proxy and the loop. Proxy and loop are restarted for each
size, because a proxy reuses the memory of closed connections. The measuring code is that of ``measure core``.
"""

from __future__ import annotations

import statistics
import tempfile
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

from msgspec import Struct

from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.capacity.data import Sign, Sweep
from ironmill_testbed.capacity.runs import fill
from ironmill_testbed.fleet import run_scenario
from ironmill_testbed.measures.core import (
    MAX_RUN_S,
    SERVER_COUNT,
    Bench,
    ConnectionCosts,
    SubjectOptions,
    max_descriptors,
    start_subject,
)
from ironmill_testbed.processes import Dependencies

SIZES = (500, 1000, 2000, 3000, 4000, 5000)
QUICK_SIZES = (500, 1000, 1500, 2000, 2500)
LINES_PER_ROUND, QUICK_LINES_PER_ROUND = 2000, 400
SETUPS_PER_ROUND, QUICK_SETUPS_PER_ROUND = 300, 80
ROUNDS, QUICK_ROUNDS = 7, 5
FLOOR_CONNECTIONS = 200  # the size at which the floor is measured without the proxy
PROCESS_KINDS = ("proxy", "epoll")


def _sweep(name: str, description: str, unit: str = "s") -> Sweep:
    return Sweep(name, description, "established connections", unit, Sign.REAL, ())


SWEEPS = (
    _sweep("core_line_cpu", "CPU of the proxy's process for a line that a client sends and gets back."),
    _sweep("core_setup_cpu", "CPU of the proxy's process for a connection from its first line to its close."),
    _sweep(
        "core_memory",
        "Resident bytes of the proxy's process beyond its start, for all connections together.",
        "B",
    ),
    _sweep("core_floor_line", "CPU for the same line of a bare loop on select.epoll, in the same run."),
    _sweep("core_floor_setup", "CPU for the same setup of a bare loop on select.epoll, in the same run."),
)
NAMES = tuple(sweep.name for sweep in SWEEPS)


class Effort(Struct, frozen=True):
    """The number of operations that are measured at one size."""

    lines: int  # per round
    setups: int  # per round
    rounds: int

    @classmethod
    def of(cls, *, quick: bool) -> Effort:
        """Returns the numbers of a quick or a full measurement."""
        if quick:
            return cls(QUICK_LINES_PER_ROUND, QUICK_SETUPS_PER_ROUND, QUICK_ROUNDS)
        return cls(LINES_PER_ROUND, SETUPS_PER_ROUND, ROUNDS)


def measure_size(
    size: int, effort: Effort, kinds: Sequence[str] = PROCESS_KINDS
) -> dict[str, ConnectionCosts]:
    """Measures each kind of process with ``size`` established connections."""
    with tempfile.TemporaryDirectory() as directory, ExitStack() as stack:
        descriptors = stack.enter_context(max_descriptors())
        folder = Path(directory)
        dependencies = stack.enter_context(Dependencies(folder, SERVER_COUNT))
        options = SubjectOptions(descriptors)
        scheduler, benches = Scheduler(), dict[str, Bench]()
        for kind in kinds:
            subject = start_subject(f"{kind}-{size}", dependencies, folder, options)
            stack.enter_context(subject.process)
            benches[kind] = Bench(scheduler, subject, ConnectionCosts(size))

        def scenario() -> None:
            for bench in benches.values():
                bench.grow()
            for _ in range(effort.rounds):  # in turns, so that other load on the machine affects all kinds
                for bench in benches.values():
                    bench.round(effort.lines, effort.setups)
            for bench in benches.values():
                bench.close()

        run_scenario(scheduler, scenario, MAX_RUN_S)
        return {kind: bench.costs for kind, bench in benches.items()}


def measure(*, quick: bool) -> dict[str, Sweep]:
    """Measures all sweeps of this module at the sizes of a quick or a full run."""
    results = []
    for size in QUICK_SIZES if quick else SIZES:
        costs = measure_size(size, Effort.of(quick=quick))
        proxy, epoll = costs["proxy"], costs["epoll"]
        results.append(
            (
                size,
                {
                    "core_line_cpu": proxy.line_ms / 1000.0,
                    "core_setup_cpu": proxy.setup_ms / 1000.0,
                    "core_memory": proxy.kib * 1024.0 * size,
                    "core_floor_line": epoll.line_ms / 1000.0,
                    "core_floor_setup": epoll.setup_ms / 1000.0,
                },
            )
        )
    return fill(SWEEPS, results)


def measure_floor(*, quick: bool) -> float:
    """Measures the CPU seconds per line of the bare epoll loop."""
    effort = Effort(Effort.of(quick=quick).lines, 1, ROUNDS)
    return measure_size(FLOOR_CONNECTIONS, effort, ("epoll",))["epoll"].line_ms / 1000.0


def floor_of(sweep: Sweep) -> float:
    """Returns the CPU seconds per line of a floor's sweep, as the median over its sizes."""
    return statistics.median(cost for _, cost in sweep.points)
