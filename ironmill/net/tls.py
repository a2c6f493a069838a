"""A TLS stream with the interface of a plain ``Stream``.

Encrypted records that the socket has not taken yet are buffered. Data of up to one record may therefore be
reported as sent while it is still buffered. ``has_backpressure`` is True while the buffer is not empty, and
``send`` waits until the buffer is empty.
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
    """The peer violated the TLS protocol; the alert has been sent if the socket could take it at once."""


class TlsStream(Stream):
    """A connected socket that uses TLS. ``handshake`` must be called before any data is read or written."""

    __slots__ = ("_buffer", "_tls")

    def __init__(self, scheduler: Scheduler, sock: socket.socket, tls: TlsProtocol) -> None:
        """Takes ownership of a connected socket; ``tls`` must be new."""
        super().__init__(scheduler, sock)
        self._tls = tls
        self._buffer = bytearray(tls.outgoing())

    @classmethod
    def for_server(cls, scheduler: Scheduler, sock: socket.socket, context: ssl.SSLContext) -> TlsStream:
        """Returns the server's side of a TLS connection on an accepted socket."""
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
        """Returns the client's side, which verifies ``server_name`` and may resume ``session``."""
        tls = TlsProtocol(context, is_server=False, server_name=server_name, session=session)
        return cls(scheduler, sock, tls)

    @classmethod
    def wrap(
        cls, scheduler: Scheduler, stream: Stream, context: ssl.SSLContext, server_name: str
    ) -> TlsStream:
        """Returns the client's side on a connected plain stream, which must not be used afterwards."""
        stream.closed = True  # the new stream owns its socket
        return cls.for_client(scheduler, stream._sock, context, server_name)

    def handshake(self, deadline: float) -> None:
        """Completes the handshake before the deadline on the monotonic clock.

        Raises ``TimedOutError``, ``TlsFailedError`` for invalid records or certificates, or ``OSError`` if
        the connection ends.
        """
        while self._tls.state is TlsState.HANDSHAKE:
            self._flush(max(0.0, deadline - time.monotonic()))
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0.0:  # the timeout of a single read does not bound a slow handshake
                raise TimedOutError
            self._process_records(super().receive(remaining_s))
        if self._tls.state is TlsState.TRUNCATED:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        self._flush(max(0.0, deadline - time.monotonic()))

    def peer_certificate(self) -> bytes | None:
        """Returns the peer's certificate in DER; None if it presented none."""
        return self._tls.peer_certificate()

    @property
    def tls(self) -> TlsProtocol:
        """The TLS protocol state of this stream."""
        return self._tls

    @property
    def has_backpressure(self) -> bool:
        """True while encrypted records are buffered until the socket takes them."""
        return bool(self._buffer)

    def receive(self, timeout: float | None = None) -> bytes:
        """Returns decrypted bytes, none once the peer has sent close_notify.

        Raises ``ConnectionResetError`` if the stream ends without close_notify, because data may be missing.
        """
        while True:
            try:
                data = self._tls.read(READ_BYTES)
            except TlsError as error:
                raise self._handle_failure(error) from None
            self._flush_nowait()  # a read may produce records, such as a key update or an alert
            if data is not None:
                if not data and self._tls.state is TlsState.TRUNCATED:
                    raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
                self.recv_buffer_empty = bool(data) and self.recv_buffer_empty and not self._tls.pending
                return data
            self._process_records(super().receive(timeout))

    def send_some(self, data: bytes | memoryview, timeout: float | None = None) -> int:
        """Writes at most one record and waits until the socket has taken it; returns the byte count."""
        self._flush(timeout)
        chunk = bytes(data[:MAX_RECORD_BYTES])
        self._encrypt(chunk)
        self._flush(timeout)
        return len(chunk)

    def send_nowait(self, data: bytes) -> int:
        """Encrypts what the socket takes without parking; a part of the last record may stay buffered."""
        sent = 0
        self._flush_nowait()
        while sent < len(data) and not self._buffer and self._tls.state is not TlsState.HANDSHAKE:
            chunk = data[sent : sent + MAX_RECORD_BYTES]
            self._encrypt(chunk)
            self._flush_nowait()
            sent += len(chunk)
        return sent

    def send(self, data: bytes, timeout: float | None = None) -> None:
        """Writes all data and waits until the socket has taken the buffered records."""
        super().send(data, timeout)
        self._flush(timeout)

    def flush(self, timeout: float | None = None) -> None:
        """Waits until the socket has taken the buffered records."""
        self._flush(timeout)

    def shutdown_write(self) -> None:
        """Sends close_notify and shuts down the sending direction; the receiving direction stays open."""
        self._send_close_notify()
        super().shutdown_write()

    def close(self) -> None:
        """Sends close_notify if it still can be sent, and closes the socket."""
        if not self.closed:
            self._send_close_notify()
        super().close()

    def abort(self) -> None:
        """Closes with a reset and without close_notify, so that the peer does not see an orderly close."""
        self._tls.abandon()
        super().abort()

    def _send_close_notify(self) -> None:
        if self._tls.state is TlsState.HANDSHAKE:
            # The buffer may hold the first bytes of an attempt at a server whose drain grace period is over.
            self._buffer.clear()
            return
        with contextlib.suppress(OSError, TlsError):  # the peer has disconnected or violated TLS
            self._tls.shutdown_write()
            self._flush_nowait()

    def _encrypt(self, data: bytes) -> None:
        try:
            self._tls.write(data)
        except TlsError as error:
            raise self._handle_failure(error) from None

    def _process_records(self, data: bytes) -> None:
        try:
            self._tls.receive(data)
        except TlsError as error:
            raise self._handle_failure(error) from None

    def _handle_failure(self, error: TlsError) -> TlsFailedError:
        """Sends the alert if the socket takes it without parking; returns the error to raise."""
        with contextlib.suppress(OSError):
            self._flush_nowait()
        return TlsFailedError(str(error))

    def _flush_nowait(self) -> None:
        """Moves new records to the buffer and writes what the socket takes without parking."""
        self._buffer += self._tls.outgoing()
        if self._buffer:
            del self._buffer[: self._send_once_nowait(self._buffer)]

    def _flush(self, timeout: float | None) -> None:
        self._flush_nowait()
        while self._buffer:
            if not self._scheduler.wait(self._sock.fileno(), WRITE, timeout):
                raise TimedOutError
            self._flush_nowait()
