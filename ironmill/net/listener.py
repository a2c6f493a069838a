"""Accepts connections and passes each to a callback.

Shared listeners take part in an upgrade: two processes listen at one address with ``SO_REUSEPORT``, and the
kernel distributes connections between them. The process that exits first has the kernel pass all new ones to
the other. The two processes do not communicate.
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
# Linux's socket options for a program of a SO_REUSEPORT group, which Python does not define, and the opcode
# of classic BPF that returns a constant.
_SO_ATTACH_REUSEPORT_CBPF = 51
_SO_DETACH_REUSEPORT_BPF = 68
_BPF_RETURN_CONSTANT = 0x06
_SUCCESSOR_INDEX = 1  # the group orders its sockets by when they began to listen

log = logging.getLogger("ironmill.listener")


class AcceptResult(Enum):
    """The result of one call of accept."""

    ACCEPTED = auto()
    EMPTY = auto()  # no connection waits
    FAILED = auto()  # connections may wait; accept has to be called again


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
        """Binds the address; connections wait in the kernel's queue until ``start``.

        ``shared``: another process may listen at the address; one that does so already is the predecessor and
        gets all connections until ``start``. Raises ``OSError`` if the address is not available.
        """
        self._scheduler = scheduler
        self._make_stream = make_stream
        self._on_connection = on_connection
        self._shared = shared
        self.has_predecessor = shared and _is_bound(address)
        self._log_limiter = LogRateLimiter()
        self._queued_since: float | None = None  # from when the next connection may have waited
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
        """The address that it is bound to."""
        host, port = self._sock.getsockname()
        return host, port

    def start(self) -> None:
        """Accepts from now on. Does nothing if it accepts already or is closed."""
        if self._task is not None or self._sock.fileno() < 0:
            return
        if self.has_predecessor:
            # Not in the constructor: the kernel would reset the connections queued here if the start failed.
            self._listen()
            # A program that an earlier upgrade left would pass this process's connections on.
            self._set_group_option(_SO_DETACH_REUSEPORT_BPF, struct.pack("i", 0))
        self._task = self._scheduler.spawn(self._accept)

    def yield_to_successor(self) -> None:
        """Passes all new connections to the process that was started after this one, if there is one.

        The kernel resets connections that are queued at a listener when it closes, and queues new ones there
        until then.
        """
        if self._shared and self._sock.fileno() >= 0:
            program = array("B", struct.pack("=HBBI", _BPF_RETURN_CONSTANT, 0, 0, _SUCCESSOR_INDEX))
            value = struct.pack("@HP", 1, program.buffer_info()[0])
            self._set_group_option(_SO_ATTACH_REUSEPORT_CBPF, value)

    def close(self, within: float = 0.0) -> None:
        """Accepts what is queued, which a close would reset, and closes. Further calls do nothing.

        Retries an accept that fails for ``within`` seconds, and parks then.
        """
        if self._sock.fileno() < 0:
            return
        self._scheduler.kill(self._task)
        if self._listening:
            self._empty_queue(time.monotonic() + within)
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
        with contextlib.suppress(OSError):  # without it the last connections before a close may be reset
            self._sock.setsockopt(socket.SOL_SOCKET, option, value)

    def _accept(self) -> None:
        while True:
            self._scheduler.wait(self._sock.fileno(), READ)
            for _ in range(MAX_ACCEPTS_PER_TURN):
                result = self._accept_one()
                if result is AcceptResult.EMPTY:
                    break
                if result is AcceptResult.FAILED:
                    # The queued connection keeps the socket readable, so the loop would not park otherwise.
                    self._scheduler.sleep(RETRY_INTERVAL_S)

    def _empty_queue(self, deadline: float) -> None:
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
            # Descriptors or memory are exhausted, or this connection broke; others may be queued behind it.
            skipped = self._log_limiter.allow()
            if skipped is not None:
                log.warning("cannot accept: %s (%d more since the last such line)", error.strerror, skipped)
            if self._queued_since is None:
                self._queued_since = time.monotonic()
            return AcceptResult.FAILED
        self._pass_on(sock)
        return AcceptResult.ACCEPTED

    def _pass_on(self, sock: socket.socket) -> None:
        try:
            stream = self._make_stream(self._scheduler, sock)
            if self._queued_since is not None and stream.has_unread():
                stream.queued_since = self._queued_since
            self._on_connection(stream)
        except OSError as error:
            log.info("a connection broke when it was accepted: %s", error)
            sock.close()
        except Exception:
            # The accepting task serves all later connections and must go on.
            log.exception("a connection failed when it was accepted")
            sock.close()


def _is_bound(address: tuple[str, int]) -> bool:
    """Returns True if another process listens at the address, which cannot be bound without sharing then."""
    with retry_at_start(socket.socket, socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError as error:
            return error.errno == errno.EADDRINUSE
    return False
