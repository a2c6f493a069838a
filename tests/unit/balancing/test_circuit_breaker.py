"""Outlier ejection of servers on which attempts keep failing."""

from __future__ import annotations

from ironmill.balancing.circuit_breaker import EJECT_AFTER_FAILURES
from ironmill.balancing.interface import (
    Outcome,
)
from tests.support.balancing import SimulatedProxy, sends


def test_failing_server_is_ejected_then_tried_by_one_attempt() -> None:
    proxy = SimulatedProxy(4)
    failed_attempts = 0
    for _ in range(60):
        for send in sends(proxy.request()):
            if send.server_id == 1:
                proxy.end(send, Outcome.ERROR)
                failed_attempts += 1
            else:
                proxy.establish(send)
        proxy.run_until(proxy.now + 0.05)
    assert failed_attempts <= EJECT_AFTER_FAILURES + 3
    proxy.run_until(proxy.now + 20.0)
    trial_sends = [send for _ in range(30) for send in sends(proxy.request()) if send.server_id == 1]
    assert len(trial_sends) == 1
    proxy.establish(trial_sends[0])
    assert any(send.server_id == 1 for _ in range(30) for send in sends(proxy.request()))


def test_no_server_is_ejected_when_most_fail() -> None:
    proxy = SimulatedProxy(2)
    for _ in range(12):
        for send in sends(proxy.request(deadline_in=0.05)):
            proxy.end(send, Outcome.CONNECT_FAILED)
    assert sends(proxy.request())
