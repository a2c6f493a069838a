"""Ranking of parents, and staying at a parent that is usable."""

from __future__ import annotations

import pytest

from ironmill.distribution.messages import Endpoint
from ironmill.distribution.parent_selector import rank_endpoints
from ironmill.distribution.proxy_node import ProxyNode
from ironmill_testbed.capacity.scenarios import CONVERGED_AT, SMALL_PLAN, STORM_CHANGES_PER_S, OperatorLoad
from ironmill_testbed.faults.simulated_fleet import SimulatedFleet


@pytest.mark.parametrize("rate", [2.0, STORM_CHANGES_PER_S])
def test_changes_make_no_proxy_leave_its_parent_for_a_less_preferred_one(rate: float) -> None:
    fleet = SimulatedFleet(SMALL_PLAN)
    places = [Endpoint(one.name, one.address, one.zone, one.region) for one in fleet.relays]

    def ranks() -> list[int]:
        found = []
        for proxy in fleet.proxies:
            assert isinstance(proxy.node, ProxyNode)
            parent = proxy.node.subscriber.parent
            assert parent is not None
            order = [place.name for place in rank_endpoints(proxy.name, proxy.zone, proxy.region, places)]
            found.append(order.index(parent.endpoint.name))
        return found

    fleet.converge(CONVERGED_AT)
    OperatorLoad(fleet, 50).schedule(CONVERGED_AT, CONVERGED_AT + 10.0, rate)
    before = ranks()
    for tenth in range(110):
        fleet.run(CONVERGED_AT + tenth / 10.0)
        now = ranks()
        assert all(rank <= was for rank, was in zip(now, before, strict=True)), tenth
        before = now
    assert len(fleet.observer.pushed_at) == int(10.0 * rate)
    assert fleet.observer.lost() == 0


def test_endpoints_are_ranked_by_zone_then_region_and_evenly_within() -> None:
    places = [Endpoint(f"c{at:02d}", ("h", at), f"z{at % 11}", f"r{at % 11 % 5}") for at in range(26)]
    firsts: dict[str, int] = {}
    for at in range(2800):
        zone = f"z{at % 11}"
        order = rank_endpoints(f"p{at}", zone, f"r{at % 11 % 5}", places)
        assert order[0].zone == zone
        ranks = [0 if p.zone == zone else 1 if p.region == f"r{at % 11 % 5}" else 2 for p in order]
        assert ranks == sorted(ranks)
        firsts[order[0].name] = firsts.get(order[0].name, 0) + 1
    assert max(firsts.values()) < 1.5 * 2800 / 22
    assert len(firsts) == 26
