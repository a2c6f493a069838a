"""Sweeps of distribution: the keyspace, catch-up, a relay with its children, and simulated fleets.

CPU is measured with ``time.process_time`` around the calls of the state machines. It includes neither the
sockets of a driver nor the simulated network. Bytes are those of datagrams without the UDP and IP headers.
Memory is what Python allocates, by tracemalloc.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TypeVar

from ironmill.distribution.changes import Changes
from ironmill.distribution.codec import Codec
from ironmill.distribution.events import Event
from ironmill.distribution.keyspace import Keyspace
from ironmill.distribution.link import NodeContext
from ironmill.distribution.messages import Endpoint, Poll
from ironmill.distribution.node import Node
from ironmill.distribution.origin import Origin
from ironmill.distribution.proxy_node import ProxyNode
from ironmill.distribution.relay import Relay
from ironmill.distribution.revision import START, RevisionMetadata
from ironmill.distribution.timing import TICK_INTERVAL_S, Timing
from ironmill.membership.identity import Address, Datagram, MemberIdentity
from ironmill_testbed.capacity.data import Shape, Sign, Sweep
from ironmill_testbed.capacity.runs import Runs
from ironmill_testbed.capacity.scenarios import scaled_plan
from ironmill_testbed.faults.fleet_process import FleetProcess, SimulatedConsumer
from ironmill_testbed.faults.memory_store import Disk
from ironmill_testbed.faults.simulated_fleet import KEY, SimulatedFleet

ENTRY_COUNTS = (1000, 4000, 16_000, 64_000, 160_000, 640_000)
QUICK_ENTRY_COUNTS = (1000, 2000, 4000, 8000, 16_000)
CHILD_COUNTS = (10, 30, 104, 300, 1000)
QUICK_CHILD_COUNTS = (10, 20, 40, 70, 104)
PROXY_COUNTS = (104, 312, 624, 1248, 2800)
QUICK_PROXY_COUNTS = (52, 104, 156, 208, 312)
VALUE_BYTES = 40
CONVERGENCE_S = 6.0  # simulated time after which a fleet has converged
IDLE_SPAN_S, QUICK_IDLE_SPAN_S = 10, 4
REVISIONS, QUICK_REVISIONS = 40, 15
UNLIMITED_BYTES_PER_S = 1e9

Result = TypeVar("Result")


def shard_value(index: int) -> bytes:
    """Returns a value that names the server of a shard, padded to ``VALUE_BYTES``."""
    return b"server-%05d" % (index % 9000) + bytes(VALUE_BYTES - 12)


def shard_entries(count: int) -> dict[str, bytes]:
    """Returns the entries of a keyspace by key."""
    return {f"shard/{index:06d}": shard_value(index) for index in range(count)}


# Keyspace


def measure_keyspace(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the memory of a keyspace of ``size`` entries, and the CPU time of a put."""
    rng = random.Random(seed)
    gc.collect()
    tracemalloc.start()
    entries = Keyspace()
    for index in range(size):
        entries.put(f"shard/{index:06d}", shard_value(index))
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    batch_cpu_s = []
    for _ in range(5 if quick else 9):
        keys = [f"shard/{rng.randrange(size):06d}" for _ in range(1000)]
        new_value = rng.randbytes(VALUE_BYTES)
        start = time.process_time()
        for key in keys:
            entries.put(key, new_value)
        batch_cpu_s.append((time.process_time() - start) / len(keys))
    return {"keyspace_memory": float(memory), "keyspace_put_cpu": statistics.median(batch_cpu_s)}


# Nodes without a network


class DirectNetwork:
    """A network that delivers datagrams without delay and measures the CPU time of each node."""

    def __init__(self) -> None:
        """Creates a network without nodes, whose clock is at 0."""
        self.now = 0.0
        self.cpu_s: dict[str, float] = {}
        self.received: dict[str, int] = {}
        self._nodes: dict[Address, Node] = {}
        self._queue: deque[tuple[Datagram, Address]] = deque()

    def add(self, node: Node) -> None:
        """Adds a node, with its counters at zero."""
        self._nodes[node.identity.address] = node
        self.cpu_s[node.identity.name] = 0.0
        self.received[node.identity.name] = 0

    def send(self, node: Node, datagrams: list[Datagram]) -> None:
        """Queues datagrams that a node sends."""
        self._queue.extend((datagram, node.identity.address) for datagram in datagrams)

    def deliver(self) -> None:
        """Delivers datagrams and those sent in response, until none is queued."""
        while self._queue:
            (address, data), source = self._queue.popleft()
            node = self._nodes.get(address)
            if node is not None:
                self.received[node.identity.name] += len(data)
                self.send(node, self._measure_cpu(node, partial(node.receive, data, source, self.now)))

    def tick(self) -> None:
        """Advances the clock by a tick, which every node handles, and delivers what they send."""
        self.now += TICK_INTERVAL_S
        for node in self._nodes.values():
            self.send(node, self._measure_cpu(node, partial(node.tick, self.now)))
            self.deliver()

    def _measure_cpu(self, node: Node, call: Callable[[], Result]) -> Result:
        start = time.process_time()
        result = call()
        self.cpu_s[node.identity.name] += time.process_time() - start
        return result


def _ignore(_: Event) -> None:
    """Discards the event."""


def _context(identity: MemberIdentity, timing: Timing, codec: Codec, seed: int) -> NodeContext:
    return NodeContext(
        identity=identity,
        codec=codec,
        timing=timing,
        rng=random.Random(seed),
        now=0.0,
        on_event=_ignore,
    )


def _identity(name: str, index: int) -> MemberIdentity:
    return MemberIdentity(name, f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}", 7100, "z0", "r0", 1000)


def _origin(identity: MemberIdentity, entry_count: int, timing: Timing, relays: list[Endpoint]) -> Origin:
    disk = Disk()
    disk.fill(shard_entries(entry_count))
    context = _context(identity, timing, Codec("sim", [KEY]), 1)
    return Origin(context, disk.open(), relays, lambda changes: None)


def measure_catch_up(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the bytes sent and received, and the CPU time, of a proxy that starts without entries.

    The catch-up is not limited in rate.
    """
    del quick
    timing = Timing(catch_up_bytes_per_s=UNLIMITED_BYTES_PER_S, serve_bytes_per_s=UNLIMITED_BYTES_PER_S)
    network = DirectNetwork()
    origin = _origin(_identity("origin", 1), size, timing, [])
    parent = Endpoint("origin", origin.identity.address, "z0", "r0")
    context = _context(_identity("p", 2), timing, Codec("sim", [KEY]), seed)
    proxy = ProxyNode(context, [parent], SimulatedConsumer())
    network.add(origin)
    network.add(proxy)
    while proxy.replica.applied_position == START:
        network.tick()
        if network.now > 600.0:
            raise TimeoutError(f"{size} entries: the catch-up is not complete after {network.now} s")
    return {
        "catch_up_bytes": float(proxy.sent_bytes + network.received["p"]),
        "catch_up_page_cpu": network.cpu_s["p"],
    }


class RelayWithChildren(DirectNetwork):
    """A network of an origin, a relay and the relay's children."""

    def __init__(self, child_count: int, seed: int) -> None:
        """Runs until all children have applied the configuration; raises ``TimeoutError`` after 600 s."""
        super().__init__()
        endpoints = [
            Endpoint(name, _identity(name, index).address, "z0", "r0")
            for index, name in enumerate(("o", "r"))
        ]
        timing, codec = Timing(), Codec("sim", [KEY])
        self.origin = _origin(_identity("o", 0), 300, timing, endpoints[1:])
        self.relay = Relay(_context(_identity("r", 1), timing, codec, seed), endpoints[:1], endpoints)
        self.add(self.origin)
        self.add(self.relay)
        self.children = [
            ProxyNode(
                _context(_identity(f"p{index:05d}", index + 2), timing, codec, seed * 10_000 + index),
                endpoints[1:],
                SimulatedConsumer(),
            )
            for index in range(child_count)
        ]
        for child in self.children:
            self.add(child)
        while not self.has_converged:
            self.tick()
            if self.now > 600.0:
                raise TimeoutError(
                    f"{child_count} children: not all have applied the configuration after {self.now} s"
                )

    @property
    def has_converged(self) -> bool:
        """Returns True if all children have applied the latest position."""
        return all(
            child.replica.applied_position == self.origin.replica.received_position for child in self.children
        )

    def push(self, changes: Changes, index: int) -> None:
        """Pushes a revision and delivers the resulting datagrams; the clock does not advance."""
        self.origin.push(changes, RevisionMetadata(0.0, "sweep", "", f"t{index}"), self.now)
        self.send(self.origin, self.origin.flush())
        self.deliver()


def measure_relay(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the CPU time of a relay with ``size`` children, per idle second and per revision."""
    network = RelayWithChildren(size, seed)
    for _ in range(20):
        network.tick()
    idle_cpu_s, push_cpu_s = [], []
    for _ in range(QUICK_IDLE_SPAN_S if quick else IDLE_SPAN_S):
        before = network.cpu_s["r"]
        for _ in range(round(1.0 / TICK_INTERVAL_S)):
            network.tick()
        idle_cpu_s.append(network.cpu_s["r"] - before)
    for index in range(QUICK_REVISIONS if quick else REVISIONS):
        before = network.cpu_s["r"]
        network.push({f"shard/{index:06d}": random.Random(index).randbytes(VALUE_BYTES)}, index)
        push_cpu_s.append(network.cpu_s["r"] - before)
        for _ in range(4):
            network.tick()
        if not network.has_converged:
            raise TimeoutError(f"{size} children: not all have applied a revision after 0.4 s")
    return {"relay_poll_cpu": statistics.median(idle_cpu_s), "relay_push_cpu": statistics.median(push_cpu_s)}


def measure_relay_memory(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the memory that a relay allocates for ``size`` children."""
    del quick
    endpoints = [
        Endpoint(name, _identity(name, index).address, "z0", "r0") for index, name in enumerate(("o", "r"))
    ]
    codec = Codec("sim", [KEY])
    relay = Relay(_context(_identity("r", 1), Timing(), codec, seed), endpoints[:1], endpoints)
    relay.tick(1.0)
    polls = []
    for index in range(size):
        child = _identity(f"p{index:05d}", index + 2)
        echo = relay.link.tokens.issue(child.name, child.incarnation, 1.0)
        poll = Poll(echo, 1, False, 0, START, START, 0, 1, [], "z0", -1, START, [])
        polls.append((codec.encode(child, "r", 1, poll), child.address))
    gc.collect()
    tracemalloc.start()
    for data, source in polls:
        relay.receive(data, source, 1.0)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    if len(relay.publisher.children) != size:
        raise RuntimeError(
            f"{len(relay.publisher.children)} of {size} children attached; dropped datagrams: {relay.dropped}"
        )
    return {"relay_memory": float(memory)}


# Fleets


class MeteredFleet(SimulatedFleet):
    """A simulated fleet that measures the CPU time of its proxies' nodes."""

    proxy_cpu_s = 0.0

    def start(self, name: str, clock_offset_s: float = 0.0) -> None:
        """Starts a process; if it is a proxy, the CPU time of its node is measured."""
        super().start(name, clock_offset_s)
        process: FleetProcess = self.processes[name]
        if process.role == "subscriber" and process.node is not None:
            node = process.node
            setattr(node, "tick", self._metered(node.tick))  # noqa: B010
            setattr(node, "receive", self._metered(node.receive))  # noqa: B010

    def _metered(self, call: Callable[..., Result]) -> Callable[..., Result]:
        def metered(*args: object) -> Result:
            start = time.process_time()
            result = call(*args)
            self.proxy_cpu_s += time.process_time() - start
            return result

        return metered


def measure_fleet(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the costs of a fleet of ``size`` proxies without changes, and the latency of changes.

    Raises ``RuntimeError`` if a change is lost.
    """
    plan = scaled_plan(size, seed=seed)
    simulated = MeteredFleet(plan)
    simulated.converge(CONVERGENCE_S + 20.0)  # afterwards all proxies are at their preferred parents
    span_s = QUICK_IDLE_SPAN_S if quick else IDLE_SPAN_S
    proxies = [process.node for process in simulated.proxies if process.node is not None]
    nodes = [process.node for process in simulated.processes.values() if process.node is not None]
    sent_by_proxies, sent_by_all = (
        sum(node.sent_bytes for node in proxies),
        sum(node.sent_bytes for node in nodes),
    )
    idle_cpu_s: list[float] = []
    for _ in range(span_s):
        before = simulated.proxy_cpu_s
        simulated.run(simulated.now + 1.0)
        idle_cpu_s.append(simulated.proxy_cpu_s - before)
    costs = {
        "subscriber_rest_bytes": (sum(node.sent_bytes for node in proxies) - sent_by_proxies) / span_s / size,
        "subscriber_rest_cpu": statistics.median(idle_cpu_s) / size,
        "control_rest_bytes": (sum(node.sent_bytes for node in nodes) - sent_by_all) / span_s,
    }
    for index in range(QUICK_REVISIONS if quick else REVISIONS):
        simulated.push({f"shard/{index:06d}": shard_value(index + 7)})
        simulated.run(simulated.now + 0.5)
    simulated.run(simulated.now + 3.0)
    if simulated.observer.count_lost_changes():
        raise RuntimeError(f"changes were lost; broken guarantees: {simulated.observer.broken}")
    latencies = sorted(simulated.observer.latencies)
    costs["change_latency_p99"] = latencies[int(0.99 * len(latencies))]
    return costs


def _sweep(name: str, description: str, x: str, unit: str = "s", shape: Shape = Shape.LINE) -> Sweep:
    return Sweep(name, description, x, unit, Sign.VIRTUAL, (), shape)


RUNS = (
    Runs(
        measure_keyspace,
        (
            _sweep(
                "keyspace_memory",
                "Bytes held by a Keyspace for all entries together, keys of 12 and "
                f"values of {len(shard_value(0))} bytes, by tracemalloc; an entry costs less the fuller "
                "its leaf is.",
                "entries",
                "B",
                Shape.POWER,
            ),
            _sweep("keyspace_put_cpu", "CPU of Keyspace.put of a new value for a key there is.", "entries"),
        ),
        ENTRY_COUNTS,
        QUICK_ENTRY_COUNTS,
    ),
    Runs(
        measure_catch_up,
        (
            _sweep(
                "catch_up_bytes",
                "Bytes of datagrams both ways of a proxy that starts with nothing, its "
                "parent beside it, no rate set.",
                "entries",
                "B",
            ),
            _sweep("catch_up_page_cpu", "CPU of the proxy's state machines for all of that.", "entries"),
        ),
        ENTRY_COUNTS,
        QUICK_ENTRY_COUNTS,
    ),
    Runs(
        measure_relay,
        (
            _sweep(
                "relay_push_cpu",
                "CPU of a relay's state machines for one revision to all children and "
                "their acknowledgements.",
                "children",
            ),
            _sweep("relay_poll_cpu", "CPU of a relay's state machines a second at rest.", "children"),
        ),
        CHILD_COUNTS,
        QUICK_CHILD_COUNTS,
        repeats=3,
    ),
    Runs(
        measure_relay_memory,
        (
            _sweep(
                "relay_memory", "Bytes that a relay holds for its children, by tracemalloc.", "children", "B"
            ),
        ),
        CHILD_COUNTS,
        QUICK_CHILD_COUNTS,
    ),
    Runs(
        measure_fleet,
        (
            _sweep(
                "subscriber_rest_bytes",
                "Bytes a second that a proxy sends at rest, a control machine for each 104.",
                "proxies",
                "B/s",
            ),
            _sweep("subscriber_rest_cpu", "CPU a second of a proxy's state machines at rest.", "proxies"),
            _sweep(
                "control_rest_bytes",
                "Bytes a second that proxies, relays and origin send at rest, all together.",
                "proxies",
                "B/s",
            ),
            _sweep(
                "change_latency_p99",
                "From the push of a change to its being in force at a proxy, 99 in "
                "100, two changes a second, five regions and eleven zones.",
                "proxies",
            ),
        ),
        PROXY_COUNTS,
        QUICK_PROXY_COUNTS,
    ),
)
