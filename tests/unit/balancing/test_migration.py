"""Migration of connections off overloaded servers."""

from __future__ import annotations

from ironmill.balancing.interface import (
    ConnectionSample,
    HealthChecked,
    Migrate,
    Outcome,
    SampleKind,
)
from ironmill.balancing.load_shedding import OVERLOADED_LOAD
from tests.support.balancing import IDEMPOTENT, SimulatedProxy, sends


def slow_samples(proxy: SimulatedProxy, slow: set[int], rounds: int) -> int:
    """Samples slow messages on the given servers; returns the number of migrations."""
    migrated = 0
    established = [send for send in sends(proxy.actions) if send.server_id in slow]
    for _ in range(rounds):
        proxy.now += 1.0
        for send in established:
            actions = proxy.sample_delay(send, 400.0)
            migrated += sum(isinstance(action, Migrate) for action in actions)
    return migrated


def test_migrates_off_one_overloaded_server_but_not_when_all_are_slow() -> None:
    for slow, expected in (({1}, True), (set(range(1, 9)), False)):
        proxy = SimulatedProxy(8)
        for _ in range(16):
            for send in sends(proxy.request()):
                proxy.establish(send)
        proxy.handle(ConnectionSample("r1", 0, 1, SampleKind.DELAY, 1.0))
        if not expected:  # the others become slow first, as one slow server alone would cause a migration
            for send in sends(proxy.actions):
                if send.server_id > 1:
                    proxy.sample_delay(send, 90.0)
        assert (slow_samples(proxy, slow, 12) > 0) is expected


def test_slow_establishment_counts_as_overload() -> None:
    """Messages on established connections may be fast although the server is overloaded."""
    proxy = SimulatedProxy(2)
    first_send = sends(proxy.request())[0]
    proxy.establish(first_send, delay=0.2 * IDEMPOTENT.message_latency_objective)
    assert proxy.balancer._overload.overloaded_server_ids == {}
    second_send = sends(proxy.request())[0]
    proxy.establish(second_send, delay=0.6 * IDEMPOTENT.message_latency_objective)
    assert list(proxy.balancer._overload.overloaded_server_ids) == [second_send.server_id]
    third_send = sends(proxy.request())[0]
    proxy.establish(third_send, delay=5.0 * IDEMPOTENT.message_latency_objective)
    assert (
        proxy.balancer.token_counts()[third_send.server_id]
        > proxy.balancer.connection_counts()[third_send.server_id]
    )


def test_reported_overload_adds_penalty_and_migrates_connection() -> None:
    proxy = SimulatedProxy(4, health_checks=True, reports_delay=False)
    established = [send for _ in range(4) for send in sends(proxy.request())]
    for send in established:
        proxy.establish(send)
    overloaded_id, healthy_id = established[0].server_id, established[1].server_id
    counts_before = proxy.balancer.token_counts()
    assert proxy.report_load(healthy_id, OVERLOADED_LOAD - 0.1) == []
    assert proxy.handle(HealthChecked(healthy_id, Outcome.TIMEOUT)) == []
    assert proxy.report_load(99, 5.0) == []
    (action,) = proxy.report_load(overloaded_id, 1.5)
    assert isinstance(action, Migrate)
    counts_after = proxy.balancer.token_counts()
    assert counts_after[overloaded_id] > counts_before[overloaded_id]
    assert counts_after[healthy_id] == counts_before[healthy_id]
