"""Sends direct and indirect pings and acks, and matches received acks to pings."""

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

HELPER_COUNT = 3  # members that are asked to ping a member that does not answer
HELPER_CANDIDATES = 4 * HELPER_COUNT
MAX_OUTSTANDING_PINGS = 1024
MAX_RELAYED_PINGS = 64  # outstanding pings that were sent on behalf of other members


class RelayRequest(Struct, frozen=True):
    """The member that requested an indirect ping, and the ping number that the relayed ack has to contain."""

    requester: str
    number: int


class OutstandingPing(Struct):
    """A ping that has not been answered yet."""

    target: str  # empty for a seed whose name is unknown
    sent_at: float
    relay: RelayRequest | None = None


class Pinger:
    """Sends the pings and acks of one member and tracks its outstanding pings."""

    __slots__ = ("_broadcasts", "_last_number", "_outbox", "_outstanding", "_relayed_count", "_state")

    def __init__(self, state: MemberState, outbox: Outbox, broadcasts: BroadcastQueue) -> None:
        """Creates a pinger without outstanding pings."""
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

        ``reported`` is a record of the member that the observations of this process contradict. It provides
        the address if the member is not yet in the view. If it is a removal, the ping contains it, so that
        the member can refute it.
        """
        address = self._state.address_of(name, reported)
        token = self._state.peer(name).token
        updates: list[Raw] = []
        if reported is not None and not reported.is_present:
            updates.append(Raw(encode_update(reported)))
        self._outbox.send(name, address, self._build_ping(name, relay, token, updates))

    def ping_unknown(self, address: Address, name: str = "") -> None:
        """Pings an address whose member is not known yet, such as a seed. ``name`` may be empty."""
        self._outbox.send(name, address, self._build_ping("", None, 0, []))

    def ping_indirectly(self, subject: str) -> None:
        """Requests up to ``HELPER_COUNT`` random members to ping the subject and to relay its ack."""
        for helper in self.random_members(excluded=subject)[:HELPER_COUNT]:
            token = self._state.peer(helper).token
            if token:
                request = IndirectPing(self._register(subject, None), token, subject)
                self._outbox.send(helper, self._state.address_of(helper), request)
            else:
                self.ping(helper)  # its ack brings the token that the next request needs

    def relay_ping(self, requester: str, request: IndirectPing) -> None:
        """Pings a member on behalf of another one.

        Raises ``DroppedError`` if the subject is unknown or too many relayed pings are outstanding.
        """
        state = self._state
        if request.subject not in state.view.records or request.subject == state.name:
            raise DroppedError(DropReason.UNKNOWN_MEMBER)
        if self._relayed_count >= MAX_RELAYED_PINGS:
            raise DroppedError(DropReason.BUSY)
        self._relayed_count += 1
        self.ping(request.subject, RelayRequest(requester, request.number))

    def relay_ack(self, ping: OutstandingPing, subject: str) -> None:
        """Forwards an ack to the member that requested the ping; does nothing if there is no known one."""
        state = self._state
        if ping.relay is not None and ping.relay.requester in state.view.records:
            requester = ping.relay.requester
            ack = Ack(ping.relay.number, 0, state.view.digest, [], subject)
            self._outbox.send(requester, state.address_of(requester), ack)

    def acknowledge(
        self, envelope: Envelope[Message], ping: Ping, source: Address, *, with_gossip: bool
    ) -> None:
        """Answers a ping.

        Without ``with_gossip`` the ack is about as small as the ping, so that replayed datagrams with a
        forged source address cannot be used for an amplification attack on a third party.
        """
        state = self._state
        token = state.tokens.issue(envelope.sender, envelope.incarnation, state.now)
        updates: list[Raw] = []
        record = state.view.records.get(envelope.sender)
        # A removed member or a superseded process learns of this from the first member that it pings.
        if record is not None and (
            not record.is_present or record.identity.incarnation > envelope.incarnation
        ):
            updates.append(Raw(encode_update(record)))
        if with_gossip:
            updates = self._broadcasts.take(state.view, updates)
        self._outbox.send(envelope.sender, source, Ack(ping.number, token, state.view.digest, updates))

    def match(self, sender: str, ack: Ack) -> OutstandingPing:
        """Returns the outstanding ping that an ack answers; raises ``DroppedError`` if there is none."""
        ping = self._outstanding.get(ack.number)
        if ping is None or (ack.subject or sender) != (ping.target or sender):
            raise DroppedError(DropReason.UNSOLICITED)
        return ping

    def resolve(self, number: int) -> None:
        """Removes an outstanding ping."""
        ping = self._outstanding.pop(number)
        self._relayed_count -= ping.relay is not None

    def expire(self) -> None:
        """Removes the outstanding pings that were not answered within the suspicion timeout."""
        now, timeout_s = self._state.now, self._state.timing.suspicion_timeout_s
        for number in [
            ping_number for ping_number, ping in self._outstanding.items() if now - ping.sent_at > timeout_s
        ]:
            self.resolve(number)

    def random_members(self, excluded: str = "") -> list[str]:
        """Returns random members of the view that are not suspected, those with recent contact first."""
        state = self._state
        names = [
            name
            for name in state.view.rings.sample(state.rng, HELPER_CANDIDATES)
            if name not in (excluded, state.name) and not state.view.is_suspected(name)
        ]
        recent_contact_since = state.now - INDIRECT_PING_DELAY_S
        names.sort(key=lambda name: state.peer(name).last_contact_at < recent_contact_since)
        return names

    def _build_ping(self, name: str, relay: RelayRequest | None, token: int, updates: list[Raw]) -> Ping:
        state = self._state
        number = self._register(name, relay)
        if not state.is_joined:
            updates = [*updates, Raw(encode_update(state.record))]
        # Only pings to members with recent contact contain gossip: each update is sent a limited number of
        # times, and a transmission to a dead member is lost.
        if name and state.now - state.peer(name).last_contact_at <= INDIRECT_PING_DELAY_S:
            updates = self._broadcasts.take(state.view, updates)
        return Ping(number, token, state.view.digest, updates)

    def _register(self, target: str, relay: RelayRequest | None) -> int:
        if len(self._outstanding) >= MAX_OUTSTANDING_PINGS:
            self.resolve(next(iter(self._outstanding)))
        self._last_number += 1
        self._outstanding[self._last_number] = OutstandingPing(target, self._state.now, relay)
        return self._last_number
