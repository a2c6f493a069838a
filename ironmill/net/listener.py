"""Accepts clients' connections and starts a driver for each."""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable

from ironmill.net.sockets import Stream
from ironmill.scheduler import READ, Scheduler, Task

BACKLOG = 1024
AT_ONCE = 16  # accepted in one turn; the others run in between
PAUSE = 0.05  # when descriptors have run out
_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

log = logging.getLogger("ironmill.listener")


class Listener:
    """The listening socket."""

    def __init__(
        self, scheduler: Scheduler, address: tuple[str, int], take: Callable[[Stream], None],
        make: Callable[[Scheduler, socket.socket], Stream] = Stream, at_once: bool = True,
    ) -> None:
        """What comes before ``start`` waits to be accepted, where it is not to be ``at_once``."""
        self._scheduler = scheduler
        self._make = make
        self._take = take
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(BACKLOG)
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
            self._task = self._scheduler.spawn(self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        host, port = self._sock.getsockname()
        return host, port

    def close(self) -> None:
        """Take no more. What waits to be accepted is taken first, or it would be reset."""
        if self._sock.fileno() < 0:
            return  # guards against an accept that fails for ever: the second close found no socket
        self._scheduler.kill(self._task)
        while self._accept_one():
            pass
        self._scheduler.forget(self._sock.fileno())
        self._sock.close()

    def _accept(self) -> None:
        while True:
            self._scheduler.wait(self._sock.fileno(), READ)
            for _ in range(AT_ONCE):
                if not self._accept_one():
                    break

    def _accept_one(self) -> bool:
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno in _EXHAUSTED:
                # Guards against a busy loop: the waiting connection keeps the listener readable.
                log.warning("cannot accept: %s", error.strerror)
                if self._task is not None and not self._task.killed:
                    self._scheduler.sleep(PAUSE)
                return False
            return True  # that one connection broke before it was accepted
        try:
            self._take(self._make(self._scheduler, sock))
        except OSError as error:  # guards the accepting task: the connection broke at once
            log.info("a connection broke when it was accepted: %s", error)
            sock.close()
        return True
