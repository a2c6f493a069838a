"""Sending of messages by a node: its identity, codec, sequence numbers, and tokens for its peers."""

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
    """The dependencies that the owner passes to a node of any role."""

    identity: MemberIdentity
    codec: Codec
    timing: Timing
    rng: random.Random
    now: float  # monotonic clock at the node's start, in seconds
    on_event: EventListener


class Link:
    """Encodes messages into datagrams and queues them until the driver takes them with ``flush``."""

    def __init__(self, context: NodeContext) -> None:
        """Creates a link. The secret of its tokens is drawn from the context's random generator."""
        self.identity = context.identity
        self.codec = context.codec
        self.rng = context.rng
        self.now = context.now  # time of the current tick or datagram
        self.tokens = ContactTokens(context.rng.randbytes(TOKEN_SECRET_BYTES))
        self.dropped: dict[str, int] = {}  # counts of dropped datagrams, by reason
        self.sent_bytes = 0
        self.sent_datagrams = 0
        self._on_event = context.on_event
        self._outgoing: list[Datagram] = []
        self._count = 0

    def send(self, recipient: str, address: Address, message: Message) -> int:
        """Queues a message and returns the sequence number of its datagram."""
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
        """Counts a datagram that was dropped for this reason."""
        key = str(reason)
        self.dropped[key] = self.dropped.get(key, 0) + 1

    def notify(self, event: Event) -> None:
        """Passes an event to the node's owner."""
        self._on_event(event)
