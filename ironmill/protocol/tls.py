"""TLS as a state machine on ``ssl.MemoryBIO``: records in, plain bytes out, and the reverse.

It performs no I/O. The driver writes what ``outgoing`` returns after each call, because a read may produce
records too.
"""

from __future__ import annotations

import contextlib
import ssl
from enum import Enum, auto

from ironmill.errors import IronmillError

MAX_HANDSHAKE_BYTES = 64 * 1024  # a chain of certificates fits
MAX_RECORD_BYTES = 16 * 1024  # of plain data


class TlsError(IronmillError):
    """The peer broke TLS, or its certificate was rejected. The text is OpenSSL's reason."""


class TlsState(Enum):
    """The state of a TLS connection."""

    HANDSHAKE = auto()
    OPEN = auto()
    ENDED = auto()  # the peer sent close_notify
    TRUNCATED = auto()  # the peer's bytes ended without close_notify, so data may be missing
    FAILED = auto()


class TlsProtocol:
    """One side of a TLS connection."""

    __slots__ = ("_handshake_bytes", "_in", "_out", "_sending_ended", "_tls", "state")

    def __init__(
        self,
        context: ssl.SSLContext,
        *,
        is_server: bool,
        server_name: str | None = None,
        session: ssl.SSLSession | None = None,
    ) -> None:
        """A client verifies that the certificate is for ``server_name``, and may resume ``session``."""
        self._in = ssl.MemoryBIO()
        self._out = ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._in, self._out, is_server, server_name, session)
        self._handshake_bytes = 0
        self._sending_ended = False
        self.state = TlsState.HANDSHAKE
        if not is_server:
            self._handshake()

    def receive(self, data: bytes) -> None:
        """Takes records, or parts of them, from the peer; empty at the end of its bytes.

        Raises ``TlsError`` if they are invalid; ``outgoing`` then returns the alert.
        """
        if data:
            self._in.write(data)
        else:
            self._in.write_eof()
        if self.state is TlsState.HANDSHAKE:
            self._handshake_bytes += len(data)
            if self._handshake_bytes > MAX_HANDSHAKE_BYTES:
                self.state = TlsState.FAILED
                raise TlsError(f"the handshake holds more than {MAX_HANDSHAKE_BYTES} bytes")
            self._handshake()
            if self.state is TlsState.HANDSHAKE and not data:
                self.state = TlsState.TRUNCATED

    def read(self, max_bytes: int = MAX_RECORD_BYTES) -> bytes | None:
        """Returns plain bytes; None if more records are needed, empty once the peer sends no more.

        ``state`` is then ``ENDED`` or ``TRUNCATED``. Raises ``TlsError`` if a record is invalid.
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
        """Encrypts plain bytes for the peer. Raises ``TlsError`` once the sending direction has ended."""
        if self._sending_ended:
            raise TlsError("the sending direction has ended")
        try:
            self._tls.write(data)
        except ssl.SSLError as error:
            raise TlsError(_reason(error)) from None

    def shutdown_write(self) -> None:
        """Produces close_notify; the receiving direction stays open."""
        if self._sending_ended or self.state in (TlsState.HANDSHAKE, TlsState.FAILED):
            return
        self._sending_ended = True
        with contextlib.suppress(ssl.SSLError):  # the peer has not sent close_notify itself
            self._tls.unwrap()

    def abandon(self) -> None:
        """Suppresses close_notify, so that the peer detects the truncation."""
        self._sending_ended = True

    def outgoing(self) -> bytes:
        """Returns the records to write now."""
        return self._out.read()

    @property
    def pending(self) -> bool:
        """True if more plain bytes may be available without further records."""
        return self._tls.pending() > 0 or self._in.pending > 0

    def peer_certificate(self) -> bytes | None:
        """Returns the peer's certificate in DER; None if it presented none."""
        return self._tls.getpeercert(binary_form=True)

    @property
    def resumed(self) -> bool:
        """True if the handshake resumed an earlier session."""
        return self._tls.session_reused is True

    @property
    def session(self) -> ssl.SSLSession | None:
        """The session that a client may resume later."""
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
