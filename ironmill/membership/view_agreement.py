"""Changes of the view, which a quorum of observers decides or other members report."""

from __future__ import annotations

import math
from collections.abc import Sequence

from msgspec import Struct, structs

from ironmill.membership.events import ChangeCause, MemberJoined, MemberLeft, MemberRemoved, OpinionChanged
from ironmill.membership.gossip import BroadcastQueue
from ironmill.membership.member_state import NEVER, MemberState
from ironmill.membership.messages import NEUTRAL, SUSPECT, MemberRecord, Opinion
from ironmill.membership.pinging import Pinger
from ironmill.membership.self_health import SelfHealth
from ironmill.membership.timing import (
    CONFIRMATION_TIMEOUT_S,
    DECISION_STABILITY_S,
    OPINION_LIFETIME_S,
    OPINION_RENEWAL_INTERVAL_S,
)

MAX_CONFIRMATIONS_PER_TICK = 8  # pings to members with an unconfirmed change


class UnconfirmedChange(Struct):
    """A reported change of a member that the observations of this process do not confirm."""

    record: MemberRecord
    pinged_at: float = math.inf  # infinite until the member is pinged


class ViewAgreement:
    """Applies changes to the view and broadcasts the opinions on which the changes depend."""

    __slots__ = ("_broadcasts", "_health", "_last_stamp", "_pinger", "_state", "_unconfirmed_changes")

    def __init__(
        self, state: MemberState, broadcasts: BroadcastQueue, pinger: Pinger, health: SelfHealth
    ) -> None:
        """Creates the state without unconfirmed changes; opinion stamps start at the own incarnation."""
        self._state = state
        self._broadcasts = broadcasts
        self._pinger = pinger
        self._health = health
        self._last_stamp = state.identity.incarnation
        self._unconfirmed_changes: dict[str, UnconfirmedChange] = {}

    def apply(self, record: MemberRecord, cause: ChangeCause, observers: Sequence[str] = ()) -> None:
        """Stores a record in the view, broadcasts it, and emits the event of the change."""
        state = self._state
        name = record.identity.name
        old = state.view.records.get(name)
        was_present = old is not None and old.is_present
        state.view.apply(record)
        self._broadcasts.enqueue(record)
        if name != state.name:
            peer = state.peer(name)
            peer.observed_since = NEVER
            peer.quorum_since = NEVER
            peer.changed_at = state.now
        is_new_process = cause in (ChangeCause.STARTED, ChangeCause.REJOINED)
        if record.is_present is not was_present or is_new_process:
            self._emit_change(record, cause, observers)

    def apply_own(self, transitions: int, cause: ChangeCause) -> None:
        """Applies the record of this member with a new number of transitions."""
        self.apply(structs.replace(self._state.record, transitions=transitions), cause)

    def set_opinion(self, subject: str, value: int) -> None:
        """Sets this process's opinion of a subject; broadcasts it if it changed or is due for renewal."""
        state = self._state
        old_value = state.view.opinion_value(state.name, subject)
        peer = state.peer(subject)
        is_fresh = state.now - peer.opinion_sent_at < OPINION_RENEWAL_INTERVAL_S
        if value == old_value and (value == NEUTRAL or is_fresh):
            return
        self._last_stamp += 1
        peer.opinion_sent_at = state.now
        record = state.view.records[subject]
        incarnation, transitions = record.identity.incarnation, record.transitions
        opinion = Opinion(state.name, subject, incarnation, transitions, self._last_stamp, value)
        if self.add_opinion(opinion) and value != old_value:
            state.on_event(OpinionChanged(subject, value))

    def add_opinion(self, opinion: Opinion) -> bool:
        """Stores an opinion and broadcasts it; returns False if it is outdated or not acceptable."""
        is_new = self._state.view.add_opinion(opinion, self._state.now + OPINION_LIFETIME_S)
        if is_new:
            self._broadcasts.enqueue(opinion)
        return is_new

    def apply_report(self, record: MemberRecord, old: MemberRecord | None) -> None:
        """Handles a newer record of another member; applies it unless the local observations contradict it.

        A contradicted record waits for confirmation. Without that delay the two sides of a partition that has
        just healed would remove each other, because each still reports the other one as removed.
        """
        state = self._state
        name = record.identity.name
        was_present = old is not None and old.is_present
        is_newer_process = old is not None and record.identity.incarnation > old.identity.incarnation
        own_value = state.view.opinion_value(state.name, name)
        supporters = state.view.supporters_of_change(name)
        is_confirmed = bool(supporters) or (own_value == SUSPECT and not record.is_present)
        is_undisputed = record.is_present is was_present or record.left or is_newer_process
        if is_undisputed or is_confirmed or not state.is_joined:
            self._unconfirmed_changes.pop(name, None)
            self.apply(record, ChangeCause.GOSSIP, supporters)
            return
        change = self._unconfirmed_changes.get(name)
        if change is None:
            self._unconfirmed_changes[name] = UnconfirmedChange(record)
        elif record.order > change.record.order:
            change.record = record

    def decide(self) -> None:
        """Applies changes that a quorum has supported for long enough, and confirmed reports."""
        if not self._health.withholds_opinions:
            self._apply_quorum_decisions()
        self._resolve_unconfirmed_changes()

    def _apply_quorum_decisions(self) -> None:
        state = self._state
        for name in state.view.subjects_of_opinions():
            supporters = state.view.supporters_of_change(name)
            peer = state.peer(name)
            if not supporters or name == state.name:
                peer.quorum_since = NEVER
            elif peer.quorum_since == NEVER:
                peer.quorum_since = state.now
            elif state.now - peer.quorum_since >= DECISION_STABILITY_S:
                peer.quorum_since = NEVER
                record = state.view.records[name]
                changed = structs.replace(record, transitions=record.transitions + 1)
                self.apply(changed, ChangeCause.DECIDED, supporters)

    def _resolve_unconfirmed_changes(self) -> None:
        state = self._state
        pinged_count = 0
        for name, change in list(self._unconfirmed_changes.items()):
            old = state.view.records.get(name)
            if old is not None and change.record.order <= old.order:
                del self._unconfirmed_changes[name]
                continue
            supporters = state.view.supporters_of_change(name)
            has_timed_out = state.now >= change.pinged_at + CONFIRMATION_TIMEOUT_S
            if self._is_confirmed(name, change, supporters, has_timed_out=has_timed_out):
                del self._unconfirmed_changes[name]
                self.apply(change.record, ChangeCause.GOSSIP, supporters)
            elif has_timed_out:
                del self._unconfirmed_changes[name]  # the result of the ping contradicts the report
            elif change.pinged_at == math.inf and pinged_count < MAX_CONFIRMATIONS_PER_TICK:
                pinged_count += 1
                change.pinged_at = state.now
                self._pinger.ping(name, reported=change.record)

    def _is_confirmed(
        self, name: str, change: UnconfirmedChange, supporters: Sequence[str], *, has_timed_out: bool
    ) -> bool:
        has_answered = self._state.peer(name).last_ack_at >= change.pinged_at
        if change.record.is_present:
            return has_answered or bool(supporters)
        return not has_answered and (bool(supporters) or has_timed_out)

    def _emit_change(self, record: MemberRecord, cause: ChangeCause, observers: Sequence[str]) -> None:
        view = self._state.view
        event_type: type[MemberJoined | MemberLeft | MemberRemoved] = MemberRemoved
        if record.is_present:
            event_type = MemberJoined
        elif record.left:
            event_type = MemberLeft
        self._state.on_event(
            event_type(
                record.identity.name,
                record.identity.incarnation,
                cause,
                list(observers),
                f"{view.digest:x}",
                len(view.rings),
            )
        )
