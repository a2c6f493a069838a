"""The child's side of distribution: polls a parent, receives its deltas and catches up by ranges.

A catch-up is needed if the parent's log does not cover the position of this process.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from ironmill.distribution.catch_up_session import CatchUpSession
from ironmill.distribution.delta_assembler import DeltaAssembler
from ironmill.distribution.drop_reason import DistributionDropReason
from ironmill.distribution.freshness import Freshness
from ironmill.distribution.link import Link
from ironmill.distribution.messages import (
    DeltaChunk,
    DigestResponse,
    Endpoint,
    EntriesResponse,
    FleetSummary,
    Leave,
    Message,
    Poll,
    PollResponse,
)
from ironmill.distribution.parent_selector import ParentCandidate, ParentSelector
from ironmill.distribution.poll_schedule import PollSchedule, SentPoll
from ironmill.distribution.replica import Replica
from ironmill.distribution.revision import START, Delta
from ironmill.distribution.timing import MAX_UNANSWERED_POLLS, PAUSE_THRESHOLD_S, Timing
from ironmill.membership.contact_tokens import ContactTokens
from ironmill.membership.envelope import DroppedError, DropReason, Envelope


class Subscriber:
    """A client of a parent that keeps a replica at the parent's latest position."""

    def __init__(
        self,
        link: Link,
        replica: Replica,
        parents: Sequence[Endpoint],
        timing: Timing,
        make_summary: Callable[[], FleetSummary] | None = None,
    ) -> None:
        """Creates a subscriber that has no parent yet.

        ``parents`` are the control machines to choose from. ``make_summary`` returns what a relay reports
        about its children; a proxy has none.
        """
        self._link = link
        self._timing = timing
        self._make_summary = make_summary
        self._selector = ParentSelector(link, replica, parents)
        self._schedule = PollSchedule(link.now)
        self._assembler = DeltaAssembler()
        self._catch_up = CatchUpSession(link, replica, timing.catch_up_bytes_per_s)
        self._ticked_at = link.now
        self._has_advanced = False
        self.replica = replica
        self.freshness = Freshness(link, replica, timing.stale_after_s)
        self.summary_acked_at = -math.inf  # when the latest summary known to have reached the parent was sent

    @property
    def parent(self) -> ParentCandidate | None:
        """The current parent, or None."""
        return self._selector.parent

    @property
    def term(self) -> int:
        """The highest writer epoch that any parent candidate has reported."""
        return self._selector.term

    @property
    def is_catching_up(self) -> bool:
        """True while a catch-up by ranges is in progress."""
        return self._catch_up.is_active

    def take_advanced(self) -> bool:
        """Returns True if the replica has advanced since the last call, and resets the flag."""
        has_advanced = self._has_advanced
        self._has_advanced = False
        return has_advanced

    def tick(self) -> None:
        """Sends polls, probes and range requests that are due. Must be called every ``TICK_INTERVAL_S``."""
        now = self._link.now
        elapsed_s = now - self._ticked_at
        self._ticked_at = now
        parent = self._selector.parent
        if parent is not None and elapsed_s > PAUSE_THRESHOLD_S:
            # The parent's responses may have arrived during the pause and not been read yet.
            parent.unanswered_polls = 0
        self.freshness.update()
        if parent is not None and self._schedule.is_due(now):
            if parent.unanswered_polls >= MAX_UNANSWERED_POLLS:
                self._selector.lose_parent()
            else:
                self._poll(parent)
        for candidate in self._selector.due_probes():
            self._send_poll(candidate, is_probe=True)
        self._catch_up.send_requests(self.parent)

    def leave(self) -> None:
        """Notifies the parent that this process is shutting down."""
        parent = self.parent
        if parent is not None:
            self._link.send(parent.endpoint.name, parent.endpoint.address, Leave(parent.token))

    # Polls

    def _poll(self, parent: ParentCandidate) -> None:
        parent.unanswered_polls += 1
        self._schedule.record_poll(self._link.now)
        self._send_poll(parent, is_probe=False)

    def _send_poll(self, candidate: ParentCandidate, *, is_probe: bool) -> None:
        replica, now, endpoint = self.replica, self._link.now, candidate.endpoint
        candidate.polled_at = now
        is_parent = candidate is self._selector.parent
        received_position = replica.received_position
        if is_parent and self._catch_up.frontier is not None:
            received_position = self._catch_up.frontier
        poll = Poll(
            echo=candidate.token,
            token=self._link.tokens.issue(endpoint.name, 0, now),
            is_probe=is_probe,
            lineage=replica.lineage,
            received_position=received_position,
            applied_position=replica.applied_position,
            term=self._selector.term,
            attach_count=self._selector.attach_count,
            previous_parents=self._selector.previous_parents(),
            zone=self._link.identity.zone,
            origin_age_ms=self.freshness.age_ms,
            incomplete_target=self._assembler.incomplete_target if is_parent else START,
            missing_chunks=self._assembler.missing_chunks() if is_parent else [],
            rejection=None if is_probe else replica.rejection,
            summary=None if is_probe or self._make_summary is None else self._make_summary(),
        )
        count = self._link.send(endpoint.name, endpoint.address, poll)
        self._schedule.record_sent(count, SentPoll(now, received_position))

    def _acknowledge(self) -> None:
        """Polls the parent to acknowledge a delta: now, or as soon as ``MIN_ACK_INTERVAL_S`` allows."""
        self._schedule.request_ack(self._link.now)
        if self.parent is not None and self._schedule.is_due(self._link.now):
            self._poll(self.parent)

    # Messages

    def receive(self, envelope: Envelope[Message]) -> None:
        """Handles a message from a parent candidate. Raises ``DroppedError`` if it is not accepted."""
        message = envelope.message
        match message:
            case PollResponse():
                self._on_poll_response(self._find_sender(envelope, message.echo), message)
            case DeltaChunk():
                self._on_delta_chunk(self._find_sender(envelope, message.echo), message)
            case DigestResponse() | EntriesResponse():
                self._on_range_response(self._find_sender(envelope, message.echo), message)
            case _:
                raise DroppedError(DropReason.UNSOLICITED)

    def _find_sender(self, envelope: Envelope[Message], echo: int) -> ParentCandidate:
        """Returns the candidate that sent a message.

        Raises ``DroppedError`` if the sender is not a candidate, or if ``echo`` does not prove that it was
        polled recently.
        """
        candidate = self._selector.find(envelope.sender)
        if candidate is None:
            raise DroppedError(DistributionDropReason.UNKNOWN_SENDER)
        if not self._link.tokens.verify(envelope.sender, 0, echo, self._link.now):
            raise DroppedError(DropReason.UNPROVEN)
        return candidate

    def _check_lineage(self, lineage: int) -> None:
        own_lineage = self.replica.lineage
        if own_lineage != 0 and lineage not in (0, own_lineage):
            raise DroppedError(DistributionDropReason.FOREIGN_LINEAGE)

    def _on_poll_response(self, candidate: ParentCandidate, response: PollResponse) -> None:
        self._check_lineage(response.lineage)
        now, replica, selector = self._link.now, self.replica, self._selector
        # If the token that the poll echoed had expired, the parent did not accept the poll as an
        # acknowledgement.
        token_had_expired = (
            candidate.token == 0 or now - candidate.answered_at > ContactTokens.ROTATION_INTERVAL_S
        )
        poll = self._schedule.find_sent(response.poll_count)
        selector.record_response(candidate, response, poll.sent_at)
        if candidate is selector.parent:
            self._on_parent_response(candidate, response, poll)
            if token_had_expired:
                self._acknowledge()
        elif selector.should_attach(candidate, catching_up=self.is_catching_up):
            self._attach(candidate)
        if replica.lineage == 0 and response.lineage and candidate is self.parent:
            replica.lineage = response.lineage

    def _on_parent_response(self, parent: ParentCandidate, response: PollResponse, poll: SentPoll) -> None:
        if response.is_child and poll.sent_at >= self._selector.attached_at:
            self.summary_acked_at = max(self.summary_acked_at, poll.sent_at)
        self._schedule.record_response()
        parent.failures = 0
        self.freshness.record(parent.origin_heard_at)
        if response.latest_position > self.replica.received_position:
            self._on_parent_ahead(response, poll)

    def _attach(self, candidate: ParentCandidate) -> None:
        self._selector.attach(candidate)
        self._assembler.discard()
        self.summary_acked_at = -math.inf
        self._catch_up.restart()
        self._poll(candidate)

    def _on_parent_ahead(self, response: PollResponse, poll: SentPoll) -> None:
        """Waits for the parent's delta, or catches up if the parent's log does not cover this position."""
        if self._catch_up.is_active:
            self._catch_up.restart_if_log_gap(response, poll)
            return
        if self.replica.has_lost_pending:
            self.replica.discard_pending()
        elif response.log_covers_child:
            self._schedule.expect_delta(self._link.now)
            return
        self._start_catch_up()

    # Deltas

    def _on_delta_chunk(self, candidate: ParentCandidate, chunk: DeltaChunk) -> None:
        if candidate is not self.parent:
            raise DroppedError(DistributionDropReason.NOT_PARENT)
        self._check_lineage(chunk.lineage)
        if chunk.term < self.term:
            raise DroppedError(DistributionDropReason.OLD_TERM)
        # The delta may arrive before the poll response that reports its position. Without this update the
        # parent would appear to be behind this process.
        candidate.latest_position = max(candidate.latest_position, chunk.target)
        candidate.delta_received_at = self._link.now
        self._check_order(chunk)
        delta = self._assembler.add(chunk)
        if delta is not None:
            self._on_delta(delta)

    def _check_order(self, chunk: DeltaChunk) -> None:
        """Raises ``DroppedError`` unless the delta starts at the received position or catch-up frontier."""
        expected = self.replica.received_position
        if self._catch_up.is_active:
            if self._catch_up.frontier is None:
                raise DroppedError(DistributionDropReason.OUT_OF_ORDER)
            expected = self._catch_up.frontier
        if chunk.target <= expected:
            self._acknowledge()  # the parent resent it because the acknowledgement was lost
            raise DroppedError(DistributionDropReason.OUT_OF_ORDER)
        if chunk.base != expected:
            raise DroppedError(DistributionDropReason.OUT_OF_ORDER)

    def _on_delta(self, delta: Delta) -> None:
        if self._catch_up.is_active:
            self._catch_up.add_delta(delta)
            self._finish_catch_up()
        elif self.replica.apply_delta(delta):
            self._has_advanced = True
        else:
            # The replica differs from the keyspace that the parent computed the delta for.
            self._link.drop(DistributionDropReason.DIGEST_MISMATCH)
            self._start_catch_up()
        self._acknowledge()

    # Catch-up

    def _start_catch_up(self) -> None:
        self._assembler.discard()
        self._catch_up.start()
        self._catch_up.send_requests(self.parent)

    def _on_range_response(
        self, candidate: ParentCandidate, response: DigestResponse | EntriesResponse
    ) -> None:
        if not self._catch_up.is_active or candidate is not self.parent:
            raise DroppedError(DropReason.UNSOLICITED)
        self._check_lineage(response.lineage)
        candidate.latest_position = max(candidate.latest_position, response.position)
        self._catch_up.receive(response)
        self._finish_catch_up()
        self._catch_up.send_requests(self.parent)

    def _finish_catch_up(self) -> None:
        if self._catch_up.finish():
            self._assembler.discard()
            self._has_advanced = True
            self._acknowledge()
