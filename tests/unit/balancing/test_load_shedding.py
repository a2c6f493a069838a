"""Load shedding: a jam of the whole fleet closes the gate, a local one does not."""

from __future__ import annotations

from ironmill.balancing.interface import ConnectionSample, HealthChecked, Outcome, Reject, SampleKind, Tenant
from tests.support.balancing import SimulatedProxy, sends


def jam(proxy: SimulatedProxy, servers: set[int], seconds: int) -> float:
    """Slow notes on the named servers for a while; returns the part of arrivals refused."""
    standing = sends(proxy.actions)
    refused = tried = 0
    for _ in range(seconds):
        proxy.now += 1.0
        for send in standing:
            if send.server_id in servers:
                proxy.play(ConnectionSample(send.request_id, 0, send.server_id, SampleKind.DELAY, 900.0))
        for _ in range(5):
            tried += 1
            refused += any(isinstance(action, Reject) for action in proxy.request())
    return refused / tried


def settled(seed: int, *, health_checks: bool = False) -> SimulatedProxy:
    proxy = SimulatedProxy(10, seed=seed, health_checks=health_checks)
    for _ in range(20):
        for send in sends(proxy.request()):
            proxy.stand(send)
    return proxy


def test_gate_closes_when_most_servers_are_jammed() -> None:
    """A fleet asked for more than it can do stays jammed for good unless arrivals are turned away."""
    assert sum(jam(settled(seed), set(range(1, 11)), 10) for seed in range(10)) / 10 > 0.5


def test_nobody_is_refused_for_one_bad_server() -> None:
    assert sum(jam(settled(seed), {3}, 10) for seed in range(10)) == 0


def test_a_jam_closes_the_gate_also_where_reports_are_too_few_to_tell() -> None:
    """One proxy of 200 asks a server each 12 s: by reports alone its gate stood open in any jam."""

    def refused(reports: int) -> float:
        parts = []
        for seed in range(10):
            proxy = settled(seed, health_checks=True)
            for server in range(1, 1 + reports):
                proxy.play(HealthChecked(server, Outcome.OK, (("x0", 0.2),)))
            parts.append(jam(proxy, set(range(1, 11)), 3))
        return sum(parts) / len(parts)

    assert refused(0) > 0.2
    assert refused(1) > 0.2
    assert refused(2) == 0.0  # the reports say that there is none


def test_gate_opens_again_when_the_jam_is_over() -> None:
    proxy = settled(1)
    assert jam(proxy, set(range(1, 11)), 10) > 0
    jam(proxy, set(), 30)
    assert jam(proxy, set(), 10) == 0


def test_work_over_a_tenants_share_goes_first() -> None:
    """What a tenant sends beyond its share is worth little and must not crowd out the others."""
    tenants = (Tenant("greedy", 4.0, 8.0), Tenant("modest", 4.0, 40.0))  # over 4 proxies: 2 and 10 here
    admitted = {"greedy": 0, "modest": 0}
    for seed in range(20):
        proxy = SimulatedProxy(10, seed=seed, tenants=tenants)
        for number in range(20):
            for send in sends(proxy.request(tenant="greedy" if number % 2 else "modest")):
                proxy.stand(send)
        standing = sends(proxy.actions)
        for _ in range(4):
            proxy.now += 0.6
            for send in standing:
                proxy.play(ConnectionSample(send.request_id, 0, send.server_id, SampleKind.DELAY, 60.0))
            for tenant in admitted:
                admitted[tenant] += not any(isinstance(a, Reject) for a in proxy.request(tenant=tenant))
    assert admitted["modest"] > 2 * admitted["greedy"]
