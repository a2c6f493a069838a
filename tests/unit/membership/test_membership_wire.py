"""Datagrams between members: what is taken, what is dropped and why."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironmill.membership.envelope import DroppedError, Envelope
from ironmill.membership.identity import MemberIdentity
from ironmill.membership.limits import MAX_DATAGRAM_BYTES
from ironmill.membership.wire import (
    Ack,
    Codec,
    Fact,
    Message,
    Opinion,
    Page,
    Ping,
    Replays,
    Seek,
    Want,
    pack,
    unpack,
)

KEY, OTHER = b"0123456789abcdef", b"fedcba9876543210"
CARD = MemberIdentity("p1", "127.0.0.1", 7001, "hall-a", "south", 1_700_000_000_000)
LONG = "x" * 64
LONGEST = MemberIdentity(LONG, LONG, 65535, LONG, LONG, 1 << 61)
MESSAGES: list[Message] = [
    Ping(1, 2, 3, [msgspec.Raw(pack(Fact(CARD, 2)))]),
    Ack(1, 2, 3, [msgspec.Raw(pack(Opinion("p1", "p2", 5, 2, 7, -1)))], "p3"),
    Seek(1, 2, "p3"),
    Want(1, 2, "p3"),
    Page(1, [Fact(CARD, 2, True)], True),
]


def why(codec: Codec, data: bytes) -> str:
    with pytest.raises(DroppedError) as caught:
        codec.decode(data)
    return str(caught.value)


@pytest.mark.parametrize("message", MESSAGES)
def test_what_is_written_is_read(message: Message) -> None:
    data = Codec("town", [KEY]).encode(CARD, "p2", 9, message)
    assert Codec("town", [KEY]).decode(data) == Envelope("town", "p1", CARD.incarnation, "p2", 9, message)
    assert len(data) < 200


def test_who_is_not_of_the_cluster_is_dropped_by_name() -> None:
    codec = Codec("town", [KEY])
    data = codec.encode(CARD, "p2", 9, MESSAGES[0])
    assert why(Codec("town", [OTHER]), data) == "forged"
    assert why(Codec("village", [KEY]), data) == "foreign"
    assert why(codec, data[:16]) == "truncated"
    assert why(codec, data[:-1]) == "forged"
    assert why(codec, data + b"\0" * MAX_DATAGRAM_BYTES) == "oversized"
    signed = codec._mac(KEY, b"\xc1") + b"\xc1"
    assert why(codec, signed) == "malformed"


def test_keys_are_replaced_while_members_differ() -> None:
    old, both, new = Codec("town", [KEY]), Codec("town", [KEY, OTHER]), Codec("town", [OTHER])
    ahead = Codec("town", [OTHER, KEY])
    pairs = ((old, (both, ahead)), (both, (old, ahead)), (ahead, (both, new)), (new, (ahead,)))
    for writer, readers in pairs:
        data = writer.encode(CARD, "", 1, MESSAGES[2])
        for reader in readers:
            assert reader.decode(data).sender == "p1"
    assert why(new, old.encode(CARD, "", 1, MESSAGES[2])) == "forged"
    for keys in ([], [KEY, OTHER, KEY], [b"short"], [b"x" * 65]):
        with pytest.raises(ValueError, match="keys"):
            both.keys = keys


@pytest.mark.parametrize(
    "rumour",
    [
        Fact(msgspec.structs.replace(CARD, name="x" * 65), 2),
        Fact(msgspec.structs.replace(CARD, name=""), 2),
        Fact(msgspec.structs.replace(CARD, host="\u00e9" * 33), 2),
        Fact(msgspec.structs.replace(CARD, port=0), 2),
        Fact(msgspec.structs.replace(CARD, incarnation=1 << 62), 2),
        Fact(CARD, -1),
        Opinion("p1", "", 1, 1, 1, 1),
        Opinion("p1", "p2", 1, 1, 1, 2),
        Opinion("p1", "p2", 1, 1, -1, 1),
    ],
)
def test_a_rumour_out_of_bounds_is_none(rumour: Fact | Opinion) -> None:
    with pytest.raises(DroppedError, match="malformed"):
        unpack(msgspec.Raw(pack(rumour)))


@given(st.binary(max_size=300))
def test_no_bytes_break_the_reader(data: bytes) -> None:
    """Signed as well, for a member may be out of its mind."""
    codec = Codec("town", [KEY])
    for one in (data, codec._mac(KEY, data) + data):
        try:
            codec.decode(one)
        except DroppedError as error:
            assert str(error) in ("forged", "malformed", "truncated", "foreign")
    try:
        unpack(msgspec.Raw(data))
    except DroppedError as error:
        assert str(error) == "malformed"


@given(st.data())
def test_no_change_of_a_byte_goes_unseen(data: st.DataObject) -> None:
    codec = Codec("town", [KEY])
    good = codec.encode(CARD, "p2", 9, data.draw(st.sampled_from(MESSAGES)))
    at = data.draw(st.integers(0, len(good) - 1))
    bad = good[:at] + bytes([good[at] ^ data.draw(st.integers(1, 255))]) + good[at + 1 :]
    assert why(codec, bad) == "forged"


@given(st.lists(st.integers(0, 2 * Replays.WINDOW)))
def test_each_count_is_taken_once(counts: list[int]) -> None:
    window, taken, highest = Replays(), set[int](), -1
    for count in counts:
        recent = count > highest - Replays.WINDOW
        assert window.take(count) is (recent and count not in taken)
        if recent:
            taken.add(count)
        highest = max(highest, count)
