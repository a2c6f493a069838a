"""Parses HTTP/1.1 responses. Responses that exceed the size limits are rejected."""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct

from ironmill.errors import IronmillError

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024


class HttpError(IronmillError):
    """Raised for a response that is malformed, too large or not usable."""


class Response(Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    body: bytes
    keep_alive: bool


class _State(Enum):
    """The part of a response that the parser expects next."""

    HEAD = auto()
    SIZED_BODY = auto()  # a body with a Content-Length
    CHUNK_SIZE = auto()
    CHUNK = auto()
    TRAILER = auto()
    UNSIZED_BODY = auto()  # a body that ends with the connection


class ResponseParser:
    """Parses the consecutive responses of one connection."""

    def __init__(self) -> None:
        """Creates a parser that expects the head of a response."""
        self._buffer = b""
        self._expect_response()

    def _expect_response(self) -> None:
        self._state = _State.HEAD
        self._status = 0
        self._keep_alive = True
        self._remaining = 0
        self._body: list[bytes] = []
        self._body_size = 0

    def feed(self, data: bytes) -> list[Response]:
        """Returns the responses that the bytes complete. Raises ``HttpError`` for an invalid one."""
        self._buffer += data
        responses = []
        while (response := self._parse_part()) is not None:
            if isinstance(response, Response):
                responses.append(response)
                self._expect_response()
        return responses

    @property
    def at_message_boundary(self) -> bool:
        """True if no byte of a further response has been received."""
        return self._state is _State.HEAD and not self._buffer

    def end_of_stream(self) -> Response | None:
        """Returns the response that the end of the connection completes, if any."""
        if self._state is _State.UNSIZED_BODY:
            return self._complete_response()
        return None

    def _complete_response(self) -> Response:
        return Response(self._status, b"".join(self._body), self._keep_alive)

    def _parse_part(self) -> Response | bool | None:
        """Parses one part. Returns a complete response, True for progress, None if it needs more bytes."""
        match self._state:
            case _State.HEAD:
                return self._parse_head()
            case _State.CHUNK_SIZE:
                return self._parse_chunk_size()
            case _State.TRAILER:
                return self._parse_trailer()
            case _State.UNSIZED_BODY:
                self._take_body_bytes(len(self._buffer))
                return None
            case _State.SIZED_BODY | _State.CHUNK:
                self._remaining -= self._take_body_bytes(self._remaining)
                if self._remaining > 0:
                    return None
                return self._complete_response() if self._state is _State.SIZED_BODY else self._end_chunk()

    def _end_chunk(self) -> bool | None:
        if len(self._buffer) < 2:
            return None
        if not self._buffer.startswith(b"\r\n"):
            raise HttpError("chunk is not followed by CRLF, or its stated size is wrong")
        self._buffer = self._buffer[2:]
        self._state = _State.CHUNK_SIZE
        return True

    def _parse_trailer(self) -> Response | bool | None:
        line = self._take_line()
        if line is None:
            return None
        return True if line else self._complete_response()

    def _parse_head(self) -> Response | bool | None:
        head, found, rest = self._buffer.partition(b"\r\n\r\n")
        if len(head) > MAX_HEAD_BYTES:
            raise HttpError(f"response head exceeds {MAX_HEAD_BYTES} bytes")
        if not found:
            return None
        self._buffer = rest
        status_line, *field_lines = head.decode("latin-1").split("\r\n")
        parts = status_line.split(" ", 2)
        if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not parts[1].isdigit():
            raise HttpError(f"{status_line[:60]!r} is not an HTTP status line")
        self._status = int(parts[1])
        if 100 <= self._status < 200:  # an interim response; the final one follows
            return True
        fields = _parse_fields(field_lines)
        self._keep_alive = "close" not in fields.get("connection", "") and parts[0] != "HTTP/1.0"
        if self._status in (204, 304):
            return self._complete_response()
        self._expect_body(fields)
        return True

    def _expect_body(self, fields: dict[str, str]) -> None:
        if fields.get("transfer-encoding", "").endswith("chunked"):
            self._state = _State.CHUNK_SIZE
        elif "content-length" in fields:
            if not fields["content-length"].isdigit():
                raise HttpError("Content-Length is not a number")
            self._remaining = int(fields["content-length"])
            self._check_size(self._remaining)
            self._state = _State.SIZED_BODY
        else:
            self._keep_alive = False
            self._state = _State.UNSIZED_BODY

    def _parse_chunk_size(self) -> bool | None:
        line = self._take_line()
        if line is None:
            return None
        try:
            self._remaining = int(line.partition(b";")[0], 16)
        except ValueError:
            raise HttpError("chunk size is not a hexadecimal number") from None
        if self._remaining < 0:
            raise HttpError("chunk size is negative")
        self._check_size(self._body_size + self._remaining)
        self._state = _State.CHUNK if self._remaining else _State.TRAILER
        return True

    def _take_line(self) -> bytes | None:
        line, found, rest = self._buffer.partition(b"\r\n")
        if len(line) > MAX_HEAD_BYTES:
            raise HttpError(f"response line exceeds {MAX_HEAD_BYTES} bytes")
        if not found:
            return None
        self._buffer = rest
        return line

    def _take_body_bytes(self, count: int) -> int:
        piece, self._buffer = self._buffer[:count], self._buffer[count:]
        self._body.append(piece)
        self._body_size += len(piece)
        self._check_size(self._body_size)
        return len(piece)

    @staticmethod
    def _check_size(size: int) -> None:
        if size > MAX_BODY_BYTES:
            raise HttpError(f"response body exceeds {MAX_BODY_BYTES} bytes")


def _parse_fields(lines: list[str]) -> dict[str, str]:
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip().lower()
    return fields
