"""The node of the control machine that orders and stores revisions."""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar

from ironmill.distribution.changes import Changes, check_changes, packed_size
from ironmill.distribution.drop_reason import DistributionDropReason
from ironmill.distribution.errors import (
    FencedError,
    NotOriginError,
    PositionConflictError,
    RevisionRejectedError,
    StoreError,
)
from ironmill.distribution.events import (
    EventListener,
    FleetAhead,
    RevisionFullyApplied,
    StoreFailing,
    WriterSuperseded,
)
from ironmill.distribution.fleet_summary import NO_LOWEST_POSITION, add_zone, fully_applied_position
from ironmill.distribution.interfaces import ChangeCheck, RevisionStore
from ironmill.distribution.link import NodeContext
from ironmill.distribution.messages import (
    UNREACHABLE,
    ChildMoved,
    Endpoint,
    FindChildRequest,
    FleetSummary,
    LaggingNode,
    Message,
    Poll,
    ZoneSummary,
)
from ironmill.distribution.node import Node
from ironmill.distribution.publisher import Publisher
from ironmill.distribution.relay import MAX_STATUS_LAGGING_BYTES
from ironmill.distribution.replica import Replica
from ironmill.distribution.revision import START, Delta, Position, RevisionMetadata, StoredRevision
from ironmill.distribution.revision_log import RevisionLog
from ironmill.distribution.status import OriginStatus, fleet_fields
from ironmill.distribution.timing import STORE_CHECK_INTERVAL_S
from ironmill.distribution.unreachable_children import UnreachableChildren
from ironmill.membership.envelope import DroppedError, Envelope
from ironmill.membership.identity import Address

MAX_TRACKED_PUSHES = 1024  # revisions whose time until they are fully applied is measured


class Origin(Node):
    """Stores and publishes revisions, and determines when the whole fleet has applied them."""

    role: ClassVar[str] = "origin"

    def __init__(
        self, context: NodeContext, store: RevisionStore, relays: Sequence[Endpoint], check: ChangeCheck
    ) -> None:
        """Creates an origin with the contents of the store.

        ``relays`` has every relay of the fleet, so that a missing one is noticed. ``check`` is called for the
        changes of each push.

        Raises ``StoreError`` if the store cannot be read.
        """
        super().__init__(context)
        self._store = store
        self._check = check
        self._relays = relays
        self._store_check_at = context.now + STORE_CHECK_INTERVAL_S
        self._is_store_failing = False
        self._unrecorded_epoch = 0  # reported by a child and not yet recorded in the store; 0 for none
        self._fleet_ahead_position: Position | None = None  # only if it is later than the store's
        self._unreachable = UnreachableChildren(context.timing.forget_after_s)
        self._fully_applied_position = START
        self._pushed_at: dict[Position, float] = {}
        self.replica = _load_replica(self.link.notify, store)
        self.publisher = Publisher(self.link, self.replica, context.timing, relays)
        self.publisher.term = store.epoch
        self.publisher.origin_age_ms = 0

    @property
    def fully_applied_position(self) -> Position:
        """The latest position that every proxy is known to have applied. It never decreases."""
        return self._fully_applied_position

    # Revisions

    def push(
        self, changes: Changes, metadata: RevisionMetadata, now: float, expect: Position | None = None
    ) -> Position:
        """Stores the changes as the next revision, publishes it, and returns its position.

        ``expect`` is the position that the latest revision must have; None accepts any. Raises
        ``RevisionError``, ``RevisionRejectedError``, ``PositionConflictError``, ``NotOriginError`` and
        ``StoreError``; then nothing was stored or published.
        """
        self.link.now = now
        if self.publisher.is_stopped:
            raise NotOriginError(
                f"{self.identity.name} is no longer the origin: another process has opened the store"
            )
        committed_position = self._store.committed(metadata.ticket)
        if committed_position is not None:
            return committed_position
        self._check_push(changes, expect)
        base = self.replica.received_position
        digest = self.replica.keyspace.digest_after(changes)
        try:
            position = self._store.commit(changes, metadata)
        except FencedError:
            self._stop()
            raise
        delta = Delta(base, position, digest, dict(changes), packed_size(changes))
        if not self.replica.apply_delta(delta):
            raise StoreError(
                f"the store assigned position {position}, which does not follow the latest position {base}"
            )
        self._pushed_at[position] = now
        if len(self._pushed_at) > MAX_TRACKED_PUSHES:
            del self._pushed_at[next(iter(self._pushed_at))]
        self.publisher.on_published()
        return position

    def _check_push(self, changes: Changes, expect: Position | None) -> None:
        latest = self.replica.received_position
        if self._fleet_ahead_position is not None:
            raise StoreError(
                f"the fleet is at position {self._fleet_ahead_position}, which the store does not contain; "
                "restart the origin to take a higher epoch, which undoes revisions that only the fleet has"
            )
        if expect is not None and expect != latest:
            raise PositionConflictError(f"the newest revision is {latest}, not {expect}")
        check_changes(changes)
        rejection = self._check(changes)
        if rejection is not None:
            raise RevisionRejectedError(rejection)

    def undo(self, number: int) -> Changes:
        """Returns the changes that restore all values as of a revision. Raises ``StoreError``."""
        return self._store.undo(number)

    def history(self, max_count: int) -> list[StoredRevision]:
        """Returns the latest revisions, the newest first. Raises ``StoreError``."""
        return self._store.history(max_count)

    # Fleet status

    def summary(self, max_lagging_bytes: int = MAX_STATUS_LAGGING_BYTES) -> FleetSummary:
        """Returns a summary of the whole fleet, including unreachable relays and orphaned proxies."""
        summary = self.publisher.summary(max_lagging_bytes)
        zones = {zone.zone: zone for zone in summary.zones}
        lagging = [
            LaggingNode(relay.name, relay.zone, START, UNREACHABLE)
            for relay in self._relays
            if relay.name != self.identity.name and relay.name not in self.publisher.children
        ]
        converged = summary.converged and not lagging
        for child in self._unreachable.orphaned():
            add_zone(zones, ZoneSummary(child.zone, 0, NO_LOWEST_POSITION, 0, 1, 0))
            lagging.append(LaggingNode(child.name, child.zone, child.applied_position, UNREACHABLE))
        lagging += summary.lagging_nodes
        return FleetSummary(converged, list(zones.values()), lagging, summary.omitted)

    def status(self, now: float) -> OriginStatus:
        """Returns the status that the admin API reports."""
        self.link.now = now
        replica = self.replica
        return OriginStatus(
            name=self.identity.name,
            role=self.role,
            lineage=replica.lineage,
            term=self._store.epoch,
            received_position=str(replica.received_position),
            applied_position=str(replica.applied_position),
            is_stale=False,
            origin_age_s=0.0,
            parent="",
            entries=replica.keyspace.count,
            is_superseded=self.publisher.is_stopped,
            dropped=dict(self.dropped),
            sent_bytes=self.sent_bytes,
            fleet_ahead_position=None
            if self._fleet_ahead_position is None
            else str(self._fleet_ahead_position),
            fully_applied_position=str(self._fully_applied_position),
            **fleet_fields(self.summary(), replica.received_position),
        )

    def _on_tick(self) -> None:
        self.publisher.tick()
        if self.link.now >= self._store_check_at and not self.publisher.is_stopped:
            self._store_check_at = self.link.now + STORE_CHECK_INTERVAL_S
            self._check_store()
        relay_incarnations = {
            child.name: child.incarnation for child in self.publisher.children.values() if child.is_reachable
        }
        self.publisher.search_for(self._unreachable.due_searches(relay_incarnations, self.link.now))
        self._update_fully_applied()

    def _on_message(self, envelope: Envelope[Message], source: Address) -> None:
        message = envelope.message
        if isinstance(message, Poll):
            self._check_history(message)
        self.publisher.receive(envelope, source)
        if isinstance(message, FindChildRequest):
            self._unreachable.record_report(
                envelope.sender, envelope.incarnation, message.children, self.link.now
            )
        elif isinstance(message, ChildMoved):
            self._unreachable.record_found(message.name, message.incarnation, message.attach_count)

    def _check_history(self, poll: Poll) -> None:
        """Compares a child's position with the store's. Raises ``DroppedError`` for another lineage."""
        latest = self.replica.received_position
        if poll.lineage not in (0, self.replica.lineage):
            raise DroppedError(DistributionDropReason.FOREIGN_LINEAGE)
        is_ahead = poll.received_position > latest and poll.received_position.epoch >= self._store.epoch
        if is_ahead and self._fleet_ahead_position != poll.received_position:
            self._fleet_ahead_position = max(poll.received_position, self._fleet_ahead_position or START)
            self._unrecorded_epoch = self._fleet_ahead_position.epoch
            self.link.notify(FleetAhead(poll.received_position, latest))

    def _check_store(self) -> None:
        """Checks for another writer, and records a reported epoch.

        Only the first of several consecutive failures emits an event.
        """
        try:
            if self._store.fenced():
                self._stop()
            elif self._unrecorded_epoch:
                self._store.observe(self._unrecorded_epoch)
                self._unrecorded_epoch = 0
            self._is_store_failing = False
        except StoreError as error:
            if not self._is_store_failing:
                self._is_store_failing = True
                self.link.notify(StoreFailing(str(error)))

    def _stop(self) -> None:
        self.publisher.is_stopped = True
        self.link.notify(WriterSuperseded(self._store.epoch))

    def _update_fully_applied(self) -> None:
        latest = self.replica.received_position
        if self._fully_applied_position >= latest:
            return
        position = fully_applied_position(self.summary(0), latest)
        if position is None or position <= self._fully_applied_position:
            return
        self._check_store()
        if self.publisher.is_stopped or self._is_store_failing:
            return  # relays may already follow another writer; the summary then lacks the nodes below them
        self._fully_applied_position = position
        for pushed in [pushed for pushed in self._pushed_at if pushed <= position]:
            elapsed_s = self.link.now - self._pushed_at.pop(pushed)
            self.link.notify(RevisionFullyApplied(pushed, elapsed_s))


def _load_replica(on_event: EventListener, store: RevisionStore) -> Replica:
    """Returns a replica with the contents of the store."""
    replica = Replica(on_event, log=RevisionLog())
    replica.lineage = store.lineage
    for key, value in store.entries():
        replica.keyspace.put(key, value)
    replica.received_position = store.position
    replica.applied_position = store.position
    replica.digest = replica.keyspace.digest
    return replica
