"""Who is well where it is stays there, however many changes come."""

from __future__ import annotations

import pytest

from ironmill.distribution.messages import Endpoint
from ironmill.distribution.parent_selector import rank_endpoints
from ironmill.distribution.proxy_node import ProxyNode
from ironmill_testbed.capacity.stories import SETTLED, SMALL, STORM, Told
from ironmill_testbed.faults.fleet_world import FleetWorld


@pytest.mark.parametrize("rate", [2.0, STORM])
def test_changes_make_no_proxy_leave_its_parent_for_a_less_preferred_one(rate: float) -> None:
    world = FleetWorld(SMALL)
    places = [Endpoint(one.name, one.address, one.zone, one.region) for one in world.relays]

    def ranks() -> list[int]:
        found = []
        for proxy in world.proxies:
            assert isinstance(proxy.node, ProxyNode)
            parent = proxy.node.subscriber.parent
            assert parent is not None
            order = [place.name for place in rank_endpoints(proxy.name, proxy.zone, proxy.region, places)]
            found.append(order.index(parent.endpoint.name))
        return found

    world.settle(SETTLED)
    Told(world, 50).tell(SETTLED, SETTLED + 10.0, rate)
    before = ranks()
    for tenth in range(110):
        world.run(SETTLED + tenth / 10.0)
        now = ranks()
        assert all(rank <= was for rank, was in zip(now, before, strict=True)), tenth
        before = now
    assert len(world.watch.pushed_at) == int(10.0 * rate)
    assert world.watch.lost() == 0


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
