"""The client's side of a connection as a state machine: bytes in, what they mean out."""

from __future__ import annotations

import re
from enum import Enum, auto
from typing import TypeAlias

from msgspec import Struct

from ironmill.protocol.lines import END, LIMIT, Lines, LineTooLongError

HELD_LIMIT = LIMIT  # of what a connection that was open elsewhere sends before it is up again here
PINGS_MOST = 64  # questions of the front on one connection
PINGS_AT_ONCE = 4  # in what is read at once: the front waits for each answer
# Milliseconds: a longer wait than a day is not meant. Connections that were open before the run say
# 4,294,967, the most that 32 bits of microseconds hold.
WAIT_MOST = 86_400_000


class MalformedLineError(Exception):
    """A first line that is not in the protocol's form."""


class FirstLine(Struct, frozen=True):
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
        if name in fields:
            # Guards the one meaning of a line: the last would be read here, and the first elsewhere.
            raise MalformedLineError("a name comes twice in the list")
        fields[name] = value
    if "c" not in fields:
        raise MalformedLineError("the class is missing")
    if "d" in fields and not (re.fullmatch(r"[0-9]{1,9}", fields["d"]) and int(fields["d"]) <= WAIT_MOST):
        raise MalformedLineError("d is not a number of milliseconds")
    return FirstLine(line + END, words[1], words[2], fields)


class Asked(Struct, frozen=True):
    """The front asks whether the proxy is there."""


class Shown(Struct, frozen=True):
    """The client shows a credential, which goes no further."""

    token: bytes


class Opened(Struct, frozen=True):
    """The client asks for a connection."""

    first: FirstLine


class Malformed(Struct, frozen=True):
    """The client does not speak the protocol: one plain answer and a close. Its attempt, if any, ends."""

    reason: str


class Onward(Struct, frozen=True):
    """Bytes for the server, and how many lines they complete."""

    data: bytes
    lines: int


class Left(Struct, frozen=True):
    """The client went before it had its answer."""


class SendingEnded(Struct, frozen=True):
    """The client will send no more on its standing connection."""


ClientEvent: TypeAlias = Asked | Shown | Opened | Malformed | Onward | Left | SendingEnded


class ClientState(Enum):
    """Where a client's connection is."""

    FIRST = auto()  # its first line has not come
    WAITING = auto()  # its request is being decided
    STANDING = auto()  # its bytes go on unchanged
    OVER = auto()


class ClientSide:
    """What a client has sent and is owed."""

    __slots__ = ("_early", "_lines", "_may_be_early", "_may_show", "_pings", "state")

    def __init__(self, may_show: bool = False) -> None:
        """``may_show``: one line ``AUTH TOKEN`` may come before the first line."""
        self.state = ClientState.FIRST
        self._may_show = may_show
        self._lines = Lines()
        self._early = b""
        self._may_be_early = False
        self._pings = 0

    def receive(self, data: bytes) -> list[ClientEvent]:
        """The client sent these bytes."""
        if self.state is ClientState.FIRST:
            return self._first(data)
        if self.state is ClientState.WAITING:
            self._early += data
            return self._early_bytes()
        if self.state is ClientState.STANDING:
            return [Onward(data, len(self._lines.feed(data)))]
        return []

    def _first(self, data: bytes) -> list[ClientEvent]:
        events: list[ClientEvent] = []
        try:
            lines = self._lines.feed(data)
        except LineTooLongError:
            return [self._malformed(f"a line holds more than {LIMIT} bytes")]
        pings = 0
        while lines:
            line = lines.pop(0)
            if line == b"PING":
                pings, self._pings = pings + 1, self._pings + 1
                if pings > PINGS_AT_ONCE or self._pings > PINGS_MOST:  # guards the processor
                    return [self._malformed("one PING after another")]
                events.append(Asked())
                continue
            if self._may_show and line.startswith(b"AUTH "):
                self._may_show = False  # a second one is malformed
                events.append(Shown(line[5:]))
                continue
            try:
                first = parse_first_line(line)
            except MalformedLineError as error:
                return [*events, self._malformed(str(error))]
            # Packets of a connection that is open at a server already may be on their way.
            self._may_be_early = first.fields.get("mid") == "1" or "at" in first.fields
            self._early = b"".join(early + END for early in lines) + self._lines.take_rest()
            self.state = ClientState.WAITING
            refused = self._early_bytes()
            return [*events, *(refused or [Opened(first)])]
        return events

    def _early_bytes(self) -> list[ClientEvent]:
        """A client waits for its answer. Guards the servers and memory against one that does not."""
        if not self._early or (self._may_be_early and len(self._early) <= HELD_LIMIT):
            return []
        return [self._malformed("more came before the answer to the first line")]

    def _malformed(self, reason: str) -> Malformed:
        self.state = ClientState.OVER
        return Malformed(reason)

    def stand(self) -> Onward:
        """The server took the connection. What the client sent early goes on first."""
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

    @property
    def begun(self) -> bool:
        """True if a part of a line has come."""
        return not self._lines.between

    def close(self) -> None:
        """The client has its last answer."""
        self.state = ClientState.OVER
