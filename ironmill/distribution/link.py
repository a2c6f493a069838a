"""What every node needs to send: its identity, a codec, a count of datagrams, and tokens of its peers."""

from __future__ import annotations

import random

from msgspec import Struct

from ironmill.distribution.codec import Codec
from ironmill.distribution.events import Event, EventListener
from ironmill.distribution.messages import Message
from ironmill.distribution.timing import Timing
from ironmill.membership.contact_tokens import ContactTokens
from ironmill.membership.identity import Address, Datagram, MemberIdentity

TOKEN_SECRET_BYTES = 16


class NodeContext(Struct, frozen=True):
    """What the owner gives to a node of any role."""

    identity: MemberIdentity
    codec: Codec
    timing: Timing
    rng: random.Random
    now: float  # seconds of the monotonic clock, at the node's start
    on_event: EventListener


class Link:
    """Encodes messages into datagrams, which wait until the driver takes them with ``flush``."""

    def __init__(self, context: NodeContext) -> None:
        """Draws the secret of the tokens from the context's generator."""
        self.identity = context.identity
        self.codec = context.codec
        self.rng = context.rng
        self.now = context.now  # as of the current tick or datagram
        self.tokens = ContactTokens(context.rng.randbytes(TOKEN_SECRET_BYTES))
        self.dropped: dict[str, int] = {}  # datagrams by reason
        self.sent_bytes = 0
        self.sent_datagrams = 0
        self._on_event = context.on_event
        self._outgoing: list[Datagram] = []
        self._count = 0

    def send(self, recipient: str, address: Address, message: Message) -> int:
        """Queues a message and returns the count of its datagram."""
        self._count += 1
        data = self.codec.encode(self.identity, recipient, self._count, message)
        self.sent_bytes += len(data)
        self.sent_datagrams += 1
        self._outgoing.append((address, data))
        return self._count

    def flush(self) -> list[Datagram]:
        """Returns the queued datagrams and empties the queue."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def drop(self, reason: str) -> None:
        """Counts a datagram that was not accepted."""
        key = str(reason)
        self.dropped[key] = self.dropped.get(key, 0) + 1

    def notify(self, event: Event) -> None:
        """Reports an event to the node's owner."""
        self._on_event(event)
