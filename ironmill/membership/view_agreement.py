"""Changes of the view: decided by a quorum of observers, or reported by other members."""

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

MAX_CONFIRMATIONS_PER_TICK = 8  # pings to members whose reported change is unconfirmed


class SuspectedChange(Struct):
    """A reported change of a member that own observations do not confirm."""

    record: MemberRecord
    pinged_at: float = math.inf  # infinite until the member is pinged


class ViewAgreement:
    """Applies changes to the view and broadcasts the opinions from which they are decided."""

    __slots__ = ("_broadcasts", "_health", "_last_stamp", "_pinger", "_state", "_suspected_changes")

    def __init__(
        self, state: MemberState, broadcasts: BroadcastQueue, pinger: Pinger, health: SelfHealth
    ) -> None:
        """Starts without suspected changes; stamps of opinions start at the own incarnation."""
        self._state = state
        self._broadcasts = broadcasts
        self._pinger = pinger
        self._health = health
        self._last_stamp = state.identity.incarnation
        self._suspected_changes: dict[str, SuspectedChange] = {}

    def apply(self, record: MemberRecord, cause: ChangeCause, observers: Sequence[str] = ()) -> None:
        """Makes a record part of the view and broadcasts it."""
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
        """Sets the transitions of the own record."""
        self.apply(structs.replace(self._state.record, transitions=transitions), cause)

    def set_opinion(self, subject: str, value: int) -> None:
        """Broadcasts the own opinion of a subject if it has changed or has to be renewed."""
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
        """Stores an opinion and broadcasts it; returns False if it is outdated."""
        is_new = self._state.view.add_opinion(opinion, self._state.now + OPINION_LIFETIME_S)
        if is_new:
            self._broadcasts.enqueue(opinion)
        return is_new

    def consider(self, record: MemberRecord, old: MemberRecord | None) -> None:
        """Takes a newer record of another member, at once unless own observations contradict it.

        The delay prevents that the sides of a partition that has just healed remove each other, for each
        side still reports that the other one is out.
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
            self._suspected_changes.pop(name, None)
            self.apply(record, ChangeCause.GOSSIP, supporters)
            return
        change = self._suspected_changes.get(name)
        if change is None:
            self._suspected_changes[name] = SuspectedChange(record)
        elif record.order > change.record.order:
            change.record = record

    def decide(self) -> None:
        """Applies the changes that a quorum has supported for long enough, and those that are confirmed."""
        if not self._health.withholds_opinions:
            self._apply_quorum_decisions()
        self._resolve_suspected_changes()

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

    def _resolve_suspected_changes(self) -> None:
        state = self._state
        pinged = 0
        for name, change in list(self._suspected_changes.items()):
            old = state.view.records.get(name)
            if old is not None and change.record.order <= old.order:
                del self._suspected_changes[name]
                continue
            supporters = state.view.supporters_of_change(name)
            has_timed_out = state.now >= change.pinged_at + CONFIRMATION_TIMEOUT_S
            if self._is_confirmed(name, change, supporters, has_timed_out=has_timed_out):
                del self._suspected_changes[name]
                self.apply(change.record, ChangeCause.GOSSIP, supporters)
            elif has_timed_out:
                del self._suspected_changes[name]  # the ping contradicts the report
            elif change.pinged_at == math.inf and pinged < MAX_CONFIRMATIONS_PER_TICK:
                pinged += 1
                change.pinged_at = state.now
                self._pinger.ping(name, reported=change.record)

    def _is_confirmed(
        self, name: str, change: SuspectedChange, supporters: Sequence[str], *, has_timed_out: bool
    ) -> bool:
        has_answered = self._state.peer(name).last_ack_at >= change.pinged_at
        if change.record.is_present:
            return has_answered or bool(supporters)
        return not has_answered and (bool(supporters) or has_timed_out)

    def _emit_change(self, record: MemberRecord, cause: ChangeCause, observers: Sequence[str]) -> None:
        view = self._state.view
        kind: type[MemberJoined | MemberLeft | MemberRemoved] = MemberRemoved
        if record.is_present:
            kind = MemberJoined
        elif record.left:
            kind = MemberLeft
        self._state.on_event(
            kind(
                record.identity.name,
                record.identity.incarnation,
                cause,
                list(observers),
                f"{view.digest:x}",
                len(view.rings),
            )
        )
