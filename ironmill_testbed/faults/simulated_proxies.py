"""Simulated proxies: many nodes of the program's proxies in one process, each on a socket of its own.

State machine, driver, settings and scheduler are the program's. A simulated proxy has no clients, and its
consumer accepts every change. What the nodes report is summed in memory and requested on standard input.
Times are those of ``time.monotonic``, which all processes of a machine share.
"""

from __future__ import annotations

import time
from array import array
from collections import Counter, deque
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any

import psutil

from ironmill.configuration.operator_files import read_operator_files
from ironmill.configuration.settings.model import DistributionSettings
from ironmill.distribution.events import (
    BecameFresh,
    BecameStale,
    Event,
    ParentChanged,
    ParentLost,
    RevisionApplied,
)
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.revision import START, Position
from ironmill.distribution.timing import TICK_INTERVAL_S
from ironmill.membership.identity import Address, Datagram
from ironmill.net.datagrams import DatagramMachine
from ironmill.net.distribution import Distribution
from ironmill.net.distribution_log import log_line
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.emulate import answer_commands

REGIONS, ZONES = 5, 11
PAIRED_KEYS = ("shard/twin-a", "shard/twin-b")  # always changed together, to the same value
MAX_KEPT_NUMBERS = 4096  # revisions of which times are kept
MAX_KEPT_MOVES = 1 << 16
START_WINDOW_S = 1.0  # over which a process's proxies start, as proxies of a fleet do not tick together


def zone(index: int) -> str:
    """Returns the zone of a process by its number."""
    return f"z{index % ZONES}"


def region(index: int) -> str:
    """Returns the region of that zone."""
    return f"r{index % ZONES % REGIONS}"


class ProxyReports:
    """What the proxies of one process have reported."""

    def __init__(self) -> None:
        """Begins without reports."""
        self.applied_positions: dict[str, Position] = {}  # by proxy
        # By number of the revision: when it, or a later one, was applied at each proxy.
        self.applied_at: dict[int, array[float]] = {}
        self.digests: dict[Position, Counter[str]] = {}
        self.parents: dict[str, str] = {}
        self.stale: set[str] = set()
        self.stale_at: dict[str, float] = {}  # when each has last become stale
        self.events: Counter[str] = Counter()
        self.out_of_order = 0
        self.torn = 0  # changes of one of the paired keys alone
        self.received_bytes = 0
        self._moves: deque[tuple[float, str]] = deque(maxlen=MAX_KEPT_MOVES)  # time and previous parent
        self._lost_parents: dict[str, str] = {}

    def on_event(self, name: str, event: Event, now: float) -> None:
        """Takes an event of a proxy."""
        self.events[log_line(event).name] += 1
        match event:
            case RevisionApplied():
                self._on_applied(name, event, now)
            case BecameStale():
                self.stale.add(name)
                self.stale_at[name] = now
            case BecameFresh():
                self.stale.discard(name)
            case ParentLost():
                self._lost_parents[name] = event.parent
                self.parents.pop(name, None)
            case ParentChanged():
                previous = event.previous or self._lost_parents.pop(name, "")
                self._moves.append((now, previous))
                self.parents[name] = event.parent

    def moved(self, parent: str, since: float) -> dict[str, Any]:
        """Returns how many proxies have left a parent for another since then, and when the last one did."""
        times = [at for at, previous in self._moves if previous == parent and at >= since]
        return {"count": len(times), "last": max(times, default=None)}

    def moments(self, first: int, last: int) -> dict[str, Any]:
        """Returns when each of the revisions was applied at each proxy, and when proxies became stale."""
        numbers = range(first, last + 1)
        return {
            "reached": {
                str(number): [round(at, 4) for at in self.applied_at[number]]
                for number in numbers
                if number in self.applied_at
            },
            "stale": sorted(self.stale_at.values()),
        }

    def state(self) -> dict[str, Any]:
        """Returns how many proxies have which position, have which parent, and are stale."""
        return {
            "in_force": Counter(str(position) for position in self.applied_positions.values()),
            "parents": Counter(self.parents.values()),
            "stale": len(self.stale),
        }

    def summary(self) -> dict[str, Any]:
        """Returns everything but the single times."""
        return self.state() | {
            "reached": {
                str(number): [len(times), min(times), max(times)] for number, times in self.applied_at.items()
            },
            "digests": {str(position): dict(counts) for position, counts in self.digests.items()},
            "out_of_order": self.out_of_order,
            "torn": self.torn,
            "events": dict(self.events),
            "received": self.received_bytes,
        }

    def _on_applied(self, name: str, event: RevisionApplied, now: float) -> None:
        position = event.position
        previous = self.applied_positions.get(name, START)
        self.applied_positions[name] = position
        if position <= previous:
            self.out_of_order += 1
        self.digests.setdefault(position, Counter())[f"{event.digest:x}"] += 1
        first = max(previous.number, position.number - MAX_KEPT_NUMBERS) + 1
        for number in range(first, position.number + 1):
            self.applied_at.setdefault(number, array("d")).append(now)
        while len(self.applied_at) > MAX_KEPT_NUMBERS:
            del self.applied_at[min(self.applied_at)]
        while len(self.digests) > MAX_KEPT_NUMBERS:
            del self.digests[min(self.digests)]


class PairCheckingConsumer:
    """Accepts all changes, and counts those of one of the paired keys alone."""

    lookup_prefixes: tuple[str, ...] = ()

    def __init__(self, reports: ProxyReports) -> None:
        """``reports`` has the count."""
        self._reports = reports

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """Rejects nothing."""
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Compares the paired keys."""
        one, other = PAIRED_KEYS
        if (one in changes) is not (other in changes) or changes.get(one) != changes.get(other):
            self._reports.torn += 1


class _CountingMachine:
    """A node that counts the bytes of received datagrams."""

    def __init__(self, machine: DatagramMachine, reports: ProxyReports) -> None:
        self._machine = machine
        self._reports = reports

    def tick(self, now: float) -> Sequence[Datagram]:
        """As the node's."""
        return self._machine.tick(now)

    def receive(self, data: bytes, source: Address, now: float) -> Sequence[Datagram]:
        """As the node's."""
        self._reports.received_bytes += len(data)
        return self._machine.receive(data, source, now)


class SimulatedProxy(Distribution):
    """One proxy's part in distribution, as in ``ironmill serve``, without the rest of the proxy."""

    def __init__(
        self,
        scheduler: Scheduler,
        index: int,
        settings: DistributionSettings,
        keys: Sequence[bytes],
        reports: ProxyReports,
    ) -> None:
        """Binds a socket of its own, whatever the settings name."""
        self.name = f"h{index:04d}"
        self._reports = reports
        own = replace(settings, listen=("127.0.0.1", 0), zone=zone(index), region=region(index))
        super().__init__(scheduler, self.name, own, keys)
        self.use_proxy_node(PairCheckingConsumer(reports))

    def start(self) -> None:
        """Begins to exchange datagrams."""
        assert self.node is not None
        self._datagrams.start(_CountingMachine(self.node, self._reports), TICK_INTERVAL_S)

    def _on_event(self, event: Event) -> None:
        self._reports.on_event(self.name, event, time.monotonic())


def run(settings: str, first: int, count: int) -> int:
    """Serves until standard input ends and returns the exit status.

    Raises ``MalformedError`` if the settings are not usable.
    """
    operator = read_operator_files(settings, ())
    distribution = operator.settings.distribution
    assert distribution is not None
    scheduler, reports, process = Scheduler(), ProxyReports(), psutil.Process()
    proxies = [
        SimulatedProxy(scheduler, index, distribution, operator.distribution_keys, reports)
        for index in range(first, first + count)
    ]

    def start() -> None:
        for proxy in proxies:
            proxy.start()
            scheduler.sleep(START_WINDOW_S / count)

    def summary() -> dict[str, Any]:
        nodes = [proxy.node for proxy in proxies if proxy.node is not None]
        dropped: Counter[str] = Counter()
        for node in nodes:
            dropped.update(node.dropped)
        return reports.summary() | {
            "proxies": len(proxies),
            "dropped": dict(dropped),
            "cpu": time.process_time(),
            "resident": process.memory_info().rss,
            "sent": sum(node.sent_bytes for node in nodes),
        }

    commands = {
        "summary": summary,
        "state": reports.state,
        "moved": reports.moved,
        "moments": reports.moments,
    }
    scheduler.spawn(start)
    scheduler.spawn(answer_commands, scheduler, commands)
    scheduler.run()
    return 0
