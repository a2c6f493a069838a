"""One message of each kind and tag of the two datagram protocols, with fixed keys and counts."""

from __future__ import annotations

from msgspec import Raw

from ironmill.distribution import messages as distribution
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.revision import Position
from ironmill.membership import codec as membership_codec
from ironmill.membership import messages as membership
from ironmill.membership.envelope import Envelope
from ironmill.membership.identity import MemberIdentity

KEY, OLDER_KEY = bytes(range(32)), bytes(range(100, 116))
CLUSTER = "pos-east"
SENDER = MemberIdentity("n1", "10.0.0.4", 7946, "a", "east", 1764700000123)
OTHER = MemberIdentity("n2", "10.0.0.5", 7946, "b", "east", 1764700000456)

RECORDS = {
    "joined": membership.MemberRecord(SENDER, 0),
    "out": membership.MemberRecord(OTHER, 3),
    "left": membership.MemberRecord(OTHER, 4, True),
}
OPINIONS = {
    "accuses": membership.Opinion("n1", "n2", 1764700000456, 0, 17, membership.SUSPECT),
    "nothing": membership.Opinion("n1", "n2", 1764700000456, 0, 18, membership.NEUTRAL),
    "vouches": membership.Opinion("n1", "n2", 1764700000456, 1, 19, membership.ALIVE),
}
UPDATES = [Raw(membership_codec.encode_update(one)) for one in (*RECORDS.values(), *OPINIONS.values())]

MEMBERSHIP: dict[str, membership.Message] = {
    "ping": membership.Ping(7, 4_000_000_001, 0x1234567890ABCD, UPDATES),
    "ping without rumours": membership.Ping(8, 0, 0, []),
    "ack": membership.Ack(7, 77, 0x1234567890ABCD, UPDATES[:1]),
    "ack passed on": membership.Ack(9, 0, 5, [], "n3"),
    "seek": membership.IndirectPing(10, 3, "n3"),
    "want": membership.StateSyncRequest(11, 12, "n1"),
    "page": membership.StateSyncPage(12, list(RECORDS.values()), False),
    "last page": membership.StateSyncPage(12, [], True),
}

_HELD, _TARGET = Position(3, 17), Position(4, 300)
_SUMMARY = distribution.FleetSummary(
    False,
    [distribution.ZoneSummary("a", 40, _HELD, 1, 2, 3), distribution.ZoneSummary("b", 41, _TARGET, 0, 0, 0)],
    [
        distribution.LaggingNode("n2", "b", _HELD, distribution.BEHIND),
        distribution.LaggingNode("n3", "b", _HELD, distribution.REJECTING, "log.level", "no such level"),
        distribution.LaggingNode("n4", "b", _HELD, distribution.UNREACHABLE),
    ],
    5,
)

DISTRIBUTION: dict[str, distribution.Message] = {
    "poll": distribution.Poll(
        21,
        22,
        False,
        0x1234567,
        _HELD,
        _HELD,
        4,
        2,
        ["c1", "c2"],
        "a",
        1500,
        _TARGET,
        [0, 5],
        Rejection("log.level", "no such level"),
        _SUMMARY,
    ),
    "first poll": distribution.Poll(
        0,
        1,
        True,
        0,
        Position(0, 0),
        Position(0, 0),
        0,
        0,
        [],
        "none",
        distribution.AGE_UNKNOWN,
        Position(0, 0),
        [],
    ),
    "word": distribution.PollResponse(22, 23, 0x1234567, 4, _TARGET, 20, True, 99, True),
    "part": distribution.DeltaChunk(
        22, 0x1234567, 4, _HELD, _TARGET, 0xFEDCBA9876543210, 1, 3, b"\x03abc\x00\x02x\x01d\x00\x00"
    ),
    "ask": distribution.DigestRequest(24, 25, -1, 0),
    "ask of a level": distribution.DigestRequest(24, 25, 0, 1),
    "digests": distribution.DigestResponse(
        25, 0x1234567, _HELD, 0xFEDCBA9876543210, -1, 0, list(range(distribution.digest_count(-1)))
    ),
    "fetch": distribution.EntriesRequest(26, 27, 1, 2, "abc", 9),
    "page": distribution.EntriesResponse(27, 0x1234567, 1, _HELD, 3, True, b"\x03abc\x00\x02x"),
    "leave": distribution.Leave(28),
    "moved": distribution.ChildMoved("n2", 1764700000456, 3),
    "noted": distribution.ChildMoveAck("n2", 3),
    "sought": distribution.FindChildRequest(
        [distribution.UnreachableChild("n2", "b", _HELD, 1764700000456, 3)]
    ),
}


def envelope(message: object, to: str, count: int) -> Envelope[object]:
    return Envelope(CLUSTER, SENDER.name, SENDER.incarnation, to, count, message)
