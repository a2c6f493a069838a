"""A network of members on a virtual clock: the state machines of the program, unchanged, and nothing else."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from msgspec import Struct

from ironmill.membership.identity import Address, Datagram, MemberIdentity
from ironmill.membership.member import Member
from ironmill.membership.timing import TICK, Timing
from ironmill.membership.wire import Codec, Fact
from ironmill_testbed.faults.schedule import Fault, Links

KEY = b"a key of the simulated cluster.."
EPOCH = 1_700_000_000.0  # Unix time at the start of a story


class Runs(Protocol):
    """What the world asks of a member."""

    card: MemberIdentity
    sent_bytes: int

    def members(self) -> list[Fact]:
        """The view, by name."""

    def adopt(self, facts: Sequence[Fact], now: float, /) -> None:
        """Begin with a view that is known to hold."""

    def tick(self, now: float, /) -> list[Datagram]:
        """A tenth of a second is over."""

    def receive(self, data: bytes, source: Address, now: float, /) -> list[Datagram]:
        """A datagram came."""

    def leave(self, now: float, /) -> list[Datagram]:
        """It ends in an orderly way."""


Make = Callable[
    [
        MemberIdentity,
        Codec,
        Timing,
        Sequence[Address],
        random.Random,
        float,
        Callable[[str, dict[str, Any]], object],
    ],
    Runs,
]


class Event(Struct, frozen=True):
    """Something that a member told."""

    at: float
    name: str
    what: str
    fields: dict[str, Any]


class Node:
    """One process."""

    def __init__(self, name: str, zone: str, address: Address) -> None:
        self.name, self.zone, self.address = name, zone, address
        self.member: Runs | None = None
        self.starts = 0
        self.paused_until = 0.0
        self.waiting: deque[tuple[bytes, Address]] = deque(maxlen=2000)  # as a kernel holds them


class SimulatedCluster:
    """Members, links and the clock."""

    def __init__(
        self,
        count: int,
        faults: Sequence[Fault] = (),
        seed: int = 1,
        timing: Timing | None = None,
        seeds: int = 2,
        zones: int = 3,
        prefix: str = "p",
        make: Make = Member,
    ) -> None:
        """``make`` makes a member: those of the program, or of a baseline."""
        self._make = make
        self.now = 0.0
        self.events: list[Event] = []
        self.datagrams = 0
        self._rng = random.Random(seed)
        self.links = Links(list(faults), seed)
        self._timing = timing or Timing()
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0
        self.nodes: dict[str, Node] = {}
        self._by_address: dict[Address, Node] = {}
        for at in range(count):
            address = (f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}", 7000)
            node = Node(f"{prefix}{at:05d}", f"z{at % zones}", address)
            self.nodes[node.name] = self._by_address[node.address] = node
        self._seeds = [node.address for node in list(self.nodes.values())[:seeds]]
        for fault in faults:
            for name in fault.names:
                if fault.kind == "pause":
                    self.at(fault.start, self.pause, name, fault.end)
                elif fault.kind == "kill":
                    self.at(fault.start, self.kill, name)
                elif fault.kind == "start":
                    self.at(fault.start, self.start, name)

    # The story

    def at(self, time: float, action: Callable[..., None], *args: Any) -> None:
        """Do something at that time."""
        self._serial += 1
        heapq.heappush(self._heap, (time, self._serial, action, args))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._heap)
            action(*args)
        self.now = until

    def run_until(self, true: Callable[[], bool], limit: float) -> float | None:
        """Let time pass until something is true; the seconds it took, or None if it did not happen."""
        began = self.now
        while self.now < began + limit:
            if true():
                return self.now - began
            self.run(self.now + TICK)
        return None

    def start(self, name: str, ahead: float = 0.0) -> None:
        """Start the process, anew if it ran before, by a wall clock that is so many seconds ahead."""
        node = self.nodes[name]
        node.starts += 1
        card = MemberIdentity(
            name, *node.address, node.zone, "r1", int((EPOCH + ahead + self.now) * 1000.0) + node.starts
        )
        codec = Codec("sim", [KEY])
        node.waiting.clear()
        node.paused_until = 0.0
        node.member = self._make(
            card,
            codec,
            self._timing,
            self._seeds,
            random.Random(self._rng.random()),
            self.now,
            lambda what, fields: self.events.append(Event(self.now, name, what, fields)),
        )
        self.at(self.now + TICK * self._rng.random(), self._tick, node, node.member)

    def start_all(self, spread: float = 0.2) -> None:
        """All processes start within so many seconds."""
        for name in self.nodes:
            self.at(self.now + spread * self._rng.random(), self.start, name)

    def settle(self) -> None:
        """Begin as after a long time: all run, and each knows all."""
        for name in self.nodes:
            self.start(name)
        facts = [Fact(node.member.card, 2) for node in self.nodes.values() if node.member is not None]
        for node in self.nodes.values():
            if node.member is not None:
                node.member.adopt(facts, self.now)
                self.events.clear()  # of each at once: a million of them in a world of a thousand

    def kill(self, name: str) -> None:
        """End the process without a word."""
        self.nodes[name].member = None

    def leave(self, name: str) -> None:
        """End it in an orderly way."""
        node = self.nodes[name]
        if node.member is not None:
            self._send(node, node.member.leave(self.now))
            node.member = None

    def pause(self, name: str, until: float) -> None:
        """Stop it from running, as SIGSTOP does."""
        self.nodes[name].paused_until = until

    # What is seen

    def running(self) -> list[Runs]:
        """The members of processes that have not been killed."""
        return [node.member for node in self.nodes.values() if node.member is not None]

    def views(self, names: Sequence[str] | None = None) -> set[tuple[str, ...]]:
        """The different views that these have, or all that run."""
        nodes = self.nodes.values() if names is None else [self.nodes[name] for name in names]
        return {
            tuple(fact.card.name for fact in node.member.members())
            for node in nodes
            if node.member is not None
        }

    def agree(self, names: Sequence[str] | None = None, on: Sequence[str] | None = None) -> bool:
        """True if these all see exactly those (by default: themselves, or all that run)."""
        if on is None:
            on = names if names is not None else [n.name for n in self.nodes.values() if n.member is not None]
        return self.views(names) == {tuple(sorted(on))}

    def removals(self, since: float = 0.0) -> list[Event]:
        """Who was put out of whose view, but for itself."""
        return [
            event
            for event in self.events
            if event.what == "out" and event.at >= since and event.fields["member"] != event.name
        ]

    # The network

    def _tick(self, node: Node, member: Runs) -> None:
        if node.member is not member:
            return  # another process by now
        if self.now < node.paused_until:
            self.at(node.paused_until + 0.001, self._tick, node, member)
            return
        self._send(node, member.tick(self.now))
        while node.waiting:
            data, source = node.waiting.popleft()
            self._send(node, member.receive(data, source, self.now))
        self.at(self.now + TICK, self._tick, node, member)

    def _send(self, node: Node, datagrams: list[Datagram]) -> None:
        for address, data in datagrams:
            self.datagrams += 1
            target = self._by_address.get(address)
            if target is None:
                continue
            for delay, copy in self.links.carry(self.now, node.name, target.name, data):
                self.at(self.now + delay, self._arrive, target, copy, node.address)

    def _arrive(self, node: Node, data: bytes, source: Address) -> None:
        if node.member is None:
            return
        if self.now < node.paused_until:
            node.waiting.append((data, source))
            return
        self._send(node, node.member.receive(data, source, self.now))
