"""Parses HTTP/1.1 responses from bytes. A response that exceeds the limits on its size is an error."""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct

from ironmill.errors import IronmillError

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024


class HttpError(IronmillError):
    """A response that is malformed, too large or unusable."""


class Response(Struct, frozen=True):
    """A complete response."""

    status: int
    body: bytes
    keep_alive: bool


class _State(Enum):
    """The part of a response that is expected next."""

    HEAD = auto()
    SIZED_BODY = auto()  # a body of stated length
    CHUNK_SIZE = auto()
    CHUNK = auto()
    TRAILER = auto()
    UNSIZED_BODY = auto()  # a body that extends to the end of the connection


class ResponseParser:
    """Parses consecutive responses of one connection."""

    def __init__(self) -> None:
        """Expects the head of a response."""
        self._data = b""
        self._reset()

    def _reset(self) -> None:
        self._state = _State.HEAD
        self._status = 0
        self._keep_alive = True
        self._remaining = 0
        self._body: list[bytes] = []
        self._body_size = 0

    def feed(self, data: bytes) -> list[Response]:
        """Returns the responses that the bytes complete. Raises ``HttpError``."""
        self._data += data
        done = []
        while (response := self._step()) is not None:
            if isinstance(response, Response):
                done.append(response)
                self._reset()
        return done

    @property
    def at_message_boundary(self) -> bool:
        """True if no byte of a next response has been received."""
        return self._state is _State.HEAD and not self._data

    def end_of_stream(self) -> Response | None:
        """Returns the response that the end of the connection completes, if any."""
        if self._state is _State.UNSIZED_BODY:
            return self._response()
        return None

    def _response(self) -> Response:
        return Response(self._status, b"".join(self._body), self._keep_alive)

    def _step(self) -> Response | bool | None:
        """Parses one part; returns a complete response, True for progress, None if more bytes are needed."""
        match self._state:
            case _State.HEAD:
                return self._parse_head()
            case _State.CHUNK_SIZE:
                return self._parse_chunk_size()
            case _State.TRAILER:
                return self._parse_trailer()
            case _State.UNSIZED_BODY:
                self._take(len(self._data))
                return None
            case _State.SIZED_BODY | _State.CHUNK:
                self._remaining -= self._take(self._remaining)
                if self._remaining > 0:
                    return None
                return self._response() if self._state is _State.SIZED_BODY else self._end_chunk()

    def _end_chunk(self) -> bool | None:
        if len(self._data) < 2:
            return None
        if not self._data.startswith(b"\r\n"):
            raise HttpError("a chunk is longer than its size line states")
        self._data = self._data[2:]
        self._state = _State.CHUNK_SIZE
        return True

    def _parse_trailer(self) -> Response | bool | None:
        line = self._line()
        if line is None:
            return None
        return True if line else self._response()

    def _parse_head(self) -> Response | bool | None:
        head, found, rest = self._data.partition(b"\r\n\r\n")
        if len(head) > MAX_HEAD_BYTES:
            raise HttpError(f"the head holds more than {MAX_HEAD_BYTES} bytes")
        if not found:
            return None
        self._data = rest
        first, *lines = head.decode("latin-1").split("\r\n")
        parts = first.split(" ", 2)
        if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not parts[1].isdigit():
            raise HttpError(f"{first[:60]!r} is not a status line")
        self._status = int(parts[1])
        if 100 <= self._status < 200:  # an interim response: the real one follows
            return True
        fields = _parse_fields(lines)
        self._keep_alive = "close" not in fields.get("connection", "") and parts[0] != "HTTP/1.0"
        if self._status in (204, 304):
            return self._response()
        self._expect_body(fields)
        return True

    def _expect_body(self, fields: dict[str, str]) -> None:
        if fields.get("transfer-encoding", "").endswith("chunked"):
            self._state = _State.CHUNK_SIZE
        elif "content-length" in fields:
            if not fields["content-length"].isdigit():
                raise HttpError("the content length is not a number")
            self._remaining = int(fields["content-length"])
            self._check_size(self._remaining)
            self._state = _State.SIZED_BODY
        else:
            self._keep_alive = False
            self._state = _State.UNSIZED_BODY

    def _parse_chunk_size(self) -> bool | None:
        line = self._line()
        if line is None:
            return None
        try:
            self._remaining = int(line.partition(b";")[0], 16)
        except ValueError:
            raise HttpError("the size of a chunk is not a number") from None
        if self._remaining < 0:
            raise HttpError("the size of a chunk is negative")
        self._check_size(self._body_size + self._remaining)
        self._state = _State.CHUNK if self._remaining else _State.TRAILER
        return True

    def _line(self) -> bytes | None:
        line, found, rest = self._data.partition(b"\r\n")
        if len(line) > MAX_HEAD_BYTES:
            raise HttpError(f"a line holds more than {MAX_HEAD_BYTES} bytes")
        if not found:
            return None
        self._data = rest
        return line

    def _take(self, count: int) -> int:
        piece, self._data = self._data[:count], self._data[count:]
        self._body.append(piece)
        self._body_size += len(piece)
        self._check_size(self._body_size)
        return len(piece)

    @staticmethod
    def _check_size(size: int) -> None:
        if size > MAX_BODY_BYTES:
            raise HttpError(f"the body holds more than {MAX_BODY_BYTES} bytes")


def _parse_fields(lines: list[str]) -> dict[str, str]:
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip().lower()
    return fields
