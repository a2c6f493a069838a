"""A stream socket whose waits park the task instead of the process."""

from __future__ import annotations

import contextlib
import errno
import math
import os
import select
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from ironmill.runtime.scheduler import READ, WRITE, Scheduler, Task
from ironmill.runtime.system_calls import (
    NOT_SENT_ERRNOS,
    RESOURCE_EXHAUSTED_ERRNOS,
    RETRY_INTERVAL_S,
    UnsentError,
)

CHUNK = 16 * 1024  # the most that is read at once, and so the most that is held for the other side
DISCARD = 64 * 1024  # the most that is read and thrown away of what a client sends after its last answer
TRIES_IN_A_ROW = 16  # of a call that fails for want of memory, where nobody may wait
READS_IN_A_ROW = 4  # of one connection; then the others have a turn
# While a write waits for its reader: between two looks whether who sent the bytes has ended, and from then on
# until it is given up. An end has to reach the other side within 1 s.
BLOCKED_LOOK = 0.25
BLOCKED_WAIT = 0.4
_LINGER_NONE = struct.pack("ii", 1, 0)


def _nothing() -> None:
    """Nobody waits for the close."""


class TimedOutError(Exception):
    """A wait on a socket took too long."""


class Stream:
    """A connected, non-blocking socket."""

    __slots__ = ("_scheduler", "_sock", "_unparked", "closed", "drained", "on_close", "waits_since")

    def __init__(self, scheduler: Scheduler, sock: socket.socket) -> None:
        self._scheduler = scheduler
        self._sock = sock
        self.closed = False
        self.on_close: Callable[[], object] = _nothing
        self._unparked = 0  # reads in a row that did not wait
        self.drained = False  # the last read took all that had come
        # Since when, on the monotonic clock, what is read first may have waited to be accepted, if it has.
        self.waits_since: float | None = None
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def __del__(self) -> None:
        """Guards other connections against a stream that nobody closed.

        Its descriptor's number comes again, and the scheduler would take that one for registered already.
        """
        if not getattr(self, "closed", True):
            self.closed = True
            self._scheduler.forget(self._sock.fileno())
            self._sock.close()

    @property
    def behind(self) -> bool:
        """True while something is held that the socket has not taken; a plain stream holds nothing."""
        return False

    def shake(self, deadline: float) -> None:
        """What comes before the first byte; nothing here."""

    def certificate(self) -> bytes | None:
        """The other side's certificate in DER, None if it showed none."""
        return None

    @classmethod
    def connect(
        cls, scheduler: Scheduler, address: tuple[str, int], timeout: float, source: str = ""
    ) -> Stream:
        """A new connection, from the address ``source`` if one is named.

        OSError if it is refused, TimedOutError if it does not come up in time, in seconds. UnsentError if it
        could not be begun on this side, and as many seconds did not change that.
        """
        give_up_at = time.monotonic() + timeout
        while True:
            try:
                return cls._connect_once(scheduler, address, timeout, source)
            except UnsentError:
                if time.monotonic() >= give_up_at:
                    raise
            scheduler.sleep(RETRY_INTERVAL_S)

    @classmethod
    def _connect_once(
        cls, scheduler: Scheduler, address: tuple[str, int], timeout: float, source: str
    ) -> Stream:
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            raise UnsentError(error.errno, error.strerror) from None
        stream = cls(scheduler, sock)
        try:
            if source:
                stream._sock.bind((source, 0))
            code = stream._sock.connect_ex(address)
            if code in NOT_SENT_ERRNOS:
                raise UnsentError(code, os.strerror(code))
            if code in (errno.EINPROGRESS, errno.EINTR):
                if not scheduler.wait(stream._sock.fileno(), WRITE, timeout):
                    raise TimedOutError
                code = stream._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
        except BaseException:  # also GreenletExit: the descriptor must not outlive a killed task
            stream.close()
            raise
        return stream

    def peer(self) -> str:
        """The address of the other side; empty where it is gone or has none."""
        try:
            name = self._sock.getpeername()
        except OSError:
            return ""
        return str(name[0]) if isinstance(name, tuple) else ""

    def receive(self, timeout: float | None = None) -> bytes:
        """Some bytes, none at the end; TimedOutError after the time-out, in seconds.

        Tries first, but for where the last read has just taken all there was.
        """
        if self._unparked >= READS_IN_A_ROW:
            # Guards the other tasks against a sender at full speed, whose reader would never wait.
            self._unparked = 0
            self._scheduler.sleep(0.0)
        in_time = True
        until = math.inf if timeout is None else time.monotonic() + timeout
        while True:
            if not self.drained or not in_time:
                try:
                    data = self._sock.recv(CHUNK)
                except BlockingIOError:
                    self._unparked = 0
                except OSError as error:
                    if error.errno not in RESOURCE_EXHAUSTED_ERRNOS:
                        raise
                    self._wait_out(until)
                    continue
                else:
                    self._unparked += 1
                    self.drained = 0 < len(data) < CHUNK
                    return data
                if not in_time:
                    raise TimedOutError
            in_time = self._scheduler.wait(self._sock.fileno(), READ, timeout)
            self.drained = False

    def _wait_out(self, until: float) -> None:
        """Park, for a call has failed for want of memory and the connection is sound. TimedOutError."""
        if time.monotonic() >= until:
            raise TimedOutError
        self._scheduler.sleep(RETRY_INTERVAL_S)

    def receive_now(self) -> bytes:
        """What has come by now, perhaps nothing."""
        for _ in range(TRIES_IN_A_ROW):
            try:
                return self._sock.recv(CHUNK)
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTED_ERRNOS:
                    break
        return b""

    def ended(self) -> bool:
        """True if the other side has ended or reset the connection, also behind bytes not read yet."""
        poll = select.poll()
        try:
            poll.register(self._sock.fileno(), select.POLLRDHUP)
        except ValueError:  # closed on this side
            return True
        return bool(poll.poll(0))

    def has_unread(self) -> bool:
        """True if bytes have come that were not read yet, or if that cannot be told just now."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError as error:  # else nothing, or no connection any more
            return error.errno in RESOURCE_EXHAUSTED_ERRNOS

    def stale(self) -> bool:
        """True if a kept connection is not to be asked on again: it ended, or holds what nobody asked for."""
        return self.ended() or self.has_unread()

    def when_readable(self, function: Callable[..., object], *args: Any) -> Task:
        """A task that begins once there is something to read, an end or an error among it."""
        self.drained = False
        return self._scheduler.spawn_when(self._sock.fileno(), READ, function, *args)

    def send_some(self, data: bytes | memoryview, timeout: float | None = None) -> int:
        """Write what the socket takes, waiting until it takes something."""
        until = math.inf if timeout is None else time.monotonic() + timeout
        while True:
            try:
                return self._sock.send(data)
            except BlockingIOError:
                pass
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTED_ERRNOS:
                    raise
                self._wait_out(until)
                continue
            if not self._scheduler.wait(self._sock.fileno(), WRITE, timeout):
                raise TimedOutError

    def send_now(self, data: bytes) -> int:
        """Write what the socket takes at once, perhaps nothing. Who closes next relies on all it can take."""
        sent = 0
        while sent < len(data):
            taken = self._push_now(data[sent:])
            if not taken:
                break
            sent += taken
        return sent

    def _push_now(self, data: bytes | bytearray) -> int:
        for _ in range(TRIES_IN_A_ROW):
            try:
                return self._sock.send(data)
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTED_ERRNOS:
                    raise
        return 0

    def send(self, data: bytes, timeout: float | None = None) -> None:
        """Write all of it."""
        rest = memoryview(data)
        while rest:
            rest = rest[self.send_some(rest, timeout) :]

    def flush(self, timeout: float | None = None) -> None:
        """Wait until the socket has taken what is held; a plain stream holds nothing."""

    def send_beside(self, data: bytes, source: Stream) -> None:
        """Write all of what came from the source, however slowly it is taken while the source stands.

        TimedOutError once the source has ended and for BLOCKED_WAIT nothing more was taken. Guards the end of
        the source, which nobody reads meanwhile: it lies behind bytes that wait for this write.
        """
        rest, give_up_at = memoryview(data), math.inf
        while rest or self.behind:
            try:
                if rest:
                    rest = rest[self.send_some(rest, BLOCKED_LOOK) :]
                else:
                    self.flush(BLOCKED_LOOK)
                give_up_at = math.inf
            except TimedOutError:
                if source.ended():
                    give_up_at = min(give_up_at, time.monotonic() + BLOCKED_WAIT)
                if time.monotonic() >= give_up_at:
                    raise

    def finish(self) -> None:
        """End the sending; the other direction stays."""
        with contextlib.suppress(OSError):  # the other side may be faster
            self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close it. No task may be waiting on it."""
        if not self.closed:
            self._scheduler.forget(self._sock.fileno())
        self.closed = True
        with contextlib.suppress(OSError):  # close(2): the descriptor is gone all the same
            self._sock.close()
        told, self.on_close = self.on_close, _nothing
        told()

    def close_now(self) -> None:
        """End the sending and close it without a wait. What has come is read first.

        Guards the last answer: a close over unread bytes resets the connection, and the reset overtakes it.
        """
        self.finish()
        left = DISCARD
        while left > 0 and (data := self.receive_now()):
            left -= len(data)
        self.close()

    def abort(self) -> None:
        """Close it with a reset, as a broken connection ends."""
        if not self.closed:
            with contextlib.suppress(OSError):  # it is broken already
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
            self.close()

    def close_gently(self, timeout: float) -> None:
        """End the sending and read to the other side's end, so that no reset overtakes the last bytes.

        Guards the processor: of a sender at full speed only so much is read and thrown away, and what
        it sends beyond that waits in the kernel until the close.
        """
        self.finish()
        deadline = time.monotonic() + timeout
        left = DISCARD
        try:
            while left > 0 and (data := self.receive(max(0.0, deadline - time.monotonic()))):
                left -= len(data)
            if left <= 0:
                self._scheduler.sleep(max(0.0, deadline - time.monotonic()))
        except (OSError, TimedOutError):
            pass
        finally:
            self.close_now()
