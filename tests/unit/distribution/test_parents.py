"""Ranking of parent candidates, and keeping a usable parent."""

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
    endpoints = [Endpoint(relay.name, relay.address, relay.zone, relay.region) for relay in fleet.relays]

    def parent_ranks() -> list[int]:
        ranks = []
        for proxy in fleet.proxies:
            assert isinstance(proxy.node, ProxyNode)
            parent = proxy.node.subscriber.parent
            assert parent is not None
            ranked_names = [
                endpoint.name for endpoint in rank_endpoints(proxy.name, proxy.zone, proxy.region, endpoints)
            ]
            ranks.append(ranked_names.index(parent.endpoint.name))
        return ranks

    fleet.converge(CONVERGED_AT)
    OperatorLoad(fleet, 50).schedule(CONVERGED_AT, CONVERGED_AT + 10.0, rate)
    previous_ranks = parent_ranks()
    for tenth in range(110):
        fleet.run(CONVERGED_AT + tenth / 10.0)
        current_ranks = parent_ranks()
        assert all(
            current <= previous for current, previous in zip(current_ranks, previous_ranks, strict=True)
        ), tenth
        previous_ranks = current_ranks
    assert len(fleet.observer.pushed_at) == int(10.0 * rate)
    assert fleet.observer.count_lost_changes() == 0


def test_endpoints_are_ranked_by_zone_then_region_and_evenly_within() -> None:
    endpoints = [
        Endpoint(f"c{number:02d}", ("h", number), f"z{number % 11}", f"r{number % 11 % 5}")
        for number in range(26)
    ]
    first_choices: dict[str, int] = {}
    for number in range(2800):
        zone = f"z{number % 11}"
        ranked = rank_endpoints(f"p{number}", zone, f"r{number % 11 % 5}", endpoints)
        assert ranked[0].zone == zone
        distances = [
            0 if endpoint.zone == zone else 1 if endpoint.region == f"r{number % 11 % 5}" else 2
            for endpoint in ranked
        ]
        assert distances == sorted(distances)
        first_choices[ranked[0].name] = first_choices.get(ranked[0].name, 0) + 1
    assert max(first_choices.values()) < 1.5 * 2800 / 22
    assert len(first_choices) == 26
