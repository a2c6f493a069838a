"""Splits a byte stream into lines that end with CRLF."""

from __future__ import annotations

from ironmill.errors import IronmillError

MAX_LINE_BYTES = 4096  # without the CRLF
LINE_END = b"\r\n"


class LineTooLongError(IronmillError):
    """Raised for a line that is longer than ``MAX_LINE_BYTES``."""


class LineReader:
    """Splits a stream into lines and buffers at most ``MAX_LINE_BYTES`` of an incomplete one.

    A strict reader raises ``LineTooLongError`` for a longer line. A reader that is not strict observes a
    stream that is forwarded unchanged, and returns only the first ``MAX_LINE_BYTES`` of a longer line.
    """

    __slots__ = ("_buffer", "_strict", "_truncated", "partial_bytes")

    def __init__(self, *, strict: bool = True) -> None:
        """Creates a reader. If ``strict`` is True, a line that is too long raises ``LineTooLongError``."""
        self._strict = strict
        self._buffer = b""
        self._truncated = False  # whether only a part of the incomplete line is buffered
        self.partial_bytes = 0  # length of the incomplete line at the end of the bytes fed so far

    @property
    def at_line_boundary(self) -> bool:
        """True if the bytes fed so far end with a complete line, or none have been fed."""
        return not self.partial_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that the bytes complete, without their CRLF.

        Raises ``LineTooLongError`` if the reader is strict and a line exceeds the limit.
        """
        *lines, rest = (self._buffer + data).split(LINE_END)
        self.partial_bytes = len(rest) if lines else self.partial_bytes + len(data)
        if self._truncated and lines:
            lines[0] = lines[0][:MAX_LINE_BYTES]
            self._truncated = False
        if self._strict and any(len(line) > MAX_LINE_BYTES for line in (*lines, rest.removesuffix(b"\r"))):
            raise LineTooLongError(f"line exceeds {MAX_LINE_BYTES} bytes")
        if len(rest) > MAX_LINE_BYTES:
            # The last byte is kept because it may be the CR of the line's CRLF.
            rest = rest[: MAX_LINE_BYTES - 1] + rest[-1:]
            self._truncated = True
        self._buffer = rest
        return [line[:MAX_LINE_BYTES] for line in lines]

    def take_partial(self) -> bytes:
        """Removes the bytes of the incomplete line from the buffer and returns them."""
        rest = self._buffer
        self._buffer = b""
        self.partial_bytes = 0
        return rest
