"""Admission against a model: its counts, and that they never exceed the configured number."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ironmill.requests.admission import Admission, Ticket


class Counted(RuleBasedStateMachine):
    """Clients connect, send a request, are answered and close in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.admission = Admission(64)
        self.open: dict[Ticket, int] = {}  # descriptors that each holds or has set aside
        self.evicted = 0

    def _pick(self, at: int) -> Ticket | None:
        return list(self.open)[at % len(self.open)] if self.open else None

    @rule()
    def enter(self) -> None:
        oldest = next(
            (ticket for ticket, held in self.open.items() if ticket.client_id == "" and held == 1), None
        )
        before = self.evicted

        def evict(*, immediately: bool) -> bool:
            assert immediately
            self.evicted += 1
            del self.open[ticket_of[0]]
            return True

        ticket_of: list[Ticket] = []
        ticket = self.admission.enter(evict)
        if self.evicted > before:
            assert oldest is not None
            assert oldest not in self.open
        if ticket is not None:
            ticket_of.append(ticket)
            self.open[ticket] = 1

    @rule(at=st.integers(0, 99))
    def speak(self, at: int) -> None:
        ticket = self._pick(at)
        if ticket is None or ticket.client_id:
            return
        assert self.admission.claim_id(ticket, f"i{id(ticket)}")
        assert not self.admission.claim_id(ticket, ticket.client_id)
        if self.admission.admit(ticket):
            self.open[ticket] = 2

    @rule(at=st.integers(0, 99), answered=st.booleans())
    def go(self, at: int, answered: bool) -> None:
        ticket = self._pick(at)
        if ticket is None:
            return
        if answered and self.admission.start_leaving(ticket):
            self.open[ticket] = 1
            ticket.client_id = "left"
            return
        self.admission.leave(ticket)
        self.admission.leave(ticket)  # called twice, counted once
        del self.open[ticket]

    @invariant()
    def counted(self) -> None:
        assert self.admission.used() == sum(self.open.values()) <= self.admission.max_descriptors


TestCounted = Counted.TestCase
