"""Sweeps of distribution: keyspace, catching up, a relay with its children, and simulated fleets.

CPU is that of the state machines alone, by ``time.process_time`` around their calls: what a driver's sockets
cost is not in it, nor what the simulated network costs. Bytes are those of the datagrams without the headers
of UDP and IP. Memory is what Python holds, by tracemalloc.
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
from typing import Any, TypeVar

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
VALUE = 40  # bytes
SETTLED = 6.0
REST, REST_QUICK = 10, 4  # seconds
REVISIONS, REVISIONS_QUICK = 40, 15
NO_LIMIT = 1e9  # bytes a second

Result = TypeVar("Result")


def value_of(at: int) -> bytes:
    """A value as an entry of a shard has one."""
    return b"server-%05d" % (at % 9000) + bytes(VALUE - 12)


def keys_of(size: int) -> dict[str, bytes]:
    """So many entries."""
    return {f"shard/{at:06d}": value_of(at) for at in range(size)}


# Keyspace


def keyspace(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Bytes of so many entries, and seconds of CPU of a put among them."""
    rng = random.Random(seed)
    gc.collect()
    tracemalloc.start()
    held = Keyspace()
    for at in range(size):
        held.put(f"shard/{at:06d}", value_of(at))
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    took = []
    for _ in range(5 if quick else 9):
        keys = [f"shard/{rng.randrange(size):06d}" for _ in range(1000)]
        new = rng.randbytes(VALUE)
        start = time.process_time()
        for key in keys:
            held.put(key, new)
        took.append((time.process_time() - start) / len(keys))
    return {"keyspace_memory": float(memory), "keyspace_put_cpu": statistics.median(took)}


# Nodes without a network


class Rig:
    """Nodes that reach each other at once; the CPU of each is counted."""

    def __init__(self) -> None:
        self.now = 0.0
        self.took: dict[str, float] = {}
        self.received: dict[str, int] = {}
        self._nodes: dict[Address, Node] = {}
        self._queue: deque[tuple[Datagram, Address]] = deque()

    def put(self, node: Node) -> None:
        """One more."""
        self._nodes[node.identity.address] = node
        self.took[node.identity.name] = 0.0
        self.received[node.identity.name] = 0

    def send(self, node: Node, datagrams: list[Datagram]) -> None:
        """Put these on their way."""
        self._queue.extend((datagram, node.identity.address) for datagram in datagrams)

    def drain(self) -> None:
        """Until nothing is on its way."""
        while self._queue:
            (address, data), source = self._queue.popleft()
            node = self._nodes.get(address)
            if node is not None:
                self.received[node.identity.name] += len(data)
                self.send(node, self._count(node, partial(node.receive, data, source, self.now)))

    def tick(self) -> None:
        """A tenth of a second."""
        self.now += TICK_INTERVAL_S
        for node in self._nodes.values():
            self.send(node, self._count(node, partial(node.tick, self.now)))
            self.drain()

    def _count(self, node: Node, call: Callable[[], Result]) -> Result:
        start = time.process_time()
        result = call()
        self.took[node.identity.name] += time.process_time() - start
        return result


def _ignore(_: Event) -> None:
    """Events are of no interest here."""


def _context(identity: MemberIdentity, timing: Timing, codec: Codec, seed: int) -> NodeContext:
    return NodeContext(
        identity=identity,
        codec=codec,
        timing=timing,
        rng=random.Random(seed),
        now=0.0,
        on_event=_ignore,
    )


def _card(name: str, at: int) -> MemberIdentity:
    return MemberIdentity(name, f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}", 7100, "z0", "r0", 1000)


def _origin(card: MemberIdentity, size: int, timing: Timing, relays: list[Endpoint]) -> Origin:
    disk = Disk()
    disk.fill(keys_of(size))
    context = _context(card, timing, Codec("sim", [KEY]), 1)
    return Origin(context, disk.open(), relays, lambda changes: None)


def catch_up(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Bytes both ways and CPU of a proxy that starts with nothing, at a parent beside it, without a rate."""
    del quick
    timing = Timing(catch_up_bytes_per_s=NO_LIMIT, serve_bytes_per_s=NO_LIMIT)
    rig = Rig()
    origin = _origin(_card("origin", 1), size, timing, [])
    place = Endpoint("origin", origin.identity.address, "z0", "r0")
    context = _context(_card("p", 2), timing, Codec("sim", [KEY]), seed)
    leaf = ProxyNode(context, [place], SimulatedConsumer())
    rig.put(origin)
    rig.put(leaf)
    while leaf.replica.applied_position == START:
        rig.tick()
        if rig.now > 600.0:
            raise TimeoutError(f"{size} entries: no end after {rig.now} s")
    return {
        "catch_up_bytes": float(leaf.sent_bytes + rig.received["p"]),
        "catch_up_page_cpu": rig.took["p"],
    }


class Star(Rig):
    """A relay with children, and its origin."""

    def __init__(self, children: int, seed: int) -> None:
        super().__init__()
        places = [Endpoint(name, _card(name, at).address, "z0", "r0") for at, name in enumerate(("o", "r"))]
        timing, codec = Timing(), Codec("sim", [KEY])
        self.origin = _origin(_card("o", 0), 300, timing, places[1:])
        self.relay = Relay(_context(_card("r", 1), timing, codec, seed), places[:1], places)
        self.put(self.origin)
        self.put(self.relay)
        self.children = [
            ProxyNode(
                _context(_card(f"p{at:05d}", at + 2), timing, codec, seed * 10_000 + at),
                places[1:],
                SimulatedConsumer(),
            )
            for at in range(children)
        ]
        for child in self.children:
            self.put(child)
        while not self.level:
            self.tick()
            if self.now > 600.0:
                raise TimeoutError(f"{children} children: not all have it after {self.now} s")

    @property
    def level(self) -> bool:
        """True if all have the newest."""
        return all(
            child.replica.applied_position == self.origin.replica.received_position for child in self.children
        )

    def push(self, changes: Changes, at: int) -> None:
        """One revision; what follows from it at once, without a tick."""
        self.origin.push(changes, RevisionMetadata(0.0, "sweep", "", f"t{at}"), self.now)
        self.send(self.origin, self.origin.flush())
        self.drain()


def relay(size: int, quick: bool, seed: int) -> dict[str, float]:
    """CPU of a relay with so many children: a second at rest, and a revision."""
    star = Star(size, seed)
    for _ in range(20):
        star.tick()
    rest, pushes = [], []
    for _ in range(REST_QUICK if quick else REST):
        before = star.took["r"]
        for _ in range(round(1.0 / TICK_INTERVAL_S)):
            star.tick()
        rest.append(star.took["r"] - before)
    for at in range(REVISIONS_QUICK if quick else REVISIONS):
        before = star.took["r"]
        star.push({f"shard/{at:06d}": random.Random(at).randbytes(VALUE)}, at)
        pushes.append(star.took["r"] - before)
        for _ in range(4):
            star.tick()
        if not star.level:
            raise TimeoutError(f"{size} children: a revision is not in force at all of them after 0.4 s")
    return {"relay_poll_cpu": statistics.median(rest), "relay_push_cpu": statistics.median(pushes)}


def relay_memory(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Bytes that a relay holds for so many children that poll it."""
    del quick
    places = [Endpoint(name, _card(name, at).address, "z0", "r0") for at, name in enumerate(("o", "r"))]
    codec = Codec("sim", [KEY])
    node = Relay(_context(_card("r", 1), Timing(), codec, seed), places[:1], places)
    node.tick(1.0)
    polls = []
    for at in range(size):
        card = _card(f"p{at:05d}", at + 2)
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


class Clocked(SimulatedFleet):
    """A simulated fleet that counts the CPU of its proxies' state machines."""

    proxy_took = 0.0

    def start(self, name: str, ahead: float = 0.0) -> None:
        """Start it, with a clock around what it does."""
        super().start(name, ahead)
        process: FleetProcess = self.processes[name]
        if process.role == "subscriber" and process.node is not None:
            node = process.node
            setattr(node, "tick", self._clocked(node.tick))  # noqa: B010
            setattr(node, "receive", self._clocked(node.receive))  # noqa: B010

    def _clocked(self, call: Callable[..., Result]) -> Callable[..., Result]:
        def clocked(*args: Any) -> Result:
            start = time.process_time()
            result = call(*args)
            self.proxy_took += time.process_time() - start
            return result

        return clocked


def fleet(size: int, quick: bool, seed: int) -> dict[str, float]:
    """What proxies and control send and compute at rest, and how long changes take, one machine each 104."""
    plan = scaled(size, seed=seed)
    fleet = Clocked(plan)
    fleet.converge(SETTLED + 20.0)  # all have gone home
    seconds = REST_QUICK if quick else REST
    proxies = [process.node for process in fleet.proxies if process.node is not None]
    everyone = [process.node for process in fleet.processes.values() if process.node is not None]
    own, sent = sum(node.sent_bytes for node in proxies), sum(node.sent_bytes for node in everyone)
    took: list[float] = []
    for _ in range(seconds):
        before = fleet.proxy_took
        fleet.run(fleet.now + 1.0)
        took.append(fleet.proxy_took - before)
    found = {
        "subscriber_rest_bytes": (sum(node.sent_bytes for node in proxies) - own) / seconds / size,
        "subscriber_rest_cpu": statistics.median(took) / size,
        "control_rest_bytes": (sum(node.sent_bytes for node in everyone) - sent) / seconds,
    }
    for at in range(REVISIONS_QUICK if quick else REVISIONS):
        fleet.push({f"shard/{at:06d}": value_of(at + 7)})
        fleet.run(fleet.now + 0.5)
    fleet.run(fleet.now + 3.0)
    if fleet.observer.lost():
        raise RuntimeError(f"changes were lost: {fleet.observer.broken}")
    latencies = sorted(fleet.observer.latencies)
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
