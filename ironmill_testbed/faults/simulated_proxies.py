"""Simulated proxies: the distribution nodes of many proxies in one process, each with its own socket.

State machine, driver, settings and scheduler are those of ``ironmill serve``. A simulated proxy has no
clients, and its consumer accepts every change. The events of the nodes are aggregated in memory; commands on
standard input return the results. Times are those of ``time.monotonic``, which all processes of a machine
share.
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
PAIRED_KEYS = ("shard/twin-a", "shard/twin-b")  # always changed together and to the same value
MAX_KEPT_NUMBERS = 4096  # number of revisions whose times are kept
MAX_KEPT_MOVES = 1 << 16  # changes of parent
# The starts of the proxies of a process are spread over this time, as the proxies of a real fleet do not tick
# at the same time.
START_WINDOW_S = 1.0


def zone(index: int) -> str:
    """Returns the zone of the process with this number."""
    return f"z{index % ZONES}"


def region(index: int) -> str:
    """Returns the region of the process with this number."""
    return f"r{index % ZONES % REGIONS}"


class ProxyReports:
    """Aggregated events of all simulated proxies of one process."""

    def __init__(self) -> None:
        """Creates reports without events."""
        self.applied_positions: dict[str, Position] = {}  # by the name of the proxy
        # By the number of the revision: the times at which a proxy applied it or a later one.
        self.applied_at: dict[int, array[float]] = {}
        self.digests: dict[Position, Counter[str]] = {}
        self.parents: dict[str, str] = {}
        self.stale: set[str] = set()
        self.stale_at: dict[str, float] = {}  # when each proxy last became stale
        self.events: Counter[str] = Counter()
        self.out_of_order = 0  # positions applied that are not newer than the previous one
        self.torn = 0  # changes that set only one of the paired keys, or set them to different values
        self.received_bytes = 0
        # Time and previous parent of each change of parent.
        self._moves: deque[tuple[float, str]] = deque(maxlen=MAX_KEPT_MOVES)
        self._lost_parents: dict[str, str] = {}

    def on_event(self, name: str, event: Event, now: float) -> None:
        """Records an event of a proxy."""
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
        """Returns how many proxies have left a parent for another since a time, and when the last one did."""
        times = [at for at, previous in self._moves if previous == parent and at >= since]
        return {"count": len(times), "last": max(times, default=None)}

    def moments(self, first: int, last: int) -> dict[str, Any]:
        """Returns when proxies applied each of these revisions, and when each last became stale."""
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
        """Returns the number of proxies by applied position and by parent, and the number of stale ones."""
        return {
            "in_force": Counter(str(position) for position in self.applied_positions.values()),
            "parents": Counter(self.parents.values()),
            "stale": len(self.stale),
        }

    def summary(self) -> dict[str, Any]:
        """Returns all results, with the number, minimum and maximum in place of the individual times."""
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
    """A consumer that accepts all changes, and counts those that break the pair of ``PAIRED_KEYS``."""

    lookup_prefixes: tuple[str, ...] = ()

    def __init__(self, reports: ProxyReports) -> None:
        """Creates a consumer that counts in ``reports.torn``."""
        self._reports = reports

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """Rejects nothing."""
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Counts the changes if they contain only one of the paired keys, or different values for them."""
        key_a, key_b = PAIRED_KEYS
        if (key_a in changes) is not (key_b in changes) or changes.get(key_a) != changes.get(key_b):
            self._reports.torn += 1


class _CountingMachine:
    """A wrapper of a node that counts the bytes of received datagrams."""

    def __init__(self, machine: DatagramMachine, reports: ProxyReports) -> None:
        self._machine = machine
        self._reports = reports

    def tick(self, now: float) -> Sequence[Datagram]:
        """Runs everything that is due; returns the datagrams to send."""
        return self._machine.tick(now)

    def receive(self, data: bytes, source: Address, now: float) -> Sequence[Datagram]:
        """Counts the bytes of a datagram and passes it to the node."""
        self._reports.received_bytes += len(data)
        return self._machine.receive(data, source, now)


class SimulatedProxy(Distribution):
    """The distribution of configuration of one proxy, as in ``ironmill serve``, without its other parts."""

    def __init__(
        self,
        scheduler: Scheduler,
        index: int,
        settings: DistributionSettings,
        keys: Sequence[bytes],
        reports: ProxyReports,
    ) -> None:
        """Binds a socket on a free port of 127.0.0.1 instead of the address in the settings."""
        self.name = f"h{index:04d}"
        self._reports = reports
        own_settings = replace(settings, listen=("127.0.0.1", 0), zone=zone(index), region=region(index))
        super().__init__(scheduler, self.name, own_settings, keys)
        self.use_proxy_node(PairCheckingConsumer(reports))

    def start(self) -> None:
        """Starts to exchange datagrams."""
        assert self.node is not None
        self._datagrams.start(_CountingMachine(self.node, self._reports), TICK_INTERVAL_S)

    def _on_event(self, event: Event) -> None:
        self._reports.on_event(self.name, event, time.monotonic())


def run(settings: str, first: int, count: int) -> int:
    """Runs ``count`` simulated proxies until standard input ends; returns the exit status.

    ``first`` is the number of the first one. Raises ``MalformedError`` if the settings are invalid.
    """
    operator_files = read_operator_files(settings, ())
    distribution = operator_files.settings.distribution
    assert distribution is not None
    scheduler, reports, process = Scheduler(), ProxyReports(), psutil.Process()
    proxies = [
        SimulatedProxy(scheduler, index, distribution, operator_files.distribution_keys, reports)
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
