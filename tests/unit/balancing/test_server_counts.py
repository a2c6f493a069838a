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
    used = {}
    for price in (0.0, 0.1):
        proxy = SimulatedProxy(30, costs=Costs(handshake=price))
        hits = 0
        for _ in range(40):
            links = {send.server_id for send in sends(proxy.actions)[-1:]}
            proxy.now += 0.5
            send = sends(proxy.request())[0]
            hits += send.server_id in links
            proxy.establish(send)
            proxy.end(send, Outcome.OK, final=True)
        used[price] = hits
    assert used[0.0] < 10
    assert used[0.1] > 20


def test_reported_load_includes_other_load_on_machine() -> None:
    """Own connections do not show other load on a machine."""
    proxy = SimulatedProxy(3, health_checks=True)
    for _ in range(6):
        for send in sends(proxy.request()):
            proxy.establish(send)
    for server, load in ((1, 0.8), (2, 0.2), (3, 0.2)):
        proxy.report_load(server, load)
    (send,) = sends(proxy.request())
    counts = proxy.balancer.token_counts()
    assert counts.pop(1) == 4  # four sixths of the reported load, whatever its connections
    assert counts.pop(send.server_id) == 2  # and one placed since
    assert list(counts.values()) == [1]
    proxy.run_until(proxy.now + REPORT_LIFETIME_S + 1.0)
    proxy.request()
    assert sum(proxy.balancer.token_counts().values()) == 8  # old reports no longer count


def test_unchanged_and_invalid_reports_do_not_count() -> None:
    proxy = SimulatedProxy(2, health_checks=True)
    for _ in range(4):
        for send in sends(proxy.request()):
            proxy.establish(send)
    live = proxy.balancer.connection_counts()
    for bad in (math.nan, math.inf, -1.0):
        proxy.report_load(1, bad)
    assert proxy.balancer.token_counts() == live
    for at in range(STALE_AFTER_IDENTICAL_REPORTS + 1):
        proxy.report_load(1, 0.1)
        proxy.report_load(2, 0.5 + at / 100.0)
    assert proxy.balancer.token_counts()[1] == live[1]
