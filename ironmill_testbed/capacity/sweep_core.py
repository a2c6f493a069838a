"""Sweeps of a standing connection's costs: a real proxy, and the bare epoll floor beside it, in turns.

Four processes: this one with the clients, the emulated dependencies, the proxy, the floor. The two are
started anew for each size, for a proxy that has had connections before takes less for more of them: 5.5 KiB
each at 5,000 in steps over 500 and 2,500, 7.3 at once. They are measured by the code of ``measure core``.
"""

from __future__ import annotations

import resource
import statistics
import tempfile
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path

from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.capacity.data import Sign, Sweep
from ironmill_testbed.capacity.runs import fill
from ironmill_testbed.fleet import run_scenario
from ironmill_testbed.measures.core import HOSTS, LIMIT, Bench, Figures, make_subject
from ironmill_testbed.processes import Dependencies

SIZES = (500, 1000, 2000, 3000, 4000, 5000)
SIZES_QUICK = (500, 1000, 1500, 2000, 2500)
LINES, LINES_QUICK = 2000, 400  # a round
SETUPS, SETUPS_QUICK = 300, 80
ROUNDS, ROUNDS_QUICK = 7, 5
FLOOR_SIZE = 200  # connections, where nothing but the floor is wanted
KINDS = ("proxy", "epoll")


def _sweep(name: str, what: str, unit: str = "s") -> Sweep:
    return Sweep(name, what, "standing connections", unit, Sign.REAL, ())


SWEEPS = (
    _sweep("core_line_cpu", "CPU of the proxy's process for a line that a client sends and gets back."),
    _sweep("core_setup_cpu", "CPU of the proxy's process for a connection from its first line to its close."),
    _sweep(
        "core_memory",
        "Resident bytes of the proxy's process beyond its start, for all connections together.",
        "B",
    ),
    _sweep("core_floor_line", "CPU for the same line of a bare loop on select.epoll, in the same run."),
    _sweep("core_floor_setup", "CPU for the same set-up of a bare loop on select.epoll, in the same run."),
)
NAMES = tuple(sweep.name for sweep in SWEEPS)


@contextmanager
def _descriptors() -> Iterator[int]:
    """As many as the system lets this process open; how many that is."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    try:
        yield min(hard if hard > 0 else 1 << 20, 1 << 20)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def at_size(
    size: int, lines: int, setups: int, rounds: int, kinds: Sequence[str] = KINDS
) -> dict[str, Figures]:
    """Figures of each kind with so many connections; ``lines`` and ``setups`` are those of one round."""
    with tempfile.TemporaryDirectory() as name, ExitStack() as stack:
        room = stack.enter_context(_descriptors())
        folder = Path(name)
        dependencies = stack.enter_context(Dependencies(folder, HOSTS))
        scheduler, benches = Scheduler(), dict[str, Bench]()
        for kind in kinds:
            subject = make_subject(f"{kind}-{size}", dependencies, folder, room, "epoll", None)
            stack.enter_context(subject.process)
            benches[kind] = Bench(scheduler, subject, Figures(size))

        def story() -> None:
            for bench in benches.values():
                bench.grow()
            for _ in range(rounds):  # in turns: a machine that is noisy is so for both
                for bench in benches.values():
                    bench.round(lines, setups)
            for bench in benches.values():
                bench.close()

        run_scenario(scheduler, story, LIMIT)
        return {kind: bench.figures for kind, bench in benches.items()}


def measure(quick: bool, sizes: Sequence[int] = ()) -> dict[str, Sweep]:
    """All sweeps of the core; ``floor_s`` is the median of the floor's lines at all sizes."""
    sizes = sizes or (SIZES_QUICK if quick else SIZES)
    lines, setups, rounds = (LINES_QUICK, SETUPS_QUICK, ROUNDS_QUICK) if quick else (LINES, SETUPS, ROUNDS)
    results = []
    for size in sizes:
        found = at_size(size, lines, setups, rounds)
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


def floor(quick: bool) -> float:
    """Seconds of CPU that a line costs the bare epoll floor now."""
    lines = LINES_QUICK if quick else LINES
    return at_size(FLOOR_SIZE, lines, 1, ROUNDS, ("epoll",))["epoll"].line_ms / 1000.0


def floor_of(sweep: Sweep) -> float:
    """The floor's seconds a line: the median of all sizes."""
    return statistics.median(cost for _, cost in sweep.points)
