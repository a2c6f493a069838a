"""The request line that opens a connection, its attributes, and the reply that rejects a request."""

from __future__ import annotations

import hashlib
import math
import re

from msgspec import Struct

from ironmill.errors import IronmillError
from ironmill.protocol.lines import LINE_END

# A longer deadline is an error. Clients whose connection was open before this process started send a deadline
# of 4,294,967 ms, the largest number of microseconds that fits in 32 bits; it must be accepted.
MAX_DEADLINE_MS = 86_400_000

# Names of the request line's fields on the wire.
_CLASS, _DEADLINE, _GROUP, _TENANT, _LOAD_HINT = "c", "d", "g", "t", "h"
_RETRY, _RECONNECT, _MID_STREAM, _SERVER = "r", "again", "mid", "at"


class MalformedLineError(IronmillError):
    """Raised for a line that is not a valid request line."""


class RequestLine(Struct, frozen=True):
    """A parsed request line."""

    raw: bytes  # with the CRLF
    id: str
    key: str
    class_name: str
    fields: dict[str, str]  # by their names on the wire

    @property
    def deadline_s(self) -> float | None:
        """How many seconds the client waits for its final answer; None if the line does not state it."""
        deadline_ms = self.fields.get(_DEADLINE)
        return None if deadline_ms is None else int(deadline_ms) / 1000.0

    @property
    def resumes_at(self) -> str | None:
        """The id of the server to which the connection was open before this process started, or None."""
        return self.fields.get(_SERVER)

    @property
    def may_have_early_data(self) -> bool:
        """True if data may precede the answer, because the connection is already open at a server."""
        return self.fields.get(_MID_STREAM) == "1" or _SERVER in self.fields

    def with_deadline(self, milliseconds: int) -> bytes:
        """Returns the raw line with the value of its field ``d`` replaced, if it has that field."""
        head, space, field_list = self.raw.rpartition(b" ")
        return head + space + re.sub(rb"(^|,)d=[0-9]+", rb"\g<1>d=%d" % milliseconds, field_list, count=1)


class RequestAttributes(Struct, frozen=True):
    """The attributes of a request line other than the class and the deadline."""

    tenant: str = ""
    key: int | None = None
    group: int | None = None
    load_hint: float = 0.0  # work per second on a standard core; 0 if unknown
    returning: bool = False  # the client reconnects after a disconnect, a migration or a failed attempt
    rerouted: bool = False  # the request continues a connection that is already open at a server


def parse_request_line(line: bytes) -> RequestLine:
    """Parses ``OPEN ID KEY name=value,...``.

    Raises ``MalformedLineError``. Its message states the violated rule, and contains no bytes from the
    client, because they may contain a credential and the message is logged.
    """
    try:
        parts = line.decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise MalformedLineError("request line is not ASCII") from None
    if len(parts) != 4 or parts[0] != "OPEN" or not all(parts):
        raise MalformedLineError("request line is not of the form OPEN ID KEY name=value,...")
    fields = _parse_fields(parts[3])
    if _CLASS not in fields:
        raise MalformedLineError("request line has no class (field c)")
    deadline = fields.get(_DEADLINE)
    if deadline is not None and not _is_valid_deadline(deadline):
        raise MalformedLineError(
            f"field d of the request line is not a number of milliseconds up to {MAX_DEADLINE_MS}"
        )
    return RequestLine(line + LINE_END, parts[1], parts[2], fields[_CLASS], fields)


def _parse_fields(text: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for item in text.split(","):
        name, equals, value = item.partition("=")
        if not equals or not name:
            raise MalformedLineError("request line has a field that is not of the form name=value")
        if name in fields:
            # A server might use the first of two values where this proxy uses the last.
            raise MalformedLineError("request line has a duplicate field name")
        fields[name] = value
    return fields


def _is_valid_deadline(text: str) -> bool:
    return re.fullmatch(r"[0-9]{1,9}", text) is not None and int(text) <= MAX_DEADLINE_MS


def parse_identifier(text: str | None) -> int | None:
    """Converts a key or group to a number: parses a hexadecimal one, and hashes any other string."""
    if not text:
        return None
    try:
        return int(text, 16)
    except ValueError:
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest())


def request_attributes(line: RequestLine) -> RequestAttributes:
    """Returns the attributes of a request line. A load hint that is not a finite number counts as 0."""
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
    """Returns the reply ``BUSY``, with the delay after which the client may retry if it is positive."""
    milliseconds = math.ceil(retry_after_s * 1000.0)
    return b"BUSY %d\r\n" % milliseconds if milliseconds > 0 else b"BUSY\r\n"
