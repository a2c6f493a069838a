"""Joining or bootstrapping a cluster, and changes of the record of the local member."""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import structs

from ironmill.membership.events import ChangeCause, RemovedByOthers, Superseded
from ironmill.membership.identity import Address
from ironmill.membership.member_state import NEVER, MemberState
from ironmill.membership.messages import MemberRecord
from ironmill.membership.pinging import Pinger
from ironmill.membership.self_health import SelfHealth
from ironmill.membership.timing import (
    BOOTSTRAP_DELAY_S,
    JOINING_OBSERVER_PING_INTERVAL_S,
    JOINING_SEED_PING_INTERVAL_S,
    SEED_PING_INTERVAL_S,
    TICK_INTERVAL_S,
)
from ironmill.membership.view_agreement import ViewAgreement

MIN_JITTER_FACTOR, JITTER_RANGE = 0.75, 0.5  # intervals vary randomly by up to 25 % in both directions
MAX_RECLAIMS = 3  # how often a joined process reclaims its name from a process at its address
JOINED_MEMBER_PING_INTERVAL_S = 2.0 * TICK_INTERVAL_S


class Joining:
    """Joins the local member to a cluster and answers reports of other members about its record."""

    def __init__(
        self,
        state: MemberState,
        seeds: Sequence[Address],
        pinger: Pinger,
        health: SelfHealth,
        agreement: ViewAgreement,
    ) -> None:
        """Creates the state of a member that has not joined.

        If ``seeds`` contains the address of this member, the member is a seed. Its rank is the index of that
        address.
        """
        own_address = state.identity.address
        self._state = state
        self._pinger = pinger
        self._health = health
        self._agreement = agreement
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._seed_rank = seeds.index(own_address) if own_address in seeds else None
        self._was_joined = False  # whether this process has ever been in the view
        self._reclaim_count = 0  # how often it reclaimed its name from a process at the same address
        self._waiting_since = state.now  # when this seed began to wait for a ping of a joined member
        self._next_seed_ping_at = state.now
        self._next_observer_ping_at = state.now + JOINING_OBSERVER_PING_INTERVAL_S
        self._last_joined_ping_at = NEVER

    def start(self) -> None:
        """Adds the record of this member, which is not yet in the view."""
        self._agreement.apply(MemberRecord(self._state.identity, transitions=1), ChangeCause.STARTED)

    def record_joined(self) -> None:
        """Records whether this process is in the view or has been in it."""
        self._was_joined = self._was_joined or self._state.is_joined

    def run(self) -> None:
        """Bootstraps a cluster if this seed has waited long enough; pings seeds and observers if due."""
        if self._may_bootstrap():
            self._agreement.apply_own(self._state.record.transitions + 1, ChangeCause.BOOTSTRAPPED)
        self._ping_seed()
        self._ping_observers()

    def _ping_seed(self) -> None:
        state = self._state
        if state.now < self._next_seed_ping_at or not self._seeds:
            return
        needs_contact = not state.is_joined or self._health.is_isolated
        interval_s = JOINING_SEED_PING_INTERVAL_S if needs_contact else SEED_PING_INTERVAL_S
        jitter = MIN_JITTER_FACTOR + JITTER_RANGE * state.rng.random()
        self._next_seed_ping_at = state.now + interval_s * jitter
        known = {record.identity.address for record in state.view.members()}
        seeds = [seed for seed in self._seeds if needs_contact or seed not in known]
        if seeds:
            self._pinger.ping_unknown(state.rng.choice(seeds))

    def _ping_observers(self) -> None:
        """Sends the record of this member to its observers while it is out of the view.

        The observers decide on its admission. State sync does not help here, because it compares digests that
        cover only the members in the view. A record of a removed member that gossip has not delivered to all
        of its observers would therefore never reach them.
        """
        state = self._state
        if state.is_joined:
            self._next_observer_ping_at = state.now + JOINING_OBSERVER_PING_INTERVAL_S
        elif state.now >= self._next_observer_ping_at:
            self._next_observer_ping_at = state.now + JOINING_OBSERVER_PING_INTERVAL_S
            for name in state.view.observers(state.name):
                self._pinger.ping(name)

    def on_ping_of_joined_member(self, name: str, source: Address) -> None:
        """Pings a member that is in a view, to join that view instead of bootstrapping a second cluster."""
        state = self._state
        self._waiting_since = state.now
        if state.now - self._last_joined_ping_at >= JOINED_MEMBER_PING_INTERVAL_S:
            self._last_joined_ping_at = state.now
            self._pinger.ping_unknown(source, name)

    def on_own_record(self, record: MemberRecord) -> None:
        """Handles a record that another member sent and that has the name of this member."""
        own = self._state.record
        if record.identity.incarnation > self._state.identity.incarnation:
            if self._was_joined and not self._has_ended(record):
                self.supersede(record.identity.incarnation)
            else:
                # The record is from an earlier process of this name whose wall clock was ahead. If both
                # processes are running, the one in the view receives the higher incarnation and withdraws.
                self._rejoin(record.identity.incarnation + 1)
        elif record.order > own.order and not own.left:
            if record.is_present:
                self._agreement.apply_own(record.transitions, ChangeCause.READMITTED)
            elif own.is_present or record.left:
                self._on_removed(record)
            else:
                self._agreement.apply_own(record.transitions, ChangeCause.GOSSIP)

    def _has_ended(self, record: MemberRecord) -> bool:
        """Returns whether a record with the name of this member belongs to a process that has ended.

        That is the case if the process left, or if it listened at the address of this process. Behind network
        address translation two machines may have the same address, so the address counts as evidence only
        ``MAX_RECLAIMS`` times.
        """
        if record.left:
            return True
        if record.identity.address != self._state.identity.address:
            return False
        self._reclaim_count += 1
        return self._reclaim_count <= MAX_RECLAIMS

    def supersede(self, newer_incarnation: int) -> None:
        """Withdraws from the cluster permanently, because a newer process uses the same name."""
        self._state.is_superseded = True
        self._state.on_event(Superseded(self._state.identity.incarnation, newer_incarnation))

    def _may_bootstrap(self) -> bool:
        state = self._state
        if state.is_joined or self._seed_rank is None or len(state.view.rings) > 0:
            return False
        return state.now - self._waiting_since >= BOOTSTRAP_DELAY_S * (1 + 2 * self._seed_rank)

    def _on_removed(self, record: MemberRecord) -> None:
        """Refutes the removal if this member has been healthy for long enough; otherwise rejoins."""
        if self._health.was_healthy and not record.left:
            self._agreement.apply_own(record.transitions + 1, ChangeCause.REFUTED)
            return
        self._state.on_event(RemovedByOthers(self._state.identity.incarnation))
        self._rejoin(self._state.identity.incarnation + 1)

    def _rejoin(self, incarnation: int) -> None:
        self._state.identity = structs.replace(self._state.identity, incarnation=incarnation)
        self._agreement.apply(MemberRecord(self._state.identity, transitions=1), ChangeCause.REJOINED)
