"""Detection of replayed datagrams by their sequence numbers."""

from __future__ import annotations


class ReplayWindow:
    """The recently received sequence numbers of one sender, as a sliding bit mask below the highest one."""

    SIZE = 512  # sequence numbers; a sender uses about 25 per second, and datagrams may be reordered

    __slots__ = ("_highest", "_received")

    def __init__(self) -> None:
        """Creates an empty window, which accepts any first sequence number."""
        self._highest = -1
        self._received = 0  # bit N stands for the number N below the highest one

    def accept(self, count: int) -> bool:
        """Records a sequence number; returns False if it is repeated or older than the window."""
        distance = count - self._highest
        if distance > 0:
            self._received = ((self._received << min(distance, self.SIZE)) | 1) & ((1 << self.SIZE) - 1)
            self._highest = count
            return True
        bit = 1 << -distance
        if -distance >= self.SIZE or self._received & bit:
            return False
        self._received |= bit
        return True
