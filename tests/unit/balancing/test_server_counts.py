"""The count of each server, which the threshold rule compares."""

from __future__ import annotations

import math

from ironmill.balancing.health_checks import STALE_AFTER_IDENTICAL_REPORTS
from ironmill.balancing.interface import (
    Costs,
    Outcome,
)
from ironmill.balancing.server_state import REPORT_LIFETIME_S
from tests.support.balancing import SimulatedProxy, sends


def test_idle_link_is_reused_where_handshakes_have_cost() -> None:
    """With far fewer connections than servers, a random draw opens a new link nearly every time."""
    reuses_by_cost = {}
    for handshake_cost in (0.0, 0.1):
        proxy = SimulatedProxy(30, costs=Costs(handshake=handshake_cost))
        reuses = 0
        for _ in range(40):
            idle_servers = {send.server_id for send in sends(proxy.actions)[-1:]}
            proxy.now += 0.5
            send = sends(proxy.request())[0]
            reuses += send.server_id in idle_servers
            proxy.establish(send)
            proxy.end(send, Outcome.OK, final=True)
        reuses_by_cost[handshake_cost] = reuses
    assert reuses_by_cost[0.0] < 10
    assert reuses_by_cost[0.1] > 20


def test_reported_load_includes_other_load_on_machine() -> None:
    """The load of other processes on a server's machine does not show in the proxy's own connections."""
    proxy = SimulatedProxy(3, health_checks=True)
    for _ in range(6):
        for send in sends(proxy.request()):
            proxy.establish(send)
    for server, load in ((1, 0.8), (2, 0.2), (3, 0.2)):
        proxy.report_load(server, load)
    (send,) = sends(proxy.request())
    counts = proxy.balancer.token_counts()
    assert counts.pop(1) == 4  # 6 connections x its load of 0.8 / the reported total of 1.2
    assert counts.pop(send.server_id) == 2  # 1 by its reported load, and 1 placed since the report
    assert list(counts.values()) == [1]
    proxy.run_until(proxy.now + REPORT_LIFETIME_S + 1.0)
    proxy.request()
    assert sum(proxy.balancer.token_counts().values()) == 8  # expired reports are not used


def test_unchanged_and_invalid_reports_do_not_count() -> None:
    proxy = SimulatedProxy(2, health_checks=True)
    for _ in range(4):
        for send in sends(proxy.request()):
            proxy.establish(send)
    connection_counts = proxy.balancer.connection_counts()
    for invalid_load in (math.nan, math.inf, -1.0):
        proxy.report_load(1, invalid_load)
    assert proxy.balancer.token_counts() == connection_counts
    for index in range(STALE_AFTER_IDENTICAL_REPORTS + 1):
        proxy.report_load(1, 0.1)
        proxy.report_load(2, 0.5 + index / 100.0)
    assert proxy.balancer.token_counts()[1] == connection_counts[1]
