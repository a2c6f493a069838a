"""Compares the connection limiter's counts with a model and checks that they never exceed the limit."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ironmill.requests.connection_limiter import ConnectionLimiter, ConnectionSlot


class ConnectionLimiterMachine(RuleBasedStateMachine):
    """Clients connect, send a request, are answered and close in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.connection_limiter = ConnectionLimiter(64)
        self.open: dict[ConnectionSlot, int] = {}  # descriptors that each slot uses or reserves
        self.evicted_count = 0

    def _pick_open_slot(self, index: int) -> ConnectionSlot | None:
        return list(self.open)[index % len(self.open)] if self.open else None

    @rule()
    def enter(self) -> None:
        oldest = next(
            (slot for slot, count in self.open.items() if slot.client_id == "" and count == 1), None
        )
        evicted_before = self.evicted_count

        def evict(*, immediately: bool) -> bool:
            assert immediately
            self.evicted_count += 1
            del self.open[new_slot[0]]
            return True

        new_slot: list[ConnectionSlot] = []
        slot = self.connection_limiter.enter(evict)
        if self.evicted_count > evicted_before:
            assert oldest is not None
            assert oldest not in self.open
        if slot is not None:
            new_slot.append(slot)
            self.open[slot] = 1

    @rule(index=st.integers(0, 99))
    def send_request(self, index: int) -> None:
        slot = self._pick_open_slot(index)
        if slot is None or slot.client_id:
            return
        assert self.connection_limiter.claim_id(slot, f"i{id(slot)}")
        assert not self.connection_limiter.claim_id(slot, slot.client_id)
        if self.connection_limiter.admit(slot):
            self.open[slot] = 2

    @rule(index=st.integers(0, 99), answered=st.booleans())
    def close(self, index: int, answered: bool) -> None:
        slot = self._pick_open_slot(index)
        if slot is None:
            return
        if answered and self.connection_limiter.start_leaving(slot):
            self.open[slot] = 1
            slot.client_id = "left"
            return
        self.connection_limiter.leave(slot)
        self.connection_limiter.leave(slot)  # a second call has no effect
        del self.open[slot]

    @invariant()
    def used_matches_model(self) -> None:
        assert (
            self.connection_limiter.used()
            == sum(self.open.values())
            <= self.connection_limiter.max_descriptors
        )


TestConnectionLimiter = ConnectionLimiterMachine.TestCase
