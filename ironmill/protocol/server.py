"""The server's side of an attempt and of a health check as state machines: bytes in, typed events out."""

from __future__ import annotations

import contextlib
from enum import Enum, auto
from typing import TypeAlias

from msgspec import Struct

from ironmill.balancing.interface import Outcome
from ironmill.protocol.lines import LINE_END, LineReader, LineTooLongError

LoadReport = tuple[tuple[str, float], ...]

# The first word of an answer other than UP, and of a line that ends an established connection.
_REJECTIONS = {b"BUSY": Outcome.FULL, b"ERR": Outcome.ERROR, b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}
_FAREWELLS = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED, b"ERR": Outcome.ERROR}


class AttemptEstablished(Struct, frozen=True):
    """The server accepted the connection."""

    line: bytes  # the server's line, with its end; it goes to the client unchanged
    following: bytes  # received behind it; to be fed again once the client has the line


class AttemptRejected(Struct, frozen=True):
    """The server gave another answer than ``UP``."""

    outcome: Outcome
    line: bytes  # with its end


class ServerDataReceived(Struct, frozen=True):
    """Bytes to forward to the client."""

    data: bytes
    answers: int  # lines among them that answer one of the client's
    loads: tuple[float, ...]  # the values of LOAD lines among them


AttemptEvent: TypeAlias = AttemptEstablished | AttemptRejected | ServerDataReceived


class AttemptState(Enum):
    """The state of an attempt's connection."""

    CONNECTING = auto()
    SENDING_REQUEST = auto()  # the request line is not completely written
    AWAITING_ANSWER = auto()
    ESTABLISHED = auto()
    CLOSED = auto()


def parse_load_report(text: bytes) -> LoadReport:
    """Parses the load report at the end of a line; empty where there is none or it is malformed."""
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
    """One request for a load report and its reply; the connection may then serve the next."""

    REQUEST = b"STATS" + LINE_END

    def __init__(self) -> None:
        """Expects the reply to one ``REQUEST``."""
        self._lines = LineReader()

    def receive(self, data: bytes) -> tuple[Outcome, LoadReport] | None:
        """Returns the reply once it is complete, else None."""
        try:
            lines = self._lines.feed(data)
        except LineTooLongError:
            return Outcome.ERROR, ()
        if not lines:
            return None
        keyword, _, rest = lines[0].partition(b" ")
        return (Outcome.OK if keyword == b"PONG" else Outcome.ERROR), parse_load_report(rest)


class AttemptProtocol:
    """Tracks what one attempt has written and parses what its server sends."""

    __slots__ = ("_farewell", "_lines", "_received", "established", "report", "state", "unwritten")

    def __init__(self, request_line: bytes) -> None:
        """``request_line`` is what the attempt writes, with the line's end."""
        self.state = AttemptState.CONNECTING
        self.unwritten = request_line
        self.report: LoadReport = ()
        self.established = False  # stays true once the connection has ended
        self._received = b""  # until the answer is complete
        self._lines = LineReader()
        self._farewell = Outcome.RESET  # the outcome if the connection ended now

    @property
    def at_line_boundary(self) -> bool:
        """True if what was forwarded to the client ends with a complete line."""
        return self._lines.at_line_boundary

    def connected(self) -> bytes:
        """Records that the connection is up; returns the bytes to write."""
        self.state = AttemptState.SENDING_REQUEST
        return self.unwritten

    def wrote(self, count: int) -> bytes:
        """Records that so many bytes were written; returns the bytes left to write."""
        self.unwritten = self.unwritten[count:]
        if not self.unwritten:
            self.state = AttemptState.AWAITING_ANSWER
        return self.unwritten

    def receive(self, data: bytes) -> list[AttemptEvent]:
        """Returns the events that bytes from the server cause; none once the attempt is closed."""
        if self.state is AttemptState.ESTABLISHED:
            return [self._receive_data(data)]
        if self.state is AttemptState.CLOSED:
            return []
        return self._receive_answer(data)

    def end_of_stream(self) -> Outcome:
        """Records that the connection ended, broke or never came up; returns the attempt's outcome."""
        before = self.state
        self.state = AttemptState.CLOSED
        if before in (AttemptState.CONNECTING, AttemptState.SENDING_REQUEST):
            return Outcome.CONNECT_FAILED
        return self._farewell if before is AttemptState.ESTABLISHED else Outcome.RESET

    def time_out(self) -> Outcome:
        """Records that the proxy stopped waiting; returns the attempt's outcome.

        An attempt whose request line was not completely written cannot have run.
        """
        before = self.state
        self.state = AttemptState.CLOSED
        if before in (AttemptState.CONNECTING, AttemptState.SENDING_REQUEST):
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
            return [self._reject(_REJECTIONS.get(keyword, Outcome.ERROR), line)]
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
            self._farewell = _FAREWELLS.get(keyword, Outcome.RESET)
            if keyword == b"LOAD":
                with contextlib.suppress(ValueError):  # the line is forwarded in any case
                    loads.append(float(rest))
            elif keyword in _FAREWELLS:
                self.report = parse_load_report(rest)
            else:
                answers += 1
        return ServerDataReceived(data, answers, tuple(loads))
