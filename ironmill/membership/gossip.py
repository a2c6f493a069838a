"""Gossip updates on their way to other members, which travel in pings and acks."""

from __future__ import annotations

import math
from collections.abc import Sequence

from msgspec import Raw, Struct

from ironmill.membership.codec import encode_update
from ironmill.membership.limits import MAX_DATAGRAM_BYTES
from ironmill.membership.messages import GossipUpdate, MemberRecord
from ironmill.membership.view import View

MAX_UPDATE_BYTES = 850  # in one datagram, which leaves space for the other fields and the signature
TRANSMIT_FACTOR = 2.0  # each update is sent this many times the binary logarithm of the known members
MAX_PENDING_UPDATES = 4096

assert MAX_UPDATE_BYTES < MAX_DATAGRAM_BYTES


class PendingBroadcast(Struct):
    """An update that has to be sent further."""

    update: GossipUpdate
    data: bytes
    transmissions: int = 0


def _key(update: GossipUpdate) -> tuple[str, str]:
    """Returns the key by which a newer update replaces an older one."""
    if isinstance(update, MemberRecord):
        return "", update.identity.name
    return update.observer, update.subject


class BroadcastQueue:
    """Pending updates, the one that has waited longest first; a newer update replaces the older one."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        """Starts empty."""
        self._pending: dict[tuple[str, str], PendingBroadcast] = {}

    def __len__(self) -> int:
        """Returns the number of pending updates."""
        return len(self._pending)

    def enqueue(self, update: GossipUpdate) -> None:
        """Adds an update; drops the oldest one if the queue is full."""
        key = _key(update)
        self._pending.pop(key, None)
        if len(self._pending) >= MAX_PENDING_UPDATES:
            del self._pending[next(iter(self._pending))]
        self._pending[key] = PendingBroadcast(update, encode_update(update))

    def clear(self) -> None:
        """Drops all updates."""
        self._pending.clear()

    def take(self, view: View, first: Sequence[Raw]) -> list[Raw]:
        """Returns ``first`` and the pending updates that fit beside them, and counts their transmission."""
        max_transmissions = math.ceil(TRANSMIT_FACTOR * math.log2(len(view.records) + 2))
        taken = list(first)
        remaining_bytes = MAX_UPDATE_BYTES - sum(len(bytes(raw)) for raw in first)
        for _ in range(len(self._pending)):
            key = next(iter(self._pending))
            broadcast = self._pending[key]
            if not view.is_current(broadcast.update):
                del self._pending[key]
                continue
            remaining_bytes -= len(broadcast.data)
            if remaining_bytes < 0:
                break
            del self._pending[key]
            taken.append(Raw(broadcast.data))
            broadcast.transmissions += 1
            if broadcast.transmissions < max_transmissions:
                self._pending[key] = broadcast  # at the end of the queue
        return taken
