"""Detects repeated datagrams by their sequence numbers."""

from __future__ import annotations


class ReplayWindow:
    """The recent sequence numbers of one sender, as a bit set that slides with the highest one."""

    SIZE = 512  # sequence numbers; a sender uses some 25 a second, and datagrams may be reordered

    __slots__ = ("_highest", "_received")

    def __init__(self) -> None:
        """Starts empty, so it accepts any first sequence number."""
        self._highest = -1
        self._received = 0  # bit 0 is the highest number

    def accept(self, count: int) -> bool:
        """Records a sequence number; returns False if it is a repeated one, or older than the window."""
        ahead = count - self._highest
        if ahead > 0:
            self._received = ((self._received << min(ahead, self.SIZE)) | 1) & ((1 << self.SIZE) - 1)
            self._highest = count
            return True
        bit = 1 << -ahead
        if -ahead >= self.SIZE or self._received & bit:
            return False
        self._received |= bit
        return True
