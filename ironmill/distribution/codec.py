"""Encodes and decodes datagrams of distribution."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ironmill.distribution.messages import Message
from ironmill.distribution.validation import is_valid
from ironmill.membership.envelope import DroppedError, DropReason, Envelope, SignedCodec

_DECODER = msgspec.msgpack.Decoder(Envelope[Message])


class Codec(SignedCodec[Message]):
    """Reads and writes signed datagrams of distribution."""

    def __init__(self, cluster: str, keys: Sequence[bytes]) -> None:
        """The first key signs; a second one is accepted too, while keys are being rotated."""
        super().__init__(cluster, keys, _DECODER)

    def validate(self, message: Message) -> None:
        """Raises ``DroppedError`` if a field of the message is out of its range."""
        if not is_valid(message):
            raise DroppedError(DropReason.MALFORMED)
