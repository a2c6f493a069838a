"""Addresses that recently presented tokens with invalid signatures."""

from __future__ import annotations

from collections import OrderedDict

SUSPECT_AFTER = 5  # invalid signatures, after subtracting one for each valid signature
MEMORY_S = 10.0  # an address is forgotten this long after its last invalid signature
MAX_ADDRESSES = 4096


class SuspectAddresses:
    """Counts invalid signatures by address, for a limited number of addresses; removes the oldest first."""

    def __init__(self) -> None:
        """Creates a record without addresses."""
        self._failures: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def __contains__(self, address: str) -> bool:
        """Returns True if too many invalid signatures came from the address."""
        return self._failures.get(address, (0, 0.0))[0] >= SUSPECT_AFTER

    def record_failure(self, address: str, now: float) -> None:
        """Counts an invalid signature from the address."""
        count, failed_at = self._failures.pop(address, (0, now))
        self._failures[address] = (count + 1, now) if now - failed_at < MEMORY_S else (1, now)
        while len(self._failures) > MAX_ADDRESSES:
            self._failures.popitem(last=False)

    def record_success(self, address: str) -> None:
        """Subtracts one failure, because valid callers may share an address with an attacker.

        Must not be called for a cached token: an attacker could present the same valid token repeatedly to
        offset its forged ones.
        """
        count, failed_at = self._failures.get(address, (0, 0.0))
        if count > 0:
            self._failures[address] = (count - 1, failed_at)

    def forget_old(self, now: float) -> None:
        """Removes addresses without a recent failure."""
        while self._failures:
            address, (_, failed_at) = next(iter(self._failures.items()))
            if now - failed_at < MEMORY_S:
                break
            del self._failures[address]
