"""A stream that speaks TLS: the same to whoever reads and writes it as a plain one.

What is written but not yet taken by the socket is held as records, one at the most beyond what the caller has
been told is sent; ``behind`` tells of it, and ``send`` waits for it.
"""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import ssl
import time

from ironmill.net.sockets import CHUNK, Stream, TimedOutError
from ironmill.protocol.tls import RECORD, TlsError, TlsSide, TlsState
from ironmill.runtime.scheduler import WRITE, Scheduler


class TlsFailedError(ConnectionError):
    """The other side does not keep to TLS; it has been sent the alert that says so."""


class TlsStream(Stream):
    """A connected socket with TLS on it. ``shake`` comes first."""

    __slots__ = ("_held", "_side")

    def __init__(
        self,
        scheduler: Scheduler,
        sock: socket.socket,
        context: ssl.SSLContext,
        server: bool = True,
        name: str | None = None,
        session: ssl.SSLSession | None = None,
    ) -> None:
        super().__init__(scheduler, sock)
        self._side = TlsSide(context, server, name, session)
        self._held = bytearray(self._side.outgoing())

    @classmethod
    def over(cls, scheduler: Scheduler, stream: Stream, context: ssl.SSLContext, name: str) -> TlsStream:
        """TLS on a stream that is connected, as its client; the plain one is not to be used any more."""
        stream.closed = True  # its socket goes on in the other
        return cls(scheduler, stream._sock, context, False, name)

    def shake(self, deadline: float) -> None:
        """The handshake, until the deadline on the monotonic clock.

        TimedOutError past it, TlsFailedError for bytes or a certificate not taken, OSError at an end.
        """
        while self._side.state is TlsState.HANDSHAKE:
            self._flush(max(0.0, deadline - time.monotonic()))
            left = deadline - time.monotonic()
            if left <= 0.0:  # guards against records that drip, each of them in time
                raise TimedOutError
            self._take(super().receive(left))
        if self._side.state is TlsState.CUT:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        self._flush(max(0.0, deadline - time.monotonic()))

    def certificate(self) -> bytes | None:
        """The other side's certificate in DER, None if it showed none."""
        return self._side.peer_certificate()

    @property
    def side(self) -> TlsSide:
        """The state of its TLS."""
        return self._side

    @property
    def behind(self) -> bool:
        """True while records wait for the socket."""
        return bool(self._held)

    def receive(self, timeout: float | None = None) -> bytes:
        """Some bytes, none once the other side has said that it sends no more.

        An end that it did not say is a reset: what came may not be all that was sent.
        """
        while True:
            try:
                data = self._side.read(CHUNK)
            except TlsError as error:
                raise self._failed(error) from None
            self._push()  # a read may have something to say: a key that changes, an end
            if data is not None:
                if not data and self._side.state is TlsState.CUT:
                    raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
                self.drained = bool(data) and self.drained and not self._side.pending
                return data
            self._take(super().receive(timeout))

    def send_some(self, data: bytes | memoryview, timeout: float | None = None) -> int:
        """Write a record's worth, waiting until the socket has all of it."""
        self._flush(timeout)
        piece = bytes(data[:RECORD])
        self._seal(piece)
        self._flush(timeout)
        return len(piece)

    def send_now(self, data: bytes) -> int:
        """Write what the socket takes at once; of the last record a part may be held."""
        sent = 0
        self._push()
        while sent < len(data) and not self._held and self._side.state is not TlsState.HANDSHAKE:
            piece = data[sent : sent + RECORD]
            self._seal(piece)
            self._push()
            sent += len(piece)
        return sent

    def send(self, data: bytes, timeout: float | None = None) -> None:
        """Write all of it, and what was held."""
        super().send(data, timeout)
        self._flush(timeout)

    def flush(self, timeout: float | None = None) -> None:
        """Wait until the socket has taken the records that are held."""
        self._flush(timeout)

    def finish(self) -> None:
        """Say that no more is sent; the other direction stays."""
        self._say_end()
        super().finish()

    def close(self) -> None:
        """Close it, and say so if there is still something to say it on."""
        if not self.closed:
            self._say_end()
        super().close()

    def abort(self) -> None:
        """Close it with a reset, and without a word that could pass for an orderly end."""
        self._side.abandon()
        super().abort()

    def _say_end(self) -> None:
        if self._side.state is TlsState.HANDSHAKE:
            # Guards the rule on drains: a handshake that was not begun must not begin with the close.
            self._held.clear()
            return
        with contextlib.suppress(OSError, TlsError):  # the other side is gone, or does not keep to TLS
            self._side.finish()
            self._push()

    def _seal(self, data: bytes) -> None:
        try:
            self._side.write(data)
        except TlsError as error:
            raise self._failed(error) from None

    def _take(self, data: bytes) -> None:
        try:
            self._side.receive(data)
        except TlsError as error:
            raise self._failed(error) from None

    def _failed(self, error: TlsError) -> TlsFailedError:
        """The alert goes out if the socket takes it at once."""
        with contextlib.suppress(OSError):
            self._push()
        return TlsFailedError(str(error))

    def _push(self) -> None:
        """Take what TLS has to say, and write what the socket takes at once."""
        self._held += self._side.outgoing()
        if self._held:
            del self._held[: self._push_now(self._held)]

    def _flush(self, timeout: float | None) -> None:
        self._push()
        while self._held:
            if not self._scheduler.wait(self._sock.fileno(), WRITE, timeout):
                raise TimedOutError
            self._push()
