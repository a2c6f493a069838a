"""A state machine for the connection from a client: bytes in, typed events out.

The order of the states is ``AWAITING_REQUEST``, ``AWAITING_ANSWER``, ``ESTABLISHED``, ``CLOSED``; ``CLOSED``
may follow any of them.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TypeAlias

from msgspec import Struct

from ironmill.protocol.lines import LINE_END, MAX_LINE_BYTES, LineReader, LineTooLongError
from ironmill.protocol.request import MalformedLineError, RequestLine, parse_request_line

PONG_LINE = b"PONG\r\n"
DRAINING_LINE = b"DRAINING\r\n"  # replies to PING; tells the front-end load balancer to use other proxies
ERROR_LINE = b"ERR\r\n"
MIGRATE_LINE = b"MOVE\r\n"

MAX_EARLY_BYTES = MAX_LINE_BYTES  # buffered for a resumed connection until it is established again
MAX_PINGS = 64  # on one connection
MAX_PINGS_PER_READ = 4  # the front-end load balancer waits for each reply, so more at once are an error


class PingReceived(Struct, frozen=True):
    """The front-end load balancer checks whether this proxy is up."""


class CredentialPresented(Struct, frozen=True):
    """The client presented a token, which is not forwarded."""

    token: bytes


class RequestReceived(Struct, frozen=True):
    """The client requested a connection."""

    line: RequestLine


class ProtocolViolated(Struct, frozen=True):
    """The client violated the protocol. The driver sends it ``ERR`` and ends its attempt, if there is one."""

    reason: str


class DataReceived(Struct, frozen=True):
    """The client sent bytes to forward to the server."""

    data: bytes
    lines: int  # the number of lines that the bytes complete


class ClientClosed(Struct, frozen=True):
    """The client closed its connection before the final answer."""


class ClientHalfClosed(Struct, frozen=True):
    """The client closed the sending direction of its established connection."""


ClientEvent: TypeAlias = (
    PingReceived
    | CredentialPresented
    | RequestReceived
    | ProtocolViolated
    | DataReceived
    | ClientClosed
    | ClientHalfClosed
)


class ClientState(Enum):
    """The state of a client's connection."""

    AWAITING_REQUEST = auto()
    AWAITING_ANSWER = auto()
    ESTABLISHED = auto()  # bytes are forwarded unchanged
    CLOSED = auto()


class ClientProtocol:
    """Parses the bytes that a client sends, and tracks the state of its connection."""

    __slots__ = (
        "_accepts_credential",
        "_early_data",
        "_is_early_data_allowed",
        "_lines",
        "_ping_count",
        "state",
    )

    def __init__(self, *, accepts_credential: bool = False) -> None:
        """Creates the state machine of a new connection.

        If ``accepts_credential`` is True, one line ``AUTH TOKEN`` may precede the request line.
        """
        self.state = ClientState.AWAITING_REQUEST
        self._accepts_credential = accepts_credential
        self._lines = LineReader()
        self._early_data = b""
        self._is_early_data_allowed = False
        self._ping_count = 0

    def receive(self, data: bytes) -> list[ClientEvent]:
        """Returns the events that bytes from the client cause, or none once the connection is closed."""
        if self.state is ClientState.ESTABLISHED:
            return [DataReceived(data, len(self._lines.feed(data)))]
        if self.state is ClientState.AWAITING_REQUEST:
            return self._receive_before_request(data)
        if self.state is ClientState.AWAITING_ANSWER:
            self._early_data += data
            return self._check_early_data()
        return []

    def establish(self) -> DataReceived:
        """Records that the server accepted the connection. Returns the early data, to be forwarded first."""
        self.state = ClientState.ESTABLISHED
        self._lines = LineReader(strict=False)
        early_data = self._early_data
        self._early_data = b""
        return DataReceived(early_data, len(self._lines.feed(early_data)))

    def end_of_stream(self) -> list[ClientEvent]:
        """Returns the events that the end of the client's byte stream causes."""
        previous_state = self.state
        if previous_state is ClientState.ESTABLISHED:
            return [ClientHalfClosed()]
        self.state = ClientState.CLOSED
        return [ClientClosed()] if previous_state is ClientState.AWAITING_ANSWER else []

    def close(self) -> None:
        """Records that the client has received its final answer, or can receive none."""
        self.state = ClientState.CLOSED

    @property
    def has_partial_line(self) -> bool:
        """True if the bytes received so far end with an incomplete line."""
        return not self._lines.at_line_boundary

    def _receive_before_request(self, data: bytes) -> list[ClientEvent]:
        try:
            lines = self._lines.feed(data)
        except LineTooLongError as error:
            return [self._close_with_violation(str(error))]
        events: list[ClientEvent] = []
        ping_count = 0
        for index, line in enumerate(lines):
            if line == b"PING":
                ping_count += 1
                self._ping_count += 1
                if ping_count > MAX_PINGS_PER_READ or self._ping_count > MAX_PINGS:
                    return [
                        self._close_with_violation(
                            f"more than {MAX_PINGS_PER_READ} PING lines in one read or {MAX_PINGS} in all"
                        )
                    ]
                events.append(PingReceived())
            elif self._accepts_credential and line.startswith(b"AUTH "):
                self._accepts_credential = False  # a second credential violates the protocol
                events.append(CredentialPresented(line[5:]))
            else:
                return [*events, *self._receive_request_line(line, lines[index + 1 :])]
        return events

    def _receive_request_line(self, line: bytes, following: list[bytes]) -> list[ClientEvent]:
        """Parses the request line. Lines that follow it in the same read are early data."""
        try:
            request_line = parse_request_line(line)
        except MalformedLineError as error:
            return [self._close_with_violation(str(error))]
        self._is_early_data_allowed = request_line.may_have_early_data
        self._early_data = b"".join(early + LINE_END for early in following) + self._lines.take_partial()
        self.state = ClientState.AWAITING_ANSWER
        return self._check_early_data() or [RequestReceived(request_line)]

    def _check_early_data(self) -> list[ClientEvent]:
        """Checks that early data is permitted and within its limit; most requests must not send any."""
        if not self._early_data:
            return []
        if self._is_early_data_allowed and len(self._early_data) <= MAX_EARLY_BYTES:
            return []
        return [self._close_with_violation("client sent data before the answer to the request line")]

    def _close_with_violation(self, reason: str) -> ProtocolViolated:
        self.state = ClientState.CLOSED
        return ProtocolViolated(reason)
