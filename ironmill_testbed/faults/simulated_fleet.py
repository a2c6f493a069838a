"""A simulated fleet on a virtual clock: origin, relays and proxies in several zones and regions.

It runs the state machines of configuration distribution without sockets and without clients. Faults are those
of ``schedule``; in place of the name of a process they accept the groups ``zone:Z``, ``region:R``,
``control``, ``relays`` and ``proxies``. ``fleet_observer`` checks the guarantees of distribution while the
fleet runs.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from functools import partial

from msgspec import Struct

from ironmill.distribution.changes import Changes
from ironmill.distribution.codec import Codec
from ironmill.distribution.events import Event
from ironmill.distribution.keyspace import Keyspace
from ironmill.distribution.link import NodeContext
from ironmill.distribution.messages import Endpoint
from ironmill.distribution.node import Node
from ironmill.distribution.origin import Origin
from ironmill.distribution.proxy_node import ProxyNode
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.relay import Relay
from ironmill.distribution.revision import Position, RevisionMetadata
from ironmill.distribution.timing import TICK_INTERVAL_S, Timing
from ironmill.membership.identity import MemberIdentity
from ironmill_testbed.faults.fleet_links import FleetLinks
from ironmill_testbed.faults.fleet_observer import FleetObserver
from ironmill_testbed.faults.fleet_process import FleetProcess
from ironmill_testbed.faults.memory_store import Disk
from ironmill_testbed.faults.schedule import Fault
from ironmill_testbed.faults.simulated_network import SimulatedNetwork

KEY = b"a key of the simulated cluster.."
START_TIME = 1_700_000_000.0  # Unix time at the start of a scenario
ORIGIN, STANDBY_ORIGIN = "origin", "origin-b"
PORT = 7100
START_WINDOW_S = 0.2  # window in which all processes start
RESUME_DELAY_S = 0.001  # from the end of a pause to the next tick


class Plan(Struct, frozen=True):
    """The size of a fleet and of its initial configuration."""

    proxies: int = 60
    control: int = 6  # control machines, the origin included
    regions: int = 5
    zones: int = 11
    entries: int = 300  # number of keys in the initial configuration
    standby: bool = True  # whether relays know a second control machine that may become the origin
    seed: int = 1


class SimulatedFleet(SimulatedNetwork[FleetProcess]):
    """A fleet of simulated processes, each with one node."""

    def __init__(
        self, plan: Plan, faults: Sequence[Fault] = (), timing: Timing | None = None, disk: Disk | None = None
    ) -> None:
        """Creates processes that do not run yet; ``converge`` and ``start_all`` start them."""
        self.links = FleetLinks(faults, plan.seed)
        super().__init__(self.links, TICK_INTERVAL_S)
        self.plan = plan
        self.timing = timing or Timing()
        self.disk = disk or Disk()
        self.check: Callable[[Changes], Rejection | None] = lambda changes: None
        self._rng = random.Random(plan.seed)
        self._codec = Codec("sim", [KEY])
        self._add_control_machines()
        endpoints = [
            Endpoint(process.name, process.address, process.zone, process.region)
            for process in self.processes.values()
        ]
        self._origins = [endpoint for endpoint in endpoints if endpoint.name in (ORIGIN, STANDBY_ORIGIN)]
        self._relays = [endpoint for endpoint in endpoints if endpoint not in self._origins]
        for index in range(plan.proxies):
            self._add(f"p{index:05d}", "subscriber", index, ("proxies",))
        self.relays = [process for process in self.processes.values() if process.role == "relay"]
        self.proxies = [process for process in self.processes.values() if process.role == "subscriber"]
        self.observer = FleetObserver(self)
        self._schedule_faults(faults)

    def _add_control_machines(self) -> None:
        self._add(ORIGIN, "origin", 0, ("control",))
        for index in range(1, self.plan.control):
            self._add(f"c{index:02d}", "relay", index, ("control", "relays"))
        if self.plan.standby:
            self._add(STANDBY_ORIGIN, "origin", 1, ("control",))

    def _add(self, name: str, role: str, index: int, groups: Sequence[str]) -> None:
        number = len(self.processes)
        zone = index % self.plan.zones
        address = (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", PORT)
        process = FleetProcess(name, role, f"z{zone}", f"r{zone % self.plan.regions}", address)
        self.add_process(process)
        self.links.place(name, process.zone, process.region, groups)

    def _schedule_faults(self, faults: Sequence[Fault]) -> None:
        for fault in faults:
            self.schedule_fault(fault, self.names(fault.names))
            if fault.kind == "cut":
                self.schedule(fault.start, self.observer.update_reachability)
                if fault.end < float("inf"):
                    self.schedule(fault.end, self.observer.update_reachability)

    def names(self, groups: Sequence[str]) -> list[str]:
        """Returns the processes in these groups. The standby origin is only matched by its own name."""
        wanted = set(groups)
        return [
            name
            for name in self.processes
            if name in wanted or (name != STANDBY_ORIGIN and not wanted.isdisjoint(self.links.labels(name)))
        ]

    # The scenario

    def start(self, name: str, clock_offset_s: float = 0.0) -> None:
        """Starts or restarts a process, whose wall clock is ahead by ``clock_offset_s``.

        An origin opens the store, which fences the previous origin.
        """
        process = self.processes[name]
        process.reset()
        incarnation = int((START_TIME + clock_offset_s + self.now) * 1000.0) + process.starts
        identity = MemberIdentity(name, *process.address, process.zone, process.region, incarnation)
        context = NodeContext(
            identity=identity,
            codec=self._codec,
            timing=self.timing,
            rng=random.Random(self._rng.random()),
            now=self.now,
            on_event=partial(self._on_event, process),
        )
        self.observer.on_started(process)
        process.node = self._make_node(process, context)
        self.observer.update_reachability(process)
        self.schedule(self.now + TICK_INTERVAL_S * self._rng.random(), self._tick, process, process.node)

    def _make_node(self, process: FleetProcess, context: NodeContext) -> Node:
        if process.role == "subscriber":
            return ProxyNode(context, self._relays, process.consumer)
        if process.role == "relay":
            controls = (*self._origins, *self._relays)
            peers = [endpoint for endpoint in controls if endpoint.name != process.name]
            return Relay(context, self._origins, peers)
        origin = Origin(context, self.disk.open(), self._relays, lambda changes: self.check(changes))
        self.observer.on_origin_opened(origin.replica)
        return origin

    def _on_event(self, process: FleetProcess, event: Event) -> None:
        self.observer.on_event(process, event)

    def start_all(self, window_s: float = START_WINDOW_S) -> None:
        """Starts all but the standby origin at random times in the window, without a configuration."""
        self.disk.fill(_shard_entries(self.plan.entries))
        for name in self.processes:
            if name != STANDBY_ORIGIN:
                self.schedule(self.now + window_s * self._rng.random(), self.start, name)

    def converge(self, seconds: float = 6.0) -> None:
        """Starts all but the standby origin with the latest configuration, then runs for some seconds."""
        self.disk.fill(_shard_entries(self.plan.entries))
        for name in self.processes:
            if name != STANDBY_ORIGIN:
                self.start(name)
        replica = self.origin.replica
        for process in self.processes.values():
            if process.node is not None and process.name != ORIGIN:
                _set_state(process.node, replica.keyspace, replica.received_position, self.disk.lineage)
        self.observer.on_state_set(replica.received_position)
        self.run(self.now + seconds)

    def kill(self, name: str) -> None:
        """Ends a process without a graceful shutdown."""
        process = self.processes[name]
        if process.node is not None:
            process.node = None
            self.observer.on_ended(process)

    def leave(self, name: str) -> None:
        """Shuts a process down gracefully."""
        process = self.processes[name]
        if process.node is not None:
            self._send(process, process.node.leave(self.now))
            process.node = None
            self.observer.on_ended(process)

    def pause(self, name: str, until: float) -> None:
        """Pauses a process until a time, as SIGSTOP and SIGCONT do."""
        process = self.processes[name]
        process.paused_until = until
        self.observer.update_reachability(process)
        self.schedule(until, self.observer.update_reachability, process)

    def push(self, changes: Changes, ticket: str = "", origin: str = ORIGIN) -> Position:
        """Pushes changes to an origin and returns the position. Raises what ``Origin.push`` raises."""
        process = self.processes[origin]
        node = process.node
        assert isinstance(node, Origin)
        ticket = ticket or f"t{self.now}-{self._serial}"
        self._serial += 1
        metadata = RevisionMetadata(START_TIME + self.now, "scenario", "", ticket)
        position = node.push(changes, metadata, self.now)
        self.observer.on_pushed(position, node.replica.digest)
        self._send(process, node.flush())
        return position

    @property
    def origin(self) -> Origin:
        """The first origin's node; the process must be running."""
        node = self.processes[ORIGIN].node
        assert isinstance(node, Origin)
        return node

    def is_running(self, process: FleetProcess) -> bool:
        """Returns True if the process exists and is not paused."""
        return process.node is not None and self.now >= process.paused_until


def _shard_entries(count: int) -> dict[str, bytes]:
    return {f"shard/{index:06d}": b"server-%05d" % (index % 90) for index in range(count)}


def _set_state(node: Node, keyspace: Keyspace, position: Position, lineage: int) -> None:
    """Gives a node a copy of the keyspace, as if it had received and applied it."""
    assert isinstance(node, ProxyNode | Relay)
    replica = node.replica
    replica.keyspace = keyspace.copy()
    replica.received_position = position
    replica.applied_position = position
    replica.digest = keyspace.digest
    replica.lineage = lineage
