"""What every process of distribution has: a card, counted datagrams, tokens that prove both ways."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ironmill.distribution.wire import Codec, Message
from ironmill.membership.contact_tokens import ContactTokens
from ironmill.membership.identity import Address, Datagram, MemberIdentity

OnEvent = Callable[[str, dict[str, Any]], object]


class Link:
    """Writes datagrams; what is to be sent waits in ``out`` until the driver takes it."""

    def __init__(
        self, card: MemberIdentity, codec: Codec, rng: random.Random, now: float, told: OnEvent
    ) -> None:
        self.card = card
        self.codec = codec
        self.rng = rng
        self.told = told
        self.now = now
        self.tokens = ContactTokens(rng.randbytes(16))
        self.out: list[Datagram] = []
        self.dropped: dict[str, int] = {}
        self.sent_bytes = 0
        self.sent_datagrams = 0
        self._count = 0

    def send(self, to: str, address: Address, message: Message) -> int:
        """Put a message on its way; its count."""
        self._count += 1
        data = self.codec.encode(self.card, to, self._count, message)
        self.sent_bytes += len(data)
        self.sent_datagrams += 1
        self.out.append((address, data))
        return self._count

    def flush(self) -> list[Datagram]:
        """What is to be sent now."""
        out, self.out = self.out, []
        return out

    def drop(self, why: str) -> None:
        """Count a datagram that was not taken."""
        self.dropped[why] = self.dropped.get(why, 0) + 1
