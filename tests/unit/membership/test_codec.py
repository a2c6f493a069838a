"""Tests of which membership datagrams the codec accepts, and for which reason it drops others."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironmill.membership.codec import Codec, decode_update, encode_update
from ironmill.membership.envelope import DroppedError, Envelope
from ironmill.membership.identity import MemberIdentity
from ironmill.membership.limits import MAX_DATAGRAM_BYTES
from ironmill.membership.messages import (
    Ack,
    GossipUpdate,
    IndirectPing,
    MemberRecord,
    Message,
    Opinion,
    Ping,
    StateSyncPage,
    StateSyncRequest,
)

KEY, OTHER_KEY = b"0123456789abcdef", b"fedcba9876543210"
IDENTITY = MemberIdentity("p1", "127.0.0.1", 7001, "hall-a", "south", 1_700_000_000_000)
MESSAGES: list[Message] = [
    Ping(1, 2, 3, [msgspec.Raw(encode_update(MemberRecord(IDENTITY, 2)))]),
    Ack(1, 2, 3, [msgspec.Raw(encode_update(Opinion("p1", "p2", 5, 2, 7, -1)))], "p3"),
    IndirectPing(1, 2, "p3"),
    StateSyncRequest(1, 2, "p3"),
    StateSyncPage(1, [MemberRecord(IDENTITY, 2, True)], True),
]


def drop_reason(codec: Codec, data: bytes) -> str:
    with pytest.raises(DroppedError) as caught:
        codec.decode(data)
    return str(caught.value)


@pytest.mark.parametrize("message", MESSAGES)
def test_encoded_message_decodes_to_itself(message: Message) -> None:
    data = Codec("north", [KEY]).encode(IDENTITY, "p2", 9, message)
    expected = Envelope("north", "p1", IDENTITY.incarnation, "p2", 9, message)
    assert Codec("north", [KEY]).decode(data) == expected
    assert len(data) < 200


def test_invalid_datagram_is_dropped_with_its_reason() -> None:
    codec = Codec("north", [KEY])
    data = codec.encode(IDENTITY, "p2", 9, MESSAGES[0])
    assert drop_reason(Codec("north", [OTHER_KEY]), data) == "forged"
    assert drop_reason(Codec("south", [KEY]), data) == "foreign"
    assert drop_reason(codec, data[:16]) == "truncated"
    assert drop_reason(codec, data[:-1]) == "forged"
    assert drop_reason(codec, data + b"\0" * MAX_DATAGRAM_BYTES) == "oversized"
    signed = codec._mac(KEY, b"\xc1") + b"\xc1"
    assert drop_reason(codec, signed) == "malformed"


def test_members_accept_each_others_datagrams_during_key_rotation() -> None:
    old, old_signs, new = Codec("north", [KEY]), Codec("north", [KEY, OTHER_KEY]), Codec("north", [OTHER_KEY])
    new_signs = Codec("north", [OTHER_KEY, KEY])
    pairs = (
        (old, (old_signs, new_signs)),
        (old_signs, (old, new_signs)),
        (new_signs, (old_signs, new)),
        (new, (new_signs,)),
    )
    for sender, receivers in pairs:
        data = sender.encode(IDENTITY, "", 1, MESSAGES[2])
        for receiver in receivers:
            assert receiver.decode(data).sender == "p1"
    assert drop_reason(new, old.encode(IDENTITY, "", 1, MESSAGES[2])) == "forged"
    for keys in ([], [KEY, OTHER_KEY, KEY], [b"short"], [b"x" * 65]):
        with pytest.raises(ValueError, match="keys"):
            old_signs.keys = keys


@pytest.mark.parametrize(
    "update",
    [
        MemberRecord(msgspec.structs.replace(IDENTITY, name="x" * 65), 2),
        MemberRecord(msgspec.structs.replace(IDENTITY, name=""), 2),
        MemberRecord(msgspec.structs.replace(IDENTITY, host="\u00e9" * 33), 2),
        MemberRecord(msgspec.structs.replace(IDENTITY, port=0), 2),
        MemberRecord(msgspec.structs.replace(IDENTITY, incarnation=1 << 62), 2),
        MemberRecord(IDENTITY, -1),
        Opinion("p1", "", 1, 1, 1, 1),
        Opinion("p1", "p2", 1, 1, 1, 2),
        Opinion("p1", "p2", 1, 1, -1, 1),
    ],
)
def test_update_with_a_value_out_of_range_is_malformed(update: GossipUpdate) -> None:
    with pytest.raises(DroppedError, match="malformed"):
        decode_update(msgspec.Raw(encode_update(update)))


@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_nothing_but_dropped_error(data: bytes) -> None:
    """Guards against other exceptions, also for signed bytes, because a faulty member may have the key."""
    codec = Codec("north", [KEY])
    for datagram in (data, codec._mac(KEY, data) + data):
        try:
            codec.decode(datagram)
        except DroppedError as error:
            assert str(error) in ("forged", "malformed", "truncated", "foreign")
    try:
        decode_update(msgspec.Raw(data))
    except DroppedError as error:
        assert str(error) == "malformed"


@given(st.data())
def test_datagram_with_one_changed_byte_is_forged(data: st.DataObject) -> None:
    codec = Codec("north", [KEY])
    valid = codec.encode(IDENTITY, "p2", 9, data.draw(st.sampled_from(MESSAGES)))
    index = data.draw(st.integers(0, len(valid) - 1))
    changed = valid[:index] + bytes([valid[index] ^ data.draw(st.integers(1, 255))]) + valid[index + 1 :]
    assert drop_reason(codec, changed) == "forged"
