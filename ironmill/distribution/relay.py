"""The node of a control machine between the origin and the proxies."""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar

from msgspec.structs import asdict

from ironmill.distribution.link import NodeContext
from ironmill.distribution.messages import (
    DeltaChunk,
    DigestResponse,
    Endpoint,
    EntriesResponse,
    Message,
    PollResponse,
)
from ironmill.distribution.node import Node
from ironmill.distribution.publisher import Publisher
from ironmill.distribution.replica import Replica
from ironmill.distribution.revision_log import RevisionLog
from ironmill.distribution.status import RelayStatus, fleet_fields, subscriber_status
from ironmill.distribution.subscriber import Subscriber
from ironmill.membership.envelope import Envelope
from ironmill.membership.identity import Address

MAX_STATUS_LAGGING_BYTES = 1 << 16  # lagging nodes listed in a status


class Relay(Node):
    """Subscribes to the origin and publishes to proxies."""

    role: ClassVar[str] = "relay"

    def __init__(self, context: NodeContext, origins: Sequence[Endpoint], peers: Sequence[Endpoint]) -> None:
        """Creates a relay.

        ``origins`` are the control machines that may be the origin; ``peers`` are all other control machines.
        """
        super().__init__(context)
        timing = context.timing
        self.replica = Replica(self.link.notify, log=RevisionLog())
        self.publisher = Publisher(self.link, self.replica, timing, peers)
        self.subscriber = Subscriber(self.link, self.replica, origins, timing, self.publisher.summary)

    def status(self, now: float) -> RelayStatus:
        """Returns the status that the admin API reports."""
        self.link.now = now
        own = subscriber_status(self.link, self.role, self.subscriber)
        summary = self.publisher.summary(MAX_STATUS_LAGGING_BYTES)
        return RelayStatus(**asdict(own), **fleet_fields(summary))

    def _on_tick(self) -> None:
        self.subscriber.tick()
        self._update_publisher()
        self.publisher.tick()

    def _on_message(self, envelope: Envelope[Message], source: Address) -> None:
        if isinstance(envelope.message, PollResponse | DeltaChunk | DigestResponse | EntriesResponse):
            self.subscriber.receive(envelope)
            self._update_publisher()
        else:
            self._update_publisher()  # the publisher reports the origin's current age, which grows
            self.publisher.receive(envelope, source)

    def _on_leave(self) -> None:
        """Notifies the origin of the shutdown. The children find other parents on their own."""
        self.subscriber.leave()
        self.publisher.is_stopped = True

    def _update_publisher(self) -> None:
        """Copies the term, the origin's age and acknowledgements from the subscriber to the publisher."""
        subscriber, publisher = self.subscriber, self.publisher
        publisher.term = subscriber.term
        publisher.origin_age_ms = subscriber.freshness.age_ms
        publisher.set_summary_acked_at(subscriber.summary_acked_at)
        if subscriber.take_advanced():
            publisher.on_published()
