"""Who is well where it is stays there, however many changes come."""

from __future__ import annotations

import pytest

from ironmill.distribution.messages import Endpoint
from ironmill.distribution.parent_selector import rank_endpoints
from ironmill.distribution.proxy_node import ProxyNode
from ironmill_testbed.capacity.stories import SETTLED, SMALL, STORM, Told
from ironmill_testbed.faults.fleet_world import FleetWorld


@pytest.mark.parametrize("rate", [2.0, STORM])
def test_no_proxy_leaves_its_parent_for_one_it_prefers_less_because_of_changes(rate: float) -> None:
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
