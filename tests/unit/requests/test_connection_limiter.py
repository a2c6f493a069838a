"""The connection limiter against a model: its counts, and that they never exceed the configured number."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ironmill.requests.connection_limiter import ConnectionLimiter, ConnectionSlot


class Counted(RuleBasedStateMachine):
    """Clients connect, send a request, are answered and close in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.connection_limiter = ConnectionLimiter(64)
        self.open: dict[ConnectionSlot, int] = {}  # descriptors that each holds or has set aside
        self.evicted = 0

    def _pick(self, at: int) -> ConnectionSlot | None:
        return list(self.open)[at % len(self.open)] if self.open else None

    @rule()
    def enter(self) -> None:
        oldest = next((slot for slot, held in self.open.items() if slot.client_id == "" and held == 1), None)
        before = self.evicted

        def evict(*, immediately: bool) -> bool:
            assert immediately
            self.evicted += 1
            del self.open[slot_of[0]]
            return True

        slot_of: list[ConnectionSlot] = []
        slot = self.connection_limiter.enter(evict)
        if self.evicted > before:
            assert oldest is not None
            assert oldest not in self.open
        if slot is not None:
            slot_of.append(slot)
            self.open[slot] = 1

    @rule(at=st.integers(0, 99))
    def speak(self, at: int) -> None:
        slot = self._pick(at)
        if slot is None or slot.client_id:
            return
        assert self.connection_limiter.claim_id(slot, f"i{id(slot)}")
        assert not self.connection_limiter.claim_id(slot, slot.client_id)
        if self.connection_limiter.admit(slot):
            self.open[slot] = 2

    @rule(at=st.integers(0, 99), answered=st.booleans())
    def go(self, at: int, answered: bool) -> None:
        slot = self._pick(at)
        if slot is None:
            return
        if answered and self.connection_limiter.start_leaving(slot):
            self.open[slot] = 1
            slot.client_id = "left"
            return
        self.connection_limiter.leave(slot)
        self.connection_limiter.leave(slot)  # called twice, counted once
        del self.open[slot]

    @invariant()
    def counted(self) -> None:
        assert (
            self.connection_limiter.used()
            == sum(self.open.values())
            <= self.connection_limiter.max_descriptors
        )


TestCounted = Counted.TestCase
