"""Listener that accepts connections and passes each of them to a callback.

Shared listeners are used for upgrades: two processes listen on one address with ``SO_REUSEPORT``, and the
kernel distributes connections between them. Before the older process exits, it makes the kernel pass
all new connections to the newer one. The two processes do not communicate.
"""

from __future__ import annotations

import contextlib
import errno
import logging
import socket
import struct
import time
from array import array
from collections.abc import Callable
from enum import Enum, auto

from ironmill.net.sockets import Stream
from ironmill.runtime.rate_limited_log import LogRateLimiter
from ironmill.runtime.scheduler import READ, Scheduler, Task
from ironmill.runtime.system_calls import RETRY_INTERVAL_S, retry_at_start

BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 16
# Linux socket options that attach and detach the BPF program of a SO_REUSEPORT group, which Python does not
# define, and the classic BPF opcode that returns a constant.
_SO_ATTACH_REUSEPORT_CBPF = 51
_SO_DETACH_REUSEPORT_BPF = 68
_BPF_RETURN_CONSTANT = 0x06
_SUCCESSOR_INDEX = 1  # sockets of a group are indexed in the order in which they began to listen

log = logging.getLogger("ironmill.listener")


class AcceptResult(Enum):
    """The result of one call of accept."""

    ACCEPTED = auto()
    EMPTY = auto()  # no connection is queued
    FAILED = auto()  # connections may be queued; accept must be called again


class Listener:
    """A listening socket."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: tuple[str, int],
        on_connection: Callable[[Stream], None],
        *,
        shared: bool = False,
        make_stream: Callable[[Scheduler, socket.socket], Stream] = Stream,
    ) -> None:
        """Binds to the address; connections wait in the kernel's accept queue until ``start``.

        ``shared`` allows another process to listen on the address. One that already does is the predecessor
        and gets all connections until ``start``. Raises ``OSError`` if the address is not available.
        """
        self._scheduler = scheduler
        self._make_stream = make_stream
        self._on_connection = on_connection
        self._shared = shared
        self.has_predecessor = shared and _is_bound(address)
        self._log_limiter = LogRateLimiter()
        self._queued_since: float | None = None  # earliest time at which the next connection was queued
        self._task: Task | None = None
        self._sock = retry_at_start(socket.socket, socket.AF_INET, socket.SOCK_STREAM)
        self._listening = False
        try:
            self._bind(address)
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)

    @property
    def address(self) -> tuple[str, int]:
        """The local address that the socket is bound to."""
        host, port = self._sock.getsockname()
        return host, port

    def start(self) -> None:
        """Starts to accept connections. Does nothing if already started or closed."""
        if self._task is not None or self._sock.fileno() < 0:
            return
        if self.has_predecessor:
            # Not in the constructor: if the process failed to start, the kernel would reset the connections
            # that are queued at this socket.
            self._listen()
            # A BPF program left by an earlier upgrade would pass this process's connections to other sockets.
            self._set_group_option(_SO_DETACH_REUSEPORT_BPF, struct.pack("i", 0))
        self._task = self._scheduler.spawn(self._accept)

    def yield_to_successor(self) -> None:
        """Makes the kernel pass all new connections to the process started after this one, if there is one.

        Without this call the kernel would queue connections at this listener until it closes, and reset those
        that are still queued then.
        """
        if self._shared and self._sock.fileno() >= 0:
            program = array("B", struct.pack("=HBBI", _BPF_RETURN_CONSTANT, 0, 0, _SUCCESSOR_INDEX))
            value = struct.pack("@HP", 1, program.buffer_info()[0])
            self._set_group_option(_SO_ATTACH_REUSEPORT_CBPF, value)

    def close(self, within: float = 0.0) -> None:
        """Accepts the queued connections, which a close would reset, and closes. Further calls do nothing.

        Retries a failed accept for up to ``within`` seconds, and parks between the retries.
        """
        if self._sock.fileno() < 0:
            return
        self._scheduler.kill(self._task)
        if self._listening:
            self._accept_queued(time.monotonic() + within)
        self._scheduler.forget(self._sock.fileno())
        self._sock.close()

    def _bind(self, address: tuple[str, int]) -> None:
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._shared:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        retry_at_start(self._sock.bind, address)
        if not self.has_predecessor:
            self._listen()

    def _listen(self) -> None:
        retry_at_start(self._sock.listen, BACKLOG)
        self._queued_since = time.monotonic()
        self._listening = True

    def _set_group_option(self, option: int, value: bytes) -> None:
        with contextlib.suppress(OSError):  # on failure, the last connections before a close may be reset
            self._sock.setsockopt(socket.SOL_SOCKET, option, value)

    def _accept(self) -> None:
        while True:
            self._scheduler.wait(self._sock.fileno(), READ)
            for _ in range(MAX_ACCEPTS_PER_TURN):
                result = self._accept_one()
                if result is AcceptResult.EMPTY:
                    break
                if result is AcceptResult.FAILED:
                    # The queued connection keeps the socket readable, so that ``wait`` would not park.
                    self._scheduler.sleep(RETRY_INTERVAL_S)

    def _accept_queued(self, deadline: float) -> None:
        while True:
            result = self._accept_one()
            if result is AcceptResult.EMPTY:
                return
            if result is AcceptResult.FAILED:
                if time.monotonic() >= deadline:
                    return
                self._scheduler.sleep(RETRY_INTERVAL_S)

    def _accept_one(self) -> AcceptResult:
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            self._queued_since = None
            return AcceptResult.EMPTY
        except OSError as error:
            # Descriptors or memory are exhausted, or this connection was aborted; others may be queued.
            suppressed = self._log_limiter.allow()
            if suppressed is not None:
                log.warning(
                    "accepting a connection failed: %s (%d similar messages suppressed)",
                    error.strerror,
                    suppressed,
                )
            if self._queued_since is None:
                self._queued_since = time.monotonic()
            return AcceptResult.FAILED
        self._hand_over(sock)
        return AcceptResult.ACCEPTED

    def _hand_over(self, sock: socket.socket) -> None:
        try:
            stream = self._make_stream(self._scheduler, sock)
            if self._queued_since is not None and stream.has_unread():
                stream.queued_since = self._queued_since
            self._on_connection(stream)
        except OSError as error:
            log.info("accepted connection is already broken: %s", error)
            sock.close()
        except Exception:
            # The accepting task is needed for all later connections and must not end.
            log.exception("unexpected error in setting up an accepted connection")
            sock.close()


def _is_bound(address: tuple[str, int]) -> bool:
    """Returns True if the address is in use by another socket, so that an unshared bind fails."""
    with retry_at_start(socket.socket, socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError as error:
            return error.errno == errno.EADDRINUSE
    return False
