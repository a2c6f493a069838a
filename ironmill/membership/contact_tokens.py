"""Stateless tokens that prove contact in both directions, shared by membership and distribution."""

from __future__ import annotations

import hashlib


class ContactTokens:
    """Issues tokens whose return proves that a process has recently received datagrams of this one.

    A token is a keyed hash of the receiver and the time, so issuing one stores nothing.
    """

    ROTATION_INTERVAL_S = 1.0
    ACCEPTED_PERIODS = 3  # the current one and those before it

    def __init__(self, secret: bytes) -> None:
        """``secret`` keys the hash; it must not leave this process."""
        self._secret = secret

    def issue(self, name: str, incarnation: int, now: float, periods_ago: int = 0) -> int:
        """Returns the token of the present period for one process; it is never 0."""
        period = int(now / self.ROTATION_INTERVAL_S) - periods_ago
        text = f"{name}\n{incarnation}\n{period}".encode()
        return int.from_bytes(hashlib.blake2b(text, key=self._secret, digest_size=4).digest()) | 1

    def verify(self, name: str, incarnation: int, echo: int, now: float) -> bool:
        """Returns whether ``echo`` is a token that was issued to that process and is still accepted."""
        return echo != 0 and any(
            echo == self.issue(name, incarnation, now, periods_ago)
            for periods_ago in range(self.ACCEPTED_PERIODS)
        )
