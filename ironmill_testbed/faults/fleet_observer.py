"""Checks of the guarantees of distribution while a simulated fleet runs.

A proxy is reachable if it runs, is not paused, and has links in both directions to a relay that has links in
both directions to a running origin. Any other running proxy must report itself as stale no later than
``MAX_STALENESS_DETECTION_S`` after the last time at which a relay with links to it heard from an origin.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Callable, Sequence
from typing import Protocol

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
from ironmill_testbed.faults.fleet_links import FleetLinks
from ironmill_testbed.faults.fleet_process import FleetProcess
from ironmill_testbed.faults.fleet_traffic import TrafficMeter
from ironmill_testbed.faults.memory_store import Disk

MAX_STALENESS_DETECTION_S = 5.0  # time without contact until a proxy must report itself as stale
MAX_CATCH_UP_S = 3.0  # time of contact until a proxy must have applied the latest position
MAX_EXAMPLES = 20  # of violated guarantees that are described


class ObservedFleet(Protocol):
    """The interface that an observer needs of a fleet."""

    now: float
    processes: dict[str, FleetProcess]
    proxies: list[FleetProcess]
    relays: list[FleetProcess]
    links: FleetLinks
    disk: Disk

    def schedule(self, at_s: float, action: Callable[..., None], *args: object) -> None:
        """Calls an action at a time of the virtual clock."""

    def is_running(self, process: FleetProcess) -> bool:
        """Returns True if the process exists and is not paused."""


class ObservedProcess(Struct):
    """The observer's state of one process of the fleet."""

    applied_position: Position = START  # by the current incarnation
    highest_position: Position = START  # by any incarnation
    reachable_since: float = math.inf  # infinite while it is unreachable
    # Last contact with an origin; infinite for a reachable proxy, and for a relay with links to an origin.
    origin_heard_until: float = math.inf
    target: Position | None = None  # position to be applied within MAX_CATCH_UP_S of contact
    orphan_since: float = math.inf  # when its relay ended; infinite once it has another parent
    is_rejecting: bool = False


class FleetObserver:
    """An observer that receives the events of a fleet and counts violated guarantees."""

    def __init__(self, fleet: ObservedFleet) -> None:
        """Creates an observer for a fleet whose processes have all been created and none started."""
        self._fleet = fleet
        self.traffic = TrafficMeter(fleet.processes)
        self.processes = {name: ObservedProcess() for name in fleet.processes}
        self.pushed_at: dict[int, tuple[float, Position]] = {}  # by the number of the revision
        self.digests: dict[Position, int] = {}
        self.latest_position = START
        self.latencies = array("d")  # seconds from a push until a reachable proxy applied it
        self.catch_ups = array("d")  # seconds of contact until a proxy had applied its target
        self.reattached = array("d")  # seconds from the end of its relay until a proxy had another parent
        self.older_after_newer = 0  # positions that are not newer than the last one of the same incarnation
        self.older_after_restart = 0  # positions that are older than one of any previous incarnation
        self.partially_applied = 0  # positions at which the state differs from the origin's
        self.stale_unnoticed = 0  # proxies that did not report themselves as stale in time
        self.false_fully_applied = 0  # proxies behind a position that was reported as fully applied
        self.rejected = 0
        self.superseded = 0
        self.fully_applied: dict[Position, float] = {}  # seconds from the push
        self.counts: dict[str, int] = {}  # number of events, by their name in the log
        self.broken: list[str] = []

    # Reports of the fleet

    def on_started(self, process: FleetProcess) -> None:
        """Records the start of a process, which has no configuration yet."""
        highest_position = self.processes[process.name].highest_position
        observed = ObservedProcess(highest_position=highest_position)
        if process.role == "relay":
            observed.origin_heard_until = -math.inf
        self.processes[process.name] = observed
        self.traffic.reset(process.name)

    def on_state_set(self, position: Position) -> None:
        """Records that all running processes have been initialized at this position."""
        for name, process in self._fleet.processes.items():
            if process.node is not None:
                observed = self.processes[name]
                observed.applied_position = position
                observed.highest_position = position
                observed.target = None

    def on_ended(self, process: FleetProcess) -> None:
        """Records the end of a process."""
        observed = self.processes[process.name]
        observed.reachable_since = math.inf
        observed.origin_heard_until = math.inf
        observed.orphan_since = math.inf
        observed.target = None
        if process.role == "relay":
            for proxy in self._fleet.proxies:
                if _parent_name(proxy) == process.name:
                    self.processes[proxy.name].orphan_since = self._fleet.now
        if process.role != "subscriber":
            self.update_reachability()

    def on_origin_opened(self, replica: Replica) -> None:
        """Records the position and digest at which an origin has opened its store."""
        self.latest_position = replica.received_position
        self.digests[replica.received_position] = replica.digest

    def on_pushed(self, position: Position, digest: int) -> None:
        """Records a position that an origin has returned for a push."""
        if position in self.digests:
            return  # the ticket was repeated, so the origin returned the position of the first push
        self.latest_position = position
        self.digests[position] = digest
        self.pushed_at[position.number] = self._fleet.now, position

    def update_reachability(self, only: FleetProcess | None = None) -> None:
        """Determines which proxies are reachable. If ``only`` is a proxy, the others are not updated."""
        relays = self._connected_relays()
        self._update_relays(relays)
        proxies = self._fleet.proxies if only is None or only.role != "subscriber" else [only]
        for proxy in proxies:
            if proxy.node is None:
                continue
            is_running = self._fleet.is_running(proxy)
            if is_running and any(self._has_link(proxy.name, relay.name) for relay in relays):
                self._mark_reachable(proxy)
            else:
                self._mark_unreachable(proxy, proxy.node, is_running=is_running)

    def _connected_relays(self) -> Sequence[FleetProcess]:
        fleet = self._fleet
        origins = [
            process
            for process in fleet.processes.values()
            if process.role == "origin"
            and fleet.is_running(process)
            and isinstance(process.node, Origin)
            and not process.node.publisher.is_stopped
        ]
        return [
            relay
            for relay in fleet.relays
            if fleet.is_running(relay) and any(self._has_link(relay.name, origin.name) for origin in origins)
        ]

    def _update_relays(self, connected: Sequence[FleetProcess]) -> None:
        """Records until when each relay has heard from an origin."""
        for relay in self._fleet.relays:
            observed = self.processes[relay.name]
            if relay in connected:
                observed.origin_heard_until = math.inf
            elif observed.origin_heard_until == math.inf:
                observed.origin_heard_until = self._fleet.now

    def _mark_reachable(self, proxy: FleetProcess) -> None:
        observed = self.processes[proxy.name]
        observed.origin_heard_until = math.inf
        if observed.reachable_since == math.inf:
            observed.reachable_since = self._fleet.now
            is_behind = observed.applied_position < self.latest_position
            observed.target = self.latest_position if is_behind else None

    def _mark_unreachable(self, proxy: FleetProcess, node: Node, *, is_running: bool) -> None:
        observed, now = self.processes[proxy.name], self._fleet.now
        observed.reachable_since = math.inf
        observed.target = None
        if not is_running:
            # A process that does not run cannot report that it is stale.
            observed.origin_heard_until = math.inf
            return
        heard_until = now if observed.origin_heard_until == math.inf else observed.origin_heard_until
        heard_until = max(heard_until, self._heard_by_linked_relays(proxy))
        if heard_until != observed.origin_heard_until:
            observed.origin_heard_until = heard_until
            deadline = max(now, heard_until + MAX_STALENESS_DETECTION_S)
            self._fleet.schedule(deadline, self._check_staleness, proxy, node, heard_until)

    def _heard_by_linked_relays(self, proxy: FleetProcess) -> float:
        """Returns the last time at which a relay with links to the proxy heard from an origin."""
        heard = (
            self.processes[relay.name].origin_heard_until
            for relay in self._fleet.relays
            if self._fleet.is_running(relay) and self._has_link(proxy.name, relay.name)
        )
        return max(heard, default=-math.inf)

    def _has_link(self, name: str, other: str) -> bool:
        now, links = self._fleet.now, self._fleet.links
        return not links.is_cut(now, name, other) and not links.is_cut(now, other, name)

    def _check_staleness(self, process: FleetProcess, node: Node, since: float) -> None:
        if process.node is node and self.processes[process.name].origin_heard_until == since:
            assert isinstance(node, ProxyNode)
            if not node.subscriber.freshness.is_stale:
                self.stale_unnoticed += 1
                self._record_violation(f"{process.name} did not report itself as stale in time")

    # Events of nodes

    def on_event(self, process: FleetProcess, event: Event) -> None:
        """Records an event of a process."""
        name = log_line(event).name
        self.counts[name] = self.counts.get(name, 0) + 1
        match event:
            case RevisionApplied():
                self._on_applied(process, event)
            case ParentChanged():
                self._on_parent_changed(process)
            case RevisionRejected():
                self.rejected += 1
                self.processes[process.name].is_rejecting = True
            case WriterSuperseded():
                self.superseded += 1
                self.update_reachability()
            case RevisionFullyApplied():
                self._on_fully_applied(event)

    def _on_parent_changed(self, process: FleetProcess) -> None:
        if process.role != "subscriber":
            return
        observed = self.processes[process.name]
        if observed.orphan_since < math.inf and observed.reachable_since < math.inf:
            self.reattached.append(self._fleet.now - observed.orphan_since)
        observed.orphan_since = math.inf

    def _on_applied(self, process: FleetProcess, event: RevisionApplied) -> None:
        observed, position = self.processes[process.name], event.position
        previous = observed.applied_position
        observed.applied_position = position
        observed.is_rejecting = False
        if position <= previous:
            self.older_after_newer += 1
            self._record_violation(f"{process.name} applied position {position} after {previous}")
        if position < observed.highest_position and process.role != "origin":
            self.older_after_restart += 1
        observed.highest_position = max(observed.highest_position, position)
        if process.role == "origin":
            return
        self._check_state(process, event)
        if process.role == "subscriber":
            self._record_latencies(observed, previous)

    def _check_state(self, process: FleetProcess, event: RevisionApplied) -> None:
        """Checks that the keyspace is equal to the one that the origin had at this position."""
        node = process.node
        assert isinstance(node, ProxyNode | Relay)
        if not self.digests.get(event.position) == event.digest == node.replica.keyspace.digest:
            self.partially_applied += 1
            self._record_violation(
                f"{process.name} at position {event.position} differs from the origin at this position"
            )

    def _record_latencies(self, observed: ObservedProcess, previous: Position) -> None:
        now, position = self._fleet.now, observed.applied_position
        if observed.target is not None and position >= observed.target:
            observed.target = None
            self.catch_ups.append(now - observed.reachable_since)
        for number in range(previous.number + 1, position.number + 1):
            pushed_at, _ = self.pushed_at.get(number, (-math.inf, START))
            if pushed_at >= observed.reachable_since:
                self.latencies.append(now - pushed_at)

    def _on_fully_applied(self, event: RevisionFullyApplied) -> None:
        position = event.position
        self.fully_applied[position] = round(event.elapsed_s, 3)
        for proxy in self._fleet.proxies:
            applied_position = self.processes[proxy.name].applied_position
            if proxy.node is not None and START < applied_position < position:
                self.false_fully_applied += 1
                self._record_violation(
                    f"{position} was reported as fully applied, but {proxy.name} is at {applied_position}"
                )

    def _record_violation(self, text: str) -> None:
        if len(self.broken) < MAX_EXAMPLES:
            self.broken.append(f"{self._fleet.now:.3f} s: {text}")

    # Checks at the end of a run

    def count_lost_changes(self) -> int:
        """Returns the number of changes that reachable proxies have not applied within ``MAX_CATCH_UP_S``."""
        cutoff, count = self._fleet.now - MAX_CATCH_UP_S, 0
        for proxy in self._fleet.proxies:
            observed = self.processes[proxy.name]
            if proxy.node is None or observed.reachable_since > cutoff or observed.is_rejecting:
                continue
            numbers = range(observed.applied_position.number + 1, self.latest_position.number + 1)
            overdue = [
                number for number in numbers if self.pushed_at.get(number, (-math.inf, START))[0] <= cutoff
            ]
            if overdue:
                count += len(overdue)
                self._record_violation(
                    f"{proxy.name} is at {observed.applied_position}; the latest is {self.latest_position}"
                )
        return count

    def count_differing_proxies(self) -> int:
        """Returns how many proxies at the latest position have keys or values that differ from the store."""
        disk, count = self._fleet.disk, 0
        for proxy in self._fleet.proxies:
            node = proxy.node
            if not isinstance(node, ProxyNode):
                continue
            if self.processes[proxy.name].applied_position != disk.position:
                continue
            if dict(node.replica.keyspace.entries()) != disk.values:
                count += 1
                self._record_violation(f"{proxy.name} has keys or values that differ from the store")
        return count

    # Traffic

    def measure_traffic(self) -> None:
        """Starts to measure the traffic of each second."""
        self.traffic.begin()
        self._fleet.schedule(self._fleet.now + 1.0, self._measure_second)

    def _measure_second(self) -> None:
        self.traffic.measure()
        self._fleet.schedule(self._fleet.now + 1.0, self._measure_second)


def _parent_name(proxy: FleetProcess) -> str:
    node = proxy.node
    if not isinstance(node, ProxyNode) or node.subscriber.parent is None:
        return ""
    return node.subscriber.parent.endpoint.name
