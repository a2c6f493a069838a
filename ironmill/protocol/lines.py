"""Lines of text that end with CRLF, cut from bytes as they come."""

from __future__ import annotations

LIMIT = 4096
END = b"\r\n"


class LineTooLongError(Exception):
    """More bytes than a line may hold have come without its end."""


class Lines:
    """Cuts a stream into lines and never holds more than one line's length of it.

    A strict one raises on an over-long line. The other is for streams that go on unchanged anyway:
    it keeps the head of such a line.
    """

    __slots__ = ("_cut", "_held", "_strict")

    def __init__(self, strict: bool = True) -> None:
        self._strict = strict
        self._held = b""
        self._cut = False  # the line under way is over-long and its head alone is held

    @property
    def between(self) -> bool:
        """True if the last byte fed ended a line, or none has come."""
        return not self._held and not self._cut

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that the bytes complete, without their ends."""
        *lines, rest = (self._held + data).split(END)
        if self._cut and lines:
            lines[0], self._cut = lines[0][:LIMIT], False
        if self._strict and any(len(line) > LIMIT for line in (*lines, rest.removesuffix(b"\r"))):
            raise LineTooLongError
        if len(rest) > LIMIT:
            # The last byte stays, for a CR there may be the first half of the end.
            rest, self._cut = rest[: LIMIT - 1] + rest[-1:], True
        self._held = rest
        return [line[:LIMIT] for line in lines]

    def take_rest(self) -> bytes:
        """What has come of the line under way; it is held no longer."""
        rest, self._held = self._held, b""
        return rest
