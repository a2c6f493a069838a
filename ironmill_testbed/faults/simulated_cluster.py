"""A simulated cluster on a virtual clock. Its members are the unchanged state machines of ironmill."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from msgspec import Struct

from ironmill.membership.codec import Codec
from ironmill.membership.config import MemberConfig
from ironmill.membership.events import Event, EventListener, MemberRemoved
from ironmill.membership.identity import Address, Datagram, MemberIdentity
from ironmill.membership.member import Member
from ironmill.membership.messages import MemberRecord
from ironmill.membership.timing import TICK_INTERVAL_S, Timing
from ironmill_testbed.faults.schedule import Fault, Links
from ironmill_testbed.faults.simulated_network import NetworkProcess, SimulatedNetwork

KEY = b"a key of the simulated cluster.."
CLUSTER = "sim"
START_UNIX_TIME_S = 1_700_000_000.0


class SimulatedMember(Protocol):
    """The interface that a simulated cluster needs of a member."""

    @property
    def identity(self) -> MemberIdentity:
        """The identity of the member."""

    @property
    def sent_bytes(self) -> int:
        """The bytes of all datagrams that it has sent."""

    def members(self) -> list[MemberRecord]:
        """Returns the records of the members in the view, by name."""

    def restore(self, records: Sequence[MemberRecord], now: float, /) -> None:
        """Sets the view from records that are known to be correct."""

    def tick(self, now: float, /) -> list[Datagram]:
        """Runs everything that is due; returns the datagrams to send."""

    def receive(self, data: bytes, source: Address, now: float, /) -> list[Datagram]:
        """Handles a datagram; returns the datagrams to send."""

    def leave(self, now: float, /) -> list[Datagram]:
        """Announces a graceful shutdown; returns the datagrams to send."""


MemberFactory = Callable[[MemberConfig, Codec, random.Random, float, EventListener], SimulatedMember]


class ClusterOptions(Struct, frozen=True):
    """Options of a simulated cluster besides its size, faults and seed."""

    timing: Timing = Timing()
    seed_members: int = 2
    zones: int = 3
    make_member: MemberFactory = Member  # ironmill's members, or those of a baseline


class ClusterEvent(Struct, frozen=True):
    """An event that one member has reported."""

    at_s: float
    observer: str
    event: Event


class SimulatedProcess(NetworkProcess):
    """The process of one member."""

    def __init__(self, name: str, zone: str, address: Address) -> None:
        """Creates a process that does not run yet."""
        super().__init__(name, zone, address)
        self.member: SimulatedMember | None = None

    def state_machine(self) -> SimulatedMember | None:
        """Returns the member, or None while the process does not run."""
        return self.member


class SimulatedCluster(SimulatedNetwork[SimulatedProcess]):
    """A cluster of simulated processes, each with one member."""

    def __init__(
        self,
        count: int,
        faults: Sequence[Fault] = (),
        seed: int = 1,
        options: ClusterOptions | None = None,
    ) -> None:
        """Creates ``count`` processes, none of which runs yet."""
        self.links = Links(list(faults), seed)
        super().__init__(self.links, TICK_INTERVAL_S)
        self._options = options or ClusterOptions()
        self.events: list[ClusterEvent] = []
        self._rng = random.Random(seed)
        for number in range(count):
            address = (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7000)
            self.add_process(SimulatedProcess(f"p{number:05d}", f"z{number % self._options.zones}", address))
        self._seeds = list(self._by_address)[: self._options.seed_members]
        for fault in faults:
            self.schedule_fault(fault, fault.names)

    # Time

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float | None:
        """Runs until a condition is true. Returns the seconds until then, or None after ``limit_s``."""
        start = self.now
        while self.now < start + limit_s:
            if condition():
                return self.now - start
            self.run(self.now + TICK_INTERVAL_S)
        return None

    # Processes

    def start(self, name: str, clock_offset_s: float = 0.0) -> None:
        """Starts or restarts a process, whose wall clock is ahead by ``clock_offset_s``."""
        process = self.processes[name]
        process.reset()
        unix_time_ms = int((START_UNIX_TIME_S + clock_offset_s + self.now) * 1000.0)
        identity = MemberIdentity(name, *process.address, process.zone, "r1", unix_time_ms + process.starts)
        process.member = self._options.make_member(
            MemberConfig(identity, self._options.timing, self._seeds),
            Codec(CLUSTER, [KEY]),
            random.Random(self._rng.random()),
            self.now,
            lambda event: self.events.append(ClusterEvent(self.now, name, event)),
        )
        first_tick_at = self.now + TICK_INTERVAL_S * self._rng.random()
        self.schedule(first_tick_at, self._tick, process, process.member)

    def start_all(self, within_s: float = 0.2) -> None:
        """Starts all processes at random times within ``within_s`` seconds."""
        for name in self.processes:
            self.schedule(self.now + within_s * self._rng.random(), self.start, name)

    def start_converged(self) -> None:
        """Starts all processes with the complete view, as in a cluster that has run for a long time."""
        for name in self.processes:
            self.start(name)
        records = [MemberRecord(member.identity, 2) for member in self.running_members()]
        for member in self.running_members():
            member.restore(records, self.now)
            self.events.clear()  # discards the events of this restore, one for each member of the cluster

    def kill(self, name: str) -> None:
        """Ends a process without a graceful shutdown."""
        self.processes[name].member = None

    def leave(self, name: str) -> None:
        """Shuts a process down gracefully."""
        process = self.processes[name]
        if process.member is not None:
            self._send(process, process.member.leave(self.now))
            process.member = None

    def pause(self, name: str, until: float) -> None:
        """Pauses a process until a time, as SIGSTOP and SIGCONT do."""
        self.processes[name].paused_until = until

    # Observations

    def running_members(self) -> list[SimulatedMember]:
        """Returns the members of all running processes, paused ones included."""
        return [process.member for process in self.processes.values() if process.member is not None]

    def views(self, names: Sequence[str] | None = None) -> set[tuple[str, ...]]:
        """Returns the distinct views of these members, by default of all running ones."""
        processes = self.processes.values() if names is None else [self.processes[name] for name in names]
        return {
            tuple(record.identity.name for record in process.member.members())
            for process in processes
            if process.member is not None
        }

    def agree(self, names: Sequence[str] | None = None, on: Sequence[str] | None = None) -> bool:
        """Returns True if the view of each named member is exactly ``on``, by default the named ones.

        Without ``names``, the views of all running members are compared.
        """
        if on is None:
            running = [process.name for process in self.processes.values() if process.member is not None]
            on = running if names is None else names
        return self.views(names) == {tuple(sorted(on))}

    def removals(self, since: float = 0.0) -> list[ClusterEvent]:
        """Returns the events in which a member removed another one from its view."""
        return [
            entry
            for entry in self.events
            if isinstance(entry.event, MemberRemoved)
            and entry.at_s >= since
            and entry.event.member != entry.observer
        ]
