"""Limits the number of client connections so that the process stays within its configured descriptors.

A connection is silent until its request line has arrived. It is then admitted, which reserves a second
descriptor for its attempt, and leaving once it has its final answer. When descriptors run short, the oldest
silent connection is evicted, because a normal client sends its request at once. This module has no access to
sockets.
"""

from __future__ import annotations

import logging
from enum import Enum, auto
from itertools import islice
from typing import Protocol

from ironmill.runtime.rate_limited_log import LogRateLimiter

# Descriptors for other purposes: 3 for the standard streams, 1 for the poller, 2 for signals, 3 for listeners
# (clients, TLS, admin API), 12 for connections to the admin API, 2 for discovery while its address changes,
# 4 for its late responses, 1 for a file being read, 1 for membership, 20 for health checks, and 1 for the
# connection being accepted.
RESERVED_DESCRIPTORS = 50
# If silent connections have 1 / SILENT_DIVISOR of the configured descriptors, each new connection evicts one
# of them. Leaving connections have at most 1 / LEAVING_DIVISOR. Almost a third each then remains for requests
# and for their attempts.
SILENT_DIVISOR = 4
LEAVING_DIVISOR = 8
MIN_CLIENT_DESCRIPTORS = 16  # minimum for clients, however few descriptors are configured
MAX_EVICTION_CANDIDATES = 16  # connections checked for each eviction; each check is a system call

log = logging.getLogger("ironmill.requests.admission")


class Phase(Enum):
    """The state of a connection, which determines how many descriptors it counts for."""

    SILENT = auto()
    ADMITTED = auto()
    LEAVING = auto()
    CLOSED = auto()


class Evict(Protocol):
    """A callback that closes a silent connection."""

    def __call__(self, *, immediately: bool) -> bool:
        """Closes the connection.

        If ``immediately``, it is closed without parking; otherwise only after its answer has had time to
        arrive. Returns False and does nothing if the connection has unread bytes.
        """


def _nothing_to_evict(*, immediately: bool) -> bool:
    """Returns False; replaces the eviction callback of a leaving or closed connection."""
    return False


class ConnectionSlot:
    """A client connection as the limiter counts it."""

    __slots__ = ("client_id", "evict", "phase")

    def __init__(self, evict: Evict) -> None:
        """Creates the slot of a silent connection. Only ``ConnectionLimiter.enter`` may create slots."""
        self.evict = evict
        self.client_id = ""  # empty until ``claim_id``
        self.phase = Phase.SILENT


class ConnectionLimiter:
    """Counts the descriptors of client connections and attempts, and tracks which client ids are in use."""

    def __init__(self, configured_descriptors: int) -> None:
        """Creates a limiter for a process that may open ``configured_descriptors`` descriptors."""
        self.max_descriptors = max(MIN_CLIENT_DESCRIPTORS, configured_descriptors - RESERVED_DESCRIPTORS)
        self.max_silent = max(MIN_CLIENT_DESCRIPTORS // 2, configured_descriptors // SILENT_DIVISOR)
        self.max_leaving = max(MIN_CLIENT_DESCRIPTORS // 4, configured_descriptors // LEAVING_DIVISOR)
        self._silent: dict[ConnectionSlot, None] = {}  # oldest first
        self._admitted = 0
        self._leaving = 0
        self._client_ids: set[str] = set()
        self._log_throttle = LogRateLimiter()

    def used(self) -> int:
        """Returns how many descriptors client connections use or reserve for their attempts."""
        return len(self._silent) + 2 * self._admitted + self._leaving

    def enter(self, evict: Evict) -> ConnectionSlot | None:
        """Adds an accepted connection, evicting a silent one if needed. Returns None if there is no room."""
        if len(self._silent) >= self.max_silent or self.used() >= self.max_descriptors:
            self._make_room()
        if self.used() >= self.max_descriptors:
            return None
        slot = ConnectionSlot(evict)
        self._silent[slot] = None
        return slot

    def admit(self, slot: ConnectionSlot) -> bool:
        """Reserves a descriptor for the attempt of a silent connection.

        Returns False if no descriptor is free or the connection is not silent.
        """
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
        """Reserves a client id until the connection is leaving or removed.

        Returns False if another connection has reserved it.
        """
        if client_id in self._client_ids:
            return False
        slot.client_id = client_id
        self._client_ids.add(client_id)
        return True

    def start_leaving(self, slot: ConnectionSlot) -> bool:
        """Marks a connection that has its final answer as leaving.

        Returns False if too many connections are leaving; this one must then be closed without a delay.
        """
        self._release(slot)
        if self._leaving >= self.max_leaving:
            return False
        slot.phase = Phase.LEAVING
        self._leaving += 1
        return True

    def leave(self, slot: ConnectionSlot) -> None:
        """Removes a connection whose socket is closed. Further calls do nothing."""
        self._release(slot)

    def log_violation(self, reason: str) -> None:
        """Logs why a client was rejected, at a limited rate."""
        suppressed = self._log_throttle.allow()
        if suppressed is not None:
            log.info("client rejected: %s (%d similar messages suppressed)", reason, suppressed)

    def evict_silent(self) -> None:
        """Closes all silent connections at shutdown, after their answers have had time to arrive."""
        for slot in list(self._silent):
            slot.evict(immediately=False)

    def _make_room(self) -> None:
        """Evicts the oldest silent connection that has no unread bytes; unread bytes are about to be read."""
        for slot in islice(self._silent, MAX_EVICTION_CANDIDATES):
            if slot.evict(immediately=True):
                self._release(slot)
                return

    def _release(self, slot: ConnectionSlot) -> None:
        if slot.phase is Phase.SILENT:
            self._silent.pop(slot, None)
        elif slot.phase is Phase.ADMITTED:
            self._admitted -= 1
        elif slot.phase is Phase.LEAVING:
            self._leaving -= 1
        slot.phase = Phase.CLOSED
        slot.evict = _nothing_to_evict  # breaks the reference cycle between the slot and its connection
        self._client_ids.discard(slot.client_id)
        slot.client_id = ""
