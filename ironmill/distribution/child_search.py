"""Agreement of control machines on who is the parent of a child.

The new parent notifies the previous ones (``ChildMoved``), and a parent queries the others for children that
have become unreachable (``FindChildRequest``). Without either, a child that has moved would be reported as
unreachable by its previous parent.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from msgspec import Struct

from ironmill.distribution.children import Child
from ironmill.distribution.link import Link
from ironmill.distribution.messages import (
    MAX_FIND_CHILD_BYTES,
    MAX_FIND_CHILD_COUNT,
    ChildMoveAck,
    ChildMoved,
    Endpoint,
    FindChildRequest,
    UnreachableChild,
)
from ironmill.distribution.timing import (
    CHILD_MOVED_RETRY_INTERVAL_S,
    MAX_CHILD_MOVED_ATTEMPTS,
    MAX_FIND_CHILD_INTERVAL_S,
)

MAX_QUEUED_SEARCHES = 1024
CHILD_OVERHEAD_BYTES = 40  # of a child in a request, beside its name and zone


class _PendingMove(Struct):
    """A ``ChildMoved`` that is not acknowledged yet."""

    message: ChildMoved
    sent_at: float = -math.inf
    attempts: int = 0


class ChildSearch:
    """One control machine's side of that agreement."""

    def __init__(self, link: Link, peers: Sequence[Endpoint]) -> None:
        """``peers`` are the other control machines."""
        self._link = link
        self._peers = {peer.name: peer for peer in peers}
        self._pending_moves: dict[tuple[str, str], _PendingMove] = {}  # by peer and child
        self._queue: list[UnreachableChild] = []
        self.summary_acked_at = math.inf
        """When the latest summary was made that the own parent is known to have. A previous parent may forget
        a child only after the child is in such a summary: else the origin would count it nowhere for a while.
        """

    def is_peer(self, name: str) -> bool:
        """Returns True for the name of another control machine."""
        return name in self._peers

    def announce_attached(self, name: str, incarnation: int, attach_count: int, previous: list[str]) -> None:
        """Notifies the previous parents of a child that it is a child of this process now."""
        for peer in previous:
            if peer in self._peers and peer != self._link.identity.name:
                moved = ChildMoved(name, incarnation, attach_count)
                self._pending_moves[peer, name] = _PendingMove(moved)

    def on_ack(self, peer: str, ack: ChildMoveAck) -> None:
        """Ends the repetition of a ``ChildMoved``."""
        pending = self._pending_moves.get((peer, ack.name))
        if pending is not None and pending.message.attach_count == ack.attach_count:
            del self._pending_moves[peer, ack.name]

    def is_summarized(self, child: Child) -> bool:
        """Returns True if the own parent is known to have counted the child below this process."""
        return child.attached_at < self.summary_acked_at

    def send_pending_moves(self, children: dict[str, Child]) -> None:
        """Sends the moves that are due, of children that are summarized."""
        now = self._link.now
        for key, pending in list(self._pending_moves.items()):
            peer, name = key
            child = children.get(name)
            if now - pending.sent_at < CHILD_MOVED_RETRY_INTERVAL_S:
                continue
            if child is not None and not self.is_summarized(child):
                continue
            if pending.attempts >= MAX_CHILD_MOVED_ATTEMPTS:
                del self._pending_moves[key]
                continue
            pending.sent_at = now
            pending.attempts += 1
            self._link.send(peer, self._peers[peer].address, pending.message)

    def due(self, children: dict[str, Child]) -> list[UnreachableChild]:
        """Returns the unreachable proxies to search for now. Relays are not searched for."""
        now = self._link.now
        found: list[UnreachableChild] = []
        for child in children.values():
            if child.is_reachable or child.summary is not None or now < child.search_at:
                continue
            child.search_at = now + child.search_interval
            child.search_interval = min(MAX_FIND_CHILD_INTERVAL_S, 2.0 * child.search_interval)
            found.append(
                UnreachableChild(
                    child.name, child.zone, child.applied_position, child.incarnation, child.attach_count
                )
            )
        return found

    def enqueue(self, children: Sequence[UnreachableChild]) -> None:
        """Queues children to search for, as many as there is space for; the others are due again later."""
        self._queue += children[: MAX_QUEUED_SEARCHES - len(self._queue)]

    def take_batch(self) -> list[UnreachableChild]:
        """Takes as many queued children as fit into one request."""
        size = 0
        batch: list[UnreachableChild] = []
        for child in self._queue[:MAX_FIND_CHILD_COUNT]:
            size += CHILD_OVERHEAD_BYTES + len(child.name.encode()) + len(child.zone.encode())
            if size > MAX_FIND_CHILD_BYTES:
                break
            batch.append(child)
        del self._queue[: len(batch)]
        return batch

    def send_request(self, batch: list[UnreachableChild]) -> None:
        """Queries all other control machines for the children."""
        for peer in self._peers.values():
            if peer.name != self._link.identity.name:
                self._link.send(peer.name, peer.address, FindChildRequest(batch))
