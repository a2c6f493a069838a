"""Runs a datagram protocol, implemented as a state machine, on a UDP socket of the scheduler."""

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

MAX_DATAGRAMS_PER_TURN = 32  # received before other tasks run
RECEIVE_BUFFER_BYTES = 1 << 20  # holds datagrams that arrive while the process is paused

log = logging.getLogger("ironmill.datagrams")


class DatagramMachine(Protocol):
    """A protocol state machine without I/O. Both methods return the datagrams to send."""

    def tick(self, now: float) -> Sequence[Datagram]:
        """Runs all timed actions that are due."""

    def receive(self, data: bytes, source: Address, now: float) -> Sequence[Datagram]:
        """Handles a received datagram."""


class Datagrams:
    """A bound UDP socket and the tasks that connect it to a state machine."""

    def __init__(self, scheduler: Scheduler, listen: Address) -> None:
        """Binds the socket. Raises ``OSError`` if that fails."""
        self._scheduler = scheduler
        self._sock = retry_at_start(socket.socket, socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            retry_at_start(self._sock.bind, listen)
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)
        self._tasks: list[Task] = []

    @property
    def address(self) -> Address:
        """The address that the socket is bound to."""
        host, port = self._sock.getsockname()
        return host, port

    def start(self, machine: DatagramMachine, tick_interval_s: float) -> None:
        """Starts the tasks that feed the machine with datagrams and ticks."""
        self._tasks = [
            self._scheduler.spawn(self._receive_forever, machine),
            self._scheduler.spawn(self._tick_forever, machine, tick_interval_s),
        ]

    def send(self, datagrams: Sequence[Datagram]) -> None:
        """Sends datagrams. One that the kernel rejects is dropped, as if lost in the network."""
        for address, data in datagrams:
            with contextlib.suppress(OSError):  # no route or no buffer space
                self._sock.sendto(data, address)

    @property
    def closed(self) -> bool:
        """Whether the socket has been closed."""
        return self._sock.fileno() < 0

    def close(self) -> None:
        """Ends the tasks and closes the socket."""
        for task in self._tasks:
            self._scheduler.kill(task)
        self._scheduler.forget(self._sock.fileno())
        self._sock.close()

    def _receive_forever(self, machine: DatagramMachine) -> None:
        while True:
            self._scheduler.wait(self._sock.fileno(), READ)
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                try:
                    data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:
                    continue  # ICMP port unreachable for a sent datagram; the machine detects lost peers
                self._step(machine.receive, data, source, time.monotonic())
            self._scheduler.sleep(0.0)

    def _tick_forever(self, machine: DatagramMachine, interval_s: float) -> None:
        while True:
            self._step(machine.tick, time.monotonic())
            self._scheduler.sleep(interval_s)

    def _step(self, step: Callable[..., Sequence[Datagram]], *args: object) -> None:
        """Runs one step of the machine and sends its datagrams. An exception ends only that step."""
        try:
            self.send(step(*args))
        except Exception:
            log.exception("handling a datagram or tick failed")
