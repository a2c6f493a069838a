"""Fault penalties keep new connections away from a faulty server for a limited time."""

from __future__ import annotations

from ironmill.balancing.fault_penalty import PENALTY_HALF_LIFE_S
from ironmill.balancing.interface import (
    EndpointEntry,
    Outcome,
    Stage,
)
from tests.support.balancing import SimulatedProxy, sends


def test_faulty_server_gets_no_tokens_until_penalty_decays() -> None:
    proxy = SimulatedProxy(6)
    proxy.request()
    failed_send = sends(proxy.actions)[0]
    proxy.end(failed_send, Outcome.CONNECT_FAILED)
    proxy.run_until(proxy.now + 0.3)
    assert proxy.balancer.token_counts()[failed_send.server_id] >= 3
    for _ in range(4):
        proxy.request()
    assert failed_send.server_id not in {send.server_id for send in sends(proxy.actions)[1:]}
    proxy.now += 8 * PENALTY_HALF_LIFE_S
    proxy.request()
    assert proxy.balancer.token_counts()[failed_send.server_id] <= 2


def test_restart_clears_penalty_of_previous_process() -> None:
    proxy = SimulatedProxy(3)
    proxy.request()
    failed_send = sends(proxy.actions)[0]
    proxy.end(failed_send, Outcome.CONNECT_FAILED)
    proxy.watch(EndpointEntry(failed_send.server_id, Stage.READY, started_at=proxy.now - 50.0))
    proxy.run_until(proxy.now + 0.3)
    assert proxy.balancer.token_counts()[failed_send.server_id] <= 2
