"""Measures the proxy's costs of a line, of a set-up and of an established connection.

All costs are measured at several numbers of connections. The same run measures two baselines, the floors
(``ironmill_testbed.floors``): a bare loop on ``select.epoll``, and the scheduler's greenlets without the
gateway. The differences between the three are the costs of the layers. A line is sent by a client and
returned to it, so it passes the proxy twice. A set-up is a connection from its request line to its close.
"""

from __future__ import annotations

import random
import resource
import statistics
import tempfile
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from msgspec import Struct

from ironmill.membership.identity import Address, format_address
from ironmill.net.sockets import TimedOutError
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.fleet import Client, NotServedError, in_parallel, run_scenario
from ironmill_testbed.measures.errors import MeasurementError
from ironmill_testbed.measures.options import MeasurementOptions
from ironmill_testbed.processes import Dependencies, Process, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

SERVER_COUNT = 6
SIZES = (500, 2000, 3600, 5000)
QUICK_SIZES = (500, 5000)
MAX_CONNECTIONS = 9000  # established connections that one core must be able to hold
LINES, QUICK_LINES = 12_000, 4_000
SETUPS, QUICK_SETUPS = 1_500, 600
PARALLEL_LINES = 16
PARALLEL_SETUPS = 8
MAX_OPEN_ATTEMPTS = 200
OPEN_RETRY_DELAY_S = 0.1
SETTLE_S = 0.5  # time after which a process has released its temporary memory
ROUNDS = 5
MAX_RUN_S = 900.0  # for all sizes of one kind of subject
MAX_DESCRIPTORS = 1 << 20
RESERVED_DESCRIPTORS = 600
LINE = b"a line as clients send them"


@dataclass(slots=True)
class ConnectionCosts:
    """The costs of one subject at one number of connections; times are CPU time."""

    size: int  # established connections
    line_ms: float = 0.0
    line_system_ms: float = 0.0  # the part of ``line_ms`` in the kernel
    setup_ms: float = 0.0
    setup_system_ms: float = 0.0  # the part of ``setup_ms`` in the kernel
    kib: float = 0.0  # resident memory per connection


class SubjectOptions(Struct, frozen=True):
    """Options with which measured processes are started."""

    descriptors: int  # the number that a proxy may use
    poller: str = "epoll"
    program: Path | None = None  # the folder of another checkout to run the proxy from


@dataclass(frozen=True, slots=True)
class Subject:
    """A measured process, and the address that clients connect to."""

    process: Process
    address: Address


class Bench:
    """Opens connections to one subject and measures its CPU time and memory."""

    def __init__(self, scheduler: Scheduler, subject: Subject, costs: ConnectionCosts) -> None:
        """Creates a bench without connections; ``costs`` gives the size and receives the measurements."""
        self._scheduler = scheduler
        self._subject = subject
        self._rng = random.Random(5)
        self._clients: list[Client] = []
        self._resident_bytes_at_start = subject.process.usage().resident_bytes
        self._line_ms: list[float] = []
        self._setup_ms: list[float] = []
        self._line_system_ms: list[float] = []
        self._setup_system_ms: list[float] = []
        self.costs = costs
        self.rejected = 0

    def grow(self) -> None:
        """Opens connections up to the size, exchanges a line on each and measures their memory. Parks."""
        self.hold(self.costs.size)
        self._scheduler.sleep(SETTLE_S)
        grown_bytes = self._subject.process.usage().resident_bytes - self._resident_bytes_at_start
        self.costs.kib = grown_bytes / 1024.0 / self.costs.size

    def round(self, lines: int, setups: int) -> None:
        """Runs one round and updates the costs. Parks.

        CPU times are medians of the rounds so far, and the parts in the kernel their means.
        """
        cpu_ms, system_ms = self._measure(lines, self._exchange_many)
        self._line_ms.append(cpu_ms)
        self._line_system_ms.append(system_ms)
        cpu_ms, system_ms = self._measure(setups, self._set_up_many)
        self._setup_ms.append(cpu_ms)
        self._setup_system_ms.append(system_ms)
        self.costs.line_ms = statistics.median(self._line_ms)
        self.costs.setup_ms = statistics.median(self._setup_ms)
        self.costs.line_system_ms = sum(self._line_system_ms) / len(self._line_system_ms)
        self.costs.setup_system_ms = sum(self._setup_system_ms) / len(self._setup_system_ms)

    def hold(self, size: int) -> None:
        """Opens connections until there are ``size``, and exchanges a line on each. Parks."""
        missing = range(size - len(self._clients))
        in_parallel(self._scheduler, PARALLEL_SETUPS, missing, lambda _: self._clients.append(self._open()))
        in_parallel(self._scheduler, PARALLEL_LINES, self._clients, self._exchange)

    def close(self) -> None:
        """Closes the clients' connections."""
        for client in self._clients:
            client.close()
        self._clients.clear()

    def _measure(self, count: int, action: Callable[[int], None]) -> tuple[float, float]:
        """Runs ``count`` operations; returns the CPU milliseconds per operation, total and in the kernel."""
        before = self._subject.process.usage()
        action(count)
        after = self._subject.process.usage()
        cpu_s, system_s = after.cpu_s - before.cpu_s, after.system_s - before.system_s
        return cpu_s * 1000.0 / count, system_s * 1000.0 / count

    def _open(self) -> Client:
        for _ in range(MAX_OPEN_ATTEMPTS):
            client = Client(self._scheduler, self._subject.address)
            try:
                client.open()
            except NotServedError:
                self.rejected += 1
                self._scheduler.sleep(OPEN_RETRY_DELAY_S)
            else:
                return client
        raise TimedOutError

    def _set_up_many(self, count: int) -> None:
        in_parallel(self._scheduler, PARALLEL_SETUPS, range(count), lambda _: self._open().close())

    def _exchange_many(self, count: int) -> None:
        # A batch contains each connection at most once, so that a connection has one line in flight.
        batches = [self._sample_clients(count)]
        while sum(map(len, batches)) < count:
            batches.append(self._sample_clients(count))
        for batch in batches:
            in_parallel(self._scheduler, PARALLEL_LINES, batch[:count], self._exchange)
            count -= len(batch)

    def _sample_clients(self, count: int) -> list[Client]:
        return self._rng.sample(self._clients, min(count, len(self._clients)))

    def _exchange(self, client: Client) -> None:
        answer = client.exchange(LINE)
        if answer != LINE:
            raise MeasurementError(f"the returned line is {answer!r}; expected {LINE!r}")


def measure(options: MeasurementOptions) -> dict[str, Any]:
    """Prints the table of costs, and returns the figures by name."""
    sizes = QUICK_SIZES if options.is_quick else SIZES
    costs: dict[str, list[ConnectionCosts]] = {}
    rejected = 0
    with tempfile.TemporaryDirectory() as directory, max_descriptors() as descriptors:
        # Both this process and the proxy need two descriptors per connection.
        max_size = 0 if options.is_quick else min(MAX_CONNECTIONS, (descriptors - RESERVED_DESCRIPTORS) // 2)
        subject_options = SubjectOptions(descriptors, options.poller, options.program)
        for kind in ("epoll", "greenlet", "proxy"):
            folder = Path(directory) / kind
            folder.mkdir()
            with ExitStack() as stack:
                benches = _start_benches(kind, sizes, folder, subject_options, stack)
                final_size = max_size if kind == "proxy" else 0
                _run_benches(benches, final_size, quick=options.is_quick)
            costs[kind] = [bench.costs for bench in benches.values]
            rejected += sum(bench.rejected for bench in benches.values)
        _print(costs)
    first, last = costs["proxy"][0], costs["proxy"][-1]
    return {
        "line_ms_500": round(first.line_ms, 4),
        "line_ms_5000": round(last.line_ms, 4),
        "setup_ms_500": round(first.setup_ms, 4),
        "setup_ms_5000": round(last.setup_ms, 4),
        "kib_per_connection": round(last.kib, 2),
        "floor_epoll_line_ms_5000": round(costs["epoll"][-1].line_ms, 4),
        "floor_greenlet_line_ms_5000": round(costs["greenlet"][-1].line_ms, 4),
        "held": max(max_size, sizes[-1]),
        "refused": rejected,
        "poller": options.poller,
    }


@contextmanager
def max_descriptors() -> Iterator[int]:
    """Raises the soft limit on descriptors to the hard limit; yields the number that a process may use."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    try:
        yield min(hard if hard > 0 else MAX_DESCRIPTORS, MAX_DESCRIPTORS)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class _Benches(Struct, frozen=True):
    scheduler: Scheduler
    values: list[Bench]  # in the order of the sizes


def _start_benches(
    kind: str, sizes: Sequence[int], folder: Path, options: SubjectOptions, stack: ExitStack
) -> _Benches:
    dependencies = stack.enter_context(Dependencies(folder, SERVER_COUNT))
    benches = _Benches(Scheduler(), [])
    for size in sizes:
        subject = start_subject(f"{kind}-{size}", dependencies, folder, options)
        stack.enter_context(subject.process)
        benches.values.append(Bench(benches.scheduler, subject, ConnectionCosts(size)))
    return benches


def _run_benches(benches: _Benches, final_size: int, *, quick: bool) -> None:
    """Measures all sizes in turn, so that other load on the machine affects each of them.

    If ``final_size`` is not 0, that many connections are finally opened to the largest subject.
    """
    lines, setups = (QUICK_LINES, QUICK_SETUPS) if quick else (LINES, SETUPS)

    def scenario() -> None:
        for bench in benches.values:
            bench.grow()
        for _ in range(ROUNDS):
            for bench in benches.values:
                bench.round(lines // ROUNDS, setups // ROUNDS)
        for bench in benches.values[:-1]:
            bench.close()
        if final_size:
            benches.values[-1].hold(final_size)
        benches.values[-1].close()

    run_scenario(benches.scheduler, scenario, MAX_RUN_S)


def start_subject(name: str, dependencies: Dependencies, folder: Path, options: SubjectOptions) -> Subject:
    """Starts a process that is ready for clients; its kind is the name up to the first hyphen."""
    kind = name.partition("-")[0]
    if kind == "proxy":
        address = ("127.0.0.1", free_port())
        config = proxy_config(name, address, dependencies.discovery, options.descriptors, platform_settings())
        poller = [] if options.poller == "epoll" else [f"--poller={options.poller}"]
        proxy = ProxyProcess(write_config(folder, config), folder, options.program, poller)
        proxy.wait_ready()
        return Subject(proxy, proxy.address)
    target = format_address(dependencies.status().servers[0].address)
    floor = Process(["-m", "ironmill_testbed", "floor", kind, f"--target={target}"], folder, name)
    assert floor.popen.stdout is not None
    return Subject(floor, ("127.0.0.1", int(floor.popen.stdout.readline())))


def _print(costs: dict[str, list[ConnectionCosts]]) -> None:
    print("subject   standing   ms a line  of it kernel   ms a set-up  of it kernel   KiB a connection")
    for kind, costs_by_size in costs.items():
        for entry in costs_by_size:
            print(
                f"{kind:<9} {entry.size:>8}   {entry.line_ms:>9.4f}  {entry.line_system_ms:>12.4f}   "
                f"{entry.setup_ms:>11.3f}  {entry.setup_system_ms:>12.3f}   {entry.kib:>16.1f}"
            )
    epoll_ms, greenlet_ms, proxy_ms = (costs[kind][-1].line_ms for kind in ("epoll", "greenlet", "proxy"))
    if proxy_ms > 0.0:
        print(
            f"a line at {costs['proxy'][-1].size}: {epoll_ms / proxy_ms:.0%} kernel and loop, "
            f"{(greenlet_ms - epoll_ms) / proxy_ms:.0%} greenlets, "
            f"{(proxy_ms - greenlet_ms) / proxy_ms:.0%} protocol, gateway and measuring"
        )
