"""A virtual clock, and simulated processes whose state machines exchange datagrams on it."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Generic, Protocol, TypeVar

from ironmill.membership.identity import Address, Datagram
from ironmill_testbed.faults.schedule import Fault

MAX_QUEUED_DATAGRAMS = 2000  # in the receive buffer of a paused process
RESUME_DELAY_S = 0.001  # from the end of a pause to the first tick


class StateMachine(Protocol):
    """A state machine that receives datagrams and the time."""

    def tick(self, now: float, /) -> list[Datagram]:
        """Runs everything that is due; returns the datagrams to send."""

    def receive(self, data: bytes, source: Address, now: float, /) -> list[Datagram]:
        """Handles a datagram; returns the datagrams to send."""


class NetworkLinks(Protocol):
    """The links between processes."""

    def deliver(self, now: float, source: str, target: str, data: bytes) -> Iterable[tuple[float, bytes]]:
        """Returns the copies of a datagram that arrive, each with its delay in seconds."""


class NetworkProcess:
    """A process that can be started, paused, killed and restarted."""

    def __init__(self, name: str, zone: str, address: Address) -> None:
        """Creates a process that does not run yet."""
        self.name = name
        self.zone = zone
        self.address = address
        self.starts = 0
        self.paused_until = 0.0
        self.queue: deque[tuple[bytes, Address]] = deque(maxlen=MAX_QUEUED_DATAGRAMS)
        self.received_bytes = 0  # since the last start

    def state_machine(self) -> StateMachine | None:
        """Returns the state machine, or None while the process does not run."""
        raise NotImplementedError

    def reset(self) -> None:
        """Discards the state of the previous run, before a start."""
        self.starts += 1
        self.queue.clear()
        self.paused_until = 0.0
        self.received_bytes = 0


Process = TypeVar("Process", bound=NetworkProcess)


class SimulatedNetwork(Generic[Process]):
    """Simulated processes, the links between them and the virtual clock."""

    def __init__(self, links: NetworkLinks, tick_interval_s: float) -> None:
        """Creates a network without processes. Each state machine ticks every ``tick_interval_s``."""
        self.now = 0.0
        self.datagrams = 0
        self.processes: dict[str, Process] = {}
        self._network_links = links
        self._tick_interval_s = tick_interval_s
        self._by_address: dict[Address, Process] = {}
        self._actions: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0

    def add_process(self, process: Process) -> None:
        """Adds a process, which receives the datagrams to its address."""
        self.processes[process.name] = process
        self._by_address[process.address] = process

    def schedule(self, at_s: float, action: Callable[..., None], *args: Any) -> None:
        """Calls an action at a time of the virtual clock."""
        self._serial += 1
        heapq.heappush(self._actions, (at_s, self._serial, action, args))

    def run(self, until: float) -> None:
        """Runs all actions until a time of the virtual clock."""
        actions = self._actions
        while actions and actions[0][0] <= until:
            self.now, _, action, args = heapq.heappop(actions)
            action(*args)
        self.now = until

    def start(self, name: str, clock_offset_s: float = 0.0) -> None:
        """Starts or restarts a process, whose wall clock is ahead by ``clock_offset_s``."""
        raise NotImplementedError

    def kill(self, name: str) -> None:
        """Ends a process without a graceful shutdown."""
        raise NotImplementedError

    def pause(self, name: str, until: float) -> None:
        """Pauses a process until a time, as SIGSTOP and SIGCONT do."""
        raise NotImplementedError

    def schedule_fault(self, fault: Fault, names: Iterable[str]) -> None:
        """Schedules the pauses, kills and starts of a fault. Faults of links are applied by the links."""
        for name in names:
            if fault.kind == "pause":
                self.schedule(fault.start, self.pause, name, fault.end)
            elif fault.kind == "kill":
                self.schedule(fault.start, self.kill, name)
            elif fault.kind == "start":
                self.schedule(fault.start, self.start, name)

    def _tick(self, process: Process, machine: StateMachine) -> None:
        if process.state_machine() is not machine:
            return  # the process was killed or restarted
        if self.now < process.paused_until:
            self.schedule(process.paused_until + RESUME_DELAY_S, self._tick, process, machine)
            return
        self._send(process, machine.tick(self.now))
        while process.queue:
            data, source = process.queue.popleft()
            self._send(process, machine.receive(data, source, self.now))
        self.schedule(self.now + self._tick_interval_s, self._tick, process, machine)

    def _send(self, process: Process, datagrams: list[Datagram]) -> None:
        for address, data in datagrams:
            self.datagrams += 1
            target = self._by_address.get(address)
            if target is None:
                continue
            for delay, received in self._network_links.deliver(self.now, process.name, target.name, data):
                self.schedule(self.now + delay, self._arrive, target, received, process.address)

    def _arrive(self, process: Process, data: bytes, source: Address) -> None:
        machine = process.state_machine()
        if machine is None:
            return
        process.received_bytes += len(data)
        if self.now < process.paused_until:
            process.queue.append((data, source))
            return
        self._send(process, machine.receive(data, source, self.now))
