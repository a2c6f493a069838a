"""A network of members on a virtual clock: the state machines of the program, unchanged, and nothing else."""

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
        """Bytes of all datagrams so far."""

    def members(self) -> list[MemberRecord]:
        """Returns the records of the members in the view, by name."""

    def restore(self, records: Sequence[MemberRecord], now: float, /) -> None:
        """Starts from a view that is known to be true."""

    def tick(self, now: float, /) -> list[Datagram]:
        """Runs everything that is due."""

    def receive(self, data: bytes, source: Address, now: float, /) -> list[Datagram]:
        """Handles a datagram."""

    def leave(self, now: float, /) -> list[Datagram]:
        """Announces a graceful shutdown."""


MemberFactory = Callable[[MemberConfig, Codec, random.Random, float, EventListener], SimulatedMember]


class ClusterOptions(Struct, frozen=True):
    """What differs between simulated clusters beside their size, faults and seed."""

    timing: Timing = Timing()
    seed_members: int = 2
    zones: int = 3
    make_member: MemberFactory = Member  # those of the program, or of a baseline


class ClusterEvent(Struct, frozen=True):
    """An event of one member."""

    at_s: float
    observer: str
    event: Event


class SimulatedProcess(NetworkProcess):
    """The process of one member."""

    def __init__(self, name: str, zone: str, address: Address) -> None:
        """Starts without a running member."""
        super().__init__(name, zone, address)
        self.member: SimulatedMember | None = None

    def state_machine(self) -> SimulatedMember | None:
        """Returns the member."""
        return self.member


class SimulatedCluster(SimulatedNetwork[SimulatedProcess]):
    """The processes of a cluster of members."""

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
        for at in range(count):
            address = (f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}", 7000)
            self.add_process(SimulatedProcess(f"p{at:05d}", f"z{at % self._options.zones}", address))
        self._seeds = list(self._by_address)[: self._options.seed_members]
        for fault in faults:
            self.schedule_fault(fault, fault.names)

    # Time

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float | None:
        """Runs until a condition is true; returns the seconds that took, or None after ``limit_s``."""
        start = self.now
        while self.now < start + limit_s:
            if condition():
                return self.now - start
            self.run(self.now + TICK_INTERVAL_S)
        return None

    # Processes

    def start(self, name: str, clock_offset_s: float = 0.0) -> None:
        """Starts a process, or starts it again, with a wall clock that is ahead by ``clock_offset_s``."""
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
        """Starts all processes at random times within some seconds."""
        for name in self.processes:
            self.schedule(self.now + within_s * self._rng.random(), self.start, name)

    def start_converged(self) -> None:
        """Starts all processes with the complete view, as after a long time."""
        for name in self.processes:
            self.start(name)
        records = [MemberRecord(member.identity, 2) for member in self.running_members()]
        for member in self.running_members():
            member.restore(records, self.now)
            self.events.clear()  # of this member alone there are as many as members

    def kill(self, name: str) -> None:
        """Ends a process without notice."""
        self.processes[name].member = None

    def leave(self, name: str) -> None:
        """Shuts a process down gracefully."""
        process = self.processes[name]
        if process.member is not None:
            self._send(process, process.member.leave(self.now))
            process.member = None

    def pause(self, name: str, until: float) -> None:
        """Stops a process until a time, as SIGSTOP does."""
        self.processes[name].paused_until = until

    # Observations

    def running_members(self) -> list[SimulatedMember]:
        """Returns the members of the processes that have not ended."""
        return [process.member for process in self.processes.values() if process.member is not None]

    def views(self, names: Sequence[str] | None = None) -> set[tuple[str, ...]]:
        """Returns the different views of some members, by default of all that run."""
        processes = self.processes.values() if names is None else [self.processes[name] for name in names]
        return {
            tuple(record.identity.name for record in process.member.members())
            for process in processes
            if process.member is not None
        }

    def agree(self, names: Sequence[str] | None = None, on: Sequence[str] | None = None) -> bool:
        """Returns whether the views of some members are exactly ``on``, by default themselves."""
        if on is None:
            running = [process.name for process in self.processes.values() if process.member is not None]
            on = running if names is None else names
        return self.views(names) == {tuple(sorted(on))}

    def removals(self, since: float = 0.0) -> list[ClusterEvent]:
        """Returns the removals of members from the views of others."""
        return [
            one
            for one in self.events
            if isinstance(one.event, MemberRemoved) and one.at_s >= since and one.event.member != one.observer
        ]
