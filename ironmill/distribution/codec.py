"""Encoding and decoding of distribution datagrams."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ironmill.distribution.messages import Message
from ironmill.distribution.validation import is_valid
from ironmill.membership.envelope import DroppedError, DropReason, Envelope, SignedCodec

_DECODER = msgspec.msgpack.Decoder(Envelope[Message])


class Codec(SignedCodec[Message]):
    """Encodes and decodes signed distribution datagrams."""

    def __init__(self, cluster: str, keys: Sequence[bytes]) -> None:
        """Creates a codec. The first key signs; a second one is also accepted while keys are rotated."""
        super().__init__(cluster, keys, _DECODER)

    def validate(self, message: Message) -> None:
        """Raises ``DroppedError`` if a field of the message is out of range."""
        if not is_valid(message):
            raise DroppedError(DropReason.MALFORMED)
