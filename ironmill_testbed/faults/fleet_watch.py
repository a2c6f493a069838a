"""Looks at a simulated fleet while it runs: what is promised, and what it costs.

Reachable is who runs, is not paused, and has a way there and back to a relay that has one to a running
origin.
"""

from __future__ import annotations

import math
from array import array
from typing import TYPE_CHECKING

from msgspec import Struct

from ironmill.distribution.events import (
    Event,
    ParentChanged,
    RevisionApplied,
    RevisionFullyApplied,
    RevisionRejected,
    WriterSuperseded,
)
from ironmill.distribution.node import Node
from ironmill.distribution.origin import Origin
from ironmill.distribution.proxy_node import ProxyNode
from ironmill.distribution.relay import Relay
from ironmill.distribution.replica import Replica
from ironmill.distribution.revision import START, Position
from ironmill.net.distribution_log import log_line

if TYPE_CHECKING:
    from ironmill_testbed.faults.fleet_world import FleetWorld, Process

STALE_WITHIN = 5.0  # seconds without contact, after which a proxy has to know
CATCH_UP_WITHIN = 3.0  # seconds of contact, after which the newest has to be in force
BUDGET = 6000.0  # bytes a second that a proxy may spend
EXAMPLES = 20  # broken promises that are kept by name


class Seen(Struct):
    """What is known of one process of the fleet."""

    in_force: Position = START  # of this incarnation
    highest: Position = START  # of all its incarnations
    reachable_since: float = math.inf  # infinite while it is not
    cut_since: float = math.inf  # infinite while it is reachable
    target: Position | None = None  # what it has to have in force since contact
    orphan_since: float = math.inf
    sent: int = 0
    sent_datagrams: int = 0
    received: int = 0
    refuses: bool = False


class Second(Struct):
    """What was sent in one second."""

    proxies: int  # running
    proxy_sent: int
    proxy_received: int
    proxy_worst: int  # sent and received by the one that has most of it
    relays: int
    relay_sent: int
    relay_worst: int
    relay_datagrams_worst: int
    origin_sent: int
    origin_received: int
    origin_datagrams: int


class Watch:
    """Events and seconds of a fleet."""

    def __init__(self, world: FleetWorld) -> None:
        self._world = world
        self.seen = {name: Seen() for name in world.processes}
        self.pushed_at: dict[int, tuple[float, Position]] = {}
        self.digests: dict[Position, int] = {}
        self.head = START
        self.latencies = array("d")
        self.catch_ups = array("d")
        self.reattached = array("d")
        self.older_after_newer = 0
        self.older_after_restart = 0
        self.half_in_force = 0
        self.stale_unnoticed = 0
        self.false_everywhere = 0
        self.refused = 0
        self.superseded = 0
        self.everywhere: dict[Position, float] = {}  # seconds that each took to be everywhere
        self.counts: dict[str, int] = {}
        self.broken: list[str] = []
        self.seconds: list[Second] = []
        self.counting = False

    # What the world tells

    def started(self, process: Process) -> None:
        """A process starts, and holds nothing."""
        highest = self.seen[process.name].highest
        self.seen[process.name] = Seen(highest=highest)

    def adopted(self, position: Position) -> None:
        """All that run hold this from the beginning."""
        for name, process in self._world.processes.items():
            if process.node is not None:
                one = self.seen[name]
                one.in_force = one.highest = position
                one.target = None

    def ended(self, process: Process) -> None:
        """A process is no more."""
        one, now = self.seen[process.name], self._world.now
        one.reachable_since = one.cut_since = one.orphan_since = math.inf
        one.target = None
        if process.role == "relay":
            for proxy in self._world.proxies:
                node = proxy.node
                if (
                    isinstance(node, ProxyNode)
                    and node.subscriber.parent is not None
                    and (node.subscriber.parent.endpoint.name == process.name)
                ):
                    self.seen[proxy.name].orphan_since = now
        if process.role != "subscriber":
            self.looked()

    def opened(self, replica: Replica) -> None:
        """An origin begins with this."""
        self.head = replica.received_position
        self.digests[replica.received_position] = replica.digest

    def pushed(self, position: Position, digest: int) -> None:
        """The origin has taken a change."""
        if position in self.digests:
            return  # the same ticket once more
        self.head = position
        self.digests[position] = digest
        self.pushed_at[position.number] = self._world.now, position

    def looked(self, only: Process | None = None) -> None:
        """Who is reachable may have changed: of one proxy, or of all."""
        world, now = self._world, self._world.now
        origins = [
            process
            for process in world.processes.values()
            if process.role == "origin"
            and world.runs(process)
            and isinstance(process.node, Origin)
            and not process.node.publisher.is_stopped
        ]
        relays = [
            relay
            for relay in world.relays
            if world.runs(relay) and any(self._ways(relay.name, origin.name) for origin in origins)
        ]
        proxies = world.proxies if only is None or only.role != "subscriber" else [only]
        for proxy in proxies:
            if proxy.node is None:
                continue
            one = self.seen[proxy.name]
            if world.runs(proxy) and any(self._ways(proxy.name, relay.name) for relay in relays):
                one.cut_since = math.inf
                if one.reachable_since == math.inf:
                    one.reachable_since = now
                    one.target = self.head if one.in_force < self.head else None
            else:
                one.reachable_since = math.inf
                one.target = None
                if not world.runs(proxy):
                    one.cut_since = math.inf  # it can say nothing
                elif one.cut_since == math.inf:
                    one.cut_since = now
                    world.at(now + STALE_WITHIN, self._judge_stale, proxy, proxy.node, now)

    def _ways(self, one: str, other: str) -> bool:
        now, links = self._world.now, self._world.links
        return not links.is_cut(now, one, other) and not links.is_cut(now, other, one)

    def _judge_stale(self, process: Process, node: Node, since: float) -> None:
        if process.node is node and self.seen[process.name].cut_since == since:
            assert isinstance(node, ProxyNode)
            if not node.subscriber.freshness.is_stale:
                self.stale_unnoticed += 1
                self._break(f"{process.name} has not said that it is stale")

    # What processes tell

    def on_event(self, process: Process, event: Event) -> None:
        """Takes an event of a process."""
        name = log_line(event).name
        self.counts[name] = self.counts.get(name, 0) + 1
        match event:
            case RevisionApplied():
                self._in_force(process, event.position, event.digest)
            case ParentChanged():
                self._parent_changed(process)
            case RevisionRejected():
                self.refused += 1
                self.seen[process.name].refuses = True
            case WriterSuperseded():
                self.superseded += 1
                self.looked()
            case RevisionFullyApplied():
                self._everywhere(event.position, round(event.elapsed_s, 3))

    def _parent_changed(self, process: Process) -> None:
        if process.role != "subscriber":
            return
        one = self.seen[process.name]
        if one.orphan_since < math.inf and one.reachable_since < math.inf:
            self.reattached.append(self._world.now - one.orphan_since)
        one.orphan_since = math.inf

    def _in_force(self, process: Process, position: Position, digest: int) -> None:
        one, now, node = self.seen[process.name], self._world.now, process.node
        before, one.in_force = one.in_force, position
        one.refuses = False
        if position <= before:
            self.older_after_newer += 1
            self._break(f"{process.name}: {position} after {before}")
        if position < one.highest and process.role != "origin":
            self.older_after_restart += 1
        one.highest = max(one.highest, position)
        if process.role == "origin":
            return
        assert isinstance(node, ProxyNode | Relay)
        if not self.digests.get(position) == digest == node.replica.keyspace.digest:
            self.half_in_force += 1
            self._break(f"{process.name}: at {position} it is not what the origin has there")
        if process.role != "subscriber":
            return
        if one.target is not None and position >= one.target:
            one.target = None
            self.catch_ups.append(now - one.reachable_since)
        for number in range(before.number + 1, position.number + 1):
            at, _ = self.pushed_at.get(number, (-math.inf, START))
            if at >= one.reachable_since:
                self.latencies.append(now - at)

    def _everywhere(self, position: Position, seconds: float) -> None:
        self.everywhere[position] = seconds
        for proxy in self._world.proxies:
            one = self.seen[proxy.name]
            if proxy.node is not None and START < one.in_force < position:
                self.false_everywhere += 1
                self._break(f"{position} is not in force at {proxy.name}, which has {one.in_force}")

    def _break(self, text: str) -> None:
        if len(self.broken) < EXAMPLES:
            self.broken.append(f"{self._world.now:.3f} s: {text}")

    # The end

    def lost(self) -> int:
        """Changes that reachable proxies do not have in force, though they have had the time."""
        world, found = self._world, 0
        for proxy in world.proxies:
            one = self.seen[proxy.name]
            if proxy.node is None or one.reachable_since > world.now - CATCH_UP_WITHIN or one.refuses:
                continue
            lacks = [
                at
                for number in range(one.in_force.number + 1, self.head.number + 1)
                if (at := self.pushed_at.get(number, (-math.inf, START))[0]) <= world.now - CATCH_UP_WITHIN
            ]
            if lacks:
                found += len(lacks)
                self._break(f"{proxy.name}: {one.in_force} of {self.head}")
        return found

    def differing(self) -> int:
        """Reachable proxies at the newest position whose keys and values are not those of the store."""
        world, found = self._world, 0
        wanted = world.disk.values
        for proxy in world.proxies:
            node = proxy.node
            if (
                isinstance(node, ProxyNode)
                and self.seen[proxy.name].in_force == world.disk.position
                and (dict(node.replica.keyspace.entries()) != wanted)
            ):
                found += 1
                self._break(f"{proxy.name}: its keys are not those of the store")
        return found

    # Seconds

    def count_seconds(self) -> None:
        """From now on, what is sent in each second."""
        self.counting = True
        for name, process in self._world.processes.items():
            if process.node is not None:
                one, node = self.seen[name], process.node
                one.sent, one.received = node.sent_bytes, process.received_bytes
                one.sent_datagrams = node.link.sent_datagrams
        self._world.at(self._world.now + 1.0, self._second)

    def _second(self) -> None:
        found = Second(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0)
        for name, process in self._world.processes.items():
            node = process.node
            if node is None:
                continue
            one = self.seen[name]
            sent, received = node.sent_bytes - one.sent, process.received_bytes - one.received
            datagrams = node.link.sent_datagrams - one.sent_datagrams
            one.sent, one.received = node.sent_bytes, process.received_bytes
            one.sent_datagrams = node.link.sent_datagrams
            if process.role == "subscriber":
                found.proxies += 1
                found.proxy_sent += sent
                found.proxy_received += received
                found.proxy_worst = max(found.proxy_worst, sent + received)
            elif process.role == "relay":
                found.relays += 1
                found.relay_sent += sent
                found.relay_worst = max(found.relay_worst, sent)
                found.relay_datagrams_worst = max(found.relay_datagrams_worst, datagrams)
            else:
                found.origin_sent += sent
                found.origin_received += received
                found.origin_datagrams += datagrams
        self.seconds.append(found)
        self._world.at(self._world.now + 1.0, self._second)
