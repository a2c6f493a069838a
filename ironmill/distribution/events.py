"""Typed events of a node, which its owner logs and counts and tests check."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from ironmill.distribution.rejection import Rejection
from ironmill.distribution.revision import Position


class RevisionApplied(Struct, frozen=True):
    """A revision, or several merged into one step, has been applied in this process."""

    position: Position
    changes: int  # number of changed keys
    digest: int  # of the whole keyspace


class RevisionRejected(Struct, frozen=True):
    """A received revision cannot be applied in this process; the previous configuration remains in force."""

    position: Position
    rejection: Rejection


class BecameStale(Struct, frozen=True):
    """The origin has not been heard from for too long: the applied configuration may be outdated."""

    origin_age_s: float | None  # None if the origin was never heard from
    received_position: Position


class BecameFresh(Struct, frozen=True):
    """The origin has been heard from again."""

    origin_age_s: float | None
    received_position: Position


class ParentChanged(Struct, frozen=True):
    """This process has attached to its first parent, or to a different one than before."""

    parent: str
    previous: str  # empty if there was none


class ParentLost(Struct, frozen=True):
    """The parent no longer answers."""

    parent: str


class CatchUpStarted(Struct, frozen=True):
    """Deltas cannot bring this node to the parent's position: the keyspaces are compared by ranges."""

    received_position: Position


class CatchUpRestarted(Struct, frozen=True):
    """The parent's log no longer covers the frontier of a catch-up: the keyspaces are compared again."""

    frontier: Position
    parent_position: Position


class CatchUpFinished(Struct, frozen=True):
    """The catch-up has fetched the whole keyspace and verified its digest."""

    fetched_bytes: int
    position: Position


class ChildAdded(Struct, frozen=True):
    """A process has become a child of this one."""

    child: str
    received_position: Position


class ChildReachable(Struct, frozen=True):
    """An unreachable child polls again."""

    child: str


class ChildUnreachable(Struct, frozen=True):
    """A child's lease has expired."""

    child: str
    applied_position: Position


class WriterSuperseded(Struct, frozen=True):
    """Another process has opened the store for writing: this one is no longer the origin."""

    epoch: int


class FleetAhead(Struct, frozen=True):
    """A child has a later position than the store, for example after an old backup was restored."""

    fleet_position: Position
    store_position: Position


class StoreFailing(Struct, frozen=True):
    """The store cannot be read or written."""

    reason: str


class RevisionFullyApplied(Struct, frozen=True):
    """Every proxy of the fleet has applied a revision."""

    position: Position
    elapsed_s: float  # time since the revision was pushed


Event = (
    RevisionApplied
    | RevisionRejected
    | BecameStale
    | BecameFresh
    | ParentChanged
    | ParentLost
    | CatchUpStarted
    | CatchUpRestarted
    | CatchUpFinished
    | ChildAdded
    | ChildReachable
    | ChildUnreachable
    | WriterSuperseded
    | FleetAhead
    | StoreFailing
    | RevisionFullyApplied
)
EventListener = Callable[[Event], object]
