"""Small builders shared by the tests."""

from __future__ import annotations

from typing import Any

from msgspec import structs

from ironmill.balancing import Balancer
from ironmill.balancing.interface import (
    Action,
    Costs,
    DeduplicationScope,
    Ended,
    EndpointEntry,
    Established,
    Event,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    Stage,
    TimerFired,
    WatchEvent,
    WatchEventKind,
)

SAFE = RequestClass("read", latency_objective=0.3, priority_weight=1.0, message_latency_objective=0.1)
KEYED = RequestClass(
    "write",
    latency_objective=0.3,
    priority_weight=1.0,
    message_latency_objective=0.1,
    idempotency=Idempotency.BY_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window=1.0,
)
UNSAFE = RequestClass(
    "order",
    latency_objective=0.3,
    priority_weight=1.0,
    message_latency_objective=0.1,
    idempotency=Idempotency.NONE,
)

SETTINGS = Settings(
    proxies=4,
    classes=(SAFE, KEYED, UNSAFE),
    tenants=(),
    costs=Costs(),
    subscribes_to_discovery=False,
    discovery_poll_interval=10.0,
    initial_capacity_fraction=0.3,
    slow_start_duration=8.0,
    slow_start_rate_multiple=3.0,
    slow_start_window=2.0,
    max_attempts=4,
    max_retry_after=1.0,
    keepalive_timeout=10.0,
    min_round_interval=0.002,
)


def entries(count: int, **changes: Any) -> tuple[EndpointEntry, ...]:
    """Ready servers 1 to count, in two zones."""
    return tuple(
        structs.replace(EndpointEntry(server, Stage.READY, zone="ab"[server % 2], cell=server % 4), **changes)
        for server in range(1, count + 1)
    )


class SimulatedProxy:
    """A proxy for tests: keeps the clock, plays events in and remembers what came out."""

    def __init__(self, servers: int = 0, seed: int = 1, **changes: Any) -> None:
        self.settings = structs.replace(SETTINGS, **changes)
        self.now = 100.0
        self.balancer = Balancer(self.settings, seed, self.now)
        self.actions: list[Action] = []
        self.timers: list[tuple[float, str]] = []
        self.serial = 0
        if servers:
            self.play(WatchEvent(WatchEventKind.FULL, entries(servers)))

    def play(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(event, self.now)
        self.timers += [(self.now + a.delay, a.name) for a in actions if isinstance(a, SetTimer)]
        self.actions += actions
        return actions

    def request(self, cls: RequestClass = SAFE, wait: float = 2.0, **fields: Any) -> list[Action]:
        self.serial += 1
        return self.play(Request(f"r{self.serial}", cls.name, self.now + wait, **fields))

    def stand(self, send: Send, attempt: int = 0, delay: float = 0.01) -> list[Action]:
        return self.play(Established(send.request_id, attempt, send.server_id, delay))

    def end(self, send: Send, outcome: Outcome, attempt: int = 0, final: bool = False) -> list[Action]:
        return self.play(Ended(send.request_id, attempt, send.server_id, outcome, 0.01, final))

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
