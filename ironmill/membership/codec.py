"""Encodes and decodes the datagrams of membership and the gossip updates in them."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ironmill.membership.envelope import DroppedError, DropReason, Envelope, SignedCodec
from ironmill.membership.messages import GossipUpdate, MemberRecord, Message, Opinion, StateSyncPage
from ironmill.membership.validation import validate_update

# An opinion is an array of six elements; a record has fewer. The first byte of MessagePack tells them apart.
_OPINION_HEADER = b"\x96"

_ENVELOPE = msgspec.msgpack.Decoder(Envelope[Message])
_RECORD = msgspec.msgpack.Decoder(MemberRecord)
_OPINION = msgspec.msgpack.Decoder(Opinion)
_ENCODER = msgspec.msgpack.Encoder()


def encode_update(update: GossipUpdate) -> bytes:
    """Returns a gossip update as it is embedded in a ping or an ack."""
    return _ENCODER.encode(update)


def decode_update(raw: msgspec.Raw) -> GossipUpdate:
    """Returns the gossip update; raises ``DroppedError`` if it is malformed or a value is out of range."""
    data = bytes(raw)
    try:
        update: GossipUpdate = _OPINION.decode(data) if data[:1] == _OPINION_HEADER else _RECORD.decode(data)
    except (msgspec.DecodeError, RecursionError):
        raise DroppedError(DropReason.MALFORMED) from None
    validate_update(update)
    return update


class Codec(SignedCodec[Message]):
    """Encodes and decodes the datagrams of membership."""

    def __init__(self, cluster: str, keys: Sequence[bytes]) -> None:
        """Raises ``ValueError`` if the cluster's name or the keys are out of range."""
        super().__init__(cluster, keys, _ENVELOPE)

    def validate(self, message: Message) -> None:
        """Validates the records of a page. Updates in pings and acks are validated as they are decoded."""
        if isinstance(message, StateSyncPage):
            for record in message.records:
                validate_update(record)
