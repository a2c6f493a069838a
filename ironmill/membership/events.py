"""Events that a member emits to its listener, for logs and tests."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from msgspec import Struct, field


class ChangeCause(StrEnum):
    """Why the record of a member changed."""

    STARTED = "start"
    REJOINED = "rejoin"  # under a new incarnation
    BOOTSTRAPPED = "bootstrap"  # the first member of a new cluster
    RESTORED = "restored"  # a view that was known before
    DECIDED = "decided"  # a quorum of observers, evaluated here
    GOSSIP = "gossip"  # a record received from another member
    READMITTED = "readmitted"  # the own record, received as present
    REFUTED = "refuted"  # the own record, received as removed
    LEFT = "leave"  # a graceful shutdown


class ViewChanged(Struct, frozen=True):
    """Base of the events of a changed view. ``observers`` are those whose opinions supported the change."""

    member: str
    incarnation: int
    cause: ChangeCause = field(name="why")
    observers: list[str] = field(name="by")
    view: str  # the digest of the view, in hexadecimal
    size: int  # members in the view


class MemberJoined(ViewChanged, frozen=True):
    """A member has come into the view."""


class MemberLeft(ViewChanged, frozen=True):
    """A member has shut down gracefully."""


class MemberRemoved(ViewChanged, frozen=True):
    """A member is out of the view; a process emits it for itself when it starts or rejoins."""


class MemberForgotten(Struct, frozen=True):
    """The record of a member that was out of the view for long has been deleted."""

    member: str


class OpinionChanged(Struct, frozen=True):
    """This process has changed its opinion of a member that it observes."""

    subject: str = field(name="of")
    value: int


class IsolationStarted(Struct, frozen=True):
    """This process has lost contact with all other members."""

    others: int


class IsolationEnded(Struct, frozen=True):
    """This process is in contact with another member again, or knows no other one."""

    others: int


class PauseDetected(Struct, frozen=True):
    """This process did not run for some seconds."""

    seconds: float


class RemovedByOthers(Struct, frozen=True):
    """The other members removed this process; it rejoins under the next incarnation."""

    incarnation: int


class Superseded(Struct, frozen=True):
    """A newer process uses the name of this one, which takes part no more."""

    incarnation: int
    newer_incarnation: int = field(name="by")


Event = (
    MemberJoined
    | MemberLeft
    | MemberRemoved
    | MemberForgotten
    | OpinionChanged
    | IsolationStarted
    | IsolationEnded
    | PauseDetected
    | RemovedByOthers
    | Superseded
)
EventListener = Callable[[Event], object]
