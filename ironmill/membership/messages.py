"""Messages of the membership protocol: arrays of MessagePack, whose field order and tags are fixed."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from ironmill.membership.identity import MemberIdentity

SUSPECT, NEUTRAL, ALIVE = -1, 0, 1  # values of an opinion


class MemberRecord(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The state of one member in the view. Of two records of one name every member keeps the higher one."""

    identity: MemberIdentity
    transitions: int  # between in and out of the view; in the view while even
    left: bool = False  # shut down gracefully, which is final for this incarnation

    @property
    def order(self) -> tuple[int, bool, int]:
        """The key by which records of one name are ordered."""
        return self.identity.incarnation, self.left, self.transitions

    @property
    def is_present(self) -> bool:
        """Whether the member is in the view."""
        return not self.left and self.transitions % 2 == 0


class Opinion(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An observer's opinion of one of its subjects. Of two opinions of one observer the higher stamp wins.

    It refers to one incarnation and number of transitions of the subject and is void for any other, so that a
    suspicion from before a partition healed does not count against a member that has come back.
    """

    observer: str
    subject: str
    incarnation: int
    transitions: int
    stamp: int  # a counter of the observer
    value: int  # SUSPECT, NEUTRAL or ALIVE


GossipUpdate = MemberRecord | Opinion


class Ping(Struct, frozen=True, array_like=True, tag=0, forbid_unknown_fields=True):
    """Requests an ack. ``echo`` is the token of the last ack received, which proves contact both ways."""

    number: int
    echo: int
    digest: int
    updates: list[msgspec.Raw]


class Ack(Struct, frozen=True, array_like=True, tag=1, forbid_unknown_fields=True):
    """Answers a ping. ``subject`` names the answering member where another one relays its ack."""

    number: int
    token: int
    digest: int
    updates: list[msgspec.Raw]
    subject: str = ""


class IndirectPing(Struct, frozen=True, array_like=True, tag=2, forbid_unknown_fields=True):
    """Requests that the receiver pings another member and relays its ack."""

    number: int
    echo: int
    subject: str


class StateSyncRequest(Struct, frozen=True, array_like=True, tag=3, forbid_unknown_fields=True):
    """Requests the page of records whose names follow ``after``. The page echoes ``token``."""

    echo: int
    token: int
    after: str


class StateSyncPage(Struct, frozen=True, array_like=True, tag=4, forbid_unknown_fields=True):
    """Records in the order of their names."""

    echo: int
    records: list[MemberRecord]
    is_last: bool


Message = Ping | Ack | IndirectPing | StateSyncRequest | StateSyncPage
