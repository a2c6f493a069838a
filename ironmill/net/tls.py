"""A stream that speaks TLS, with the interface of a plain ``Stream``.

Encrypted records that the socket has not taken yet are buffered: at most one record more than the caller has
been told is sent. ``has_backpressure`` reports such a buffer, and ``send`` waits until it is empty.
"""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import ssl
import time

from ironmill.errors import IronmillError
from ironmill.net.sockets import READ_BYTES, Stream, TimedOutError
from ironmill.protocol.tls import MAX_RECORD_BYTES, TlsError, TlsProtocol, TlsState
from ironmill.runtime.scheduler import WRITE, Scheduler


class TlsFailedError(IronmillError, ConnectionError):
    """The peer broke TLS; it has been sent the alert if the socket took it at once."""


class TlsStream(Stream):
    """A connected socket with TLS on it. ``handshake`` must be called before any data is read or written."""

    __slots__ = ("_buffer", "_tls")

    def __init__(self, scheduler: Scheduler, sock: socket.socket, tls: TlsProtocol) -> None:
        """Takes ownership of a connected socket; ``tls`` must be new."""
        super().__init__(scheduler, sock)
        self._tls = tls
        self._buffer = bytearray(tls.outgoing())

    @classmethod
    def for_server(cls, scheduler: Scheduler, sock: socket.socket, context: ssl.SSLContext) -> TlsStream:
        """Returns the server's side of TLS on an accepted socket."""
        return cls(scheduler, sock, TlsProtocol(context, is_server=True))

    @classmethod
    def for_client(
        cls,
        scheduler: Scheduler,
        sock: socket.socket,
        context: ssl.SSLContext,
        server_name: str,
        session: ssl.SSLSession | None = None,
    ) -> TlsStream:
        """Returns the client's side, which verifies the server's name and may resume ``session``."""
        tls = TlsProtocol(context, is_server=False, server_name=server_name, session=session)
        return cls(scheduler, sock, tls)

    @classmethod
    def wrap(
        cls, scheduler: Scheduler, stream: Stream, context: ssl.SSLContext, server_name: str
    ) -> TlsStream:
        """Returns the client's side on a connected stream, which must not be used any more."""
        stream.closed = True  # its socket belongs to the new stream
        return cls.for_client(scheduler, stream._sock, context, server_name)

    def handshake(self, deadline: float) -> None:
        """Completes the handshake before the deadline on the monotonic clock.

        Raises ``TimedOutError``, ``TlsFailedError`` for invalid records or certificates, or ``OSError`` if
        the connection ends.
        """
        while self._tls.state is TlsState.HANDSHAKE:
            self._flush(max(0.0, deadline - time.monotonic()))
            left = deadline - time.monotonic()
            if left <= 0.0:  # the wait below does not bound records that arrive one byte at a time
                raise TimedOutError
            self._take_records(super().receive(left))
        if self._tls.state is TlsState.TRUNCATED:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        self._flush(max(0.0, deadline - time.monotonic()))

    def peer_certificate(self) -> bytes | None:
        """Returns the peer's certificate in DER; None if it presented none."""
        return self._tls.peer_certificate()

    @property
    def tls(self) -> TlsProtocol:
        """The state of TLS on this stream."""
        return self._tls

    @property
    def has_backpressure(self) -> bool:
        """True while records wait for the socket."""
        return bool(self._buffer)

    def receive(self, timeout: float | None = None) -> bytes:
        """Returns some bytes, none once the peer has sent close_notify.

        Raises ``ConnectionResetError`` if the bytes end without close_notify, because data may be missing.
        """
        while True:
            try:
                data = self._tls.read(READ_BYTES)
            except TlsError as error:
                raise self._failure(error) from None
            self._push()  # a read may produce records: a key update, an alert
            if data is not None:
                if not data and self._tls.state is TlsState.TRUNCATED:
                    raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
                self.drained = bool(data) and self.drained and not self._tls.pending
                return data
            self._take_records(super().receive(timeout))

    def send_some(self, data: bytes | memoryview, timeout: float | None = None) -> int:
        """Writes at most one record and waits until the socket has all of it."""
        self._flush(timeout)
        piece = bytes(data[:MAX_RECORD_BYTES])
        self._encrypt(piece)
        self._flush(timeout)
        return len(piece)

    def send_nowait(self, data: bytes) -> int:
        """Writes what the socket takes at once; a part of the last record may stay in the buffer."""
        sent = 0
        self._push()
        while sent < len(data) and not self._buffer and self._tls.state is not TlsState.HANDSHAKE:
            piece = data[sent : sent + MAX_RECORD_BYTES]
            self._encrypt(piece)
            self._push()
            sent += len(piece)
        return sent

    def send(self, data: bytes, timeout: float | None = None) -> None:
        """Writes all of it, and the buffered records."""
        super().send(data, timeout)
        self._flush(timeout)

    def flush(self, timeout: float | None = None) -> None:
        """Waits until the socket has taken the buffered records."""
        self._flush(timeout)

    def shutdown_write(self) -> None:
        """Sends close_notify and ends the sending direction; the receiving direction stays open."""
        self._send_close_notify()
        super().shutdown_write()

    def close(self) -> None:
        """Closes the socket, after close_notify where it can still be sent."""
        if not self.closed:
            self._send_close_notify()
        super().close()

    def abort(self) -> None:
        """Closes with a reset and without close_notify, so that it cannot pass for an orderly end."""
        self._tls.abandon()
        super().abort()

    def _send_close_notify(self) -> None:
        if self._tls.state is TlsState.HANDSHAKE:
            # The first byte of an attempt would reach a server that the drain deadline may already protect.
            self._buffer.clear()
            return
        with contextlib.suppress(OSError, TlsError):  # the peer is gone, or broke TLS
            self._tls.shutdown_write()
            self._push()

    def _encrypt(self, data: bytes) -> None:
        try:
            self._tls.write(data)
        except TlsError as error:
            raise self._failure(error) from None

    def _take_records(self, data: bytes) -> None:
        try:
            self._tls.receive(data)
        except TlsError as error:
            raise self._failure(error) from None

    def _failure(self, error: TlsError) -> TlsFailedError:
        """Sends the alert if the socket takes it at once; returns the error to raise."""
        with contextlib.suppress(OSError):
            self._push()
        return TlsFailedError(str(error))

    def _push(self) -> None:
        """Moves new records to the buffer and writes what the socket takes at once."""
        self._buffer += self._tls.outgoing()
        if self._buffer:
            del self._buffer[: self._push_nowait(self._buffer)]

    def _flush(self, timeout: float | None) -> None:
        self._push()
        while self._buffer:
            if not self._scheduler.wait(self._sock.fileno(), WRITE, timeout):
                raise TimedOutError
            self._push()
