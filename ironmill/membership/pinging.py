"""Sends pings, direct and indirect, and acks, and matches the acks that come back."""

from __future__ import annotations

from msgspec import Raw, Struct

from ironmill.membership.codec import encode_update
from ironmill.membership.envelope import DroppedError, DropReason, Envelope
from ironmill.membership.gossip import BroadcastQueue
from ironmill.membership.identity import Address
from ironmill.membership.member_state import MemberState
from ironmill.membership.messages import Ack, IndirectPing, MemberRecord, Message, Ping
from ironmill.membership.outbox import Outbox
from ironmill.membership.timing import INDIRECT_PING_DELAY_S

HELPER_COUNT = 3  # members that are requested to ping a silent one
HELPER_CANDIDATES = 4 * HELPER_COUNT
MAX_OUTSTANDING_PINGS = 1024
MAX_RELAYED_PINGS = 64  # of those, on behalf of other members


class RelayRequest(Struct, frozen=True):
    """The member that requested an indirect ping, and the number that its ack has to carry."""

    requester: str
    number: int


class OutstandingPing(Struct):
    """A ping without an ack so far."""

    target: str  # empty for a seed whose name is unknown
    sent_at: float
    relay: RelayRequest | None = None


class Pinger:
    """The pings of one member that are outstanding."""

    __slots__ = ("_broadcasts", "_last_number", "_outbox", "_outstanding", "_relayed_count", "_state")

    def __init__(self, state: MemberState, outbox: Outbox, broadcasts: BroadcastQueue) -> None:
        """Starts without outstanding pings."""
        self._state = state
        self._outbox = outbox
        self._broadcasts = broadcasts
        self._last_number = 0
        self._outstanding: dict[int, OutstandingPing] = {}
        self._relayed_count = 0

    def ping(
        self, name: str, relay: RelayRequest | None = None, reported: MemberRecord | None = None
    ) -> None:
        """Pings a member.

        ``reported`` is a record of it that own observations contradict. It gives the address of a member that
        is not yet in the view. A removal travels along, so that the member can refute it.
        """
        address = self._state.address_of(name, reported)
        token = self._state.peer(name).token
        updates: list[Raw] = []
        if reported is not None and not reported.is_present:
            updates.append(Raw(encode_update(reported)))
        self._outbox.send(name, address, self._build_ping(name, relay, token, updates))

    def ping_unknown(self, address: Address, name: str = "") -> None:
        """Pings an address whose member, token and name may be unknown, such as a seed."""
        self._outbox.send(name, address, self._build_ping("", None, 0, []))

    def ping_indirectly(self, subject: str) -> None:
        """Requests some random members to ping the subject and to relay its ack."""
        for helper in self.random_members(excluded=subject)[:HELPER_COUNT]:
            token = self._state.peer(helper).token
            if token:
                request = IndirectPing(self._register(subject, None), token, subject)
                self._outbox.send(helper, self._state.address_of(helper), request)
            else:
                self.ping(helper)  # its ack brings the token that the next request needs

    def relay_ping(self, requester: str, request: IndirectPing) -> None:
        """Pings a member on behalf of another one; raises ``DroppedError`` if that is not possible."""
        state = self._state
        if request.subject not in state.view.records or request.subject == state.name:
            raise DroppedError(DropReason.UNKNOWN_MEMBER)
        if self._relayed_count >= MAX_RELAYED_PINGS:
            raise DroppedError(DropReason.BUSY)
        self._relayed_count += 1
        self.ping(request.subject, RelayRequest(requester, request.number))

    def relay_ack(self, ping: OutstandingPing, subject: str) -> None:
        """Forwards the ack to the member that requested the ping, if there is one and it is known."""
        state = self._state
        if ping.relay is not None and ping.relay.requester in state.view.records:
            requester = ping.relay.requester
            ack = Ack(ping.relay.number, 0, state.view.digest, [], subject)
            self._outbox.send(requester, state.address_of(requester), ack)

    def acknowledge(
        self, envelope: Envelope[Message], ping: Ping, source: Address, *, with_gossip: bool
    ) -> None:
        """Answers a ping.

        Without ``with_gossip`` the answer is about as small as the ping, so that a replayed datagram with a
        forged source does not direct a larger one to a third party.
        """
        state = self._state
        token = state.tokens.issue(envelope.sender, envelope.incarnation, state.now)
        updates: list[Raw] = []
        record = state.view.records.get(envelope.sender)
        # A removed member and a superseded process learn so from the first member that they ping.
        if record is not None and (
            not record.is_present or record.identity.incarnation > envelope.incarnation
        ):
            updates.append(Raw(encode_update(record)))
        if with_gossip:
            updates = self._broadcasts.take(state.view, updates)
        self._outbox.send(envelope.sender, source, Ack(ping.number, token, state.view.digest, updates))

    def match(self, sender: str, ack: Ack) -> OutstandingPing:
        """Returns the ping that an ack answers; raises ``DroppedError`` if there is none."""
        ping = self._outstanding.get(ack.number)
        if ping is None or (ack.subject or sender) != (ping.target or sender):
            raise DroppedError(DropReason.UNSOLICITED)
        return ping

    def resolve(self, number: int) -> None:
        """Removes an outstanding ping."""
        ping = self._outstanding.pop(number)
        self._relayed_count -= ping.relay is not None

    def expire(self) -> None:
        """Removes the pings that were not answered within the suspicion timeout."""
        now, timeout_s = self._state.now, self._state.timing.suspicion_timeout_s
        for number in [n for n, ping in self._outstanding.items() if now - ping.sent_at > timeout_s]:
            self.resolve(number)

    def random_members(self, excluded: str = "") -> list[str]:
        """Returns random unsuspected members of the view, those with recent contact first."""
        state = self._state
        names = [
            name
            for name in state.view.rings.sample(state.rng, HELPER_CANDIDATES)
            if name not in (excluded, state.name) and not state.view.is_suspected(name)
        ]
        oldest = state.now - INDIRECT_PING_DELAY_S
        names.sort(key=lambda name: state.peer(name).last_contact_at < oldest)
        return names

    def _build_ping(self, name: str, relay: RelayRequest | None, token: int, updates: list[Raw]) -> Ping:
        state = self._state
        number = self._register(name, relay)
        if not state.is_joined:
            updates = [*updates, Raw(encode_update(state.record))]
        # Gossip to a dead member is lost, and each update is sent a limited number of times.
        if name and state.now - state.peer(name).last_contact_at <= INDIRECT_PING_DELAY_S:
            updates = self._broadcasts.take(state.view, updates)
        return Ping(number, token, state.view.digest, updates)

    def _register(self, target: str, relay: RelayRequest | None) -> int:
        if len(self._outstanding) >= MAX_OUTSTANDING_PINGS:
            self.resolve(next(iter(self._outstanding)))
        self._last_number += 1
        self._outstanding[self._last_number] = OutstandingPing(target, self._state.now, relay)
        return self._last_number
