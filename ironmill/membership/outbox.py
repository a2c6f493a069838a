"""Encodes the messages of a member and queues the datagrams until the driver sends them."""

from __future__ import annotations

from ironmill.membership.codec import Codec
from ironmill.membership.identity import Address, Datagram
from ironmill.membership.member_state import MemberState
from ironmill.membership.messages import Message


class Outbox:
    """The queue of encoded datagrams that are to be sent."""

    __slots__ = ("_datagrams", "_last_sequence_number", "_state", "codec", "sent_bytes")

    def __init__(self, state: MemberState, codec: Codec) -> None:
        """Creates an empty queue; the first datagram has sequence number 1."""
        self._state = state
        self.codec = codec
        self._last_sequence_number = 0
        self._datagrams: list[Datagram] = []
        self.sent_bytes = 0

    def send(self, name: str, address: Address, message: Message) -> None:
        """Queues a message; ``name`` is empty while the receiver's name is unknown."""
        self._last_sequence_number += 1
        data = self.codec.encode(self._state.identity, name, self._last_sequence_number, message)
        self.sent_bytes += len(data)
        self._datagrams.append((address, data))

    def flush(self) -> list[Datagram]:
        """Returns the queued datagrams and empties the queue."""
        datagrams = self._datagrams
        self._datagrams = []
        return datagrams
