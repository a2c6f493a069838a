"""Health checks: when servers are checked."""

from __future__ import annotations

from itertools import pairwise

from ironmill.balancing.interface import (
    CheckHealth,
    Request,
    TimerFired,
)
from tests.support.balancing import SimulatedProxy


def checked(proxy: SimulatedProxy, duration: float) -> list[int]:
    return [
        action.server_id
        for action in proxy.run_until(proxy.now + duration)
        if isinstance(action, CheckHealth)
    ]


def test_servers_are_checked_in_turn_only_where_allowed() -> None:
    proxy = SimulatedProxy(3, health_checks=True)
    order = checked(proxy, 6.0)
    assert set(order) == {1, 2, 3}
    assert all(previous != following for previous, following in pairwise(order))
    assert checked(SimulatedProxy(3), 6.0) == []


def test_health_checks_continue_without_results() -> None:
    proxy = SimulatedProxy(1, health_checks=True, reports_delay=False)
    proxy.handle(TimerFired("probe"))
    assert proxy.handle(Request("q", "read", proxy.now + 1.0))
