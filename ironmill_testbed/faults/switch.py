"""A switch that forwards all datagrams between real processes and applies the faults of a schedule.

In the configuration of each process, the address of every other process is a socket of the switch. A datagram
that arrives there is forwarded from the socket that represents its sender, so that no datagram
bypasses the switch.
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
STOP_CHECK_INTERVAL_S = 0.05  # between two checks for ``stop`` while no datagram arrives
RECEIVE_BUFFER_BYTES = 1 << 20
MAX_RECEIVE_BYTES = 2048


class Switch:
    """A switch that runs in a thread from ``start`` until ``stop``."""

    def __init__(self, names: Sequence[str]) -> None:
        """Opens a socket for each ordered pair of names. Raises ``OSError`` if that fails."""
        self.links = Links([], 0)
        self.schedule_start = time.monotonic()  # monotonic time at which the schedule of ``links`` starts
        self.forwarded = 0
        self.forwarded_bytes = 0
        self._addresses: dict[str, Address] = {}
        self._sockets: dict[tuple[str, str], socket.socket] = {}  # by the names of sender and target
        self._selector = selectors.DefaultSelector()
        for source in names:
            for target in names:
                if source != target:
                    self._sockets[source, target] = self._open_socket(source, target)
        self._delayed: list[tuple[float, int, str, str, bytes]] = []
        self._last_datagram = 0
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def set_address(self, name: str, address: Address) -> None:
        """Sets the address on which a process listens."""
        self._addresses[name] = address

    def address_for(self, source: str, target: str) -> Address:
        """Returns the address at which the source reaches the target."""
        host, port = self._sockets[source, target].getsockname()
        return host, port

    def start(self) -> None:
        """Starts to forward datagrams."""
        self._thread.start()

    def inject(self, links: Links) -> None:
        """Replaces the links and their faults, whose schedule starts now."""
        self.schedule_start = time.monotonic()
        self.links = links

    def stop(self) -> None:
        """Stops the thread and closes all sockets."""
        self._is_stopping = True
        if self._thread.is_alive():
            self._thread.join()
        for sock in self._sockets.values():
            sock.close()
        self._selector.close()

    def _open_socket(self, source: str, target: str) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((HOST, 0))
        sock.setblocking(False)
        self._selector.register(sock, selectors.EVENT_READ, (source, target))
        return sock

    def _run(self) -> None:
        while not self._is_stopping:
            now = time.monotonic()
            while self._delayed and self._delayed[0][0] <= now:
                _, _, source, target, data = heapq.heappop(self._delayed)
                self._forward(source, target, data)
            timeout_s = STOP_CHECK_INTERVAL_S
            if self._delayed:
                timeout_s = min(timeout_s, max(0.0, self._delayed[0][0] - now))
            for key, _ in self._selector.select(timeout_s):
                source, target = key.data
                self._receive(key.fileobj, source, target)  # type: ignore[arg-type]

    def _receive(self, sock: socket.socket, source: str, target: str) -> None:
        while True:
            try:
                data = sock.recv(MAX_RECEIVE_BYTES)
            except OSError:
                return
            now = time.monotonic()
            self.forwarded += 1
            self.forwarded_bytes += len(data)
            for delay_s, received in self.links.deliver(now - self.schedule_start, source, target, data):
                self._last_datagram += 1
                heapq.heappush(self._delayed, (now + delay_s, self._last_datagram, source, target, received))

    def _forward(self, source: str, target: str, data: bytes) -> None:
        address = self._addresses.get(target)
        if address is not None:
            with contextlib.suppress(OSError):  # the datagram is lost if the target does not run
                self._sockets[target, source].sendto(data, address)
