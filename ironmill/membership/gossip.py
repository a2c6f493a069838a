"""Queue of gossip updates to be sent to other members, embedded in pings and acks."""

from __future__ import annotations

import math
from collections.abc import Sequence

from msgspec import Raw, Struct

from ironmill.membership.codec import encode_update
from ironmill.membership.limits import MAX_DATAGRAM_BYTES
from ironmill.membership.messages import GossipUpdate, MemberRecord
from ironmill.membership.view import View

# Total size of the updates in one datagram; the remaining bytes are for the other fields and the signature.
MAX_UPDATE_BYTES = 850
TRANSMIT_FACTOR = 2.0  # each update is sent this factor times log2(known members + 2) times
MAX_PENDING_UPDATES = 4096

assert MAX_UPDATE_BYTES < MAX_DATAGRAM_BYTES


class PendingBroadcast(Struct):
    """An update that is still to be sent, and how often it has been sent."""

    update: GossipUpdate
    data: bytes
    transmissions: int = 0


def _update_key(update: GossipUpdate) -> tuple[str, str]:
    """Returns the key by which a newer update replaces an older one."""
    if isinstance(update, MemberRecord):
        return "", update.identity.name
    return update.observer, update.subject


class BroadcastQueue:
    """Updates that are still to be sent, in the order of their last transmission or their arrival.

    A newer update replaces an older one of the same key.
    """

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._pending: dict[tuple[str, str], PendingBroadcast] = {}

    def __len__(self) -> int:
        """Returns the number of pending updates."""
        return len(self._pending)

    def enqueue(self, update: GossipUpdate) -> None:
        """Adds an update; if the queue is full, drops the update at its head."""
        key = _update_key(update)
        self._pending.pop(key, None)
        if len(self._pending) >= MAX_PENDING_UPDATES:
            del self._pending[next(iter(self._pending))]
        self._pending[key] = PendingBroadcast(update, encode_update(update))

    def clear(self) -> None:
        """Drops all updates."""
        self._pending.clear()

    def take(self, view: View, priority_updates: Sequence[Raw]) -> list[Raw]:
        """Returns ``priority_updates`` and the pending updates that fit into the same datagram.

        Each returned pending update counts as sent; it is removed after its last transmission.
        """
        max_transmissions = math.ceil(TRANSMIT_FACTOR * math.log2(len(view.records) + 2))
        updates = list(priority_updates)
        remaining_bytes = MAX_UPDATE_BYTES - sum(len(bytes(raw)) for raw in priority_updates)
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
            updates.append(Raw(broadcast.data))
            broadcast.transmissions += 1
            if broadcast.transmissions < max_transmissions:
                self._pending[key] = broadcast  # moves to the end of the queue
        return updates
