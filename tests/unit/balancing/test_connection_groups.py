"""Connections of one group share servers."""

from __future__ import annotations

from ironmill.balancing.interface import (
    Outcome,
)
from ironmill.balancing.placement import GROUP_DISCOUNT
from tests.support.balancing import SimulatedProxy, sends


def test_group_uses_same_servers_at_every_proxy() -> None:
    """Each server with connections of a group does the group's work once, so few servers must be used."""
    servers_by_group: dict[int, set[int]] = {77: set(), 78: set(), 79: set()}
    for seed in (1, 2):
        proxy = SimulatedProxy(8, seed=seed)
        for index in range(3 * (GROUP_DISCOUNT - 2)):
            group = 77 + index % 3
            for send in sends(proxy.request(group=group)):
                proxy.establish(send)
                servers_by_group[group].add(send.server_id)
    assert all(len(servers) <= 3 for servers in servers_by_group.values())


def test_group_spreads_when_its_server_is_far_fuller() -> None:
    proxy = SimulatedProxy(4)
    for _ in range(6 * GROUP_DISCOUNT):
        for send in sends(proxy.request(group=77)):
            proxy.establish(send)
    counts = sorted(proxy.balancer.connection_counts().values())
    assert counts[1] > GROUP_DISCOUNT  # at least three of the four servers share the group
    assert counts[-1] < 3 * GROUP_DISCOUNT


def test_closed_connection_leaves_its_group() -> None:
    proxy = SimulatedProxy(4)
    (send,) = sends(proxy.request(group=77))
    proxy.establish(send)
    assert proxy.balancer._connections.groups.by_group == {77: {send.server_id: 1}}
    proxy.end(send, Outcome.OK, final=True)
    assert proxy.balancer._connections.groups.by_group == {}


def test_rerouted_connection_goes_to_server_of_its_group() -> None:
    proxy = SimulatedProxy(8)
    (send,) = sends(proxy.request(group=77))
    proxy.establish(send)
    (rerouted_send,) = sends(proxy.request(group=77, rerouted=True))
    assert rerouted_send.server_id == send.server_id
