"""Messages of the membership protocol, encoded as MessagePack arrays with fixed field order and tags."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from ironmill.membership.identity import MemberIdentity

SUSPECT, NEUTRAL, ALIVE = -1, 0, 1  # the values of an opinion


class MemberRecord(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The state of one member. Of two records with one name, the one with the higher ``order`` is kept."""

    identity: MemberIdentity
    transitions: int  # how often it entered or left the view; it is in the view if this is even
    left: bool = False  # it shut down gracefully, which is final for this incarnation

    @property
    def order(self) -> tuple[int, bool, int]:
        """The sort key of the records with one name; the record with the higher key is newer."""
        return self.identity.incarnation, self.left, self.transitions

    @property
    def is_present(self) -> bool:
        """Whether the member is in the view."""
        return not self.left and self.transitions % 2 == 0


class Opinion(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An observer's opinion of one of its subjects.

    Of two opinions of one observer on one subject, the one with the higher stamp is valid. An opinion applies
    to one incarnation and number of transitions of the subject and is invalid for any other. A suspicion from
    before a partition healed therefore does not count against a member that has come back.
    """

    observer: str
    subject: str
    incarnation: int
    transitions: int
    stamp: int  # a counter that the observer increments with each opinion
    value: int  # SUSPECT, NEUTRAL or ALIVE


GossipUpdate = MemberRecord | Opinion


class Ping(Struct, frozen=True, array_like=True, tag=0, forbid_unknown_fields=True):
    """Requests an ack. ``echo`` is the token of the last received ack, which proves two-way contact."""

    number: int
    echo: int
    digest: int
    updates: list[msgspec.Raw]


class Ack(Struct, frozen=True, array_like=True, tag=1, forbid_unknown_fields=True):
    """Answers a ping. In a relayed ack, ``subject`` is the name of the member that answered."""

    number: int
    token: int
    digest: int
    updates: list[msgspec.Raw]
    subject: str = ""


class IndirectPing(Struct, frozen=True, array_like=True, tag=2, forbid_unknown_fields=True):
    """Requests the receiver to ping another member and to relay its ack."""

    number: int
    echo: int
    subject: str


class StateSyncRequest(Struct, frozen=True, array_like=True, tag=3, forbid_unknown_fields=True):
    """Requests a page of the records whose names sort after ``after``. The page echoes ``token``."""

    echo: int
    token: int
    after: str


class StateSyncPage(Struct, frozen=True, array_like=True, tag=4, forbid_unknown_fields=True):
    """A page of records, sorted by name."""

    echo: int
    records: list[MemberRecord]
    is_last: bool


Message = Ping | Ack | IndirectPing | StateSyncRequest | StateSyncPage
