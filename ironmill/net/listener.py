"""Accepts clients' connections and starts a driver for each.

A shared listener takes part in an upgrade: two processes listen at one address (``SO_REUSEPORT``), the
kernel deals the connections out between them, and the one that ends first asks it to send them all to the
other. Nothing is handed over and neither process talks to the other.
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
AT_ONCE = 16  # accepted in one turn; the others run in between
# Linux's options of a group of sockets at one address, which Python does not name; a program in classic BPF.
_ATTACH_PROGRAM, _DETACH_PROGRAM = 51, 68
_RETURN = 0x06

log = logging.getLogger("ironmill.listener")


class Accepted(Enum):
    """What a try to accept came to."""

    ONE = auto()
    NOTHING = auto()  # nobody waits
    FAILED = auto()  # somebody may wait; it is to be tried again


class Listener:
    """The listening socket."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: tuple[str, int],
        take: Callable[[Stream], None],
        make: Callable[[Scheduler, socket.socket], Stream] = Stream,
        at_once: bool = True,
        shared: bool = False,
    ) -> None:
        """What comes before ``start`` waits to be accepted, where it is not to be ``at_once``.

        ``shared``: another process may listen there, and one that does already serves alone until ``start``.
        """
        self._scheduler = scheduler
        self._make = make
        self._take = take
        self._shared = shared
        self.succeeds = shared and _taken(address)  # another process listens there
        self._failures = LogRateLimiter()
        self._queued_since: float | None = None  # how long whoever is accepted next may have waited
        self._sock = retry_at_start(socket.socket, socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            retry_at_start(self._sock.bind, address)
            self._listens = not self.succeeds
            if self._listens:
                self._listen()
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)
        self._task: Task | None = None
        if at_once:
            self.start()

    def start(self) -> None:
        """Accept from now on. A second time, or after the close, changes nothing."""
        if self._task is None and self._sock.fileno() >= 0:
            if self.succeeds:
                # Not before: what the kernel sent here would be reset if the start failed.
                self._listen()
                self._listens = True
                self._ask_kernel(_DETACH_PROGRAM, struct.pack("i", 0))  # what an earlier upgrade left
            self._task = self._scheduler.spawn(self._accept)

    def _listen(self) -> None:
        retry_at_start(self._sock.listen, BACKLOG)
        self._queued_since = time.monotonic()

    def give_way(self) -> None:
        """From now on all new connections go to the process that was started after this one, if there is one.

        Guards those under way against the close: the kernel resets what waits at a listener that closes, and
        goes on sending it connections until then. The group keeps its sockets in the order in which they
        began to listen, so the successor is the second; where there is none all goes on as before.
        """
        if self._shared and self._sock.fileno() >= 0:
            code = array("B", struct.pack("=HBBI", _RETURN, 0, 0, 1))
            self._ask_kernel(_ATTACH_PROGRAM, struct.pack("@HP", 1, code.buffer_info()[0]))

    def _ask_kernel(self, option: int, value: bytes) -> None:
        with contextlib.suppress(OSError):  # not to be had: the last connections before a close may be reset
            self._sock.setsockopt(socket.SOL_SOCKET, option, value)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        host, port = self._sock.getsockname()
        return host, port

    def close(self, within: float = 0.0) -> None:
        """Take no more. What waits to be accepted is taken first, or it would be reset.

        An accept that fails is tried again for so many seconds; this parks then.
        """
        if self._sock.fileno() < 0:
            return  # guards against an accept that fails for ever: the second close found no socket
        self._scheduler.kill(self._task)
        until = time.monotonic() + within
        while self._listens:
            accepted = self._accept_one()
            if accepted is Accepted.NOTHING:
                break
            if accepted is Accepted.FAILED:
                if time.monotonic() >= until:
                    break
                self._scheduler.sleep(RETRY_INTERVAL_S)
        self._scheduler.forget(self._sock.fileno())
        self._sock.close()

    def _accept(self) -> None:
        while True:
            self._scheduler.wait(self._sock.fileno(), READ)
            for _ in range(AT_ONCE):
                accepted = self._accept_one()
                if accepted is Accepted.NOTHING:
                    break
                if accepted is Accepted.FAILED:
                    # Guards against a busy loop: the waiting connection keeps the listener readable. No
                    # longer, for whoever waits there waits for its answer, too.
                    self._scheduler.sleep(RETRY_INTERVAL_S)

    def _accept_one(self) -> Accepted:
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            self._queued_since = None
            return Accepted.NOTHING
        except OSError as error:
            # Descriptors or memory have run out, or that one connection broke before it was accepted. Neither
            # says anything about those behind it.
            left_out = self._failures.allow()
            if left_out is not None:
                log.warning("cannot accept: %s (%d more since the last such line)", error.strerror, left_out)
            if self._queued_since is None:
                self._queued_since = time.monotonic()
            return Accepted.FAILED
        try:
            stream = self._make(self._scheduler, sock)
            if self._queued_since is not None and stream.has_unread():
                stream.queued_since = self._queued_since
            self._take(stream)
        except OSError as error:  # guards the accepting task: the connection broke at once
            log.info("a connection broke when it was accepted: %s", error)
            sock.close()
        except Exception:  # guards all connections that come later against one at which the program fails
            log.exception("a connection failed when it was accepted")
            sock.close()
        return Accepted.ONE


def _taken(address: tuple[str, int]) -> bool:
    """True if another process listens at the address: without sharing it cannot be had."""
    with retry_at_start(socket.socket, socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError as error:
            return error.errno == errno.EADDRINUSE
    return False
