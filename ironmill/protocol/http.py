"""A parser for HTTP/1.1 responses, fed bytes. Bounded: a response that is too large is an error."""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct

HEAD_LIMIT = 16 * 1024
BODY_LIMIT = 8 * 1024 * 1024


class HttpError(Exception):
    """The bytes are no response that this parser takes."""


class Response(Struct, frozen=True):
    """A whole response."""

    status: int
    body: bytes
    keep_alive: bool


class _Part(Enum):
    HEAD = auto()
    LENGTH = auto()  # a body of stated length
    SIZE = auto()  # the size line of a chunk
    CHUNK = auto()
    TRAILER = auto()
    TO_END = auto()  # a body that the end of the connection ends


class ResponseParser:
    """Parses one response after another on a connection."""

    def __init__(self) -> None:
        self._data = b""
        self._begin()

    def _begin(self) -> None:
        self._part = _Part.HEAD
        self._status = 0
        self._keep_alive = True
        self._left = 0
        self._body: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> list[Response]:
        """The responses that the bytes complete."""
        self._data += data
        done = []
        while (response := self._step()) is not None:
            if isinstance(response, Response):
                done.append(response)
                self._begin()
        return done

    @property
    def between(self) -> bool:
        """True if nothing of a next response has come."""
        return self._part is _Part.HEAD and not self._data

    def end(self) -> Response | None:
        """The connection ended: the response that this completes, if any."""
        if self._part is _Part.TO_END:
            return self._response()
        return None

    def _response(self) -> Response:
        return Response(self._status, b"".join(self._body), self._keep_alive)

    def _step(self) -> Response | bool | None:
        """One part further: a response, True for progress, None if more bytes are needed."""
        match self._part:
            case _Part.HEAD:
                return self._head()
            case _Part.SIZE:
                line = self._line()
                return None if line is None else self._chunk_size(line)
            case _Part.TRAILER:
                line = self._line()
                if line is None:
                    return None
                return True if line else self._response()
            case _Part.TO_END:
                self._take(len(self._data))
                return None
            case _Part.LENGTH | _Part.CHUNK:
                self._left -= self._take(self._left)
                if self._left > 0:
                    return None
                if self._part is _Part.LENGTH:
                    return self._response()
                if len(self._data) < 2:
                    return None
                if not self._data.startswith(b"\r\n"):
                    raise HttpError("a chunk does not end where it says")
                self._data = self._data[2:]
                self._part = _Part.SIZE
                return True

    def _head(self) -> Response | bool | None:
        head, found, rest = self._data.partition(b"\r\n\r\n")
        if len(head) > HEAD_LIMIT:
            raise HttpError("the head is too large")
        if not found:
            return None
        self._data = rest
        first, *lines = head.decode("latin-1").split("\r\n")
        words = first.split(" ", 2)
        if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
            raise HttpError(f"not a status line: {first[:60]!r}")
        self._status = int(words[1])
        if 100 <= self._status < 200:  # an interim response: the real one follows
            return True
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip().lower()
        self._keep_alive = "close" not in fields.get("connection", "") and words[0] != "HTTP/1.0"
        if self._status in (204, 304):
            return self._response()
        if fields.get("transfer-encoding", "").endswith("chunked"):
            self._part = _Part.SIZE
        elif "content-length" in fields:
            if not fields["content-length"].isdigit():
                raise HttpError("the content length is no number")
            self._left = int(fields["content-length"])
            self._bound(self._left)
            self._part = _Part.LENGTH
        else:
            self._keep_alive = False
            self._part = _Part.TO_END
        return True

    def _chunk_size(self, line: bytes) -> bool:
        try:
            self._left = int(line.partition(b";")[0], 16)
        except ValueError:
            raise HttpError("the size of a chunk is no number") from None
        if self._left < 0:
            raise HttpError("the size of a chunk is negative")
        self._bound(self._size + self._left)
        self._part = _Part.CHUNK if self._left else _Part.TRAILER
        return True

    def _line(self) -> bytes | None:
        line, found, rest = self._data.partition(b"\r\n")
        if len(line) > HEAD_LIMIT:
            raise HttpError("a line is too long")
        if not found:
            return None
        self._data = rest
        return line

    def _take(self, count: int) -> int:
        piece, self._data = self._data[:count], self._data[count:]
        self._body.append(piece)
        self._size += len(piece)
        self._bound(self._size)
        return len(piece)

    @staticmethod
    def _bound(size: int) -> None:
        if size > BODY_LIMIT:
            raise HttpError("the body is too large")
