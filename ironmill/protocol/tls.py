"""TLS as a state machine on ``ssl.MemoryBIO``, which converts between records and plain bytes.

It performs no I/O. After each call the driver must write the records that ``outgoing`` returns, because
reading may produce records too.
"""

from __future__ import annotations

import contextlib
import ssl
from enum import Enum, auto

from ironmill.errors import IronmillError

MAX_HANDSHAKE_BYTES = 64 * 1024  # enough for a certificate chain
MAX_RECORD_BYTES = 16 * 1024  # plain bytes in one record


class TlsError(IronmillError):
    """Raised if the peer violated TLS or its certificate was rejected. The message is OpenSSL's reason."""


class TlsState(Enum):
    """The state of a TLS connection."""

    HANDSHAKE = auto()
    OPEN = auto()
    ENDED = auto()  # the peer sent close_notify
    TRUNCATED = auto()  # the byte stream ended without close_notify, so data may be missing
    FAILED = auto()


class TlsProtocol:
    """One endpoint of a TLS connection."""

    __slots__ = ("_handshake_bytes", "_incoming", "_is_sending_closed", "_outgoing", "_tls", "state")

    def __init__(
        self,
        context: ssl.SSLContext,
        *,
        is_server: bool,
        server_name: str | None = None,
        session: ssl.SSLSession | None = None,
    ) -> None:
        """Creates an endpoint; a client starts its handshake.

        A client verifies that the certificate is valid for ``server_name``, and may resume ``session``.
        """
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._incoming, self._outgoing, is_server, server_name, session)
        self._handshake_bytes = 0
        self._is_sending_closed = False
        self.state = TlsState.HANDSHAKE
        if not is_server:
            self._handshake()

    def receive(self, data: bytes) -> None:
        """Processes records, or parts of them, from the peer; empty bytes denote the end of its stream.

        Raises ``TlsError`` if they are invalid; ``outgoing`` then returns the alert to send.
        """
        if data:
            self._incoming.write(data)
        else:
            self._incoming.write_eof()
        if self.state is TlsState.HANDSHAKE:
            self._handshake_bytes += len(data)
            if self._handshake_bytes > MAX_HANDSHAKE_BYTES:
                self.state = TlsState.FAILED
                raise TlsError(f"TLS handshake exceeds {MAX_HANDSHAKE_BYTES} bytes")
            self._handshake()
            if self.state is TlsState.HANDSHAKE and not data:
                self.state = TlsState.TRUNCATED

    def read(self, max_bytes: int = MAX_RECORD_BYTES) -> bytes | None:
        """Returns plain bytes, None if it needs more records, or empty bytes once the peer sends no more.

        In the last case ``state`` is ``ENDED`` or ``TRUNCATED``, or ``FAILED`` after an error. Raises
        ``TlsError`` if a record is invalid.
        """
        if self.state is not TlsState.OPEN:
            return None if self.state is TlsState.HANDSHAKE else b""
        try:
            data = self._tls.read(max_bytes)
        except ssl.SSLWantReadError:
            return None
        except ssl.SSLZeroReturnError:
            self.state = TlsState.ENDED
            return b""
        except ssl.SSLEOFError:
            self.state = TlsState.TRUNCATED
            return b""
        except ssl.SSLError as error:
            self.state = TlsState.FAILED
            raise TlsError(_reason(error)) from None
        if not data:
            self.state = TlsState.ENDED
        return data

    def write(self, data: bytes) -> None:
        """Encrypts plain bytes for the peer. Raises ``TlsError`` after the sending direction was closed."""
        if self._is_sending_closed:
            raise TlsError("cannot write: the sending direction is closed")
        try:
            self._tls.write(data)
        except ssl.SSLError as error:
            raise TlsError(_reason(error)) from None

    def shutdown_write(self) -> None:
        """Closes the sending direction with close_notify. The receiving direction stays open."""
        if self._is_sending_closed or self.state in (TlsState.HANDSHAKE, TlsState.FAILED):
            return
        self._is_sending_closed = True
        with contextlib.suppress(ssl.SSLError):  # raised because the peer has not sent close_notify yet
            self._tls.unwrap()

    def abandon(self) -> None:
        """Closes the sending direction without close_notify, so that the peer detects the truncation."""
        self._is_sending_closed = True

    def outgoing(self) -> bytes:
        """Returns the records that are to be written to the peer now."""
        return self._outgoing.read()

    @property
    def pending(self) -> bool:
        """True if more plain bytes may be available without further records."""
        return self._tls.pending() > 0 or self._incoming.pending > 0

    def peer_certificate(self) -> bytes | None:
        """Returns the peer's certificate in DER; None if it presented none."""
        return self._tls.getpeercert(binary_form=True)

    @property
    def resumed(self) -> bool:
        """True if the handshake resumed an earlier session."""
        return self._tls.session_reused is True

    @property
    def session(self) -> ssl.SSLSession | None:
        """The session that a client may resume in a later connection."""
        return self._tls.session

    def _handshake(self) -> None:
        try:
            self._tls.do_handshake()
        except ssl.SSLWantReadError:
            return
        except (ssl.SSLError, ssl.CertificateError) as error:
            self.state = TlsState.FAILED
            raise TlsError(_reason(error)) from None
        self.state = TlsState.OPEN


def _reason(error: ssl.SSLError) -> str:
    return (error.reason or str(error)).replace("_", " ").lower()
