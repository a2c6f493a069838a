"""A baseline for measurements: plain SWIM, with the interface of a simulated member.

It follows Das, Gupta and Motivala (2002). Each period, a member pings one other member. Without an ack, it
requests three others to ping that member, and then suspects it. A suspected member that does not refute the
suspicion in time is removed. The timeouts are set so that a killed member is removed within about 5 s, as by
ironmill's own members.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

import msgspec
from msgspec import Struct

from ironmill.membership.config import MemberConfig
from ironmill.membership.events import ChangeCause, EventListener, MemberJoined, MemberRemoved
from ironmill.membership.identity import Address, Datagram, MemberIdentity
from ironmill.membership.messages import MemberRecord

PERIOD_S = 0.6
ACK_TIMEOUT_S = 0.3
HELPER_COUNT = 3
SUSPICION_TIMEOUT_S = 2.0
MAX_UPDATES_PER_DATAGRAM = 6
TRANSMIT_FACTOR = 3.0  # transmissions of an update per binary logarithm of the cluster's size
MAX_RELAYED_PINGS = 256  # indirect pings that await an ack

ALIVE, SUSPECTED, DEAD = 0, 1, 2


class SwimState(Struct, array_like=True):
    """The state of one member. The higher incarnation takes precedence, then the higher status."""

    identity: MemberIdentity
    incarnation: int
    status: int

    @property
    def order(self) -> tuple[int, int]:
        """The sort key by which states of one name are ordered."""
        return self.incarnation, self.status


class ProbedMember(Struct):
    """The member that is pinged in the current period."""

    name: str
    pinged_at: float
    number: int
    is_pinged_indirectly: bool = False


class SwimMember:
    """A member of the baseline."""

    def __init__(
        self, config: MemberConfig, _codec: object, rng: random.Random, now: float, on_event: EventListener
    ) -> None:
        """Creates a member whose view contains only itself."""
        self.identity = config.identity
        self.sent_bytes = 0
        self._seeds = config.seeds
        self._rng = rng
        self._on_event = on_event
        self._states = {config.identity.name: SwimState(config.identity, 0, ALIVE)}
        self._suspected_at: dict[str, float] = {}
        self._transmissions: dict[str, int] = {}  # by the name of each state that is still gossiped
        self._probe_order: list[str] = []
        self._next_period_at = now
        self._probed: ProbedMember | None = None
        # Requester of an indirect ping and the requester's number, by the number of this member's own ping.
        self._relayed: dict[int, tuple[Address, int]] = {}
        self._last_number = 0
        self._out: list[Datagram] = []

    def members(self) -> list[MemberRecord]:
        """Returns the records of the members in the view, by name."""
        states = [state for _, state in sorted(self._states.items()) if state.status != DEAD]
        return [MemberRecord(state.identity, 0) for state in states]

    def restore(self, records: Sequence[MemberRecord], _now: float) -> None:
        """Adds records that are known to be correct to the view."""
        for record in records:
            self._states[record.identity.name] = SwimState(record.identity, 0, ALIVE)

    def leave(self, _now: float) -> list[Datagram]:
        """Returns no datagrams, as the baseline has no graceful shutdown."""
        return []

    def tick(self, now: float) -> list[Datagram]:
        """Runs everything that is due; returns the datagrams to send."""
        self._remove_suspected(now)
        self._ping_indirectly(now)
        if now >= self._next_period_at:
            self._begin_period(now)
        return self._flush()

    def receive(self, data: bytes, source: Address, now: float) -> list[Datagram]:
        """Handles a datagram; returns the datagrams to send."""
        try:
            kind, number, name, updates = msgspec.msgpack.decode(
                data, type=tuple[str, int, str, list[SwimState]]
            )
        except (msgspec.DecodeError, UnicodeDecodeError):
            return []
        for state in updates:
            self._apply(state, now)
        if kind == "ping":
            self._send(source, "ack", number, self.identity.name)
        elif kind == "seek" and name in self._states:
            self._relay_ping(source, number, name)
        elif kind == "ack":
            self._on_ack(number, name)
        return self._flush()

    def _remove_suspected(self, now: float) -> None:
        for name, since in list(self._suspected_at.items()):
            if now - since >= SUSPICION_TIMEOUT_S:
                state = self._states[name]
                self._apply(SwimState(state.identity, state.incarnation, DEAD), now)

    def _ping_indirectly(self, now: float) -> None:
        probed = self._probed
        if probed is None or probed.is_pinged_indirectly or now - probed.pinged_at < ACK_TIMEOUT_S:
            return
        probed.number = self._last_number
        probed.is_pinged_indirectly = True
        others = [name for name in self._other_members() if name != probed.name]
        for helper in self._rng.sample(others, min(HELPER_COUNT, len(others))):
            self._send(self._states[helper].identity.address, "seek", self._last_number, probed.name)

    def _begin_period(self, now: float) -> None:
        if self._probed is not None:
            state = self._states[self._probed.name]
            if state.status == ALIVE:
                self._apply(SwimState(state.identity, state.incarnation, SUSPECTED), now)
        self._next_period_at = now + PERIOD_S
        self._probed = None
        if not self._probe_order:
            self._probe_order = self._other_members()
            self._rng.shuffle(self._probe_order)
        if self._probe_order:
            name = self._probe_order.pop()
            self._last_number += 1
            self._probed = ProbedMember(name, now, self._last_number)
            self._send(self._states[name].identity.address, "ping", self._last_number, "")
        elif self._seeds:
            self._send(self._rng.choice(self._seeds), "ping", 0, "")

    def _relay_ping(self, requester: Address, number: int, name: str) -> None:
        self._last_number += 1
        self._relayed[self._last_number] = (requester, number)
        if len(self._relayed) > MAX_RELAYED_PINGS:
            del self._relayed[next(iter(self._relayed))]
        self._send(self._states[name].identity.address, "ping", self._last_number, "")

    def _on_ack(self, number: int, name: str) -> None:
        if number in self._relayed:
            requester, requested_number = self._relayed.pop(number)
            self._send(requester, "ack", requested_number, name)
        elif self._probed is not None and self._probed.number == number:
            self._probed = None

    def _other_members(self) -> list[str]:
        own = self.identity.name
        return [name for name, state in self._states.items() if state.status != DEAD and name != own]

    def _apply(self, state: SwimState, now: float) -> None:
        name = state.identity.name
        old = self._states.get(name)
        if old is not None and state.order <= old.order:
            return
        if name == self.identity.name:
            if state.status != ALIVE:
                self._refute(state)
            return
        self._states[name] = state
        self._transmissions[name] = 0
        if state.status == SUSPECTED:
            self._suspected_at.setdefault(name, now)
        else:
            self._suspected_at.pop(name, None)
        was_present = old is not None and old.status != DEAD
        if (state.status != DEAD) is not was_present:
            kind = MemberRemoved if state.status == DEAD else MemberJoined
            members = sum(other.status != DEAD for other in self._states.values())
            self._on_event(kind(name, state.incarnation, ChangeCause.DECIDED, [], "", members))

    def _refute(self, state: SwimState) -> None:
        name = self.identity.name
        self._states[name] = SwimState(self.identity, state.incarnation + 1, ALIVE)
        self._transmissions[name] = 0

    def _send(self, address: Address, kind: str, number: int, name: str) -> None:
        max_transmissions = math.ceil(TRANSMIT_FACTOR * math.log2(len(self._states) + 1))
        selected = sorted(self._transmissions, key=lambda subject: self._transmissions[subject])
        selected = selected[:MAX_UPDATES_PER_DATAGRAM]
        for subject in selected:
            self._transmissions[subject] += 1
            if self._transmissions[subject] >= max_transmissions:
                del self._transmissions[subject]
        data = msgspec.msgpack.encode((kind, number, name, [self._states[subject] for subject in selected]))
        self.sent_bytes += len(data)
        self._out.append((address, data))

    def _flush(self) -> list[Datagram]:
        datagrams = self._out
        self._out = []
        return datagrams
