"""Encodes the messages of a member and collects them until the driver sends them."""

from __future__ import annotations

from ironmill.membership.codec import Codec
from ironmill.membership.identity import Address, Datagram
from ironmill.membership.member_state import MemberState
from ironmill.membership.messages import Message


class Outbox:
    """The datagrams to be sent."""

    __slots__ = ("_count", "_datagrams", "_state", "codec", "sent_bytes")

    def __init__(self, state: MemberState, codec: Codec) -> None:
        """Starts with sequence number 1 and without datagrams."""
        self._state = state
        self.codec = codec
        self._count = 0  # the last sequence number
        self._datagrams: list[Datagram] = []
        self.sent_bytes = 0

    def send(self, name: str, address: Address, message: Message) -> None:
        """Queues a message; ``name`` is empty while the receiver's name is unknown."""
        self._count += 1
        data = self.codec.encode(self._state.identity, name, self._count, message)
        self.sent_bytes += len(data)
        self._datagrams.append((address, data))

    def flush(self) -> list[Datagram]:
        """Returns the queued datagrams and empties the queue."""
        datagrams = self._datagrams
        self._datagrams = []
        return datagrams
