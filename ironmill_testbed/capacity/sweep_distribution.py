"""Sweeps of distribution: keyspace, catching up, a relay with its children, and simulated fleets.

CPU is that of the state machines alone, by ``time.process_time`` around their calls: what a driver's sockets
cost is not in it, nor what the simulated network costs. Bytes are those of the datagrams without the headers
of UDP and IP. Memory is that of Python, by tracemalloc.
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
from ironmill_testbed.capacity.scenarios import scaled
from ironmill_testbed.faults.fleet_process import FleetProcess, SimulatedConsumer
from ironmill_testbed.faults.memory_store import Disk
from ironmill_testbed.faults.simulated_fleet import KEY, SimulatedFleet

ENTRIES = (1000, 4000, 16_000, 64_000, 160_000, 640_000)
ENTRIES_QUICK = (1000, 2000, 4000, 8000, 16_000)
CHILDREN = (10, 30, 104, 300, 1000)
CHILDREN_QUICK = (10, 20, 40, 70, 104)
PROXIES = (104, 312, 624, 1248, 2800)
PROXIES_QUICK = (52, 104, 156, 208, 312)
VALUE_BYTES = 40
CONVERGED_AT = 6.0
IDLE_S, IDLE_QUICK_S = 10, 4
REVISIONS, REVISIONS_QUICK = 40, 15
UNLIMITED_BYTES_PER_S = 1e9

Result = TypeVar("Result")


def value_of(at: int) -> bytes:
    """Returns a value like that of a shard."""
    return b"server-%05d" % (at % 9000) + bytes(VALUE_BYTES - 12)


def keys_of(size: int) -> dict[str, bytes]:
    """Returns entries of a keyspace."""
    return {f"shard/{at:06d}": value_of(at) for at in range(size)}


# Keyspace


def keyspace(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the memory of a keyspace, and the processor time of a put."""
    rng = random.Random(seed)
    gc.collect()
    tracemalloc.start()
    entries = Keyspace()
    for at in range(size):
        entries.put(f"shard/{at:06d}", value_of(at))
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    took = []
    for _ in range(5 if quick else 9):
        keys = [f"shard/{rng.randrange(size):06d}" for _ in range(1000)]
        new = rng.randbytes(VALUE_BYTES)
        start = time.process_time()
        for key in keys:
            entries.put(key, new)
        took.append((time.process_time() - start) / len(keys))
    return {"keyspace_memory": float(memory), "keyspace_put_cpu": statistics.median(took)}


# Nodes without a network


class DirectNetwork:
    """Nodes that reach each other without delay; the processor time of each is counted."""

    def __init__(self) -> None:
        """Begins without nodes."""
        self.now = 0.0
        self.cpu_s: dict[str, float] = {}
        self.received: dict[str, int] = {}
        self._nodes: dict[Address, Node] = {}
        self._queue: deque[tuple[Datagram, Address]] = deque()

    def put(self, node: Node) -> None:
        """Adds a node."""
        self._nodes[node.identity.address] = node
        self.cpu_s[node.identity.name] = 0.0
        self.received[node.identity.name] = 0

    def send(self, node: Node, datagrams: list[Datagram]) -> None:
        """Queues the datagrams of a node."""
        self._queue.extend((datagram, node.identity.address) for datagram in datagrams)

    def drain(self) -> None:
        """Delivers datagrams until none is queued."""
        while self._queue:
            (address, data), source = self._queue.popleft()
            node = self._nodes.get(address)
            if node is not None:
                self.received[node.identity.name] += len(data)
                self.send(node, self._count(node, partial(node.receive, data, source, self.now)))

    def tick(self) -> None:
        """Advances the clock by a tick."""
        self.now += TICK_INTERVAL_S
        for node in self._nodes.values():
            self.send(node, self._count(node, partial(node.tick, self.now)))
            self.drain()

    def _count(self, node: Node, call: Callable[[], Result]) -> Result:
        start = time.process_time()
        result = call()
        self.cpu_s[node.identity.name] += time.process_time() - start
        return result


def _ignore(_: Event) -> None:
    """Ignores an event."""


def _context(identity: MemberIdentity, timing: Timing, codec: Codec, seed: int) -> NodeContext:
    return NodeContext(
        identity=identity,
        codec=codec,
        timing=timing,
        rng=random.Random(seed),
        now=0.0,
        on_event=_ignore,
    )


def _identity(name: str, at: int) -> MemberIdentity:
    return MemberIdentity(name, f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}", 7100, "z0", "r0", 1000)


def _origin(card: MemberIdentity, size: int, timing: Timing, relays: list[Endpoint]) -> Origin:
    disk = Disk()
    disk.fill(keys_of(size))
    context = _context(card, timing, Codec("sim", [KEY]), 1)
    return Origin(context, disk.open(), relays, lambda changes: None)


def catch_up(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures bytes both ways and processor time of a proxy that starts empty, without a rate limit."""
    del quick
    timing = Timing(catch_up_bytes_per_s=UNLIMITED_BYTES_PER_S, serve_bytes_per_s=UNLIMITED_BYTES_PER_S)
    network = DirectNetwork()
    origin = _origin(_identity("origin", 1), size, timing, [])
    place = Endpoint("origin", origin.identity.address, "z0", "r0")
    context = _context(_identity("p", 2), timing, Codec("sim", [KEY]), seed)
    proxy = ProxyNode(context, [place], SimulatedConsumer())
    network.put(origin)
    network.put(proxy)
    while proxy.replica.applied_position == START:
        network.tick()
        if network.now > 600.0:
            raise TimeoutError(f"{size} entries: no end after {network.now} s")
    return {
        "catch_up_bytes": float(proxy.sent_bytes + network.received["p"]),
        "catch_up_page_cpu": network.cpu_s["p"],
    }


class RelayWithChildren(DirectNetwork):
    """A relay with children, and its origin."""

    def __init__(self, children: int, seed: int) -> None:
        """Runs until all children have the configuration. Raises ``TimeoutError`` if they do not get it."""
        super().__init__()
        places = [
            Endpoint(name, _identity(name, at).address, "z0", "r0") for at, name in enumerate(("o", "r"))
        ]
        timing, codec = Timing(), Codec("sim", [KEY])
        self.origin = _origin(_identity("o", 0), 300, timing, places[1:])
        self.relay = Relay(_context(_identity("r", 1), timing, codec, seed), places[:1], places)
        self.put(self.origin)
        self.put(self.relay)
        self.children = [
            ProxyNode(
                _context(_identity(f"p{at:05d}", at + 2), timing, codec, seed * 10_000 + at),
                places[1:],
                SimulatedConsumer(),
            )
            for at in range(children)
        ]
        for child in self.children:
            self.put(child)
        while not self.has_converged:
            self.tick()
            if self.now > 600.0:
                raise TimeoutError(f"{children} children: not all have it after {self.now} s")

    @property
    def has_converged(self) -> bool:
        """Returns True if all children have applied the latest position."""
        return all(
            child.replica.applied_position == self.origin.replica.received_position for child in self.children
        )

    def push(self, changes: Changes, at: int) -> None:
        """Pushes a revision and delivers what follows, without a tick."""
        self.origin.push(changes, RevisionMetadata(0.0, "sweep", "", f"t{at}"), self.now)
        self.send(self.origin, self.origin.flush())
        self.drain()


def relay(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the processor time of a relay: in a second without changes, and for a revision."""
    network = RelayWithChildren(size, seed)
    for _ in range(20):
        network.tick()
    rest, pushes = [], []
    for _ in range(IDLE_QUICK_S if quick else IDLE_S):
        before = network.cpu_s["r"]
        for _ in range(round(1.0 / TICK_INTERVAL_S)):
            network.tick()
        rest.append(network.cpu_s["r"] - before)
    for at in range(REVISIONS_QUICK if quick else REVISIONS):
        before = network.cpu_s["r"]
        network.push({f"shard/{at:06d}": random.Random(at).randbytes(VALUE_BYTES)}, at)
        pushes.append(network.cpu_s["r"] - before)
        for _ in range(4):
            network.tick()
        if not network.has_converged:
            raise TimeoutError(f"{size} children: a revision is not in force at all of them after 0.4 s")
    return {"relay_poll_cpu": statistics.median(rest), "relay_push_cpu": statistics.median(pushes)}


def relay_memory(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the memory of a relay's children."""
    del quick
    places = [Endpoint(name, _identity(name, at).address, "z0", "r0") for at, name in enumerate(("o", "r"))]
    codec = Codec("sim", [KEY])
    node = Relay(_context(_identity("r", 1), Timing(), codec, seed), places[:1], places)
    node.tick(1.0)
    polls = []
    for at in range(size):
        card = _identity(f"p{at:05d}", at + 2)
        echo = node.link.tokens.issue(card.name, card.incarnation, 1.0)
        poll = Poll(echo, 1, False, 0, START, START, 0, 1, [], "z0", -1, START, [])
        polls.append((codec.encode(card, "r", 1, poll), card.address))
    gc.collect()
    tracemalloc.start()
    for data, source in polls:
        node.receive(data, source, 1.0)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    if len(node.publisher.children) != size:
        raise RuntimeError(f"{len(node.publisher.children)} of {size} children: {node.dropped}")
    return {"relay_memory": float(memory)}


# Fleets


class MeteredFleet(SimulatedFleet):
    """A simulated fleet that counts the processor time of its proxies' nodes."""

    proxy_took = 0.0

    def start(self, name: str, clock_offset_s: float = 0.0) -> None:
        """Starts a process; the processor time of a proxy's node is counted."""
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
            self.proxy_took += time.process_time() - start
            return result

        return metered


def fleet(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures a fleet without changes, and how long changes take."""
    plan = scaled(size, seed=seed)
    simulated = MeteredFleet(plan)
    simulated.converge(CONVERGED_AT + 20.0)  # all are at their preferred parents
    seconds = IDLE_QUICK_S if quick else IDLE_S
    proxies = [process.node for process in simulated.proxies if process.node is not None]
    everyone = [process.node for process in simulated.processes.values() if process.node is not None]
    own, sent = sum(node.sent_bytes for node in proxies), sum(node.sent_bytes for node in everyone)
    took: list[float] = []
    for _ in range(seconds):
        before = simulated.proxy_took
        simulated.run(simulated.now + 1.0)
        took.append(simulated.proxy_took - before)
    found = {
        "subscriber_rest_bytes": (sum(node.sent_bytes for node in proxies) - own) / seconds / size,
        "subscriber_rest_cpu": statistics.median(took) / size,
        "control_rest_bytes": (sum(node.sent_bytes for node in everyone) - sent) / seconds,
    }
    for at in range(REVISIONS_QUICK if quick else REVISIONS):
        simulated.push({f"shard/{at:06d}": value_of(at + 7)})
        simulated.run(simulated.now + 0.5)
    simulated.run(simulated.now + 3.0)
    if simulated.observer.count_lost_changes():
        raise RuntimeError(f"changes were lost: {simulated.observer.broken}")
    latencies = sorted(simulated.observer.latencies)
    found["change_latency_p99"] = latencies[int(0.99 * len(latencies))]
    return found


def _sweep(name: str, what: str, x: str, unit: str = "s", shape: Shape = Shape.LINE) -> Sweep:
    return Sweep(name, what, x, unit, Sign.VIRTUAL, (), shape)


RUNS = (
    Runs(
        keyspace,
        (
            _sweep(
                "keyspace_memory",
                "Bytes held by a Keyspace for all entries together, keys of 12 and "
                f"values of {len(value_of(0))} bytes, by tracemalloc; an entry costs less the fuller "
                "its leaf is.",
                "entries",
                "B",
                Shape.POWER,
            ),
            _sweep("keyspace_put_cpu", "CPU of Keyspace.put of a new value for a key there is.", "entries"),
        ),
        ENTRIES,
        ENTRIES_QUICK,
    ),
    Runs(
        catch_up,
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
        ENTRIES,
        ENTRIES_QUICK,
    ),
    Runs(
        relay,
        (
            _sweep(
                "relay_push_cpu",
                "CPU of a relay's state machines for one revision to all children and "
                "their acknowledgements.",
                "children",
            ),
            _sweep("relay_poll_cpu", "CPU of a relay's state machines a second at rest.", "children"),
        ),
        CHILDREN,
        CHILDREN_QUICK,
        repeats=3,
    ),
    Runs(
        relay_memory,
        (
            _sweep(
                "relay_memory", "Bytes that a relay holds for its children, by tracemalloc.", "children", "B"
            ),
        ),
        CHILDREN,
        CHILDREN_QUICK,
    ),
    Runs(
        fleet,
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
        PROXIES,
        PROXIES_QUICK,
    ),
)
