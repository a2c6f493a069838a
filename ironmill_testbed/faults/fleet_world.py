"""A fleet of distribution on a virtual clock: origin, relays and hollow proxies in zones and regions.

The state machines of the program, unchanged, and nothing else: no sockets, no clients. Faults are those of
``schedule``; beside a process's name they take a group: ``zone:Z``, ``region:R``, ``control``, ``relays``,
``proxies``. Everything that is promised is looked at while it happens (``fleet_watch``).
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any

from msgspec import Struct

from ironmill.distribution.changes import Changes
from ironmill.distribution.codec import Codec
from ironmill.distribution.events import Event
from ironmill.distribution.interfaces import Consumer
from ironmill.distribution.keyspace import Keyspace
from ironmill.distribution.link import NodeContext
from ironmill.distribution.messages import Endpoint
from ironmill.distribution.node import Node
from ironmill.distribution.origin import Origin
from ironmill.distribution.proxy_node import ProxyNode
from ironmill.distribution.relay import Relay
from ironmill.distribution.revision import Position, Rejection, RevisionMetadata
from ironmill.distribution.timing import TICK_INTERVAL_S, Timing
from ironmill.membership.identity import Address, Datagram, MemberIdentity
from ironmill_testbed.faults.fleet_watch import Watch
from ironmill_testbed.faults.memory_store import Disk
from ironmill_testbed.faults.schedule import Fault, Links

KEY = b"a key of the simulated cluster.."
EPOCH = 1_700_000_000.0  # Unix time at the start of a story
WAITING_MOST = 2000  # datagrams that a kernel holds for a process that does not run
IN_ZONE = (0.0002, 0.001)  # seconds that a datagram takes, least and most
IN_REGION = (0.001, 0.003)
FAR = (0.020, 0.080)  # between regions; each pair has its own, and a tenth of jitter
JITTER = 0.1


class Plan(Struct, frozen=True):
    """How large a fleet is, and what it holds at the start."""

    proxies: int = 60
    control: int = 6  # the origin among them
    regions: int = 5
    zones: int = 11
    entries: int = 300  # keys of the keyspace
    standby: bool = True  # relays know a second place where the origin may run
    seed: int = 1


class HollowConsumer:
    """Takes everything but values of keys that begin with one of ``refuses``; keeps nothing."""

    looked_up: tuple[str, ...] = ("shard/",)

    def __init__(self, refuses: tuple[str, ...] = ()) -> None:
        self.refuses = refuses

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """The first key that it does not take."""
        for key, value in changes.items():
            if self.refuses and value is not None and key.startswith(self.refuses):
                return Rejection(key, "this proxy does not take it")
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Nothing."""


class FleetLinks(Links):
    """Links by distance, and faults between groups."""

    def __init__(self, faults: Sequence[Fault], seed: int) -> None:
        super().__init__(list(faults), seed)
        self._chance = random.Random(seed * 7919 + 1)
        self._where: dict[str, tuple[str, str]] = {}
        self._labels: dict[str, frozenset[str]] = {}
        self._far: dict[tuple[str, str], float] = {}

    def put(self, name: str, zone: str, region: str, groups: Sequence[str]) -> None:
        """Where a process is."""
        self._where[name] = zone, region
        self._labels[name] = frozenset((name, f"zone:{zone}", f"region:{region}", *groups))

    def labels(self, name: str) -> frozenset[str]:
        """The groups that a process is of, its own name among them."""
        return self._labels[name]

    def delay(self, source: str, target: str) -> float:
        """By the distance of the two."""
        (zone, region), (other_zone, other_region) = self._where[source], self._where[target]
        if zone == other_zone:
            least, most = IN_ZONE
        elif region == other_region:
            least, most = IN_REGION
        else:
            pair = (region, other_region) if region < other_region else (other_region, region)
            base = self._far.get(pair)
            if base is None:
                base = self._far[pair] = FAR[0] + (FAR[1] - FAR[0]) * self._chance.random()
            least, most = base, base * (1.0 + JITTER)
        return least + (most - least) * self._chance.random()

    def is_active(self, fault: Fault, now: float, source: str, target: str) -> bool:
        """As that of the fault, with groups."""
        return (
            fault.start <= now < fault.end
            and (not fault.sources or not self._labels[source].isdisjoint(fault.sources))
            and (not fault.targets or not self._labels[target].isdisjoint(fault.targets))
        )


class Process:
    """One process of the fleet, running or not."""

    def __init__(self, name: str, role: str, zone: str, region: str, address: Address) -> None:
        self.name, self.role, self.zone, self.region, self.address = name, role, zone, region, address
        self.node: Node | None = None
        self.starts = 0
        self.paused_until = 0.0
        self.waiting: deque[tuple[bytes, Address]] = deque(maxlen=WAITING_MOST)
        self.received_bytes = 0
        self.consumer: Consumer = _TAKES_ALL


_TAKES_ALL = HollowConsumer()


class FleetWorld:
    """Processes, links and the clock."""

    def __init__(
        self, plan: Plan, faults: Sequence[Fault] = (), timing: Timing | None = None, disk: Disk | None = None
    ) -> None:
        """Nothing runs yet: ``settle`` or ``start_all``."""
        self.plan = plan
        self.now = 0.0
        self.datagrams = 0
        self.timing = timing or Timing()
        self.disk = disk or Disk()
        self.links = FleetLinks(faults, plan.seed)
        self.processes: dict[str, Process] = {}
        self._by_address: dict[Address, Process] = {}
        self._rng = random.Random(plan.seed)
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0
        self._codec = Codec("sim", [KEY])
        self.check: Callable[[Changes], Rejection | None] = lambda changes: None
        control = []
        for at in range(plan.control):
            role = "relay" if at else "origin"
            control.append(self._add("origin" if at == 0 else f"c{at:02d}", role, at, ("control",)))
        if plan.standby:
            self._add("origin-b", "origin", 1, ("control",))
        self.places = {
            name: Endpoint(name, process.address, process.zone, process.region)
            for name, process in self.processes.items()
        }
        self._origins = [place for name, place in self.places.items() if name.startswith("origin")]
        self._relays = [place for name, place in self.places.items() if not name.startswith("origin")]
        for at in range(plan.proxies):
            self._add(f"p{at:05d}", "subscriber", at, ("proxies",))
        self.relays = [process for process in self.processes.values() if process.role == "relay"]
        self.proxies = [process for process in self.processes.values() if process.role == "subscriber"]
        self.watch = Watch(self)
        self._schedule(faults)

    def _add(self, name: str, role: str, at: int, groups: Sequence[str]) -> Process:
        number = len(self.processes)
        zone = at % self.plan.zones
        address = (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7100)
        process = Process(name, role, f"z{zone}", f"r{zone % self.plan.regions}", address)
        self.processes[name] = self._by_address[address] = process
        self.links.put(name, process.zone, process.region, (*groups, "relays") if role == "relay" else groups)
        return process

    def _schedule(self, faults: Sequence[Fault]) -> None:
        for fault in faults:
            for name in self.names(fault.names):
                if fault.kind == "pause":
                    self.at(fault.start, self.pause, name, fault.end)
                elif fault.kind == "kill":
                    self.at(fault.start, self.kill, name)
                elif fault.kind == "start":
                    self.at(fault.start, self.start, name)
            if fault.kind == "cut":
                self.at(fault.start, self.watch.looked)
                if fault.end < float("inf"):
                    self.at(fault.end, self.watch.looked)

    def names(self, groups: Sequence[str]) -> list[str]:
        """The processes of these names and groups. A standby origin runs only where it is named."""
        wanted = set(groups)
        return [
            name
            for name in self.processes
            if name in wanted or (name != "origin-b" and not wanted.isdisjoint(self.links.labels(name)))
        ]

    # The story

    def at(self, time: float, action: Callable[..., None], *args: Any) -> None:
        """Do something at that time."""
        self._serial += 1
        heapq.heappush(self._heap, (time, self._serial, action, args))

    def run(self, until: float) -> None:
        """Let time pass."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(heap)
            action(*args)
        self.now = until

    def start(self, name: str, ahead: float = 0.0) -> None:
        """Start the process, anew if it ran before, its clock so far ahead. An origin opens its store."""
        process = self.processes[name]
        process.starts += 1
        incarnation = int((EPOCH + ahead + self.now) * 1000.0) + process.starts
        identity = MemberIdentity(name, *process.address, process.zone, process.region, incarnation)
        process.waiting.clear()
        process.paused_until = 0.0
        process.received_bytes = 0
        context = NodeContext(
            identity=identity,
            codec=self._codec,
            timing=self.timing,
            rng=random.Random(self._rng.random()),
            now=self.now,
            on_event=partial(self._on_event, process),
        )
        self.watch.started(process)
        process.node = self._make_node(process, context)
        self.watch.looked(process)
        self.at(self.now + TICK_INTERVAL_S * self._rng.random(), self._tick, process, process.node)

    def _make_node(self, process: Process, context: NodeContext) -> Node:
        if process.role == "subscriber":
            return ProxyNode(context, self._relays, process.consumer)
        if process.role == "relay":
            peers = [place for place in (*self._origins, *self._relays) if place.name != process.name]
            return Relay(context, self._origins, peers)
        origin = Origin(context, self.disk.open(), self._relays, lambda changes: self.check(changes))
        self.watch.opened(origin.replica)
        return origin

    def _on_event(self, process: Process, event: Event) -> None:
        self.watch.on_event(process, event)

    def start_all(self, spread: float = 0.2) -> None:
        """All but the standby origin start within so many seconds, and hold nothing."""
        self.disk.fill(dict(_filling(self.plan.entries)))
        for name in self.processes:
            if name != "origin-b":
                self.at(self.now + spread * self._rng.random(), self.start, name)

    def settle(self, seconds: float = 6.0) -> None:
        """Begin as after a long time: all run and hold the newest; then let them find each other."""
        self.disk.fill(dict(_filling(self.plan.entries)))
        for name in self.processes:
            if name != "origin-b":
                self.start(name)
        whole, position = self.origin.replica.keyspace, self.origin.replica.received_position
        for process in self.processes.values():
            if process.node is not None and process.name != "origin":
                _adopt(process.node, whole, position, self.disk.lineage)
        self.watch.adopted(position)
        self.run(self.now + seconds)

    def kill(self, name: str) -> None:
        """End the process without a word."""
        process = self.processes[name]
        if process.node is not None:
            process.node = None
            self.watch.ended(process)

    def leave(self, name: str) -> None:
        """End it in an orderly way."""
        process = self.processes[name]
        if process.node is not None:
            self._send(process, process.node.leave(self.now))
            process.node = None
            self.watch.ended(process)

    def pause(self, name: str, until: float) -> None:
        """Stop it from running, as SIGSTOP does."""
        process = self.processes[name]
        process.paused_until = until
        self.watch.looked(process)
        self.at(until, self.watch.looked, process)

    def push(self, changes: Changes, ticket: str = "", origin: str = "origin") -> Position:
        """Give an origin a change; raises what it raises."""
        process = self.processes[origin]
        node = process.node
        assert isinstance(node, Origin)
        ticket = ticket or f"t{self.now}-{self._serial}"
        self._serial += 1
        position = node.push(changes, RevisionMetadata(EPOCH + self.now, "story", "", ticket), self.now)
        self.watch.pushed(position, node.replica.digest)
        self._send(process, node.flush())
        return position

    @property
    def origin(self) -> Origin:
        """The first origin, which has to run."""
        node = self.processes["origin"].node
        assert isinstance(node, Origin)
        return node

    def runs(self, process: Process) -> bool:
        """True if it is there and not paused."""
        return process.node is not None and self.now >= process.paused_until

    # The network

    def _tick(self, process: Process, node: Node) -> None:
        if process.node is not node:
            return  # another process by now
        if self.now < process.paused_until:
            self.at(process.paused_until + 0.001, self._tick, process, node)
            return
        self._send(process, node.tick(self.now))
        while process.waiting:
            data, source = process.waiting.popleft()
            self._send(process, node.receive(data, source, self.now))
        self.at(self.now + TICK_INTERVAL_S, self._tick, process, node)

    def _send(self, process: Process, datagrams: list[Datagram]) -> None:
        for address, data in datagrams:
            self.datagrams += 1
            target = self._by_address.get(address)
            if target is None:
                continue
            for delay, copy in self.links.deliver(self.now, process.name, target.name, data):
                self.at(self.now + delay, self._arrive, target, copy, process.address)

    def _arrive(self, process: Process, data: bytes, source: Address) -> None:
        if process.node is None:
            return
        process.received_bytes += len(data)
        if self.now < process.paused_until:
            process.waiting.append((data, source))
            return
        self._send(process, process.node.receive(data, source, self.now))


def _filling(entries: int) -> list[tuple[str, bytes]]:
    return [(f"shard/{at:06d}", b"server-%05d" % (at % 90)) for at in range(entries)]


def _adopt(node: Node, whole: Keyspace, position: Position, lineage: int) -> None:
    assert isinstance(node, ProxyNode | Relay)
    replica = node.replica
    replica.keyspace = whole.copy()
    replica.received_position = position
    replica.applied_position = position
    replica.digest, replica.lineage = whole.digest, lineage
