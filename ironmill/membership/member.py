"""One member as a state machine: its inputs are datagrams and the time, its outputs datagrams to send."""

from __future__ import annotations

import random
from collections.abc import Sequence

from msgspec import Raw, structs

from ironmill.membership.codec import Codec, decode_update
from ironmill.membership.config import MemberConfig
from ironmill.membership.envelope import DroppedError, DropReason, Envelope
from ironmill.membership.events import ChangeCause, EventListener, MemberForgotten
from ironmill.membership.failure_detection import FailureDetector
from ironmill.membership.gossip import BroadcastQueue
from ironmill.membership.identity import Address, Datagram, MemberIdentity
from ironmill.membership.joining import Joining
from ironmill.membership.member_state import MemberState
from ironmill.membership.messages import (
    Ack,
    GossipUpdate,
    IndirectPing,
    MemberRecord,
    Message,
    Opinion,
    Ping,
    StateSyncPage,
    StateSyncRequest,
)
from ironmill.membership.outbox import Outbox
from ironmill.membership.pinging import HELPER_COUNT, Pinger
from ironmill.membership.replay_window import ReplayWindow
from ironmill.membership.self_health import SelfHealth
from ironmill.membership.state_sync import StateSync
from ironmill.membership.timing import PAUSE_THRESHOLD_S
from ironmill.membership.view import View
from ironmill.membership.view_agreement import ViewAgreement

FORGET_INTERVAL_S = 1.0  # between two searches for records that are due for deletion


class Member:
    """One member of a cluster, which dispatches ticks and messages to its components.

    It accepts updates only from a sender with proven two-way contact: one that acks a ping of this member, or
    echoes a token from an ack of this member. A process that can only receive, or only send, therefore cannot
    change any view.
    """

    def __init__(
        self, config: MemberConfig, codec: Codec, rng: random.Random, now: float, on_event: EventListener
    ) -> None:
        """Creates a member that is not yet in its view.

        ``on_event`` is called synchronously with each event and must not call this member.
        """
        self.dropped: dict[str, int] = {}  # number of dropped datagrams by reason
        self._last_tick_at = now
        self._next_forget_at = now
        self._state = MemberState(config, rng, now, on_event, self._create_view())
        self._outbox = Outbox(self._state, codec)
        self._broadcasts = BroadcastQueue()
        self._pinger = Pinger(self._state, self._outbox, self._broadcasts)
        self._health = SelfHealth(self._state)
        self._agreement = ViewAgreement(self._state, self._broadcasts, self._pinger, self._health)
        self._detector = FailureDetector(
            self._state, self._broadcasts, self._pinger, self._health, self._agreement
        )
        self._sync = StateSync(self._state, self._outbox, self._pinger)
        self._joining = Joining(self._state, config.seeds, self._pinger, self._health, self._agreement)
        self._joining.start()

    # State for callers

    @property
    def identity(self) -> MemberIdentity:
        """The identity of this member; its incarnation increases when it rejoins."""
        return self._state.identity

    @property
    def view(self) -> View:
        """The view of this member; callers must not change it."""
        return self._state.view

    @property
    def record(self) -> MemberRecord:
        """The record of this member."""
        return self._state.record

    @property
    def is_joined(self) -> bool:
        """Whether this member is in its own view."""
        return self._state.is_joined

    @property
    def is_isolated(self) -> bool:
        """Whether this member has lost contact with all other members."""
        return self._health.is_isolated

    @property
    def is_superseded(self) -> bool:
        """Whether a newer process uses the same name, so that this process no longer takes part."""
        return self._state.is_superseded

    @property
    def sent_bytes(self) -> int:
        """The total size of all datagrams sent so far."""
        return self._outbox.sent_bytes

    def members(self) -> list[MemberRecord]:
        """Returns the records of the members in the view, sorted by name."""
        return self._state.view.members()

    def lasting_differences(self) -> dict[str, float]:
        """Returns the members in contact whose view has differed for too long, and for how many seconds."""
        return self._sync.lasting_differences()

    # Inputs

    def tick(self, now: float) -> list[Datagram]:
        """Performs all work that is due. The driver calls it every ``TICK_INTERVAL_S``.

        A call that is late by more than ``PAUSE_THRESHOLD_S`` counts as a pause of this process.
        """
        state = self._state
        elapsed_s = now - self._last_tick_at
        self._last_tick_at = now
        state.now = now
        if state.is_superseded:
            return []
        if elapsed_s > PAUSE_THRESHOLD_S:
            self._health.record_pause(elapsed_s)
        self._joining.record_joined()
        self._health.update()
        state.view.expire_opinions(now)
        self._agreement.decide()
        self._detector.observe()
        self._detector.disseminate()
        self._joining.run()
        self._pinger.expire()
        self._forget_removed_members()
        return self._outbox.flush()

    def receive(self, data: bytes, source: Address, now: float) -> list[Datagram]:
        """Handles a received datagram; one that is invalid or not acceptable is counted in ``dropped``."""
        self._state.now = now
        try:
            if self._state.is_superseded:
                raise DroppedError(DropReason.SUPERSEDED)
            self._dispatch(self._outbox.codec.decode(data), source)
        except DroppedError as error:
            self.dropped[str(error)] = self.dropped.get(str(error), 0) + 1
        return self._outbox.flush()

    def leave(self, now: float) -> list[Datagram]:
        """Announces a graceful shutdown to some random members."""
        state = self._state
        state.now = now
        if state.is_superseded:
            return []
        self._agreement.apply(structs.replace(state.record, left=True), ChangeCause.LEFT)
        members = [record.identity.name for record in state.view.members()]
        others = [name for name in members if name != state.name]
        for name in state.rng.sample(others, min(len(others), 2 * HELPER_COUNT)):
            self._pinger.ping(name)
        return self._outbox.flush()

    def restore(self, records: Sequence[MemberRecord], now: float) -> None:
        """Applies the records of a view that is known to be correct, without broadcasting them."""
        self._state.now = now
        for record in records:
            self._agreement.apply(record, ChangeCause.RESTORED)
        self._broadcasts.clear()

    # Messages

    def _dispatch(self, envelope: Envelope[Message], source: Address) -> None:
        state, name, message = self._state, envelope.sender, envelope.message
        if name == state.name:
            if envelope.incarnation > state.identity.incarnation:
                self._joining.supersede(envelope.incarnation)
            raise DroppedError(DropReason.OWN_NAME)
        if envelope.to not in ("", state.name):
            raise DroppedError(DropReason.MISDIRECTED)
        self._reject_replay(envelope)
        is_stale = self._is_stale(envelope)
        if isinstance(message, Ping):
            self._on_ping(envelope, message, source, is_stale=is_stale)
        elif isinstance(message, Ack):
            self._on_ack(envelope, message, source, is_stale=is_stale)
        elif is_stale or not self._proves_contact(envelope, message.echo):
            raise DroppedError(DropReason.UNPROVEN)
        elif isinstance(message, IndirectPing):
            self._pinger.relay_ping(name, message)
        elif isinstance(message, StateSyncRequest):
            self._sync.send_page(name, source, message)
        else:
            self._on_page(name, message)

    def _reject_replay(self, envelope: Envelope[Message]) -> None:
        peer = self._state.peers.get(envelope.sender)
        if peer is None or peer.incarnation != envelope.incarnation or peer.replay_window is None:
            return
        if not peer.replay_window.accept(envelope.count):
            raise DroppedError(DropReason.REPLAYED)

    def _is_stale(self, envelope: Envelope[Message]) -> bool:
        """Returns whether the sender is an earlier process than the one whose record is known."""
        record = self._state.view.records.get(envelope.sender)
        return record is not None and envelope.incarnation < record.identity.incarnation

    def _proves_contact(self, envelope: Envelope[Message], echo: int) -> bool:
        return self._state.tokens.verify(envelope.sender, envelope.incarnation, echo, self._state.now)

    def _on_ping(self, envelope: Envelope[Message], ping: Ping, source: Address, *, is_stale: bool) -> None:
        state, name = self._state, envelope.sender
        record = state.view.records.get(name)
        has_contact = not is_stale and self._proves_contact(envelope, ping.echo)
        if has_contact:
            self._confirm_contact(envelope, source, ping.updates)
        is_at_known_address = record is not None and source == state.address_of(name)
        self._pinger.acknowledge(envelope, ping, source, with_gossip=has_contact or is_at_known_address)
        if has_contact:
            self._sync.compare(name, ping.digest)
        elif ping.digest and not state.is_joined and not is_stale:
            self._joining.on_ping_of_joined_member(name, source)

    def _on_ack(self, envelope: Envelope[Message], ack: Ack, source: Address, *, is_stale: bool) -> None:
        state, name = self._state, envelope.sender
        ping = self._pinger.match(name, ack)
        if ack.subject:  # a helper relayed the ack
            if name not in state.view.records:
                raise DroppedError(DropReason.UNSOLICITED)
            state.peer(ack.subject).last_alive_at = state.now
            return
        self._pinger.resolve(ack.number)
        if is_stale:
            raise DroppedError(DropReason.STALE)
        peer = state.peer(name)
        peer.token = ack.token
        peer.last_alive_at = state.now
        peer.last_ack_at = state.now
        self._health.last_contact_at = state.now
        self._confirm_contact(envelope, source, ack.updates)
        self._sync.compare(name, ack.digest)
        if not ping.target and not state.is_superseded:
            self._pinger.ping(name)  # it is a seed whose name and token have just become known
        self._pinger.relay_ack(ping, name)

    def _on_page(self, name: str, page: StateSyncPage) -> None:
        for record in page.records:
            self._apply_update(record)
        self._sync.continue_after(name, page)

    def _confirm_contact(self, envelope: Envelope[Message], source: Address, updates: Sequence[Raw]) -> None:
        """Records proven two-way contact and applies the updates.

        Nothing is stored about a sender before its contact is proven.
        """
        peer = self._state.peer(envelope.sender)
        if peer.incarnation != envelope.incarnation:
            peer.incarnation = envelope.incarnation
            peer.replay_window = ReplayWindow()
            peer.replay_window.accept(envelope.count)
        peer.last_contact_at = self._state.now
        peer.address = source
        for raw in updates:
            self._apply_update(decode_update(raw))

    def _apply_update(self, update: GossipUpdate) -> None:
        state = self._state
        if isinstance(update, Opinion):
            if update.observer != state.name:
                self._agreement.add_opinion(update)
            return
        name = update.identity.name
        old = state.view.records.get(name)
        if name == state.name:
            self._joining.on_own_record(update)
        elif old is None or update.order > old.order:
            self._agreement.apply_report(update, old)

    # Housekeeping

    def _create_view(self) -> View:
        return View()

    def _forget_removed_members(self) -> None:
        """Deletes the records of members that have been out of the view for ``Timing.forget_delay_s``."""
        state = self._state
        if state.now < self._next_forget_at:
            return
        self._next_forget_at = state.now + FORGET_INTERVAL_S
        for name, record in list(state.view.records.items()):
            if record.is_present or name == state.name:
                continue
            if state.now - state.peer(name).changed_at > state.timing.forget_delay_s:
                state.view.forget(name)
                state.peers.pop(name, None)
                state.on_event(MemberForgotten(name))
