"""Addresses that have lately presented tokens with invalid signatures."""

from __future__ import annotations

from collections import OrderedDict

SUSPECT_AFTER = 5  # invalid signatures, beyond the valid ones
MEMORY_S = 10.0
MAX_ADDRESSES = 4096


class SuspectAddresses:
    """Counts invalid signatures by address. Bounded: the oldest addresses are forgotten first."""

    def __init__(self) -> None:
        """Suspects no address."""
        self._failures: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def __contains__(self, address: str) -> bool:
        """Returns True if too many invalid signatures came from the address."""
        return self._failures.get(address, (0, 0.0))[0] >= SUSPECT_AFTER

    def record_failure(self, address: str, now: float) -> None:
        """Counts an invalid signature."""
        count, failed_at = self._failures.pop(address, (0, now))
        self._failures[address] = (count + 1, now) if now - failed_at < MEMORY_S else (1, now)
        while len(self._failures) > MAX_ADDRESSES:
            self._failures.popitem(last=False)

    def record_success(self, address: str) -> None:
        """Takes one failure back, as valid callers may share an address with a forger.

        Must not be called for a token whose signature was cached, which proves nothing.
        """
        count, failed_at = self._failures.get(address, (0, 0.0))
        if count > 0:
            self._failures[address] = (count - 1, failed_at)

    def forget_old(self, now: float) -> None:
        """Forgets addresses without a recent failure."""
        while self._failures:
            address, (_, failed_at) = next(iter(self._failures.items()))
            if now - failed_at < MEMORY_S:
                break
            del self._failures[address]
