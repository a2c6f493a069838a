"""The client's side of a connection as a state machine: bytes in, what they mean out."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto
from typing import TypeAlias

from ironmill.protocol.lines import END, LIMIT, Lines, LineTooLongError

HELD_LIMIT = 64 * 1024  # of what a client sends before it has its answer


class MalformedLineError(Exception):
    """A first line that is not in the protocol's form."""


@dataclass(frozen=True, slots=True)
class FirstLine:
    """The line that opens a connection: the bytes that came, and the fields taken out of them."""

    raw: bytes  # with its end
    id: str
    key: str
    fields: dict[str, str]

    def with_wait(self, milliseconds: int) -> bytes:
        """The same bytes but for ``d``, which tells how long the proxy will wait."""
        head, space, listed = self.raw.rpartition(b" ")
        return head + space + re.sub(rb"(^|,)d=[0-9]+", rb"\g<1>d=%d" % milliseconds, listed, count=1)


def parse_first_line(line: bytes) -> FirstLine:
    """``OPEN ID KEY name=value,...``"""
    try:
        words = line.decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise MalformedLineError("not ASCII") from None
    if len(words) != 4 or words[0] != "OPEN" or not all(words):
        raise MalformedLineError("not OPEN ID KEY LIST")
    fields = {}
    for part in words[3].split(","):
        name, equals, value = part.partition("=")
        if not equals or not name:
            raise MalformedLineError("the list holds something that is not name=value")
        fields[name] = value
    if "c" not in fields:
        raise MalformedLineError("the class is missing")
    if "d" in fields and not re.fullmatch(r"[0-9]{1,9}", fields["d"]):
        raise MalformedLineError("d is not a number of milliseconds")
    return FirstLine(line + END, words[1], words[2], fields)


@dataclass(frozen=True, slots=True)
class Asked:
    """The front asks whether the proxy is there."""


@dataclass(frozen=True, slots=True)
class Opened:
    """The client asks for a connection."""

    first: FirstLine


@dataclass(frozen=True, slots=True)
class Malformed:
    """The client does not speak the protocol: one plain answer and a close."""

    reason: str


@dataclass(frozen=True, slots=True)
class Onward:
    """Bytes for the issuer host, and how many lines they complete."""

    data: bytes
    lines: int


@dataclass(frozen=True, slots=True)
class Left:
    """The client went before it had its answer."""


@dataclass(frozen=True, slots=True)
class SendingEnded:
    """The client will send no more on its standing connection."""


ClientEvent: TypeAlias = Asked | Opened | Malformed | Onward | Left | SendingEnded


class ClientState(Enum):
    """Where a client's connection is."""

    FIRST = auto()  # its first line has not come
    WAITING = auto()  # its authorisation is being decided
    STANDING = auto()  # its bytes go on unchanged
    OVER = auto()


class ClientSide:
    """What a client has sent and is owed."""

    def __init__(self) -> None:
        self.state = ClientState.FIRST
        self._lines = Lines()
        self._early = b""

    def receive(self, data: bytes) -> list[ClientEvent]:
        """The client sent these bytes."""
        if self.state is ClientState.FIRST:
            return self._first(data)
        if self.state is ClientState.WAITING:
            self._early += data
            if len(self._early) > HELD_LIMIT:  # guards memory against a client that does not wait
                self.state = ClientState.OVER
                return [Left()]
            return []
        if self.state is ClientState.STANDING:
            return [Onward(data, len(self._lines.feed(data)))]
        return []

    def _first(self, data: bytes) -> list[ClientEvent]:
        events: list[ClientEvent] = []
        try:
            lines = self._lines.feed(data)
        except LineTooLongError:
            return [self._malformed(f"a line holds more than {LIMIT} bytes")]
        while lines:
            line = lines.pop(0)
            if line == b"PING":
                events.append(Asked())
                continue
            try:
                events.append(Opened(parse_first_line(line)))
            except MalformedLineError as error:
                return [*events, self._malformed(str(error))]
            self._early = b"".join(early + END for early in lines) + self._lines.take_rest()
            self.state = ClientState.WAITING
            break
        return events

    def _malformed(self, reason: str) -> Malformed:
        self.state = ClientState.OVER
        return Malformed(reason)

    def stand(self) -> Onward:
        """The issuer host took the connection. What the client sent early goes on first."""
        self.state = ClientState.STANDING
        self._lines = Lines(strict=False)
        early, self._early = self._early, b""
        return Onward(early, len(self._lines.feed(early)))

    def end(self) -> list[ClientEvent]:
        """The client ended its sending."""
        before = self.state
        if before is ClientState.STANDING:
            return [SendingEnded()]
        self.state = ClientState.OVER
        return [Left()] if before is ClientState.WAITING else []

    def close(self) -> None:
        """The client has its last answer."""
        self.state = ClientState.OVER
