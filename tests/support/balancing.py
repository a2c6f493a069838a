"""Small builders shared by the tests."""

from __future__ import annotations

from typing import Any

from msgspec import structs

from ironmill.balancing import Balancer
from ironmill.balancing.interface import (
    Action,
    Effect,
    Ended,
    Entry,
    Established,
    Event,
    ListChanged,
    ListKind,
    Outcome,
    Prices,
    Request,
    RequestClass,
    Scope,
    Send,
    SetTimer,
    Settings,
    Stage,
    TimerFired,
)

SAFE = RequestClass("read", aim=0.3, worth=1.0, message_aim=0.1)
KEYED = RequestClass(
    "write", aim=0.3, worth=1.0, message_aim=0.1, effect=Effect.KEYED, scope=Scope.ZONE, window=1.0
)
UNSAFE = RequestClass("order", aim=0.3, worth=1.0, message_aim=0.1, effect=Effect.UNSAFE)

SETTINGS = Settings(
    relays=4,
    classes=(SAFE, KEYED, UNSAFE),
    tenants=(),
    prices=Prices(),
    ask_discovery=False,
    ask_within=10.0,
    cold_from=0.3,
    ramp_time=8.0,
    fall_multiple=3.0,
    tip_after=2.0,
    max_attempts=4,
    retry_after_max=1.0,
    keepalive=10.0,
    round_gap=0.002,
)


def entries(count: int, **changes: Any) -> tuple[Entry, ...]:
    """Ready backends 1 to count, in two zones."""
    return tuple(
        structs.replace(Entry(backend, Stage.READY, zone="ab"[backend % 2], cell=backend % 4), **changes)
        for backend in range(1, count + 1)
    )


class Relay:
    """A relay for tests: keeps the clock, plays events in and remembers what came out."""

    def __init__(self, backends: int = 0, seed: int = 1, **changes: Any) -> None:
        self.settings = structs.replace(SETTINGS, **changes)
        self.now = 100.0
        self.balancer = Balancer(self.settings, seed, self.now)
        self.actions: list[Action] = []
        self.timers: list[tuple[float, str]] = []
        self.serial = 0
        if backends:
            self.play(ListChanged(ListKind.FULL, entries(backends)))

    def play(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(event, self.now)
        self.timers += [(self.now + a.delay, a.name) for a in actions if isinstance(a, SetTimer)]
        self.actions += actions
        return actions

    def request(self, cls: RequestClass = SAFE, wait: float = 2.0, **fields: Any) -> list[Action]:
        self.serial += 1
        return self.play(Request(f"r{self.serial}", cls.name, self.now + wait, **fields))

    def stand(self, send: Send, attempt: int = 0, delay: float = 0.01) -> list[Action]:
        return self.play(Established(send.id, attempt, send.backend, delay))

    def end(self, send: Send, outcome: Outcome, attempt: int = 0, final: bool = False) -> list[Action]:
        return self.play(Ended(send.id, attempt, send.backend, outcome, 0.01, final))

    def run(self, until: float) -> list[Action]:
        """Let the clock go on and fire what timers come due."""
        fired: list[Action] = []
        while True:
            due = [timer for timer in self.timers if timer[0] <= until]
            if not due:
                break
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            fired += self.play(TimerFired(timer[1]))
        self.now = until
        return fired


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]
