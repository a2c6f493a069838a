"""Splits a byte stream into lines of text that end with CRLF."""

from __future__ import annotations

from ironmill.errors import IronmillError

MAX_LINE_BYTES = 4096  # without the line's end
LINE_END = b"\r\n"


class LineTooLongError(IronmillError):
    """A line is longer than ``MAX_LINE_BYTES``."""


class LineReader:
    """Splits a stream into lines and buffers at most ``MAX_LINE_BYTES`` of an incomplete one.

    A strict reader raises ``LineTooLongError``. The other kind observes a stream that is forwarded unchanged:
    it returns the first ``MAX_LINE_BYTES`` of a line that is too long.
    """

    __slots__ = ("_buffer", "_strict", "_truncated")

    def __init__(self, *, strict: bool = True) -> None:
        """``strict``: a line that is too long raises ``LineTooLongError``."""
        self._strict = strict
        self._buffer = b""
        self._truncated = False  # only the start of the incomplete line is buffered

    @property
    def at_line_boundary(self) -> bool:
        """True if the last byte fed ended a line, or none has been fed."""
        return not self._buffer and not self._truncated

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that the bytes complete, without their ends.

        Raises ``LineTooLongError`` if the reader is strict and a line exceeds the limit.
        """
        *lines, rest = (self._buffer + data).split(LINE_END)
        if self._truncated and lines:
            lines[0] = lines[0][:MAX_LINE_BYTES]
            self._truncated = False
        if self._strict and any(len(line) > MAX_LINE_BYTES for line in (*lines, rest.removesuffix(b"\r"))):
            raise LineTooLongError(f"a line holds more than {MAX_LINE_BYTES} bytes")
        if len(rest) > MAX_LINE_BYTES:
            # The last byte is kept because a CR may be the first half of the line's end.
            rest = rest[: MAX_LINE_BYTES - 1] + rest[-1:]
            self._truncated = True
        self._buffer = rest
        return [line[:MAX_LINE_BYTES] for line in lines]

    def take_partial(self) -> bytes:
        """Returns the bytes of the incomplete line and removes them from the buffer."""
        rest = self._buffer
        self._buffer = b""
        return rest
