"""What a line, a set-up and a standing connection cost the proxy, against how many connections stand.

Beside the proxy stand two floors in the same run (``ironmill_lab.floors``): a bare loop on ``select.epoll``,
and the scheduler's greenlets without the gateway. The differences between the three are what the layers
take. A line is one that a client sends and gets back, so it passes the proxy twice. A set-up is a connection
from its first line to its close.
"""

from __future__ import annotations

import random
import resource
import tempfile
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ironmill.net.sockets import TimedOutError
from ironmill.scheduler import Scheduler
from ironmill_lab.fleet import Client, NotServedError, in_parallel, play
from ironmill_lab.processes import Neighbours, Process, ProxyProcess, free_port
from ironmill_lab.settings import platform_settings, proxy_config, write_config

HOSTS = 6
SIZES = (500, 2000, 3600, 5000)
SIZES_QUICK = (500, 5000)
MOST = 9000  # standing connections that one core must hold
LINES, LINES_QUICK = 12_000, 4_000
SETUPS, SETUPS_QUICK = 1_500, 600
LINES_AT_ONCE = 16
SETUPS_AT_ONCE = 8
TRIES = 200
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


@dataclass(slots=True)
class Subject:
    """What is measured: a process that clients connect to."""

    name: str
    process: Process
    address: tuple[str, int]
    figures: list[Figures] = field(default_factory=list)
    declined: int = 0

    def at(self, size: int) -> Figures:
        """Its figures at that size."""
        return next(figures for figures in self.figures if figures.size == size)


class Bench:
    """Brings one subject from size to size and reads its CPU clock."""

    def __init__(self, subject: Subject, quick: bool) -> None:
        self._subject = subject
        self._lines = LINES_QUICK if quick else LINES
        self._setups = SETUPS_QUICK if quick else SETUPS
        self._scheduler = Scheduler()
        self._rng = random.Random(5)
        self._clients: list[Client] = []
        self._at_start = subject.process.usage().resident

    def run(self, sizes: tuple[int, ...], most: int) -> None:
        """Measure at each size; then hold ``most`` connections, each of which must bring a line back."""
        play(self._scheduler, lambda: self._story(sizes, most), LIMIT)

    def _story(self, sizes: tuple[int, ...], most: int) -> None:
        for size in sizes:
            self._grow(size)
            self._scheduler.sleep(0.5)
            figures = Figures(size)
            self._subject.figures.append(figures)
            grown = self._subject.process.usage().resident - self._at_start
            figures.kib = grown / 1024.0 / size
            figures.line_ms, figures.line_system = self._cost(self._lines, self._ask_many)
            figures.setup_ms, figures.setup_system = self._cost(self._setups, self._set_up_many)
        if most > len(self._clients):
            self._grow(most)
            in_parallel(self._scheduler, LINES_AT_ONCE, self._clients, self._ask)
        for client in self._clients:
            client.close()

    def _cost(self, count: int, action: Callable[[int], None]) -> tuple[float, float]:
        before = self._subject.process.usage()
        action(count)
        after = self._subject.process.usage()
        return (after.cpu - before.cpu) * 1000.0 / count, (after.system - before.system) * 1000.0 / count

    def _grow(self, size: int) -> None:
        missing = range(size - len(self._clients))
        in_parallel(self._scheduler, SETUPS_AT_ONCE, missing, lambda _: self._clients.append(self._open()))

    def _open(self) -> Client:
        for _ in range(TRIES):
            client = Client(self._scheduler, self._subject.address)
            try:
                client.open()
            except NotServedError:
                self._subject.declined += 1
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
        if client.ask(b"a line as clients send them") != b"a line as clients send them":
            raise RuntimeError("a line did not come back")


def measure(quick: bool, poller: str, program: Path | None) -> dict[str, Any]:
    """The table on standard output, and the figures by name."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    sizes, most = (SIZES_QUICK, 0) if quick else (SIZES, MOST)
    # Two descriptors a connection, here and in the proxy.
    room = min(hard if hard > 0 else 1 << 20, 1 << 20)
    most = min(most, (room - 600) // 2)
    subjects: dict[str, Subject] = {}
    with tempfile.TemporaryDirectory() as name:
        for kind in ("epoll", "greenlet", "proxy"):
            with ExitStack() as stack:
                folder = Path(name)
                neighbours = Neighbours(folder, HOSTS)
                stack.enter_context(neighbours)
                subject = _subject(kind, neighbours, folder, room, poller, program)
                stack.enter_context(subject.process)
                Bench(subject, quick).run(sizes, most if kind == "proxy" else 0)
                subjects[kind] = subject
    _print(subjects, sizes)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    proxy = subjects["proxy"]
    first, last = proxy.at(500), proxy.at(5000)
    return {
        "line_ms_500": round(first.line_ms, 4), "line_ms_5000": round(last.line_ms, 4),
        "setup_ms_500": round(first.setup_ms, 4), "setup_ms_5000": round(last.setup_ms, 4),
        "kib_per_connection": round(last.kib, 2),
        "floor_epoll_line_ms_5000": round(subjects["epoll"].at(5000).line_ms, 4),
        "floor_greenlet_line_ms_5000": round(subjects["greenlet"].at(5000).line_ms, 4),
        "held": max(most, sizes[-1]), "declined": proxy.declined, "poller": poller,
    }


def _subject(
    kind: str, neighbours: Neighbours, folder: Path, room: int, poller: str, program: Path | None
) -> Subject:
    if kind == "proxy":
        config = proxy_config(
            "p-0", ("127.0.0.1", free_port()), neighbours.discovery, room, platform_settings()
        )
        words = [] if poller == "epoll" else [f"--poller={poller}"]
        proxy = ProxyProcess(write_config(folder, config), folder, program, words)
        proxy.wait_ready()
        return Subject(kind, proxy, proxy.address)
    host = neighbours.ask("told")["hosts"][0]
    words = ["-m", "ironmill_lab", "floor", kind, f"--target={host['address'][0]}:{host['address'][1]}"]
    floor = Process(words, folder, kind)
    assert floor.popen.stdout is not None
    return Subject(kind, floor, ("127.0.0.1", int(floor.popen.stdout.readline())))


def _print(subjects: dict[str, Subject], sizes: tuple[int, ...]) -> None:
    print("subject   standing   ms a line  of it kernel   ms a set-up  of it kernel   KiB a connection")
    for subject in subjects.values():
        for it in subject.figures:
            print(
                f"{subject.name:<9} {it.size:>8}   {it.line_ms:>9.4f}  {it.line_system:>12.4f}   "
                f"{it.setup_ms:>11.3f}  {it.setup_system:>12.3f}   {it.kib:>16.1f}"
            )
    last = sizes[-1]
    epoll, greenlet, proxy = (subjects[kind].at(last).line_ms for kind in ("epoll", "greenlet", "proxy"))
    if proxy > 0.0:
        print(
            f"a line at {last}: {epoll / proxy:.0%} kernel and loop, "
            f"{(greenlet - epoll) / proxy:.0%} greenlets, "
            f"{(proxy - greenlet) / proxy:.0%} protocol, gateway and measuring"
        )
