"""All datagrams between real members pass through here, and meet the schedule's faults on their way.

Each member is told where it finds each other one: at a socket of the switch, which passes on what comes to it
and sends as the other one what the other one says. No member's datagram goes anywhere else.
"""

from __future__ import annotations

import contextlib
import heapq
import selectors
import socket
import threading
import time
from collections.abc import Sequence

from ironmill.membership.identity import Address
from ironmill_testbed.faults.schedule import Links

HOST = "127.0.0.1"
LOOK = 0.05  # seconds without a datagram after which it looks whether it is to end
BUFFER = 1 << 20


class Switch:
    """Runs in a thread of its own from ``start`` until ``stop``."""

    def __init__(self, names: Sequence[str]) -> None:
        self.links = Links([], 0)
        self.began = time.monotonic()  # the schedule's zero
        self.carried = 0
        self.bytes = 0
        self._homes: dict[str, Address] = {}
        self._doors: dict[tuple[str, str], socket.socket] = {}  # by who sees it there, and whom
        self._selector = selectors.DefaultSelector()
        for seer in names:
            for seen in names:
                if seer != seen:
                    door = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    door.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
                    door.bind((HOST, 0))
                    door.setblocking(False)
                    self._doors[seer, seen] = door
                    self._selector.register(door, selectors.EVENT_READ, (seer, seen))
        self._waiting: list[tuple[float, int, str, str, bytes]] = []
        self._serial = 0
        self._ending = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def home(self, name: str, address: Address) -> None:
        """Where the member itself listens."""
        self._homes[name] = address

    def door(self, seer: str, seen: str) -> Address:
        """Where one member finds the other."""
        host, port = self._doors[seer, seen].getsockname()
        return host, port

    def start(self) -> None:
        """Pass datagrams on from now on."""
        self._thread.start()

    def play(self, links: Links) -> None:
        """From now on these faults, their times counted from now."""
        self.began = time.monotonic()
        self.links = links

    def stop(self) -> None:
        """End, and close all sockets."""
        self._ending = True
        if self._thread.is_alive():
            self._thread.join()
        for door in self._doors.values():
            door.close()
        self._selector.close()

    def _run(self) -> None:
        while not self._ending:
            now = time.monotonic()
            while self._waiting and self._waiting[0][0] <= now:
                _, _, source, target, data = heapq.heappop(self._waiting)
                self._pass_on(source, target, data)
            wait = LOOK if not self._waiting else min(LOOK, max(0.0, self._waiting[0][0] - now))
            for key, _ in self._selector.select(wait):
                source, target = key.data
                self._read(key.fileobj, source, target)  # type: ignore[arg-type]

    def _read(self, door: socket.socket, source: str, target: str) -> None:
        """What the source has sent to where it sees the target."""
        while True:
            try:
                data = door.recv(2048)
            except OSError:
                return
            now = time.monotonic()
            self.carried += 1
            self.bytes += len(data)
            for delay, copy in self.links.carry(now - self.began, source, target, data):
                self._serial += 1
                heapq.heappush(self._waiting, (now + delay, self._serial, source, target, copy))

    def _pass_on(self, source: str, target: str, data: bytes) -> None:
        home = self._homes.get(target)
        if home is not None:
            with contextlib.suppress(OSError):  # it is down: what is sent there is lost
                self._doors[target, source].sendto(data, home)
