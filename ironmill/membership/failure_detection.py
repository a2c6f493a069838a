"""Failure detection: pings the subjects that the rings assign to a member and derives opinions of them."""

from __future__ import annotations

from ironmill.membership.gossip import BroadcastQueue
from ironmill.membership.member_state import NEVER, MemberState, Peer
from ironmill.membership.messages import ALIVE, NEUTRAL, SUSPECT
from ironmill.membership.pinging import HELPER_COUNT, Pinger
from ironmill.membership.self_health import SelfHealth
from ironmill.membership.timing import (
    INDIRECT_PING_DELAY_S,
    REMOVED_PING_INTERVAL_S,
    TAKEOVER_SUSPICION_TIMEOUT_S,
    TICK_INTERVAL_S,
)
from ironmill.membership.view_agreement import ViewAgreement

# Fractions of the ping interval: the first ping to a new subject is sent earlier, and a subject that does not
# answer is pinged more often.
MAX_FIRST_PING_FRACTION, SILENT_PING_FRACTION = 0.5, 0.5
MIN_JITTER_FACTOR, JITTER_RANGE = 0.9, 0.2  # ping intervals vary randomly by up to 10 % in both directions
TAKEOVER_PING_INTERVAL_S = 2.0 * TICK_INTERVAL_S
DISSEMINATION_INTERVAL_S = 0.2  # between two rounds of pings to random members
UPDATES_PER_EXTRA_PING, MAX_DISSEMINATION_PINGS = 20, 4
ISOLATED_DISSEMINATION_PINGS = 2 * HELPER_COUNT  # per round while no member answers


class FailureDetector:
    """Pings the subjects of one member and disseminates gossip to random members."""

    def __init__(
        self,
        state: MemberState,
        broadcasts: BroadcastQueue,
        pinger: Pinger,
        health: SelfHealth,
        agreement: ViewAgreement,
    ) -> None:
        """Creates a detector without subjects; the first call of ``observe`` determines them."""
        self._state = state
        self._broadcasts = broadcasts
        self._pinger = pinger
        self._health = health
        self._agreement = agreement
        self._subjects: list[str] = []  # subjects that are in the view
        self._removed_subjects: list[str] = []  # subjects that are out of the view
        self._assignment_version = -1
        self._next_dissemination_at = state.now

    def observe(self) -> None:
        """Pings the subjects whose ping is due and updates the opinions of all subjects."""
        if self._state.view.assignment_version != self._assignment_version:
            self._update_subjects()
        for name in self._subjects:
            self._observe_member(name)
        for name in self._removed_subjects:
            self._observe_removed_member(name)

    def disseminate(self) -> None:
        """Pings random members while gossip is pending or no member answers.

        Only pings and acks carry gossip, so it would otherwise not propagate while all subjects are dead.
        """
        state = self._state
        silence_limit_s = 2.0 * TICK_INTERVAL_S + state.timing.ping_interval_s
        is_unanswered = (
            len(state.view.rings) > 1 and state.now - self._health.last_contact_at > silence_limit_s
        )
        is_due = state.now >= self._next_dissemination_at and state.is_joined
        if not is_due or not (self._broadcasts or is_unanswered):
            return
        self._next_dissemination_at = state.now + DISSEMINATION_INTERVAL_S
        count = min(MAX_DISSEMINATION_PINGS, 1 + len(self._broadcasts) // UPDATES_PER_EXTRA_PING)
        if is_unanswered:
            count = ISOLATED_DISSEMINATION_PINGS
        for name in self._pinger.random_members()[:count]:
            self._pinger.ping(name)

    def _update_subjects(self) -> None:
        state, view = self._state, self._state.view
        self._assignment_version = view.assignment_version
        self._subjects = []
        self._removed_subjects = []
        if not state.is_joined:
            return
        self._subjects = view.rings.subjects(state.name, view.is_suspected)
        for name in self._subjects:
            peer = state.peer(name)
            if peer.observed_since == NEVER:
                peer.observed_since = state.now
                interval_s = state.rng.random() * state.timing.ping_interval_s
                peer.next_ping_at = state.now + interval_s * MAX_FIRST_PING_FRACTION
        for record in view.removed_members():
            name = record.identity.name
            if state.name in view.observers(name):
                self._removed_subjects.append(name)
                peer = state.peer(name)
                if peer.observed_since == NEVER:
                    peer.observed_since = state.now
                    peer.next_ping_at = state.now

    def _observe_member(self, name: str) -> None:
        state, peer = self._state, self._state.peer(name)
        silent_s = state.now - max(peer.last_alive_at, peer.observed_since)
        suspicion_timeout_s, indirect_delay_s = state.timing.suspicion_timeout_s, INDIRECT_PING_DELAY_S
        ping_interval_s = state.timing.ping_interval_s
        if self._takes_over(name, peer):
            suspicion_timeout_s, indirect_delay_s = TAKEOVER_SUSPICION_TIMEOUT_S, TAKEOVER_PING_INTERVAL_S
        if state.now >= peer.next_ping_at:
            if suspicion_timeout_s == TAKEOVER_SUSPICION_TIMEOUT_S:
                ping_interval_s = TAKEOVER_PING_INTERVAL_S
            elif silent_s > indirect_delay_s:
                ping_interval_s *= SILENT_PING_FRACTION
            self._ping_and_schedule(name, peer, ping_interval_s)
        indirect_interval_s = SILENT_PING_FRACTION * state.timing.ping_interval_s
        is_indirect_due = state.now - peer.indirect_ping_at >= indirect_interval_s
        if silent_s > indirect_delay_s and is_indirect_due:
            peer.indirect_ping_at = state.now
            self._pinger.ping_indirectly(name)
        if silent_s <= suspicion_timeout_s:
            self._agreement.set_opinion(name, NEUTRAL)
        elif not self._health.withholds_opinions:
            self._agreement.set_opinion(name, SUSPECT)

    def _takes_over(self, name: str, peer: Peer) -> bool:
        """Returns whether this member may observe the subject in place of a suspected observer.

        This ends with the first ack of the subject, direct or relayed, after this member began to observe it.
        """
        view = self._state.view
        return peer.last_alive_at < peer.observed_since and (
            bool(view.suspecting_observers(name)) or view.has_suspected_members
        )

    def _observe_removed_member(self, name: str) -> None:
        state, peer = self._state, self._state.peer(name)
        timeout_s = state.timing.suspicion_timeout_s
        if state.now >= peer.next_ping_at:
            answers_pings = state.now - peer.last_ack_at <= timeout_s
            interval_s = state.timing.ping_interval_s if answers_pings else REMOVED_PING_INTERVAL_S
            self._ping_and_schedule(name, peer, interval_s)
        is_alive = max(peer.observed_since, state.now - timeout_s) < peer.last_ack_at
        withholds_opinions = self._health.withholds_opinions
        self._agreement.set_opinion(name, ALIVE if is_alive and not withholds_opinions else NEUTRAL)

    def _ping_and_schedule(self, name: str, peer: Peer, interval_s: float) -> None:
        """Pings a subject and schedules the next ping after the interval, with jitter."""
        state = self._state
        peer.next_ping_at = state.now + interval_s * (MIN_JITTER_FACTOR + JITTER_RANGE * state.rng.random())
        self._pinger.ping(name)
