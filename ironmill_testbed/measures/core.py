"""What a line, a set-up and a standing connection cost the proxy, against how many connections stand.

Beside the proxy stand two floors in the same run (``ironmill_testbed.floors``): a bare loop on
``select.epoll``, and the scheduler's greenlets without the gateway. The differences between the three are
what the layers take. A line is one that a client sends and gets back, so it passes the proxy twice. A set-up
is a connection from its first line to its close.
"""

from __future__ import annotations

import random
import resource
import statistics
import tempfile
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ironmill.net.sockets import TimedOutError
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.fleet import Client, NotServedError, in_parallel, run_scenario
from ironmill_testbed.processes import Dependencies, Process, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

HOSTS = 6
SIZES = (500, 2000, 3600, 5000)
SIZES_QUICK = (500, 5000)
MOST = 9000  # standing connections that one core must hold
LINES, LINES_QUICK = 12_000, 4_000
SETUPS, SETUPS_QUICK = 1_500, 600
LINES_AT_ONCE = 16
SETUPS_AT_ONCE = 8
TRIES = 200
ROUNDS = 5
LIMIT = 900.0  # seconds for one subject


@dataclass(slots=True)
class Figures:
    """One subject at one size: milliseconds of CPU, KiB for each standing connection beyond the start."""

    size: int
    line_ms: float = 0.0
    line_system: float = 0.0  # the kernel's part of it
    setup_ms: float = 0.0
    setup_system: float = 0.0
    kib: float = 0.0


@dataclass(frozen=True, slots=True)
class Subject:
    """What is measured: a process that clients connect to."""

    process: Process
    address: tuple[str, int]


class Bench:
    """Brings one subject to its size and reads its CPU clock."""

    def __init__(self, scheduler: Scheduler, subject: Subject, figures: Figures) -> None:
        self._scheduler = scheduler
        self._subject = subject
        self._rng = random.Random(5)
        self._clients: list[Client] = []
        self._at_start = subject.process.usage().resident_bytes
        self._costs: dict[str, list[float]] = {"line": [], "setup": []}
        self._system: dict[str, float] = {"line": 0.0, "setup": 0.0}
        self.figures = figures
        self.refused = 0

    def grow(self) -> None:
        """Open connections up to the size, and weigh them once each has brought its first line back."""
        self._grow(self.figures.size)
        in_parallel(self._scheduler, LINES_AT_ONCE, self._clients, self._ask)
        self._scheduler.sleep(0.5)
        grown = self._subject.process.usage().resident_bytes - self._at_start
        self.figures.kib = grown / 1024.0 / self.figures.size

    def round(self, lines: int, setups: int) -> None:
        """One round of each; the figures are the medians of the rounds so far."""
        self._cost("line", lines, self._ask_many)
        self._cost("setup", setups, self._set_up_many)
        rounds = len(self._costs["line"])
        self.figures.line_ms = statistics.median(self._costs["line"])
        self.figures.setup_ms = statistics.median(self._costs["setup"])
        self.figures.line_system = self._system["line"] / rounds
        self.figures.setup_system = self._system["setup"] / rounds

    def hold(self, most: int) -> None:
        """Hold so many connections, each of which must bring a line back."""
        self._grow(most)
        in_parallel(self._scheduler, LINES_AT_ONCE, self._clients, self._ask)

    def close(self) -> None:
        """End the clients' connections."""
        for client in self._clients:
            client.close()
        self._clients.clear()

    def _cost(self, what: str, count: int, action: Callable[[int], None]) -> None:
        before = self._subject.process.usage()
        action(count)
        after = self._subject.process.usage()
        self._costs[what].append((after.cpu_s - before.cpu_s) * 1000.0 / count)
        self._system[what] += (after.system_s - before.system_s) * 1000.0 / count

    def _grow(self, size: int) -> None:
        missing = range(size - len(self._clients))
        in_parallel(self._scheduler, SETUPS_AT_ONCE, missing, lambda _: self._clients.append(self._open()))

    def _open(self) -> Client:
        for _ in range(TRIES):
            client = Client(self._scheduler, self._subject.address)
            try:
                client.open()
            except NotServedError:
                self.refused += 1
                self._scheduler.sleep(0.1)
            else:
                return client
        raise TimedOutError

    def _set_up_many(self, count: int) -> None:
        in_parallel(self._scheduler, SETUPS_AT_ONCE, range(count), lambda _: self._open().close())

    def _ask_many(self, count: int) -> None:
        # Disjoint shares: two lines of one connection are never out together.
        chosen = [self._rng.sample(self._clients, min(count, len(self._clients)))]
        while sum(map(len, chosen)) < count:
            chosen.append(self._rng.sample(self._clients, min(count, len(self._clients))))
        for part in chosen:
            in_parallel(self._scheduler, LINES_AT_ONCE, part[:count], self._ask)
            count -= len(part)

    def _ask(self, client: Client) -> None:
        if client.exchange(b"a line as clients send them") != b"a line as clients send them":
            raise RuntimeError("a line did not come back")


def measure(quick: bool, poller: str, program: Path | None) -> dict[str, Any]:
    """The table on standard output, and the figures by name."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    sizes, most = (SIZES_QUICK, 0) if quick else (SIZES, MOST)
    lines, setups = (LINES_QUICK, SETUPS_QUICK) if quick else (LINES, SETUPS)
    # Two descriptors a connection, here and in the proxy.
    room = min(hard if hard > 0 else 1 << 20, 1 << 20)
    most = min(most, (room - 600) // 2)
    found: dict[str, list[Figures]] = {}
    refused = 0
    with tempfile.TemporaryDirectory() as name:
        for kind in ("epoll", "greenlet", "proxy"):
            folder = Path(name) / kind
            folder.mkdir()
            with ExitStack() as stack:
                dependencies = stack.enter_context(Dependencies(folder, HOSTS))
                scheduler = Scheduler()
                benches = []
                for size in sizes:
                    subject = make_subject(f"{kind}-{size}", dependencies, folder, room, poller, program)
                    stack.enter_context(subject.process)
                    benches.append(Bench(scheduler, subject, Figures(size)))

                def story(benches: list[Bench] = benches, kind: str = kind) -> None:
                    for bench in benches:
                        bench.grow()
                    for _ in range(ROUNDS):  # in turns: a machine that is noisy is so for all sizes
                        for bench in benches:
                            bench.round(lines // ROUNDS, setups // ROUNDS)
                    for bench in benches[:-1]:
                        bench.close()
                    if most and kind == "proxy":
                        benches[-1].hold(most)
                    benches[-1].close()

                run_scenario(scheduler, story, LIMIT)
                found[kind] = [bench.figures for bench in benches]
                refused += sum(bench.refused for bench in benches)
    _print(found)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    first, last = found["proxy"][0], found["proxy"][-1]
    return {
        "line_ms_500": round(first.line_ms, 4),
        "line_ms_5000": round(last.line_ms, 4),
        "setup_ms_500": round(first.setup_ms, 4),
        "setup_ms_5000": round(last.setup_ms, 4),
        "kib_per_connection": round(last.kib, 2),
        "floor_epoll_line_ms_5000": round(found["epoll"][-1].line_ms, 4),
        "floor_greenlet_line_ms_5000": round(found["greenlet"][-1].line_ms, 4),
        "held": max(most, sizes[-1]),
        "refused": refused,
        "poller": poller,
    }


def make_subject(
    name: str, dependencies: Dependencies, folder: Path, room: int, poller: str, program: Path | None
) -> Subject:
    """A process of the kind that the name begins with, ready; ``room`` is how many sockets a proxy has."""
    kind = name.partition("-")[0]
    if kind == "proxy":
        config = proxy_config(
            name, ("127.0.0.1", free_port()), dependencies.discovery, room, platform_settings()
        )
        words = [] if poller == "epoll" else [f"--poller={poller}"]
        proxy = ProxyProcess(write_config(folder, config), folder, program, words)
        proxy.wait_ready()
        return Subject(proxy, proxy.address)
    host, port = dependencies.status().servers[0].address
    words = ["-m", "ironmill_testbed", "floor", kind, f"--target={host}:{port}"]
    floor = Process(words, folder, name)
    assert floor.popen.stdout is not None
    return Subject(floor, ("127.0.0.1", int(floor.popen.stdout.readline())))


def _print(found: dict[str, list[Figures]]) -> None:
    print("subject   standing   ms a line  of it kernel   ms a set-up  of it kernel   KiB a connection")
    for kind, figures in found.items():
        for it in figures:
            print(
                f"{kind:<9} {it.size:>8}   {it.line_ms:>9.4f}  {it.line_system:>12.4f}   "
                f"{it.setup_ms:>11.3f}  {it.setup_system:>12.3f}   {it.kib:>16.1f}"
            )
    epoll, greenlet, proxy = (found[kind][-1].line_ms for kind in ("epoll", "greenlet", "proxy"))
    if proxy > 0.0:
        print(
            f"a line at {found['proxy'][-1].size}: {epoll / proxy:.0%} kernel and loop, "
            f"{(greenlet - epoll) / proxy:.0%} greenlets, "
            f"{(proxy - greenlet) / proxy:.0%} protocol, gateway and measuring"
        )
