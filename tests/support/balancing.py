"""A simulated proxy, and settings and endpoint entries, for tests of ``Balancer``."""

from __future__ import annotations

from typing import Any

from msgspec import structs

from ironmill.balancing import Balancer
from ironmill.balancing.interface import (
    Action,
    ConnectionSample,
    Costs,
    DeduplicationScope,
    Ended,
    EndpointEntry,
    Established,
    Event,
    HealthChecked,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
    SampleKind,
    Send,
    SetTimer,
    Settings,
    Stage,
    TimerFired,
    WatchEvent,
    WatchEventKind,
)

IDEMPOTENT = RequestClass("read", latency_objective=0.3, priority_weight=1.0, message_latency_objective=0.1)
WITH_KEY = RequestClass(
    "write",
    latency_objective=0.3,
    priority_weight=1.0,
    message_latency_objective=0.1,
    idempotency=Idempotency.BY_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window=1.0,
)
NOT_IDEMPOTENT = RequestClass(
    "order",
    latency_objective=0.3,
    priority_weight=1.0,
    message_latency_objective=0.1,
    idempotency=Idempotency.NONE,
)

SETTINGS = Settings(
    proxies=4,
    classes=(IDEMPOTENT, WITH_KEY, NOT_IDEMPOTENT),
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


def endpoint_entries(count: int, **changes: Any) -> tuple[EndpointEntry, ...]:
    """Returns the entries of ready servers 1 to ``count``, in two zones and four cells."""
    return tuple(
        structs.replace(
            EndpointEntry(server_id, Stage.READY, zone="ab"[server_id % 2], cell=server_id % 4), **changes
        )
        for server_id in range(1, count + 1)
    )


class SimulatedProxy:
    """A proxy without I/O that advances a clock, passes events to a balancer and records its actions."""

    def __init__(self, servers: int = 0, seed: int = 1, **changes: Any) -> None:
        self.settings = structs.replace(SETTINGS, **changes)
        self.now = 100.0
        self.balancer = Balancer(self.settings, seed, self.now)
        self.actions: list[Action] = []
        self.timers: list[tuple[float, str]] = []
        self.request_count = 0
        if servers:
            self.watch(*endpoint_entries(servers), kind=WatchEventKind.FULL)

    def handle(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(event, self.now)
        self.timers += [
            (self.now + action.delay, action.name) for action in actions if isinstance(action, SetTimer)
        ]
        self.actions += actions
        return actions

    def watch(self, *listed: EndpointEntry, kind: WatchEventKind = WatchEventKind.DELTA) -> list[Action]:
        return self.handle(WatchEvent(kind, listed))

    def report_load(self, server_id: int, load: float) -> list[Action]:
        return self.handle(HealthChecked(server_id, Outcome.OK, (("x0", load),)))

    def sample_delay(self, send: Send, milliseconds: float) -> list[Action]:
        return self.handle(
            ConnectionSample(send.request_id, 0, send.server_id, SampleKind.DELAY, milliseconds)
        )

    def request(
        self, cls: RequestClass = IDEMPOTENT, deadline_in: float = 2.0, **fields: Any
    ) -> list[Action]:
        self.request_count += 1
        return self.handle(Request(f"r{self.request_count}", cls.name, self.now + deadline_in, **fields))

    def establish(self, send: Send, attempt: int = 0, delay: float = 0.01) -> list[Action]:
        return self.handle(Established(send.request_id, attempt, send.server_id, delay))

    def end(self, send: Send, outcome: Outcome, attempt: int = 0, final: bool = False) -> list[Action]:
        return self.handle(Ended(send.request_id, attempt, send.server_id, outcome, 0.01, final))

    def run_until(self, until: float) -> list[Action]:
        """Advances the clock, fires the timers that expire, and returns the resulting actions."""
        fired_actions: list[Action] = []
        while True:
            due = [timer for timer in self.timers if timer[0] <= until]
            if not due:
                break
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            fired_actions += self.handle(TimerFired(timer[1]))
        self.now = until
        return fired_actions


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]
