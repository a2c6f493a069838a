"""Encoding of the membership datagrams and of the gossip updates in them."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ironmill.membership.envelope import DroppedError, DropReason, Envelope, SignedCodec
from ironmill.membership.messages import GossipUpdate, MemberRecord, Message, Opinion, StateSyncPage
from ironmill.membership.validation import validate_update

# The first MessagePack byte of an opinion: an array of six elements. Records have fewer elements.
_OPINION_HEADER = b"\x96"

_ENVELOPE = msgspec.msgpack.Decoder(Envelope[Message])
_RECORD = msgspec.msgpack.Decoder(MemberRecord)
_OPINION = msgspec.msgpack.Decoder(Opinion)
_ENCODER = msgspec.msgpack.Encoder()


def encode_update(update: GossipUpdate) -> bytes:
    """Returns the encoded form of a gossip update, which pings and acks embed."""
    return _ENCODER.encode(update)


def decode_update(raw: msgspec.Raw) -> GossipUpdate:
    """Returns the decoded gossip update.

    Raises ``DroppedError`` if the update is malformed or one of its values is out of range.
    """
    data = bytes(raw)
    try:
        update: GossipUpdate = _OPINION.decode(data) if data[:1] == _OPINION_HEADER else _RECORD.decode(data)
    except (msgspec.DecodeError, RecursionError):
        raise DroppedError(DropReason.MALFORMED) from None
    validate_update(update)
    return update


class Codec(SignedCodec[Message]):
    """Encodes and decodes the membership datagrams."""

    def __init__(self, cluster: str, keys: Sequence[bytes]) -> None:
        """Creates a codec for one cluster; raises ``ValueError`` if its name or the keys are out of range."""
        super().__init__(cluster, keys, _ENVELOPE)

    def validate(self, message: Message) -> None:
        """Validates the records of a state sync page; ``decode_update`` validates those in pings and acks."""
        if isinstance(message, StateSyncPage):
            for record in message.records:
                validate_update(record)
