"""The line that opens a connection, what it states about a request, and the reply that rejects one."""

from __future__ import annotations

import hashlib
import math
import re

from msgspec import Struct

from ironmill.errors import IronmillError
from ironmill.protocol.lines import LINE_END

# Clients whose connection was open before this process started send 4,294,967 ms, the largest number of
# microseconds in 32 bits; anything beyond a day is an error.
MAX_DEADLINE_MS = 86_400_000

# Names of the request line's fields on the wire.
_CLASS, _DEADLINE, _GROUP, _TENANT, _LOAD_HINT = "c", "d", "g", "t", "h"
_RETRY, _RECONNECT, _MID_STREAM, _SERVER = "r", "again", "mid", "at"


class MalformedLineError(IronmillError):
    """A request line that does not have the protocol's form."""


class RequestLine(Struct, frozen=True):
    """A parsed request line."""

    raw: bytes  # with the line's end
    id: str
    key: str
    class_name: str
    fields: dict[str, str]  # by their names on the wire

    @property
    def deadline_s(self) -> float | None:
        """Seconds for which the client waits for its final answer; None if the line does not state it."""
        deadline_ms = self.fields.get(_DEADLINE)
        return None if deadline_ms is None else int(deadline_ms) / 1000.0

    @property
    def resumes_at(self) -> str | None:
        """The id of the server at which the connection was opened before this process started, if any."""
        return self.fields.get(_SERVER)

    @property
    def may_have_early_data(self) -> bool:
        """True if bytes of a connection that is already open at a server may follow before the answer."""
        return self.fields.get(_MID_STREAM) == "1" or _SERVER in self.fields

    def with_deadline(self, milliseconds: int) -> bytes:
        """Returns the raw line with ``d`` replaced, if the line states one."""
        head, space, listed = self.raw.rpartition(b" ")
        return head + space + re.sub(rb"(^|,)d=[0-9]+", rb"\g<1>d=%d" % milliseconds, listed, count=1)


class RequestAttributes(Struct, frozen=True):
    """What a request line states beyond the class and the deadline."""

    tenant: str = ""
    key: int | None = None
    group: int | None = None
    load_hint: float = 0.0  # work per second on a standard core; 0: unknown
    returning: bool = False  # the client reconnects after a break, a migration or a failed attempt
    rerouted: bool = False  # packets of a connection that is open at a server


def parse_request_line(line: bytes) -> RequestLine:
    """Parses ``OPEN ID KEY name=value,...``.

    Raises ``MalformedLineError`` that names the broken rule, without any of the client's bytes: they may hold
    a credential, and the text is logged.
    """
    try:
        parts = line.decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise MalformedLineError("the request line is not ASCII") from None
    if len(parts) != 4 or parts[0] != "OPEN" or not all(parts):
        raise MalformedLineError("the request line is not OPEN ID KEY LIST")
    fields = _parse_fields(parts[3])
    if _CLASS not in fields:
        raise MalformedLineError("the request line has no class")
    deadline = fields.get(_DEADLINE)
    if deadline is not None and not _is_deadline(deadline):
        raise MalformedLineError(f"d is not a number of milliseconds up to {MAX_DEADLINE_MS}")
    return RequestLine(line + LINE_END, parts[1], parts[2], fields[_CLASS], fields)


def _parse_fields(text: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for item in text.split(","):
        name, equals, value = item.partition("=")
        if not equals or not name:
            raise MalformedLineError("the list of the request line holds an item that is not name=value")
        if name in fields:
            # A server might read the first of two values where this proxy reads the last.
            raise MalformedLineError("a name occurs twice in the list of the request line")
        fields[name] = value
    return fields


def _is_deadline(text: str) -> bool:
    return re.fullmatch(r"[0-9]{1,9}", text) is not None and int(text) <= MAX_DEADLINE_MS


def parse_identifier(text: str | None) -> int | None:
    """Converts a key or group to a number: hexadecimal as clients send it, a digest of any other text."""
    if not text:
        return None
    try:
        return int(text, 16)
    except ValueError:
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest())


def request_attributes(line: RequestLine) -> RequestAttributes:
    """Returns the typed attributes of a request line; a load hint that is not a finite number counts as 0."""
    fields = line.fields
    try:
        hint = max(0.0, float(fields.get(_LOAD_HINT, "0")))
    except ValueError:
        hint = 0.0
    return RequestAttributes(
        tenant=fields.get(_TENANT, ""),
        key=parse_identifier(line.key),
        group=parse_identifier(fields.get(_GROUP)),
        load_hint=hint if math.isfinite(hint) else 0.0,
        returning=fields.get(_RECONNECT) == "1" or fields.get(_RETRY) == "1",
        rerouted=fields.get(_MID_STREAM) == "1",
    )


def busy_line(retry_after_s: float) -> bytes:
    """Returns the reply ``BUSY``: a retry is harmless, after so many seconds where the number is positive."""
    milliseconds = math.ceil(retry_after_s * 1000.0)
    return b"BUSY %d\r\n" % milliseconds if milliseconds > 0 else b"BUSY\r\n"
