"""Events that a member passes to its listener, for logs and tests."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from msgspec import Struct, field


class ChangeCause(StrEnum):
    """Why the record of a member changed."""

    STARTED = "start"  # a process that starts and is not yet in the view
    REJOINED = "rejoin"  # a process that joins again under a new incarnation
    BOOTSTRAPPED = "bootstrap"  # a seed that became the first member of a new cluster
    RESTORED = "restored"  # a record of the view with which the member was started
    DECIDED = "decided"  # a quorum of observers, as counted by this process
    GOSSIP = "gossip"  # a record received from another member
    READMITTED = "readmitted"  # a received record that says that this process is in the view
    REFUTED = "refuted"  # a received record that wrongly says that this process is removed
    LEFT = "leave"  # a graceful shutdown


class ViewChanged(Struct, frozen=True):
    """Base of the events about a changed view.

    ``observers`` are the members whose opinions supported the change.
    """

    member: str
    incarnation: int
    cause: ChangeCause = field(name="why")
    observers: list[str] = field(name="by")
    view: str  # the digest of the view, in hexadecimal
    size: int  # the number of members in the view


class MemberJoined(ViewChanged, frozen=True):
    """A member has been added to the view."""


class MemberLeft(ViewChanged, frozen=True):
    """A member has shut down gracefully."""


class MemberRemoved(ViewChanged, frozen=True):
    """A member is out of the view: it was removed, or it is this process, which starts or rejoins."""


class MemberForgotten(Struct, frozen=True):
    """The record of a removed member has been deleted after ``Timing.forget_delay_s``."""

    member: str


class OpinionChanged(Struct, frozen=True):
    """This process has changed its opinion of a member that it observes."""

    subject: str = field(name="of")
    value: int


class IsolationStarted(Struct, frozen=True):
    """This process has lost contact with all other members."""

    others: int


class IsolationEnded(Struct, frozen=True):
    """This process is in contact with another member again, or its view contains no other member."""

    others: int


class PauseDetected(Struct, frozen=True):
    """This process was not scheduled for ``seconds``."""

    seconds: float


class RemovedByOthers(Struct, frozen=True):
    """The other members removed this process; it rejoins under the next incarnation."""

    incarnation: int


class Superseded(Struct, frozen=True):
    """A newer process uses the name of this process, which stops taking part in the cluster."""

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
