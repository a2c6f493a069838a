"""A parent's side of distribution: handles messages of children and of other control machines."""

from __future__ import annotations

from collections.abc import Sequence

from ironmill.distribution.child_search import ChildSearch
from ironmill.distribution.children import Child, ChildRegistry
from ironmill.distribution.delta_sender import DeltaSender
from ironmill.distribution.drop_reason import DistributionDropReason
from ironmill.distribution.fleet_summary import SummaryBuilder
from ironmill.distribution.link import Link
from ironmill.distribution.messages import (
    AGE_UNKNOWN,
    MAX_LAGGING_NODES_BYTES,
    ChildMoveAck,
    ChildMoved,
    DigestRequest,
    Endpoint,
    EntriesRequest,
    FindChildRequest,
    FleetSummary,
    Leave,
    Message,
    Poll,
    PollResponse,
    UnreachableChild,
)
from ironmill.distribution.range_server import RangeServer
from ironmill.distribution.replica import Replica
from ironmill.distribution.timing import CONVERGENCE_DELAY_S, PAUSE_THRESHOLD_S, Timing
from ironmill.membership.envelope import DroppedError, DropReason, Envelope
from ironmill.membership.identity import Address


class Publisher:
    """Registers children, sends them deltas, and summarizes their reports."""

    def __init__(self, link: Link, replica: Replica, timing: Timing, peers: Sequence[Endpoint]) -> None:
        """Creates a publisher without children.

        ``peers`` are the other control machines, each of which may be the previous parent of a child.
        """
        self._link = link
        self._replica = replica
        self._registry = ChildRegistry(link, replica, timing)
        self._search = ChildSearch(link, peers)
        self._sender = DeltaSender(link, replica, self._registry.children)
        self._ranges = RangeServer(link, replica, timing.serve_bytes_per_s)
        self._ticked_at = link.now
        self._converged_at = link.now + CONVERGENCE_DELAY_S
        self.origin_age_ms = AGE_UNKNOWN
        self.is_stopped = (
            False  # once another writer has taken over or the process shuts down, all messages are dropped
        )

    @property
    def children(self) -> dict[str, Child]:
        """The children, by name."""
        return self._registry.children

    @property
    def term(self) -> int:
        """The highest epoch of a writer that this process knows of."""
        return self._sender.term

    @term.setter
    def term(self, term: int) -> None:
        self._sender.term = term

    def set_summary_acked_at(self, created_at: float) -> None:
        """Sets the creation time of the latest summary that this node's parent has acknowledged."""
        self._search.summary_acked_at = created_at

    def tick(self) -> None:
        """Does the work that is due. Must be called every ``TICK_INTERVAL_S``."""
        now = self._link.now
        elapsed_s = now - self._ticked_at
        self._ticked_at = now
        if elapsed_s > PAUSE_THRESHOLD_S:
            self._registry.extend_leases(elapsed_s)
            self._converged_at = max(self._converged_at, now + CONVERGENCE_DELAY_S)
        self._sender.start_tick()
        for child in self._registry.expire_leases():
            self._sender.remove(child.name)
        self._search.send_pending_moves(self.children)
        self.search_for(self._search.due_searches(self.children))
        self._send_deltas()

    def on_published(self) -> None:
        """Sends the latest changes to all children without an unacknowledged delta."""
        self._sender.enqueue_idle()
        self._send_deltas()

    def search_for(self, children: Sequence[UnreachableChild]) -> None:
        """Queues children to search for, and sends one request for as many queued children as fit into it."""
        self._search.enqueue(children)
        batch = self._search.take_batch()
        if batch and not self.is_stopped:
            self._search.send_request(batch)

    def summary(self, max_lagging_bytes: int = MAX_LAGGING_NODES_BYTES) -> FleetSummary:
        """Returns a summary of the nodes below this one."""
        now = self._link.now
        builder = SummaryBuilder(self._replica.received_position, now, converged=now >= self._converged_at)
        for child in self.children.values():
            builder.add(child)
        return builder.build(max_lagging_bytes)

    # Messages

    def receive(self, envelope: Envelope[Message], source: Address) -> None:
        """Handles a message of a child or of another control machine.

        Raises ``DroppedError`` if it is not accepted.
        """
        if self.is_stopped:
            raise DroppedError(DistributionDropReason.STOPPED)
        match envelope.message:
            case Poll() as poll:
                self._on_poll(envelope, poll, source)
            case DigestRequest() as request:
                self._ranges.on_digest_request(envelope, request, source)
            case EntriesRequest() as request:
                self._ranges.on_entries_request(envelope, request, source)
            case Leave() as leave:
                self._on_leave(envelope, leave)
            case ChildMoved() as moved:
                self._on_child_moved(envelope, moved, source)
            case ChildMoveAck() as ack:
                self._search.on_ack(envelope.sender, ack)
            case FindChildRequest() as request:
                self._on_find_child(envelope, request, source)
            case _:
                raise DroppedError(DropReason.UNSOLICITED)

    def _on_poll(self, envelope: Envelope[Message], poll: Poll, source: Address) -> None:
        name, incarnation = envelope.sender, envelope.incarnation
        is_proven = self._link.tokens.verify(name, incarnation, poll.echo, self._link.now)
        if not is_proven or poll.is_probe:
            # Until the sender's address is proven, no state is kept for it, and the response is no larger
            # than the poll: a forged source address neither uses memory nor amplifies traffic.
            self._respond(envelope, poll, source, is_child=False)
            return
        known = self._registry.find(envelope, poll)
        child = known or self._registry.add(envelope, poll, source)
        if known is None or poll.attach_count > known.attach_count:
            child.attached_at = self._link.now
            self._search.announce_attached(name, incarnation, poll.attach_count, poll.previous_parents)
        self._registry.update(child, envelope, poll, source)
        self._respond(envelope, poll, source, is_child=True)
        self._sender.on_poll(child, poll)
        self._send_deltas()

    def _respond(self, envelope: Envelope[Message], poll: Poll, source: Address, *, is_child: bool) -> None:
        replica = self._replica
        assert replica.log is not None
        response = PollResponse(
            echo=poll.token,
            token=self._link.tokens.issue(envelope.sender, envelope.incarnation, self._link.now),
            lineage=replica.lineage,
            term=self.term,
            latest_position=replica.received_position,
            origin_age_ms=self.origin_age_ms,
            log_covers_child=replica.log.covers(poll.received_position),
            poll_count=envelope.count,
            is_child=is_child,
        )
        self._link.send(envelope.sender, source, response)

    def _on_leave(self, envelope: Envelope[Message], leave: Leave) -> None:
        child = self.children.get(envelope.sender)
        if child is None or child.incarnation != envelope.incarnation:
            raise DroppedError(DropReason.STALE)
        if not self._link.tokens.verify(envelope.sender, envelope.incarnation, leave.echo, self._link.now):
            raise DroppedError(DropReason.UNPROVEN)
        self._remove(child.name)

    def _on_child_moved(self, envelope: Envelope[Message], moved: ChildMoved, source: Address) -> None:
        self._check_peer(envelope)
        if self._registry.record_moved(moved):
            self._remove(moved.name)
        self._link.send(envelope.sender, source, ChildMoveAck(moved.name, moved.attach_count))

    def _on_find_child(self, envelope: Envelope[Message], request: FindChildRequest, source: Address) -> None:
        """Sends ``ChildMoved`` for each requested child of this process.

        A peer that gets no answer repeats its request.
        """
        self._check_peer(envelope)
        for requested in request.children:
            child = self.children.get(requested.name)
            if child is None or child.incarnation < requested.incarnation:
                continue
            if child.is_reachable and self._search.is_summarized(child):
                moved = ChildMoved(child.name, child.incarnation, child.attach_count)
                self._link.send(envelope.sender, source, moved)

    def _check_peer(self, envelope: Envelope[Message]) -> None:
        if not self._search.is_peer(envelope.sender):
            raise DroppedError(DistributionDropReason.UNKNOWN_SENDER)

    def _remove(self, name: str) -> None:
        self._registry.remove(name)
        self._sender.remove(name)

    def _send_deltas(self) -> None:
        if not self.is_stopped:
            self._sender.send_waiting()
