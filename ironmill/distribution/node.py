"""The interface of nodes of all roles to their driver.

The driver calls ``tick`` every ``TICK_INTERVAL_S`` and ``receive`` with each datagram. It sends the datagrams
that these methods, ``leave`` and ``flush`` return. Nodes have no socket and no clock. No call blocks, except
those that access the origin's store.
"""

from __future__ import annotations

from typing import ClassVar

from msgspec import Struct

from ironmill.distribution.link import Link, NodeContext
from ironmill.distribution.messages import Message
from ironmill.membership.envelope import DroppedError, DropReason, Envelope
from ironmill.membership.identity import Address, Datagram, MemberIdentity


class Node:
    """Base class of the nodes of all roles."""

    role: ClassVar[str]

    def __init__(self, context: NodeContext) -> None:
        """Creates the node's link; subclasses create the rest."""
        self.link = Link(context)

    @property
    def identity(self) -> MemberIdentity:
        """The identity of the process in the cluster."""
        return self.link.identity

    @property
    def dropped(self) -> dict[str, int]:
        """Counts of dropped datagrams, by reason."""
        return self.link.dropped

    @property
    def sent_bytes(self) -> int:
        """Bytes of datagrams sent so far."""
        return self.link.sent_bytes

    def tick(self, now: float) -> list[Datagram]:
        """Does the work due at ``now``, in seconds of the monotonic clock. Returns the datagrams to send."""
        self.link.now = now
        self._on_tick()
        return self.link.flush()

    def receive(self, data: bytes, source: Address, now: float) -> list[Datagram]:
        """Handles a datagram and returns the datagrams to send. One that is not accepted is only counted."""
        self.link.now = now
        try:
            envelope = self.link.codec.decode(data)
            name = self.identity.name
            if envelope.to not in ("", name) or envelope.sender == name:
                raise DroppedError(DropReason.MISDIRECTED)
            self._on_message(envelope, source)
        except DroppedError as error:
            self.link.drop(error.reason)
        return self.link.flush()

    def flush(self) -> list[Datagram]:
        """Returns the datagrams that other calls have queued."""
        return self.link.flush()

    def leave(self, now: float) -> list[Datagram]:
        """Shuts down the node and returns the last datagrams to send."""
        self.link.now = now
        self._on_leave()
        return self.link.flush()

    def status(self, now: float) -> Struct:
        """Returns the status that the admin API reports, to be encoded as JSON."""
        raise NotImplementedError

    def _on_tick(self) -> None:
        raise NotImplementedError

    def _on_message(self, envelope: Envelope[Message], source: Address) -> None:
        raise NotImplementedError

    def _on_leave(self) -> None:
        """Queues the last messages. There are none by default."""
