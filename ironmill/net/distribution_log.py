"""Log lines of distribution events: the name, the fields and the level for each event type."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from msgspec import Struct

from ironmill.distribution.events import (
    BecameFresh,
    BecameStale,
    CatchUpFinished,
    CatchUpRestarted,
    CatchUpStarted,
    ChildAdded,
    ChildReachable,
    ChildUnreachable,
    Event,
    FleetAhead,
    ParentChanged,
    ParentLost,
    RevisionApplied,
    RevisionFullyApplied,
    RevisionRejected,
    StoreFailing,
    WriterSuperseded,
)
from ironmill.distribution.revision import Position

Fields = dict[str, object]


class LogLine(Struct, frozen=True):
    """How events of one type are logged."""

    name: str
    fields: Callable[[Any], Fields]  # returns the fields for an event
    is_warning: bool = False


def log_line(event: Event) -> LogLine:
    """Returns the log line for the type of the event."""
    return _LOG_LINES[type(event)]


def _position(position: Position) -> Fields:
    return {"epoch": position.epoch, "number": position.number}


def _applied(event: RevisionApplied) -> Fields:
    return {**_position(event.position), "changes": event.changes, "digest": f"{event.digest:x}"}


def _rejected(event: RevisionRejected) -> Fields:
    return {
        **_position(event.position),
        "key": event.rejection.key,
        "reason": event.rejection.reason,
    }


def _fully_applied(event: RevisionFullyApplied) -> Fields:
    return {**_position(event.position), "seconds": round(event.elapsed_s, 3)}


def _age(event: BecameStale | BecameFresh) -> Fields:
    return {"age": event.origin_age_s, "held": str(event.received_position)}


def _parent(event: ParentChanged) -> Fields:
    return {"parent": event.parent, "was": event.previous}


def _catch_up_restarted(event: CatchUpRestarted) -> Fields:
    return {"held": str(event.frontier), "parent_has": str(event.parent_position)}


def _catch_up_finished(event: CatchUpFinished) -> Fields:
    return {"bytes": event.fetched_bytes, "held": str(event.position)}


def _child_added(event: ChildAdded) -> Fields:
    return {"child": event.child, "held": str(event.received_position)}


def _child_unreachable(event: ChildUnreachable) -> Fields:
    return {"child": event.child, "in_force": str(event.applied_position)}


def _fleet_ahead(event: FleetAhead) -> Fields:
    return {"fleet": str(event.fleet_position), "store": str(event.store_position)}


_LOG_LINES: dict[type[Event], LogLine] = {
    RevisionApplied: LogLine("in-force", _applied),
    RevisionRejected: LogLine("refused", _rejected, is_warning=True),
    RevisionFullyApplied: LogLine("everywhere", _fully_applied),
    BecameStale: LogLine("stale", _age, is_warning=True),
    BecameFresh: LogLine("fresh", _age),
    ParentChanged: LogLine("parent", _parent),
    ParentLost: LogLine("parent-lost", lambda event: {"parent": event.parent}, is_warning=True),
    CatchUpStarted: LogLine("catching-up", lambda event: {"held": str(event.received_position)}),
    CatchUpRestarted: LogLine("catching-up-again", _catch_up_restarted),
    CatchUpFinished: LogLine("caught-up", _catch_up_finished),
    ChildAdded: LogLine("child", _child_added),
    ChildReachable: LogLine("child-reachable", lambda event: {"child": event.child}),
    ChildUnreachable: LogLine("child-unreachable", _child_unreachable, is_warning=True),
    WriterSuperseded: LogLine("superseded", lambda event: {"epoch": event.epoch}, is_warning=True),
    FleetAhead: LogLine("fleet-ahead", _fleet_ahead, is_warning=True),
    StoreFailing: LogLine("store-failing", lambda event: {"reason": event.reason}),
}
