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
SENDER = MemberIdentity(
    name="n1", host="10.0.0.4", port=7946, zone="a", region="east", incarnation=1764700000123
)
OTHER = MemberIdentity(
    name="n2", host="10.0.0.5", port=7946, zone="b", region="east", incarnation=1764700000456
)

RECORDS = {
    "joined": membership.MemberRecord(identity=SENDER, transitions=0),
    "out": membership.MemberRecord(identity=OTHER, transitions=3),
    "left": membership.MemberRecord(identity=OTHER, transitions=4, left=True),
}
OPINIONS = {
    "accuses": membership.Opinion(
        observer="n1",
        subject="n2",
        incarnation=1764700000456,
        transitions=0,
        stamp=17,
        value=membership.SUSPECT,
    ),
    "nothing": membership.Opinion(
        observer="n1",
        subject="n2",
        incarnation=1764700000456,
        transitions=0,
        stamp=18,
        value=membership.NEUTRAL,
    ),
    "vouches": membership.Opinion(
        observer="n1",
        subject="n2",
        incarnation=1764700000456,
        transitions=1,
        stamp=19,
        value=membership.ALIVE,
    ),
}
UPDATES = [Raw(membership_codec.encode_update(one)) for one in (*RECORDS.values(), *OPINIONS.values())]

MEMBERSHIP: dict[str, membership.Message] = {
    "ping": membership.Ping(number=7, echo=4_000_000_001, digest=0x1234567890ABCD, updates=UPDATES),
    "ping without rumours": membership.Ping(number=8, echo=0, digest=0, updates=[]),
    "ack": membership.Ack(number=7, token=77, digest=0x1234567890ABCD, updates=UPDATES[:1]),
    "ack passed on": membership.Ack(number=9, token=0, digest=5, updates=[], subject="n3"),
    "seek": membership.IndirectPing(number=10, echo=3, subject="n3"),
    "want": membership.StateSyncRequest(echo=11, token=12, after="n1"),
    "page": membership.StateSyncPage(echo=12, records=list(RECORDS.values()), is_last=False),
    "last page": membership.StateSyncPage(echo=12, records=[], is_last=True),
}

_HELD, _TARGET = Position(3, 17), Position(4, 300)
_SUMMARY = distribution.FleetSummary(
    converged=False,
    zones=[
        distribution.ZoneSummary(
            zone="a", proxies=40, lowest_position=_HELD, rejecting=1, unreachable=2, stale=3
        ),
        distribution.ZoneSummary(
            zone="b", proxies=41, lowest_position=_TARGET, rejecting=0, unreachable=0, stale=0
        ),
    ],
    lagging_nodes=[
        distribution.LaggingNode(name="n2", zone="b", applied_position=_HELD, state=distribution.BEHIND),
        distribution.LaggingNode(
            name="n3",
            zone="b",
            applied_position=_HELD,
            state=distribution.REJECTING,
            key="log.level",
            reason="no such level",
        ),
        distribution.LaggingNode(name="n4", zone="b", applied_position=_HELD, state=distribution.UNREACHABLE),
    ],
    omitted=5,
)

DISTRIBUTION: dict[str, distribution.Message] = {
    "poll": distribution.Poll(
        echo=21,
        token=22,
        is_probe=False,
        lineage=0x1234567,
        received_position=_HELD,
        applied_position=_HELD,
        term=4,
        attach_count=2,
        previous_parents=["c1", "c2"],
        zone="a",
        origin_age_ms=1500,
        incomplete_target=_TARGET,
        missing_chunks=[0, 5],
        rejection=Rejection(key="log.level", reason="no such level"),
        summary=_SUMMARY,
    ),
    "first poll": distribution.Poll(
        echo=0,
        token=1,
        is_probe=True,
        lineage=0,
        received_position=Position(0, 0),
        applied_position=Position(0, 0),
        term=0,
        attach_count=0,
        previous_parents=[],
        zone="none",
        origin_age_ms=distribution.AGE_UNKNOWN,
        incomplete_target=Position(0, 0),
        missing_chunks=[],
    ),
    "word": distribution.PollResponse(
        echo=22,
        token=23,
        lineage=0x1234567,
        term=4,
        latest_position=_TARGET,
        origin_age_ms=20,
        log_covers_child=True,
        poll_count=99,
        is_child=True,
    ),
    "part": distribution.DeltaChunk(
        echo=22,
        lineage=0x1234567,
        term=4,
        base=_HELD,
        target=_TARGET,
        digest=0xFEDCBA9876543210,
        index=1,
        count=3,
        body=b"\x03abc\x00\x02x\x01d\x00\x00",
    ),
    "ask": distribution.DigestRequest(echo=24, token=25, level=-1, prefix=0),
    "ask of a level": distribution.DigestRequest(echo=24, token=25, level=0, prefix=1),
    "digests": distribution.DigestResponse(
        echo=25,
        lineage=0x1234567,
        position=_HELD,
        root_digest=0xFEDCBA9876543210,
        level=-1,
        prefix=0,
        digests=list(range(distribution.digest_count(-1))),
    ),
    "fetch": distribution.EntriesRequest(echo=26, token=27, number=1, leaf=2, after_key="abc", end_leaf=9),
    "page": distribution.EntriesResponse(
        echo=27,
        lineage=0x1234567,
        number=1,
        position=_HELD,
        next_leaf=3,
        is_partial=True,
        body=b"\x03abc\x00\x02x",
    ),
    "leave": distribution.Leave(echo=28),
    "moved": distribution.ChildMoved(name="n2", incarnation=1764700000456, attach_count=3),
    "noted": distribution.ChildMoveAck(name="n2", attach_count=3),
    "sought": distribution.FindChildRequest(
        children=[
            distribution.UnreachableChild(
                name="n2", zone="b", applied_position=_HELD, incarnation=1764700000456, attach_count=3
            )
        ]
    ),
}

# With other values than above where two fields of a message had the same one in each.
DISTINCT: dict[str, distribution.Message] = {
    "poll of a rejecting child": distribution.Poll(
        echo=21,
        token=22,
        is_probe=False,
        lineage=0x1234567,
        received_position=_TARGET,
        applied_position=_HELD,
        term=4,
        attach_count=2,
        previous_parents=["c1", "c2"],
        zone="a",
        origin_age_ms=1500,
        incomplete_target=Position(5, 301),
        missing_chunks=[0, 5],
        rejection=Rejection(key="log.level", reason="no such level"),
        summary=None,
    ),
    "word to a new child": distribution.PollResponse(
        echo=22,
        token=23,
        lineage=0x1234567,
        term=4,
        latest_position=_TARGET,
        origin_age_ms=20,
        log_covers_child=False,
        poll_count=99,
        is_child=True,
    ),
}


def envelope(message: object, to: str, count: int) -> Envelope[object]:
    return Envelope(
        cluster=CLUSTER,
        sender=SENDER.name,
        incarnation=SENDER.incarnation,
        to=to,
        count=count,
        message=message,
    )
