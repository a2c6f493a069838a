"""One UDP socket and one timer in the hub, for a state machine that is fed datagrams and the time.

Its work in a turn is bounded: so many datagrams are read, then the others have theirs.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from ironmill.membership.identity import Address, Datagram
from ironmill.membership.limits import MAX_DATAGRAM_BYTES
from ironmill.runtime.scheduler import READ, Scheduler, Task
from ironmill.runtime.system_calls import retry_at_start

AT_ONCE = 32  # datagrams read in one turn
# What comes while the process does not run waits in the kernel, so that nobody is taken for silent for it.
RECEIVE_BUFFER = 1 << 20

log = logging.getLogger("ironmill.datagrams")


class Machine(Protocol):
    """What is fed."""

    def tick(self, now: float) -> Sequence[Datagram]:
        """So much time is over."""

    def receive(self, data: bytes, source: Address, now: float) -> Sequence[Datagram]:
        """A datagram came."""


class Datagrams:
    """The socket. OSError where its address is not to be had."""

    def __init__(self, scheduler: Scheduler, listen: Address) -> None:
        self._scheduler = scheduler
        self._sock = retry_at_start(socket.socket, socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            retry_at_start(self._sock.bind, listen)
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)
        self._tasks: list[Task] = []

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self._sock.getsockname()
        return host, port

    def start(self, machine: Machine, every: float) -> None:
        """Feed it from now on."""
        self._tasks = [
            self._scheduler.spawn(self._read, machine),
            self._scheduler.spawn(self._tick, machine, every),
        ]

    def send(self, datagrams: Sequence[Datagram]) -> None:
        """Put these on their way; what the system does not take is lost like any other."""
        for address, data in datagrams:
            with contextlib.suppress(OSError):  # no route, no buffer
                self._sock.sendto(data, address)

    @property
    def closed(self) -> bool:
        """True after ``close``."""
        return self._sock.fileno() < 0

    def close(self) -> None:
        """What still comes is read no more."""
        for task in self._tasks:
            self._scheduler.kill(task)
        self._scheduler.forget(self._sock.fileno())
        self._sock.close()

    def _read(self, machine: Machine) -> None:
        while True:
            self._scheduler.wait(self._sock.fileno(), READ)
            for _ in range(AT_ONCE):
                try:
                    data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:
                    continue  # a port that was unreachable is told here; whoever is silent is found out
                self._guarded(machine.receive, data, source, time.monotonic())
            self._scheduler.sleep(0.0)

    def _tick(self, machine: Machine, every: float) -> None:
        while True:
            self._guarded(machine.tick, time.monotonic())
            self._scheduler.sleep(every)

    def _guarded(self, step: Callable[..., Sequence[Datagram]], *args: object) -> None:
        """Guards the machine against one datagram, or one tick, that it cannot deal with."""
        try:
            self.send(step(*args))
        except Exception:
            log.exception("a step on datagrams failed")
