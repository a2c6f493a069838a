"""Stateless tokens that prove two-way contact, shared by membership and distribution."""

from __future__ import annotations

import hashlib


class ContactTokens:
    """Issues tokens; a process that echoes one has recently received a datagram from this process.

    A token is a keyed hash of the receiver and the time, so no issued token has to be stored.
    """

    ROTATION_INTERVAL_S = 1.0
    ACCEPTED_PERIODS = 3  # the current rotation period and the two before it

    def __init__(self, secret: bytes) -> None:
        """Creates the issuer; ``secret`` is the key of the hash and must not leave this process."""
        self._secret = secret

    def issue(self, name: str, incarnation: int, now: float, periods_ago: int = 0) -> int:
        """Returns the token for one process, which is never 0.

        The token belongs to the current rotation period, or to one that lies ``periods_ago`` before it.
        """
        period = int(now / self.ROTATION_INTERVAL_S) - periods_ago
        text = f"{name}\n{incarnation}\n{period}".encode()
        return int.from_bytes(hashlib.blake2b(text, key=self._secret, digest_size=4).digest()) | 1

    def verify(self, name: str, incarnation: int, echo: int, now: float) -> bool:
        """Returns whether ``echo`` is a token that was issued to the named process and is still accepted."""
        return echo != 0 and any(
            echo == self.issue(name, incarnation, now, periods_ago)
            for periods_ago in range(self.ACCEPTED_PERIODS)
        )
