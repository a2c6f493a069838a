"""State machines for connections to servers, for attempts and health checks: bytes in, typed events out."""

from __future__ import annotations

import contextlib
from enum import Enum, auto
from typing import TypeAlias

from msgspec import Struct

from ironmill.balancing.interface import Outcome
from ironmill.protocol.lines import LINE_END, LineReader, LineTooLongError

LoadReport = tuple[tuple[str, float], ...]

# Outcomes by the first word of an answer other than UP, and of a line that ends an established connection.
_ANSWER_OUTCOMES = {
    b"BUSY": Outcome.FULL,
    b"ERR": Outcome.ERROR,
    b"BYE": Outcome.OK,
    b"MOVE": Outcome.CANCELLED,
}
_END_OUTCOMES = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED, b"ERR": Outcome.ERROR}


class AttemptEstablished(Struct, frozen=True):
    """The server accepted the connection."""

    line: bytes  # the server's answer with its CRLF, to be forwarded to the client unchanged
    following: bytes  # bytes received after it, to be passed to receive once the client has the line


class AttemptRejected(Struct, frozen=True):
    """The server sent an answer other than ``UP``."""

    outcome: Outcome
    line: bytes  # with the CRLF


class ServerDataReceived(Struct, frozen=True):
    """The server sent bytes to forward to the client."""

    data: bytes
    answers: int  # the number of lines among them that answer a line of the client
    loads: tuple[float, ...]  # the values of the LOAD lines among them


AttemptEvent: TypeAlias = AttemptEstablished | AttemptRejected | ServerDataReceived


class AttemptState(Enum):
    """The state of an attempt's connection."""

    CONNECTING = auto()
    SENDING_REQUEST = auto()  # the request line is not completely written
    AWAITING_ANSWER = auto()
    ESTABLISHED = auto()
    CLOSED = auto()


def parse_load_report(text: bytes) -> LoadReport:
    """Parses the load report at the end of a line. Returns an empty one if it is absent or malformed."""
    pairs = []
    for item in text.decode("ascii", "replace").split(","):
        name, equals, value = item.partition("=")
        try:
            pairs.append((name, float(value)))
        except ValueError:
            return ()
        if not equals:
            return ()
    return tuple(pairs)


class HealthCheckProtocol:
    """One request for a load report and its reply. The connection may be reused for the next health check."""

    REQUEST = b"STATS" + LINE_END

    def __init__(self) -> None:
        """Creates a state machine that expects the reply to one ``REQUEST``."""
        self._lines = LineReader()

    def receive(self, data: bytes) -> tuple[Outcome, LoadReport] | None:
        """Returns the outcome and the load report once the reply is complete, else None."""
        try:
            lines = self._lines.feed(data)
        except LineTooLongError:
            return Outcome.ERROR, ()
        if not lines:
            return None
        keyword, _, rest = lines[0].partition(b" ")
        return (Outcome.OK if keyword == b"PONG" else Outcome.ERROR), parse_load_report(rest)


class AttemptProtocol:
    """Tracks the bytes that one attempt has written, and parses the bytes that its server sends."""

    __slots__ = ("_end_outcome", "_lines", "_received", "established", "report", "state", "unwritten")

    def __init__(self, request_line: bytes) -> None:
        """Creates the state machine of a new attempt, which writes ``request_line`` with its CRLF."""
        self.state = AttemptState.CONNECTING
        self.unwritten = request_line
        self.report: LoadReport = ()
        self.established = False  # stays True after the connection has ended
        self._received = b""  # bytes received before the answer was complete
        self._lines = LineReader()
        self._end_outcome = Outcome.RESET  # the outcome if the established connection ended now

    @property
    def at_line_boundary(self) -> bool:
        """True if the bytes forwarded to the client end with a complete line."""
        return self._lines.at_line_boundary

    @property
    def has_announced_end(self) -> bool:
        """True if the last complete line told the client that its connection ends: ``BYE`` or ``MOVE``."""
        return self._end_outcome in (Outcome.OK, Outcome.CANCELLED)

    def complete_lines(self, data: bytes) -> bytes:
        """Returns the part of the bytes received last that ends with a complete line; empty if none ends."""
        return data[: max(0, len(data) - self._lines.partial_bytes)]

    def connected(self) -> bytes:
        """Records that the connection to the server was opened. Returns the bytes to write."""
        self.state = AttemptState.SENDING_REQUEST
        return self.unwritten

    def wrote(self, count: int) -> bytes:
        """Records that ``count`` bytes were written. Returns the bytes that remain to be written."""
        self.unwritten = self.unwritten[count:]
        if not self.unwritten:
            self.state = AttemptState.AWAITING_ANSWER
        return self.unwritten

    def receive(self, data: bytes) -> list[AttemptEvent]:
        """Returns the events that bytes from the server cause, or none once the attempt is closed."""
        if self.state is AttemptState.ESTABLISHED:
            return [self._receive_data(data)]
        if self.state is AttemptState.CLOSED:
            return []
        return self._receive_answer(data)

    def end_of_stream(self) -> Outcome:
        """Records that the connection ended, failed or could not be opened. Returns the attempt's outcome."""
        previous_state = self.state
        self.state = AttemptState.CLOSED
        if previous_state in (AttemptState.CONNECTING, AttemptState.SENDING_REQUEST):
            return Outcome.CONNECT_FAILED
        return self._end_outcome if previous_state is AttemptState.ESTABLISHED else Outcome.RESET

    def time_out(self) -> Outcome:
        """Records that the attempt timed out. Returns its outcome.

        The server cannot have executed an attempt whose request line was not completely written.
        """
        previous_state = self.state
        self.state = AttemptState.CLOSED
        if previous_state in (AttemptState.CONNECTING, AttemptState.SENDING_REQUEST):
            return Outcome.CONNECT_FAILED
        return Outcome.TIMEOUT

    def _receive_answer(self, data: bytes) -> list[AttemptEvent]:
        self._received += data
        try:
            lines = self._lines.feed(data)
        except LineTooLongError:
            return [self._reject(Outcome.ERROR, b"")]
        if not lines:
            return []
        line = lines[0]
        keyword, _, rest = line.partition(b" ")
        if keyword != b"UP":
            self.report = parse_load_report(rest)
            return [self._reject(_ANSWER_OUTCOMES.get(keyword, Outcome.ERROR), line)]
        self.state = AttemptState.ESTABLISHED
        self.established = True
        length = len(line) + len(LINE_END)
        event = AttemptEstablished(self._received[:length], self._received[length:])
        self._received = b""
        self._lines = LineReader(strict=False)
        return [event]

    def _reject(self, outcome: Outcome, line: bytes) -> AttemptRejected:
        self.state = AttemptState.CLOSED
        return AttemptRejected(outcome, line + LINE_END)

    def _receive_data(self, data: bytes) -> ServerDataReceived:
        answers = 0
        loads = []
        for line in self._lines.feed(data):
            keyword, _, rest = line.partition(b" ")
            self._end_outcome = _END_OUTCOMES.get(keyword, Outcome.RESET)
            if keyword == b"LOAD":
                with contextlib.suppress(ValueError):  # the line is forwarded even if its value is malformed
                    loads.append(float(rest))
            elif keyword in _END_OUTCOMES:
                self.report = parse_load_report(rest)
            else:
                answers += 1
        return ServerDataReceived(data, answers, tuple(loads))
