"""A server's side of one attempt as a state machine: what is written and what comes back."""

from __future__ import annotations

import contextlib
from enum import Enum, auto
from typing import TypeAlias

from msgspec import Struct

from ironmill.balancing.interface import Outcome
from ironmill.protocol.lines import END, Lines, LineTooLongError

Report = tuple[tuple[str, float], ...]


class Up(Struct, frozen=True):
    """The connection stands. The data is the UP line and goes to the client as it is."""

    data: bytes
    later: bytes  # what came behind it, to be fed again once the client has the UP line


class Refused(Struct, frozen=True):
    """The server gave another answer than UP."""

    outcome: Outcome
    line: bytes


class Relayed(Struct, frozen=True):
    """Bytes for the client; how many lines among them answer one of the client's."""

    data: bytes
    answers: int
    loads: tuple[float, ...]  # what LOAD lines among them tell


AttemptEvent: TypeAlias = Up | Refused | Relayed


class AttemptState(Enum):
    """Where an attempt is."""

    CONNECTING = auto()
    ASKING = auto()  # its first line is not wholly written
    WAITING = auto()
    STANDING = auto()
    OVER = auto()


ANSWERS = {b"BUSY": Outcome.FULL, b"ERR": Outcome.ERROR, b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}
PARTINGS = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED, b"ERR": Outcome.ERROR}


def parse_report(text: bytes) -> Report:
    """The load report at the end of a line; empty where there is none or it is not understood."""
    pairs = []
    for part in text.decode("ascii", "replace").split(","):
        name, equals, value = part.partition("=")
        try:
            pairs.append((name, float(value)))
        except ValueError:
            return ()
        if not equals:
            return ()
    return tuple(pairs)


class ProbeSide:
    """One question for the load report and its answer; the connection may then serve the next."""

    QUESTION = b"STATS" + END

    def __init__(self) -> None:
        self._lines = Lines()

    def receive(self, data: bytes) -> tuple[Outcome, Report] | None:
        """The answer, once it is whole."""
        try:
            lines = self._lines.feed(data)
        except LineTooLongError:
            return Outcome.ERROR, ()
        if not lines:
            return None
        word, _, rest = lines[0].partition(b" ")
        return (Outcome.OK if word == b"PONG" else Outcome.ERROR), parse_report(rest)


class ServerSide:
    """What one attempt has written and read."""

    __slots__ = ("_lines", "_parting", "_raw", "report", "state", "stood", "unwritten")

    def __init__(self, first_line: bytes) -> None:
        self.state = AttemptState.CONNECTING
        self.unwritten = first_line
        self.report: Report = ()
        self.stood = False
        self._raw = b""
        self._lines = Lines()
        self._parting = Outcome.RESET

    @property
    def between_lines(self) -> bool:
        """True if what went to the client ends with a whole line."""
        return self._lines.between

    def connected(self) -> bytes:
        """The connection is up: what to write."""
        self.state = AttemptState.ASKING
        return self.unwritten

    def wrote(self, count: int) -> bytes:
        """So many bytes were taken: what is left to write."""
        self.unwritten = self.unwritten[count:]
        if not self.unwritten:
            self.state = AttemptState.WAITING
        return self.unwritten

    def receive(self, data: bytes) -> list[AttemptEvent]:
        """The server sent these bytes."""
        if self.state is AttemptState.STANDING:
            return [self._relay(data)]
        if self.state is AttemptState.OVER:
            return []
        self._raw += data
        try:
            lines = self._lines.feed(data)
        except LineTooLongError:
            return [self._refused(Outcome.ERROR, b"")]
        if not lines:
            return []
        word, _, rest = lines[0].partition(b" ")
        if word != b"UP":
            self.report = parse_report(rest)
            return [self._refused(ANSWERS.get(word, Outcome.ERROR), lines[0])]
        self.state, self.stood = AttemptState.STANDING, True
        first, later = self._raw[: len(lines[0]) + 2], self._raw[len(lines[0]) + 2 :]
        self._raw = b""
        self._lines = Lines(strict=False)
        return [Up(first, later)]

    def _refused(self, outcome: Outcome, line: bytes) -> Refused:
        self.state = AttemptState.OVER
        return Refused(outcome, line + END)

    def _relay(self, data: bytes) -> Relayed:
        answers, loads = 0, []
        for line in self._lines.feed(data):
            word, _, rest = line.partition(b" ")
            self._parting = PARTINGS.get(word, Outcome.RESET)
            if word == b"LOAD":
                with contextlib.suppress(ValueError):  # the line goes on all the same
                    loads.append(float(rest))
            elif word in PARTINGS:
                self.report = parse_report(rest)
            else:
                answers += 1
        return Relayed(data, answers, tuple(loads))

    def end(self) -> Outcome:
        """The connection ended, broke or never came up: the attempt's outcome."""
        before, self.state = self.state, AttemptState.OVER
        if before in (AttemptState.CONNECTING, AttemptState.ASKING):
            return Outcome.CONNECT_FAILED
        return self._parting if before is AttemptState.STANDING else Outcome.RESET

    def time_out(self) -> Outcome:
        """The proxy stops waiting. An attempt whose first line was not wholly written has never run."""
        before, self.state = self.state, AttemptState.OVER
        if before in (AttemptState.CONNECTING, AttemptState.ASKING):
            return Outcome.CONNECT_FAILED
        return Outcome.TIMEOUT
