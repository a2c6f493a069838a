"""The baseline: plain SWIM, with the interface that the simulated world asks of a member.

After Das, Gupta and Motivala (2002): one member is pinged a period, three others are asked to try where no
ack comes, then it is suspected; who is not cleared within the suspicion's time is gone. Its times are set so
that a killed member is gone within about the same 5 s as with ours.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from msgspec import Struct

from ironmill.membership.identity import Address, Datagram, MemberIdentity
from ironmill.membership.wire import Fact

PERIOD = 0.6  # seconds
ACK_WITHIN = 0.3
HELPERS = 3
SUSPICION = 2.0  # seconds to be cleared in
NEWS = 6  # pieces of news in a datagram
SPREAD_TIMES = 3.0

ALIVE, SUSPECTED, GONE = 0, 1, 2


class State(Struct, array_like=True):
    """What is known of one member: the higher incarnation holds, then the worse state."""

    card: MemberIdentity
    incarnation: int
    status: int

    @property
    def order(self) -> tuple[int, int]:
        """What decides between two of one name."""
        return self.incarnation, self.status


class Swim:
    """One member."""

    def __init__(
        self,
        card: MemberIdentity,
        _codec: object,
        _timing: object,
        seeds: Sequence[Address],
        rng: random.Random,
        now: float,
        told: Callable[[str, dict[str, Any]], object],
    ) -> None:
        self.card = card
        self.sent_bytes = 0
        self._seeds, self._rng, self._told = seeds, rng, told
        self._states = {card.name: State(card, 0, ALIVE)}
        self._suspected_at: dict[str, float] = {}
        self._news: dict[str, int] = {}  # how often each was passed on
        self._order: list[str] = []
        self._period_at = now
        self._pinged: tuple[str, float, int, bool] | None = None  # whom, when, its number, whether asked for
        self._behalf: dict[int, tuple[Address, int]] = {}
        self._number = 0
        self._out: list[Datagram] = []

    def members(self) -> list[Fact]:
        """The view, by name."""
        return [Fact(state.card, 0) for _, state in sorted(self._states.items()) if state.status != GONE]

    def adopt(self, facts: Sequence[Fact], _now: float) -> None:
        """Begin with a view that is known to hold."""
        for fact in facts:
            self._states[fact.card.name] = State(fact.card, 0, ALIVE)

    def leave(self, _now: float) -> list[Datagram]:
        """Not part of the baseline."""
        return []

    def tick(self, now: float) -> list[Datagram]:
        """To be called every tenth of a second."""
        for name, since in list(self._suspected_at.items()):
            if now - since >= SUSPICION:
                state = self._states[name]
                self._take(State(state.card, state.incarnation, GONE), now)
        if self._pinged is not None:
            name, at, _, asked = self._pinged
            if not asked and now - at >= ACK_WITHIN:
                self._pinged = (name, at, self._number, True)
                others = [one for one in self._alive() if one != name]
                for helper in self._rng.sample(others, min(HELPERS, len(others))):
                    self._send(self._states[helper].card.address, "seek", self._number, name)
        if now >= self._period_at:
            if self._pinged is not None:
                state = self._states[self._pinged[0]]
                if state.status == ALIVE:
                    self._take(State(state.card, state.incarnation, SUSPECTED), now)
            self._period_at = now + PERIOD
            self._pinged = None
            if not self._order:
                self._order = self._alive()
                self._rng.shuffle(self._order)
            if self._order:
                name = self._order.pop()
                self._number += 1
                self._pinged = (name, now, self._number, False)
                self._send(self._states[name].card.address, "ping", self._number, "")
            elif self._seeds:
                self._send(self._rng.choice(self._seeds), "ping", 0, "")
        return self._flush()

    def receive(self, data: bytes, source: Address, now: float) -> list[Datagram]:
        """A datagram came."""
        try:
            kind, number, name, news = msgspec.msgpack.decode(data, type=tuple[str, int, str, list[State]])
        except (msgspec.DecodeError, UnicodeDecodeError):
            return []
        for state in news:
            self._take(state, now)
        if kind == "ping":
            self._send(source, "ack", number, self.card.name)
        elif kind == "seek" and name in self._states:
            self._number += 1
            self._behalf[self._number] = (source, number)
            if len(self._behalf) > 256:
                del self._behalf[next(iter(self._behalf))]
            self._send(self._states[name].card.address, "ping", self._number, "")
        elif kind == "ack":
            if number in self._behalf:
                asker, theirs = self._behalf.pop(number)
                self._send(asker, "ack", theirs, name)
            elif self._pinged is not None and self._pinged[2] == number:
                self._pinged = None
        return self._flush()

    def _alive(self) -> list[str]:
        return [n for n, state in self._states.items() if state.status != GONE and n != self.card.name]

    def _take(self, state: State, now: float) -> None:
        name = state.card.name
        old = self._states.get(name)
        if old is not None and state.order <= old.order:
            return
        if name == self.card.name:
            if state.status != ALIVE:  # it refutes
                self._states[name] = State(self.card, state.incarnation + 1, ALIVE)
                self._news[name] = 0
            return
        self._states[name] = state
        self._news[name] = 0
        if state.status == SUSPECTED:
            self._suspected_at.setdefault(name, now)
        else:
            self._suspected_at.pop(name, None)
        before = old is not None and old.status != GONE
        if (state.status != GONE) is not before:
            self._told("out" if state.status == GONE else "in", {"member": name, "why": "decided"})

    def _send(self, address: Address, kind: str, number: int, name: str) -> None:
        enough = math.ceil(SPREAD_TIMES * math.log2(len(self._states) + 1))
        picked = sorted(self._news, key=lambda one: self._news[one])[:NEWS]
        for one in picked:
            self._news[one] += 1
            if self._news[one] >= enough:
                del self._news[one]
        data = msgspec.msgpack.encode((kind, number, name, [self._states[one] for one in picked]))
        self.sent_bytes += len(data)
        self._out.append((address, data))

    def _flush(self) -> list[Datagram]:
        out, self._out = self._out, []
        return out
