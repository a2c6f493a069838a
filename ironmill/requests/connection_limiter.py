"""Limits on clients' connections, counted in descriptors against the configured number.

A connection is silent until its request line has arrived, then admitted, with a second descriptor reserved
for its attempt, and leaving once it has its final answer. Nothing here knows a socket: the oldest silent
connection is evicted where room is needed, because an ordinary client sends its request at once.
"""

from __future__ import annotations

import logging
from enum import Enum, auto
from itertools import islice
from typing import Protocol

from ironmill.runtime.rate_limited_log import LogRateLimiter

# Descriptors for other purposes: standard streams 3, poller 1, signals 2, listeners 3 (clients, TLS, admin
# API), callers of the admin API 12, discovery 2 while it changes its address, a file that is read 1,
# membership 1, health checks 20, and the connection that is being accepted; rounded up.
RESERVED_DESCRIPTORS = 48
# Of the configured descriptors, 1 in so many may be silent, and 1 in so many may be leaving. Requests and
# their attempts take at most a third each.
SILENT_DIVISOR = 4
LEAVING_DIVISOR = 8
MIN_CLIENT_DESCRIPTORS = 16  # however few are configured
MAX_EVICTION_CANDIDATES = 16  # each check is a system call

log = logging.getLogger("ironmill.requests.admission")


class Phase(Enum):
    """How a connection is counted."""

    SILENT = auto()
    ADMITTED = auto()
    LEAVING = auto()
    CLOSED = auto()


class Evict(Protocol):
    """Ends a silent connection."""

    def __call__(self, *, immediately: bool) -> bool:
        """Ends it without parking, or with time for its answer to arrive.

        Returns False, and does nothing, if bytes have arrived that are not read yet.
        """


def _nothing_to_evict(*, immediately: bool) -> bool:
    """Replaces the callback of a closed connection."""
    return False


class ConnectionSlot:
    """One client's connection, as it is counted."""

    __slots__ = ("client_id", "evict", "phase")

    def __init__(self, evict: Evict) -> None:
        """Is created by ``ConnectionLimiter.enter``."""
        self.evict = evict
        self.client_id = ""  # once it is claimed
        self.phase = Phase.SILENT


class ConnectionLimiter:
    """Counts clients' connections and their attempts, and knows which client ids are in use."""

    def __init__(self, sockets: int) -> None:
        """``sockets`` is the configured number of descriptors of the process."""
        self.max_descriptors = max(MIN_CLIENT_DESCRIPTORS, sockets - RESERVED_DESCRIPTORS)
        self.max_silent = max(MIN_CLIENT_DESCRIPTORS // 2, sockets // SILENT_DIVISOR)
        self.max_leaving = max(MIN_CLIENT_DESCRIPTORS // 4, sockets // LEAVING_DIVISOR)
        self._silent: dict[ConnectionSlot, None] = {}  # the oldest first
        self._admitted = 0
        self._leaving = 0
        self._client_ids: set[str] = set()
        self._log_throttle = LogRateLimiter()

    def used(self) -> int:
        """Returns how many descriptors clients use or have reserved for their attempts."""
        return len(self._silent) + 2 * self._admitted + self._leaving

    def enter(self, evict: Evict) -> ConnectionSlot | None:
        """Counts an accepted connection; evicts a silent one if necessary. None if there is no room."""
        if len(self._silent) >= self.max_silent or self.used() >= self.max_descriptors:
            self._make_room()
        if self.used() >= self.max_descriptors:
            return None
        slot = ConnectionSlot(evict)
        self._silent[slot] = None
        return slot

    def admit(self, slot: ConnectionSlot) -> bool:
        """Reserves a descriptor for the attempt of a silent connection. Returns False if there is none."""
        if slot.phase is not Phase.SILENT:
            return False
        del self._silent[slot]
        if self.used() + 2 > self.max_descriptors:
            self._make_room()
        if self.used() + 2 > self.max_descriptors:
            self._silent[slot] = None
            return False
        slot.phase = Phase.ADMITTED
        self._admitted += 1
        return True

    def claim_id(self, slot: ConnectionSlot, client_id: str) -> bool:
        """Reserves a client id until the connection leaves; False if another open connection has it."""
        if client_id in self._client_ids:
            return False
        slot.client_id = client_id
        self._client_ids.add(client_id)
        return True

    def start_leaving(self, slot: ConnectionSlot) -> bool:
        """Counts a connection that has its final answer.

        Returns False if too many are leaving; the connection must then be closed without a delay.
        """
        self._uncount(slot)
        if self._leaving >= self.max_leaving:
            return False
        slot.phase = Phase.LEAVING
        self._leaving += 1
        return True

    def leave(self, slot: ConnectionSlot) -> None:
        """Ends the count of a connection whose socket is closed. Further calls do nothing."""
        self._uncount(slot)

    def log_violation(self, reason: str) -> None:
        """Logs why a client was rejected, at a limited rate."""
        skipped = self._log_throttle.allow()
        if skipped is not None:
            log.info("rejected: %s (%d more since the last such line)", reason, skipped)

    def evict_silent(self) -> None:
        """Ends all silent connections at shutdown, with time for their answers to arrive."""
        for slot in list(self._silent):
            slot.evict(immediately=False)

    def _make_room(self) -> None:
        """Evicts the oldest silent connection that has no unread bytes; others are about to be read."""
        for slot in islice(self._silent, MAX_EVICTION_CANDIDATES):
            if slot.evict(immediately=True):
                self._uncount(slot)
                return

    def _uncount(self, slot: ConnectionSlot) -> None:
        if slot.phase is Phase.SILENT:
            self._silent.pop(slot, None)
        elif slot.phase is Phase.ADMITTED:
            self._admitted -= 1
        elif slot.phase is Phase.LEAVING:
            self._leaving -= 1
        slot.phase = Phase.CLOSED
        slot.evict = _nothing_to_evict  # breaks the cycle between the slot and its connection
        self._client_ids.discard(slot.client_id)
        slot.client_id = ""
