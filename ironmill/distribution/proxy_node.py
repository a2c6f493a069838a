"""The node of a proxy: receives configuration and applies it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar

from ironmill.distribution.interfaces import Consumer
from ironmill.distribution.link import NodeContext
from ironmill.distribution.messages import Endpoint, Message
from ironmill.distribution.node import Node
from ironmill.distribution.replica import Replica
from ironmill.distribution.status import SubscriberStatus, subscriber_status
from ironmill.distribution.subscriber import Subscriber
from ironmill.membership.envelope import Envelope
from ironmill.membership.identity import Address


class ProxyNode(Node):
    """A subscriber without children."""

    role: ClassVar[str] = "subscriber"

    def __init__(self, context: NodeContext, parents: Sequence[Endpoint], consumer: Consumer) -> None:
        """Creates the node of a proxy.

        ``parents`` are the control machines to choose from; ``consumer`` applies the configuration.
        """
        super().__init__(context)
        self.replica = Replica(self.link.notify, consumer)
        self.subscriber = Subscriber(self.link, self.replica, parents, context.timing)

    def lookup(self, key: str) -> bytes | None:
        """Returns the applied value of a key, or None if it has none."""
        return self.replica.keyspace.get(key)

    def status(self, now: float) -> SubscriberStatus:
        """Returns the status that the admin API reports."""
        self.link.now = now
        return subscriber_status(self.link, self.role, self.subscriber)

    def _on_tick(self) -> None:
        self.subscriber.tick()

    def _on_message(self, envelope: Envelope[Message], source: Address) -> None:
        self.subscriber.receive(envelope)

    def _on_leave(self) -> None:
        self.subscriber.leave()
