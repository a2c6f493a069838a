"""A parent's registry of its children, with their reports, their leases, and moves to other parents."""

from __future__ import annotations

import math

from msgspec import Struct

from ironmill.distribution.drop_reason import DistributionDropReason
from ironmill.distribution.events import ChildAdded, ChildReachable, ChildUnreachable
from ironmill.distribution.link import Link
from ironmill.distribution.messages import (
    AGE_UNKNOWN,
    ChildMoved,
    FleetSummary,
    Message,
    Poll,
)
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.replica import Replica
from ironmill.distribution.revision import START, Position
from ironmill.distribution.timing import CHILD_LEASE_S, MIN_FIND_CHILD_INTERVAL_S, Timing
from ironmill.membership.envelope import DroppedError, DropReason, Envelope
from ironmill.membership.identity import Address

MAX_CHILDREN = 4096  # a multiple of the children that one parent has while other parents are down
MOVED_CHILD_TTL_S = 10.0  # longer than any datagram is in transit


class Child(Struct):
    """A process that polls this one."""

    name: str
    incarnation: int
    address: Address
    zone: str
    poll_count: int = -1  # sequence number of the last poll; one that is not higher is a replay
    token: int = 0  # issued by the child; messages to it echo the token
    received_position: Position = START
    applied_position: Position = START
    rejection: Rejection | None = None
    summary: FleetSummary | None = None  # of the nodes below a relay; None for a proxy
    is_stale: bool = False
    attach_count: int = 0
    attached_at: float = 0.0
    polled_at: float = 0.0
    up_to_date_at: float = 0.0  # when it was last known to have applied the latest position
    pushed_position: Position | None = None  # target of the unacknowledged delta
    pushed_at: float = -math.inf
    is_reachable: bool = True
    search_at: float = 0.0  # while unreachable: when to ask the other control machines for it next
    search_interval: float = MIN_FIND_CHILD_INTERVAL_S


class _MovedChild(Struct, frozen=True):
    """A child that another control machine has reported as its own."""

    version: tuple[int, int]  # incarnation and attach count
    reported_at: float


class ChildRegistry:
    """The children of one parent, by name."""

    def __init__(self, link: Link, replica: Replica, timing: Timing) -> None:
        """Creates an empty registry. ``replica`` has the parent's configuration."""
        self._link = link
        self._replica = replica
        self._timing = timing
        self._moved: dict[str, _MovedChild] = {}  # by name, the oldest report first
        self.children: dict[str, Child] = {}

    def find(self, envelope: Envelope[Message], poll: Poll) -> Child | None:
        """Returns the child that sent a poll, or None if the sending process is not a child yet.

        Raises ``DroppedError`` for a poll that is older than what is known of the child.
        """
        child = self.children.get(envelope.sender)
        moved = self._moved.get(envelope.sender)
        if moved is not None and (envelope.incarnation, poll.attach_count) < moved.version:
            raise DroppedError(DistributionDropReason.CHILD_MOVED)
        if child is None:
            return None
        if envelope.incarnation < child.incarnation and child.is_reachable:
            # A lower incarnation of an unreachable child is accepted: incarnations are taken from the wall
            # clock, which may have been set back before a restart. The echo proves that the sender runs now.
            raise DroppedError(DropReason.STALE)
        if envelope.incarnation != child.incarnation:
            return None
        if envelope.count <= child.poll_count:
            raise DroppedError(DropReason.REPLAYED)
        return child

    def add(self, envelope: Envelope[Message], poll: Poll, source: Address) -> Child:
        """Adds the sender of a poll as a child, replacing an earlier process of its name.

        Removes an unreachable child if the registry is full.

        Raises ``DroppedError`` if there are ``MAX_CHILDREN`` reachable children.
        """
        name = envelope.sender
        if name not in self.children and len(self.children) >= MAX_CHILDREN:
            removable = next((other.name for other in self.children.values() if not other.is_reachable), None)
            if removable is None:
                raise DroppedError(DistributionDropReason.TOO_MANY_CHILDREN)
            del self.children[removable]
        child = Child(name, envelope.incarnation, source, poll.zone, up_to_date_at=self._link.now)
        self.children[name] = child
        self._link.notify(ChildAdded(name, poll.received_position))
        return child

    def update(self, child: Child, envelope: Envelope[Message], poll: Poll, source: Address) -> None:
        """Stores what a child's poll reports, and renews the child's lease."""
        now = self._link.now
        child.poll_count = envelope.count
        child.address = source
        child.token = poll.token
        child.zone = poll.zone
        child.polled_at = now
        child.received_position = poll.received_position
        child.applied_position = poll.applied_position
        child.rejection = poll.rejection
        child.is_stale = (
            poll.origin_age_ms == AGE_UNKNOWN or poll.origin_age_ms > 1000.0 * self._timing.stale_after_s
        )
        child.summary = poll.summary
        child.attach_count = poll.attach_count
        if not child.is_reachable:
            child.is_reachable = True
            self._link.notify(ChildReachable(child.name))
        self._record_if_up_to_date(child)

    def extend_leases(self, pause_s: float) -> None:
        """Extends all leases by a pause in which this process did not run and could not read polls."""
        for child in self.children.values():
            child.polled_at += pause_s

    def expire_leases(self) -> list[Child]:
        """Marks children whose lease has expired as unreachable and returns them.

        Removes unreachable children that have not polled for ``Timing.forget_after_s``.
        """
        now = self._link.now
        expired: list[Child] = []
        for child in list(self.children.values()):
            silent_s = now - child.polled_at
            if child.is_reachable and silent_s > CHILD_LEASE_S:
                child.is_reachable = False
                child.search_at = now
                child.search_interval = MIN_FIND_CHILD_INTERVAL_S
                child.pushed_position = None
                expired.append(child)
                self._link.notify(ChildUnreachable(child.name, child.applied_position))
            elif not child.is_reachable and silent_s > self._timing.forget_after_s:
                del self.children[child.name]
            self._record_if_up_to_date(child)
        while self._moved and now - next(iter(self._moved.values())).reported_at > MOVED_CHILD_TTL_S:
            del self._moved[next(iter(self._moved))]
        return expired

    def record_moved(self, moved: ChildMoved) -> bool:
        """Records that a child has another parent. Returns True if the child must be removed here."""
        version = moved.incarnation, moved.attach_count
        self._moved.pop(moved.name, None)
        self._moved[moved.name] = _MovedChild(version, self._link.now)
        if len(self._moved) > MAX_CHILDREN:
            del self._moved[next(iter(self._moved))]
        child = self.children.get(moved.name)
        return child is not None and (child.incarnation, child.attach_count) < version

    def remove(self, name: str) -> None:
        """Removes a child."""
        del self.children[name]

    def _record_if_up_to_date(self, child: Child) -> None:
        if child.applied_position >= self._replica.received_position:
            child.up_to_date_at = self._link.now
