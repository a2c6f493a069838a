"""Agreement between control machines on which of them is the parent of a child.

The new parent notifies the previous ones (``ChildMoved``), and a parent asks the other control machines for
children that have become unreachable (``FindChildRequest``). Without these messages, the previous parent of a
child would report it as unreachable.
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
CHILD_OVERHEAD_BYTES = 40  # encoded child in a request, without its name and zone


class _PendingMove(Struct):
    """A ``ChildMoved`` that has not been acknowledged yet."""

    message: ChildMoved
    sent_at: float = -math.inf
    attempts: int = 0


class ChildSearch:
    """Notifies previous parents of children that have moved here, and searches for unreachable children."""

    def __init__(self, link: Link, peers: Sequence[Endpoint]) -> None:
        """Creates a search with an empty queue. ``peers`` are the other control machines."""
        self._link = link
        self._peers = {peer.name: peer for peer in peers}
        self._pending_moves: dict[tuple[str, str], _PendingMove] = {}  # by peer and child
        self._queue: list[UnreachableChild] = []
        self.summary_acked_at = math.inf
        """Creation time of the latest summary that this node's parent has acknowledged. A previous parent may
        remove a child only after such a summary includes the child; otherwise the child would be
        missing from all summaries for a while.
        """

    def is_peer(self, name: str) -> bool:
        """Returns True if the name is that of another control machine."""
        return name in self._peers

    def announce_attached(
        self, name: str, incarnation: int, attach_count: int, previous_parents: list[str]
    ) -> None:
        """Queues a notification of a child's previous parents that it is now a child of this process."""
        for peer in previous_parents:
            if peer in self._peers and peer != self._link.identity.name:
                moved = ChildMoved(name, incarnation, attach_count)
                self._pending_moves[peer, name] = _PendingMove(moved)

    def on_ack(self, peer: str, ack: ChildMoveAck) -> None:
        """Stops the repetition of an acknowledged ``ChildMoved``."""
        pending = self._pending_moves.get((peer, ack.name))
        if pending is not None and pending.message.attach_count == ack.attach_count:
            del self._pending_moves[peer, ack.name]

    def is_summarized(self, child: Child) -> bool:
        """Returns True if this node's parent has acknowledged a summary that includes the child."""
        return child.attached_at < self.summary_acked_at

    def send_pending_moves(self, children: dict[str, Child]) -> None:
        """Sends each ``ChildMoved`` that is due, unless no acknowledged summary includes the child yet."""
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

    def due_searches(self, children: dict[str, Child]) -> list[UnreachableChild]:
        """Returns the unreachable proxies to search for now. Relays are not searched for."""
        now = self._link.now
        due: list[UnreachableChild] = []
        for child in children.values():
            if child.is_reachable or child.summary is not None or now < child.search_at:
                continue
            child.search_at = now + child.search_interval
            child.search_interval = min(MAX_FIND_CHILD_INTERVAL_S, 2.0 * child.search_interval)
            due.append(
                UnreachableChild(
                    child.name, child.zone, child.applied_position, child.incarnation, child.attach_count
                )
            )
        return due

    def enqueue(self, children: Sequence[UnreachableChild]) -> None:
        """Queues as many children to search for as the queue can hold; the others become due again later."""
        self._queue += children[: MAX_QUEUED_SEARCHES - len(self._queue)]

    def take_batch(self) -> list[UnreachableChild]:
        """Removes as many children from the queue as fit into one request, and returns them."""
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
        """Asks all other control machines for the children of a batch."""
        for peer in self._peers.values():
            if peer.name != self._link.identity.name:
                self._link.send(peer.name, peer.address, FindChildRequest(batch))
