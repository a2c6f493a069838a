"""A non-blocking stream socket whose waits park the calling task instead of the process."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import math
import os
import select
import socket
import struct
import termios
import time
from collections.abc import Callable

from ironmill.errors import IronmillError
from ironmill.runtime.scheduler import READ, WRITE, Scheduler, Task
from ironmill.runtime.system_calls import (
    NOT_SENT_ERRNOS,
    RESOURCE_EXHAUSTED_ERRNOS,
    RETRY_INTERVAL_S,
    UnsentError,
)

READ_BYTES = 16 * 1024  # maximum of one read; bounds the data buffered for the other side of a relay
MAX_DISCARDED_BYTES = 64 * 1024  # maximum that is read and discarded after the final answer
MAX_IMMEDIATE_RETRIES = 16  # retries of a call that fails for lack of memory and must not park
MAX_READS_WITHOUT_YIELD = 4  # consecutive reads of one connection before its task yields to others
# A write that is blocked by its peer checks at this interval whether the source has closed. If it has, the
# write fails after the timeout, because the close must reach the other side within 1 s.
BLOCKED_WRITE_CHECK_INTERVAL_S = 0.25
BLOCKED_WRITE_TIMEOUT_S = 0.4
# A peer that has been reading while writes were blocked gets this time to read on. Its system acknowledges
# data in steps, between which a slow reader takes some seconds.
SLOW_READER_TIMEOUT_S = 4.0
_OUTPUT_QUEUE = struct.Struct("i")  # result of the ioctl TIOCOUTQ
_LINGER_RESET = struct.pack("ii", 1, 0)  # struct linger: on, with a timeout of 0, so that a close resets


def _ignore_close() -> None:
    """Does nothing; the default of ``Stream.on_close``."""


class TimedOutError(IronmillError):
    """A wait on a socket exceeded its timeout."""


class Stream:
    """A connected, non-blocking socket."""

    __slots__ = (
        "_immediate_reads",
        "_read_by_peer_at",
        "_scheduler",
        "_sock",
        "closed",
        "on_close",
        "queued_since",
        "recv_buffer_empty",
    )

    def __init__(self, scheduler: Scheduler, sock: socket.socket) -> None:
        """Takes ownership of a connected socket and makes it non-blocking."""
        self._scheduler = scheduler
        self._sock = sock
        self.closed = False
        self.on_close: Callable[[], object] = _ignore_close
        self._immediate_reads = 0  # consecutive reads that did not park
        self._read_by_peer_at = -math.inf  # when the peer was last seen to read while a write was blocked
        self.recv_buffer_empty = False  # True if the last read emptied the socket's receive buffer
        # The earliest monotonic time at which bytes may have arrived while the connection was not accepted.
        self.queued_since: float | None = None
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def __del__(self) -> None:
        """Closes a stream that its owner dropped without closing it.

        The kernel reuses the descriptor number, which the scheduler would still hold as registered.
        """
        if not getattr(self, "closed", True):
            self.closed = True
            self._scheduler.forget(self._sock.fileno())
            self._sock.close()

    @property
    def has_backpressure(self) -> bool:
        """True while written data is buffered until the socket takes it; a plain stream has no buffer."""
        return False

    def handshake(self, deadline: float) -> None:
        """Performs the handshake that precedes the first data byte; does nothing on a plain stream."""

    def peer_certificate(self) -> bytes | None:
        """Returns the peer's certificate in DER; None if it presented none."""
        return None

    @classmethod
    def connect(
        cls, scheduler: Scheduler, address: tuple[str, int], timeout: float, source: str = ""
    ) -> Stream:
        """Opens a connection, from the local address ``source`` if it is not empty.

        Raises ``OSError`` if it is refused, ``TimedOutError`` after ``timeout`` seconds, and ``UnsentError``
        if connect failed locally until then, before anything was sent.
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
        except BaseException:  # also GreenletExit: a killed task must not leak the descriptor
            stream.close()
            raise
        return stream

    def peer_address(self) -> str:
        """Returns the peer's IP address; empty if the peer has disconnected or has no address."""
        try:
            name = self._sock.getpeername()
        except OSError:
            return ""
        return str(name[0]) if isinstance(name, tuple) else ""

    def receive(self, timeout: float | None = None) -> bytes:
        """Returns received bytes, none at the end of the stream.

        Tries to read before it parks, unless the last read emptied the socket's receive buffer. Raises
        ``TimedOutError`` after ``timeout`` seconds.
        """
        if self._immediate_reads >= MAX_READS_WITHOUT_YIELD:
            # Otherwise a task that reads from a fast sender would never park and no other task would run.
            self._immediate_reads = 0
            self._scheduler.sleep(0.0)
        in_time = True
        deadline = math.inf if timeout is None else time.monotonic() + timeout
        while True:
            if not self.recv_buffer_empty or not in_time:
                try:
                    data = self._sock.recv(READ_BYTES)
                except BlockingIOError:
                    self._immediate_reads = 0
                except OSError as error:
                    if error.errno not in RESOURCE_EXHAUSTED_ERRNOS:
                        raise
                    self._sleep_before_retry(deadline)
                    continue
                else:
                    self._immediate_reads += 1
                    self.recv_buffer_empty = 0 < len(data) < READ_BYTES
                    return data
                if not in_time:
                    raise TimedOutError
            in_time = self._scheduler.wait(self._sock.fileno(), READ, timeout)
            self.recv_buffer_empty = False

    def _sleep_before_retry(self, deadline: float) -> None:
        """Parks after a call failed for lack of memory. Raises ``TimedOutError`` after the deadline."""
        if time.monotonic() >= deadline:
            raise TimedOutError
        self._scheduler.sleep(RETRY_INTERVAL_S)

    def receive_nowait(self) -> bytes:
        """Returns bytes that have been received, without parking; empty if there are none."""
        return self._recv_nowait(READ_BYTES) or b""

    def _recv_nowait(self, size: int, flags: int = 0) -> bytes | None:
        """Returns received bytes, possibly none; None if lack of memory makes every retry fail."""
        for _ in range(MAX_IMMEDIATE_RETRIES):
            try:
                return self._sock.recv(size, flags)
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTED_ERRNOS:
                    return b""  # no bytes have arrived, or the connection is broken
        return None

    def is_closed_by_peer(self) -> bool:
        """Returns True if the peer has closed or reset the connection, even if unread bytes precede that."""
        return bool(self._poll_end())

    def is_reset(self) -> bool:
        """Returns True if the connection is broken, even if unread bytes precede that."""
        return bool(self._poll_end() & (select.POLLERR | select.POLLNVAL))

    def _poll_end(self) -> int:
        """Returns the poll(2) events that tell of the connection's end; 0 if it has not ended."""
        poll = select.poll()
        try:
            poll.register(self._sock.fileno(), select.POLLRDHUP)
        except ValueError:  # closed locally
            return select.POLLNVAL
        return sum(events for _, events in poll.poll(0))

    def has_unread(self) -> bool:
        """Returns True if there are unread received bytes, or if lack of memory prevents the check."""
        data = self._recv_nowait(1, socket.MSG_PEEK)
        return data is None or bool(data)

    def unacknowledged_bytes(self) -> int:
        """Returns how many written bytes the peer's system has not acknowledged, 0 if that is not known."""
        buffer = bytearray(_OUTPUT_QUEUE.size)
        try:
            fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, buffer)
        except (OSError, ValueError):  # not a TCP socket, or closed
            return 0
        return int(_OUTPUT_QUEUE.unpack(buffer)[0])

    def is_stale(self) -> bool:
        """Returns True if a cached connection must not be reused: it has ended or holds unexpected bytes."""
        return self.is_closed_by_peer() or self.has_unread()

    def spawn_when_readable(self, function: Callable[..., object], *args: object) -> Task:
        """Starts a task once the socket is readable, which includes its end and errors."""
        self.recv_buffer_empty = False
        return self._scheduler.spawn_when(self._sock.fileno(), READ, function, *args)

    def send_some(self, data: bytes | memoryview, timeout: float | None = None) -> int:
        """Writes what the socket takes, parking until it takes at least one byte; returns the byte count."""
        deadline = math.inf if timeout is None else time.monotonic() + timeout
        while True:
            try:
                return self._sock.send(data)
            except BlockingIOError:
                pass
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTED_ERRNOS:
                    raise
                self._sleep_before_retry(deadline)
                continue
            if not self._scheduler.wait(self._sock.fileno(), WRITE, timeout):
                raise TimedOutError

    def send_nowait(self, data: bytes) -> int:
        """Writes as much as the socket takes without parking; returns the byte count, possibly 0."""
        sent = 0
        while sent < len(data):
            written = self._send_once_nowait(data[sent:])
            if not written:
                break
            sent += written
        return sent

    def _send_once_nowait(self, data: bytes | bytearray) -> int:
        for _ in range(MAX_IMMEDIATE_RETRIES):
            try:
                return self._sock.send(data)
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTED_ERRNOS:
                    raise
        return 0

    def send(self, data: bytes, timeout: float | None = None) -> None:
        """Writes all data. Raises ``TimedOutError`` if the socket takes nothing for ``timeout`` seconds."""
        unsent = memoryview(data)
        while unsent:
            unsent = unsent[self.send_some(unsent, timeout) :]

    def flush(self, timeout: float | None = None) -> None:
        """Waits until the socket has taken the buffered data; a plain stream buffers nothing."""

    def send_from(self, data: bytes, source: Stream) -> None:
        """Writes all data that was read from ``source``, however slowly the peer reads.

        Raises ``TimedOutError`` once the source has closed and the peer has read nothing for
        ``BLOCKED_WRITE_TIMEOUT_S``, or for ``SLOW_READER_TIMEOUT_S`` if it was reading before and the source
        has closed in order. The source is not read during the write, so its close would go unnoticed without
        this check.
        """
        unsent = memoryview(data)
        unacknowledged_bytes = self.unacknowledged_bytes()
        is_blocked = False
        give_up_at = math.inf
        while unsent or self.has_backpressure:
            try:
                if unsent:
                    unsent = unsent[self.send_some(unsent, BLOCKED_WRITE_CHECK_INTERVAL_S) :]
                else:
                    self.flush(BLOCKED_WRITE_CHECK_INTERVAL_S)
                has_progressed = is_blocked
                is_blocked = False
                give_up_at = math.inf
            except TimedOutError:
                is_blocked = True
                previous_bytes = unacknowledged_bytes
                unacknowledged_bytes = self.unacknowledged_bytes()
                has_progressed = unacknowledged_bytes < previous_bytes
                if source.is_closed_by_peer():
                    give_up_at = min(give_up_at, time.monotonic() + BLOCKED_WRITE_TIMEOUT_S)
                if time.monotonic() >= give_up_at and (source.is_reset() or not self._is_slow_reader()):
                    raise
            if has_progressed:
                self._read_by_peer_at = time.monotonic()

    def _is_slow_reader(self) -> bool:
        """Returns True if the peer was seen to read while a write was blocked, not long ago."""
        return time.monotonic() - self._read_by_peer_at < SLOW_READER_TIMEOUT_S

    def shutdown_write(self) -> None:
        """Shuts down the sending direction; the receiving direction stays open."""
        with contextlib.suppress(OSError):  # the peer may have closed already
            self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the socket and calls ``on_close``. No task may be waiting on the socket."""
        if not self.closed:
            self._scheduler.forget(self._sock.fileno())
        self.closed = True
        with contextlib.suppress(OSError):  # close(2) releases the descriptor even if it fails
            self._sock.close()
        on_close = self.on_close
        self.on_close = _ignore_close
        on_close()

    def close_immediately(self) -> None:
        """Shuts down the sending direction, discards the received bytes and closes, without parking.

        A close with unread bytes would reset the connection, and the peer might lose the final answer.
        """
        self.shutdown_write()
        remaining_bytes = MAX_DISCARDED_BYTES
        while remaining_bytes > 0 and (data := self.receive_nowait()):
            remaining_bytes -= len(data)
        self.close()

    def abort(self) -> None:
        """Closes the connection with a reset."""
        if not self.closed:
            with contextlib.suppress(OSError):  # the connection is broken already
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            self.close()

    def close_gracefully(self, timeout: float) -> None:
        """Shuts down the sending direction, waits until the peer closes, and closes.

        Unread bytes at the close would cause a reset, and the peer might lose the last bytes sent to it.
        Parks for at most ``timeout`` seconds. Discards at most ``MAX_DISCARDED_BYTES``; what a peer sends
        beyond that stays in the kernel until the close and costs no processor time.
        """
        self.shutdown_write()
        deadline = time.monotonic() + timeout
        remaining_bytes = MAX_DISCARDED_BYTES
        try:
            while remaining_bytes > 0 and (data := self.receive(max(0.0, deadline - time.monotonic()))):
                remaining_bytes -= len(data)
            if remaining_bytes <= 0:
                self._scheduler.sleep(max(0.0, deadline - time.monotonic()))
        except (OSError, TimedOutError):
            pass
        finally:
            self.close_immediately()
