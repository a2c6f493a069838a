"""Sends deltas to children: one at a time to each child, built from the log when it is sent.

The sender keeps a position for each child, not a queue of changes. A child that receives slowly therefore
uses no additional memory, and changes made in the meantime reach it merged into one delta.
"""

from __future__ import annotations

from msgspec import Struct

from ironmill.distribution.changes import Changes, pack_entry
from ironmill.distribution.children import Child
from ironmill.distribution.link import Link
from ironmill.distribution.messages import MAX_BODY_BYTES, MAX_CHUNKS, DeltaChunk, Poll
from ironmill.distribution.replica import Replica
from ironmill.distribution.revision import START, Position
from ironmill.distribution.timing import DELTA_RESEND_DELAY_S

MAX_CHUNKS_PER_TICK = 1024
MAX_CACHED_DELTAS = 16  # deltas in the cache, each shared by all children at its base


class ChunkedDelta(Struct, frozen=True):
    """A delta that is split into the bodies of its datagrams."""

    target: Position
    digest: int
    bodies: list[bytes]


class DeltaSender:
    """Sends the deltas of one parent to its children."""

    def __init__(self, link: Link, replica: Replica, children: dict[str, Child]) -> None:
        """Creates a sender with an empty queue.

        ``children`` has the parent's children by name. The sender neither adds nor removes any.
        """
        self._link = link
        self._replica = replica
        self._children = children
        self._waiting: dict[str, None] = {}  # names of queued children, in sending order
        self._chunk_budget = MAX_CHUNKS_PER_TICK
        self._cache: dict[Position, ChunkedDelta] = {}  # by base
        self._cache_target = START
        self.term = 0  # highest epoch of a writer that this process knows of

    def start_tick(self) -> None:
        """Resets the number of datagrams that may be sent in this tick."""
        self._chunk_budget = MAX_CHUNKS_PER_TICK

    def enqueue_idle(self) -> None:
        """Queues all reachable children that have no unacknowledged delta."""
        for child in self._children.values():
            if child.is_reachable and child.pushed_position is None:
                self._waiting[child.name] = None

    def remove(self, name: str) -> None:
        """Removes a child from the queue."""
        self._waiting.pop(name, None)

    def on_poll(self, child: Child, poll: Poll) -> None:
        """Handles the acknowledgement in a poll; resends a delta that the poll should have acknowledged."""
        if child.pushed_position is not None and child.received_position >= child.pushed_position:
            child.pushed_position = None
        if child.pushed_position is None:
            self._waiting[child.name] = None
        elif self._link.now - child.pushed_at > DELTA_RESEND_DELAY_S:
            self._resend(child, poll)

    def send_waiting(self) -> None:
        """Sends deltas to the queued children until the datagrams of this tick are used up."""
        while self._waiting and self._chunk_budget > 0:
            name = next(iter(self._waiting))
            del self._waiting[name]
            child = self._children.get(name)
            if child is None or not child.is_reachable:
                continue
            if child.received_position >= self._replica.received_position:
                continue
            delta = self._chunked_delta(child.received_position)
            if delta is None:
                continue  # the response to its next poll makes the child catch up by ranges
            child.pushed_position = delta.target
            child.pushed_at = self._link.now
            for index in range(len(delta.bodies)):
                self._send_chunk(child, delta, index)

    def _resend(self, child: Child, poll: Poll) -> None:
        """Resends the missing chunks of the unacknowledged delta.

        Queues the child for a new delta instead if that delta has changed or the child is not assembling it.
        """
        delta = self._chunked_delta(child.received_position)
        if (
            delta is None
            or delta.target != child.pushed_position
            or poll.incomplete_target != child.pushed_position
        ):
            child.pushed_position = None
            self._waiting[child.name] = None
            return
        child.pushed_at = self._link.now
        for index in poll.missing_chunks:
            if 0 <= index < len(delta.bodies):
                self._send_chunk(child, delta, index)

    def _send_chunk(self, child: Child, delta: ChunkedDelta, index: int) -> None:
        self._chunk_budget -= 1
        chunk = DeltaChunk(
            echo=child.token,
            lineage=self._replica.lineage,
            term=self.term,
            base=child.received_position,
            target=delta.target,
            digest=delta.digest,
            index=index,
            count=len(delta.bodies),
            body=delta.bodies[index],
        )
        self._link.send(child.name, child.address, chunk)

    def _chunked_delta(self, base: Position) -> ChunkedDelta | None:
        """Returns the delta from a position, from the cache if possible; None if there is no delta."""
        latest = self._replica.received_position
        if self._cache_target != latest:
            self._cache.clear()
            self._cache_target = latest
        chunked = self._cache.get(base)
        if chunked is not None:
            return chunked
        assert self._replica.log is not None
        delta = self._replica.log.delta_since(base)
        if delta is None:
            return None
        bodies = _split(delta.changes)
        if len(bodies) > MAX_CHUNKS:
            return None
        chunked = ChunkedDelta(delta.target, delta.digest, bodies)
        if len(self._cache) >= MAX_CACHED_DELTAS:
            del self._cache[next(iter(self._cache))]
        self._cache[base] = chunked
        return chunked


def _split(changes: Changes) -> list[bytes]:
    """Returns the packed changes, split between entries into bodies of at most ``MAX_BODY_BYTES``."""
    bodies: list[bytes] = []
    body = bytearray()
    for key, value in changes.items():
        entry = pack_entry(key, value)
        if len(body) + len(entry) > MAX_BODY_BYTES:
            bodies.append(bytes(body))
            body = bytearray()
        body += entry
    bodies.append(bytes(body))
    return bodies
