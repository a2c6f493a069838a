"""Load shedding: new requests are rejected when many servers are overloaded, but not if only one is."""

from __future__ import annotations

from ironmill.balancing.interface import Reject, Tenant
from tests.support.balancing import SimulatedProxy, sends


def overload(proxy: SimulatedProxy, servers: set[int], seconds: int) -> float:
    """Samples slow messages on the given servers for a while; returns the fraction of requests rejected."""
    established = sends(proxy.actions)
    rejected = request_count = 0
    for _ in range(seconds):
        proxy.now += 1.0
        for send in established:
            if send.server_id in servers:
                proxy.sample_delay(send, 900.0)
        for _ in range(5):
            request_count += 1
            rejected += any(isinstance(action, Reject) for action in proxy.request())
    return rejected / request_count


def proxy_with_connections(seed: int, *, health_checks: bool = False) -> SimulatedProxy:
    proxy = SimulatedProxy(10, seed=seed, health_checks=health_checks)
    for _ in range(20):
        for send in sends(proxy.request()):
            proxy.establish(send)
    return proxy


def test_sheds_load_when_most_servers_are_overloaded() -> None:
    """An overloaded fleet stays overloaded until new requests are rejected."""
    assert sum(overload(proxy_with_connections(seed), set(range(1, 11)), 10) for seed in range(10)) / 10 > 0.5


def test_rejects_nothing_for_one_overloaded_server() -> None:
    assert sum(overload(proxy_with_connections(seed), {3}, 10) for seed in range(10)) == 0


def test_sheds_load_by_own_connections_when_few_servers_report() -> None:
    """A proxy of a large fleet checks servers too rarely to detect overload by reports alone."""

    def rejected(reports: int) -> float:
        fractions = []
        for seed in range(10):
            proxy = proxy_with_connections(seed, health_checks=True)
            for server in range(1, 1 + reports):
                proxy.report_load(server, 0.2)
            fractions.append(overload(proxy, set(range(1, 11)), 3))
        return sum(fractions) / len(fractions)

    assert rejected(0) > 0.2
    assert rejected(1) > 0.2
    assert rejected(2) == 0.0  # the reports show no overload


def test_admits_all_again_after_overload() -> None:
    proxy = proxy_with_connections(1)
    assert overload(proxy, set(range(1, 11)), 10) > 0
    overload(proxy, set(), 30)
    assert overload(proxy, set(), 10) == 0


def test_sheds_work_over_tenant_quota_first() -> None:
    """Work over a tenant's quota has low priority and must not displace other work."""
    # Each of the 4 proxies has a share of the quotas: 2 connections of "greedy" and 10 of "modest".
    tenants = (Tenant("greedy", 4.0, 8.0), Tenant("modest", 4.0, 40.0))
    admitted = {"greedy": 0, "modest": 0}
    for seed in range(20):
        proxy = SimulatedProxy(10, seed=seed, tenants=tenants)
        for number in range(20):
            for send in sends(proxy.request(tenant="greedy" if number % 2 else "modest")):
                proxy.establish(send)
        established = sends(proxy.actions)
        for _ in range(4):
            proxy.now += 0.6
            for send in established:
                proxy.sample_delay(send, 60.0)
            for tenant in admitted:
                admitted[tenant] += not any(
                    isinstance(action, Reject) for action in proxy.request(tenant=tenant)
                )
    assert admitted["modest"] > 2 * admitted["greedy"]


def test_sheds_load_by_reports_not_by_slow_establishment() -> None:
    proxy = SimulatedProxy(4, health_checks=True)
    for send in [send for _ in range(8) for send in sends(proxy.request())]:
        proxy.establish(send, delay=0.4)
    for server in (1, 2, 3, 4):
        proxy.report_load(server, 0.4)
    proxy.run_until(proxy.now + 1.0)
    assert all(sends(proxy.request()) for _ in range(10))
    proxy.report_load(1, 1.4)
    proxy.run_until(proxy.now + 1.0)
    # A single overloaded server indicates a fault of that server, not overload of the fleet.
    assert all(sends(proxy.request()) for _ in range(10))
    proxy.report_load(2, 0.92)
    for server in (3, 4):
        proxy.report_load(server, 0.15)
    proxy.run_until(proxy.now + 1.0)
    assert all(sends(proxy.request()) for _ in range(10))  # the other servers can take the load
    for server in (3, 4):
        proxy.report_load(server, 0.8)
    proxy.run_until(proxy.now + 1.0)
    assert not all(sends(proxy.request()) for _ in range(20))
