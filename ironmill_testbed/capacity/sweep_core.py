"""Sweeps of an established connection's costs: a real proxy and a bare epoll loop, measured in turns.

Four processes: this one with the clients, the emulated dependencies, the proxy and the loop. The latter two
are restarted for each size, as a proxy reuses the memory of earlier connections. They are measured by the
code of ``measure core``.
"""

from __future__ import annotations

import resource
import statistics
import tempfile
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path

from msgspec import Struct

from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.capacity.data import Sign, Sweep
from ironmill_testbed.capacity.runs import fill
from ironmill_testbed.fleet import run_scenario
from ironmill_testbed.measures.core import HOSTS, LIMIT, Bench, Figures, make_subject
from ironmill_testbed.processes import Dependencies

SIZES = (500, 1000, 2000, 3000, 4000, 5000)
QUICK_SIZES = (500, 1000, 1500, 2000, 2500)
LINES_PER_ROUND, QUICK_LINES_PER_ROUND = 2000, 400
SETUPS_PER_ROUND, QUICK_SETUPS_PER_ROUND = 300, 80
ROUNDS, QUICK_ROUNDS = 7, 5
FLOOR_CONNECTIONS = 200  # if only the floor is measured
KINDS = ("proxy", "epoll")


def _sweep(name: str, what: str, unit: str = "s") -> Sweep:
    return Sweep(name, what, "established connections", unit, Sign.REAL, ())


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


@contextmanager
def _max_descriptors() -> Iterator[int]:
    """Raises the soft limit of open files to the hard one, and yields the number."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    try:
        yield min(hard if hard > 0 else 1 << 20, 1 << 20)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class Effort(Struct, frozen=True):
    """How much is measured at one size."""

    lines: int  # per round
    setups: int  # per round
    rounds: int

    @classmethod
    def of(cls, *, quick: bool) -> Effort:
        """Returns the effort of a quick or a full measurement."""
        if quick:
            return cls(QUICK_LINES_PER_ROUND, QUICK_SETUPS_PER_ROUND, QUICK_ROUNDS)
        return cls(LINES_PER_ROUND, SETUPS_PER_ROUND, ROUNDS)


def measure_size(size: int, effort: Effort, kinds: Sequence[str] = KINDS) -> dict[str, Figures]:
    """Measures each kind of process with so many connections."""
    with tempfile.TemporaryDirectory() as name, ExitStack() as stack:
        descriptors = stack.enter_context(_max_descriptors())
        folder = Path(name)
        dependencies = stack.enter_context(Dependencies(folder, HOSTS))
        scheduler, benches = Scheduler(), dict[str, Bench]()
        for kind in kinds:
            subject = make_subject(f"{kind}-{size}", dependencies, folder, descriptors, "epoll", None)
            stack.enter_context(subject.process)
            benches[kind] = Bench(scheduler, subject, Figures(size))

        def scenario() -> None:
            for bench in benches.values():
                bench.grow()
            for _ in range(effort.rounds):  # in turns: noise of the machine affects both
                for bench in benches.values():
                    bench.round(effort.lines, effort.setups)
            for bench in benches.values():
                bench.close()

        run_scenario(scheduler, scenario, LIMIT)
        return {kind: bench.figures for kind, bench in benches.items()}


def measure(*, quick: bool) -> dict[str, Sweep]:
    """Measures all sweeps of the core."""
    results = []
    for size in QUICK_SIZES if quick else SIZES:
        found = measure_size(size, Effort.of(quick=quick))
        proxy, epoll = found["proxy"], found["epoll"]
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
    """Measures the seconds of CPU per line of the bare epoll loop."""
    effort = Effort(Effort.of(quick=quick).lines, 1, ROUNDS)
    return measure_size(FLOOR_CONNECTIONS, effort, ("epoll",))["epoll"].line_ms / 1000.0


def floor_of(sweep: Sweep) -> float:
    """Returns the floor's seconds per line: the median of all sizes."""
    return statistics.median(cost for _, cost in sweep.points)
