"""The parent's side of catch-ups by ranges, with a rate limit shared by all children."""

from __future__ import annotations

from ironmill.distribution.keyspace import LEVEL_BITS, children_of
from ironmill.distribution.link import Link
from ironmill.distribution.messages import (
    MAX_BODY_BYTES,
    DigestRequest,
    DigestResponse,
    EntriesRequest,
    EntriesResponse,
    Message,
)
from ironmill.distribution.replica import Replica
from ironmill.membership.envelope import DroppedError, DropReason, Envelope
from ironmill.membership.identity import Address
from ironmill.membership.limits import MAX_DATAGRAM_BYTES

BURST_S = 0.25  # seconds of the rate limit that may be sent at once


class RangeServer:
    """A server of the digests and entries of one replica."""

    def __init__(self, link: Link, replica: Replica, bytes_per_s: float) -> None:
        """Creates a server. ``bytes_per_s`` limits the responses to all children together."""
        self._link = link
        self._replica = replica
        self._bytes_per_s = bytes_per_s
        self._credit = bytes_per_s * BURST_S
        self._credit_at = link.now

    def on_digest_request(self, envelope: Envelope[Message], request: DigestRequest, source: Address) -> None:
        """Sends the digests of a range's parts. Raises ``DroppedError`` if the request is not admitted."""
        self._admit(envelope, request.echo)
        replica, keyspace = self._replica, self._replica.keyspace
        level = request.level + 1
        prefixes = children_of(request.level, request.prefix) if level else range(1 << LEVEL_BITS[0])
        response = DigestResponse(
            echo=request.token,
            lineage=replica.lineage,
            position=replica.received_position,
            root_digest=keyspace.digest,
            level=request.level,
            prefix=request.prefix,
            digests=[keyspace.range_digest(level, prefix) for prefix in prefixes],
        )
        self._send(envelope, source, response)

    def on_entries_request(
        self, envelope: Envelope[Message], request: EntriesRequest, source: Address
    ) -> None:
        """Sends a page of entries. Raises ``DroppedError`` if the request is not admitted."""
        self._admit(envelope, request.echo)
        replica = self._replica
        body, next_leaf, after_key = replica.keyspace.page(
            request.leaf, request.after_key, request.end_leaf, MAX_BODY_BYTES
        )
        response = EntriesResponse(
            echo=request.token,
            lineage=replica.lineage,
            number=request.number,
            position=replica.received_position,
            next_leaf=next_leaf,
            is_partial=after_key != "",
            body=body,
        )
        self._send(envelope, source, response)

    def _send(
        self, envelope: Envelope[Message], source: Address, response: DigestResponse | EntriesResponse
    ) -> None:
        sent_before = self._link.sent_bytes
        self._link.send(envelope.sender, source, response)
        self._credit -= self._link.sent_bytes - sent_before

    def _admit(self, envelope: Envelope[Message], echo: int) -> None:
        """Raises ``DroppedError`` if the sender's address is not proven or the rate limit is reached.

        The child repeats a request that was dropped.
        """
        now, rate = self._link.now, self._bytes_per_s
        if not self._link.tokens.verify(envelope.sender, envelope.incarnation, echo, now):
            raise DroppedError(DropReason.UNPROVEN)
        self._credit = min(rate * BURST_S, self._credit + (now - self._credit_at) * rate)
        self._credit_at = now
        if self._credit < MAX_DATAGRAM_BYTES:
            raise DroppedError(DropReason.BUSY)
