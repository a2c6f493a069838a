"""A fleet of 40 proxies: actions that are harmless for one proxy but not for all of them at once."""

from __future__ import annotations

import json
import random
from collections import Counter
from typing import Any

from msgspec import structs

from ironmill.balancing.connection_groups import preference
from ironmill.balancing.draining import SHORTEST_DRAIN_S
from ironmill.balancing.interface import (
    Action,
    CheckHealth,
    ConnectionSample,
    EndpointEntry,
    HealthChecked,
    Migrate,
    Outcome,
    SampleKind,
    Stage,
    WatchEventKind,
)
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.slow_start import ASSUMED_LIFETIME_S, SlowStartBudget
from ironmill.configuration.site_settings import parse_settings
from tests.support.balancing import SETTINGS as PROXY_SETTINGS
from tests.support.balancing import SimulatedProxy, endpoint_entries, sends
from tests.unit.simulator.test_simulator import SETTINGS as SIMULATOR_SETTINGS

FLEET_SIZE = 40


def fleet(servers: int = 10, proxies: int = FLEET_SIZE, **changes: Any) -> list[SimulatedProxy]:
    return [SimulatedProxy(servers, seed=seed, proxies=proxies, **changes) for seed in range(proxies)]


def list_connections(proxy: SimulatedProxy, connections: dict[int, float], size: float = 4.0) -> None:
    """Sends the proxy a list whose live weights correspond to these connections per core, by server id."""
    listed = tuple(
        EndpointEntry(server_id, Stage.READY, weight=size / (1.0 + load))
        for server_id, load in connections.items()
    )
    proxy.watch(*listed)


def count_actions(actions: list[Action], kind: type) -> int:
    return sum(isinstance(action, kind) for action in actions)


def test_group_opened_by_all_proxies_at_once_uses_several_servers() -> None:
    """All proxies prefer the same server before any load is reported. The excess must go to other servers."""
    proxies = fleet(live_weights=True)
    placements: Counter[int] = Counter()
    for proxy in proxies:
        for _ in range(4):
            (send,) = sends(proxy.request(group=7))
            proxy.establish(send)
            placements[send.server_id] += 1
    assert sum(placements.values()) == 4 * FLEET_SIZE
    assert max(placements.values()) <= 1.25 * FLEET_SIZE
    assert len(placements) <= 6, "the group uses too many servers"


def test_proxies_with_few_connections_keep_group_together_by_shared_preference() -> None:
    """The least loaded server changes with each list, and a group that followed it would use every server."""
    proxies, rng = fleet(0, live_weights=True), random.Random(5)
    for proxy in proxies:
        proxy.watch(*endpoint_entries(12, weight=4.0), kind=WatchEventKind.FULL)
    placements: Counter[int] = Counter()
    for _ in range(8):
        connections = {server_id: rng.uniform(4.0, 6.0) for server_id in range(1, 13)}
        for proxy in proxies:
            proxy.now += 5.0
            list_connections(proxy, connections)
            (send,) = sends(proxy.request(group=7))
            placements[send.server_id] += 1
            proxy.establish(send)
            proxy.end(send, Outcome.OK, final=True)
    assert sum(placed for _, placed in placements.most_common(3)) >= 0.8 * 8 * FLEET_SIZE


def test_rerouted_connections_go_to_server_that_all_proxies_prefer_for_group() -> None:
    """A restarted proxy has no connection of the group, and loads do not show where the group is."""
    for group in range(1, 20):
        proxy = SimulatedProxy(0, proxies=FLEET_SIZE, live_weights=True)
        proxy.watch(*endpoint_entries(12, weight=4.0), kind=WatchEventKind.FULL)
        preferred_server = max(range(1, 13), key=lambda server: preference(group, server))
        list_connections(
            proxy, {server_id: 5.0 if server_id == preferred_server else 4.0 for server_id in range(1, 13)}
        )
        assert [send.server_id for send in sends(proxy.request(group=group, rerouted=True))] == [
            preferred_server
        ]


def test_live_weights_include_placements_of_other_proxies() -> None:
    for proxy in fleet(4, live_weights=True):
        # Without connections, each weight is the server's size.
        list_connections(proxy, {1: 0.0, 2: 0.0, 3: 0.0, 4: 0.0})
        proxy.now += 5.0
        list_connections(proxy, {1: 5.0, 2: 4.5, 3: 0.5, 4: 6.0})
        assert [send.server_id for send in sends(proxy.request())] == [3]


def test_own_sends_count_for_other_proxies_until_listed() -> None:
    proxy = SimulatedProxy(4, proxies=FLEET_SIZE, live_weights=True)
    list_connections(proxy, dict.fromkeys(range(1, 5), 0.0))
    (send,) = sends(proxy.request())
    proxy.establish(send)
    assert proxy.balancer.token_counts()[send.server_id] == FLEET_SIZE // 4
    proxy.now += 0.5
    list_connections(proxy, {send.server_id: 0.0})  # too early to include the send
    assert proxy.balancer.token_counts()[send.server_id] == FLEET_SIZE // 4
    proxy.now += 1.5
    list_connections(proxy, {send.server_id: 0.25})
    assert proxy.balancer.token_counts()[send.server_id] == 0


def test_slow_server_counts_more_per_listed_connection() -> None:
    proxy = SimulatedProxy(3, proxies=FLEET_SIZE, live_weights=True, health_checks=True)
    list_connections(proxy, dict.fromkeys(range(1, 4), 0.0))
    list_connections(proxy, dict.fromkeys(range(1, 4), 4.0))
    for server, load in ((1, 0.8), (2, 0.3), (3, 0.3)):
        proxy.report_load(server, load)
    (send,) = sends(proxy.request())
    counts = proxy.balancer.token_counts()
    assert send.server_id != 1
    assert counts[1] > 1.5 * counts[5 - send.server_id]


def test_health_checks_of_fleet_do_not_grow_with_its_size() -> None:
    checks = [
        sum(
            count_actions(proxy.run_until(proxy.now + 10.0), CheckHealth)
            for proxy in fleet(60, fleet_size, health_checks=True)
        )
        for fleet_size in (4, FLEET_SIZE)
    ]
    assert abs(checks[1] - checks[0]) <= 0.15 * checks[0]


def establish_on_server_1(proxies: list[SimulatedProxy], connections_per_proxy: int) -> None:
    """Establishes connections of each proxy on server 1, the only one listed, and then lists four servers."""
    for proxy in proxies:
        for _ in range(connections_per_proxy):
            for send in sends(proxy.request()):
                proxy.establish(send)
        proxy.watch(*endpoint_entries(4), kind=WatchEventKind.FULL)
        proxy.actions.clear()


def test_fleet_migrates_some_but_not_all_connections_off_overloaded_server() -> None:
    """Guards against all proxies acting at once. Each report reaches only one proxy, which must act on it."""
    proxies = fleet(1, health_checks=True)
    establish_on_server_1(proxies, 1)
    migrated = 0
    for proxy in proxies:
        end, own_migrations = proxy.now + 5.0, 0
        while due := [timer for timer in proxy.timers if timer[0] <= end]:
            for action in proxy.run_until(min(due)[0]):
                if isinstance(action, CheckHealth):
                    load = 1.0 if action.server_id == 1 else 0.3
                    own_migrations += count_actions(
                        proxy.handle(HealthChecked(action.server_id, Outcome.OK, (("x0", load),))), Migrate
                    )
        assert own_migrations <= 1
        migrated += own_migrations
    assert 0.2 * FLEET_SIZE <= migrated <= 0.7 * FLEET_SIZE


def test_slow_messages_migrate_no_more_connections_in_larger_fleet() -> None:
    proxies = fleet(1)
    establish_on_server_1(proxies, 1)
    slow = [proxy.handle(ConnectionSample("r1", 0, 1, SampleKind.DELAY, 200.0)) for proxy in proxies]
    assert sum(count_actions(actions, Migrate) for actions in slow) <= 0.2 * FLEET_SIZE


def test_fleet_drains_server_gradually() -> None:
    proxies = fleet(1)
    establish_on_server_1(proxies, 1)
    parts = 4  # of the time in which all connections have to be migrated
    by_part = [0] * parts
    for proxy in proxies:
        proxy.watch(EndpointEntry(1, Stage.DRAINING))
        for part in range(parts):
            actions = proxy.run_until(proxy.now + SHORTEST_DRAIN_S / parts)
            by_part[part] += count_actions(actions, Migrate)
    assert max(by_part) <= 0.5 * FLEET_SIZE
    assert sum(by_part) == FLEET_SIZE


def test_unused_slow_start_budget_is_not_carried_over() -> None:
    """Guards against grants that are carried over, with which the fleet could exceed the rule in a window."""
    granted = next_window = later_window = 0
    for seed in range(2000):
        budget = SlowStartBudget(
            structs.replace(PROXY_SETTINGS, proxies=FLEET_SIZE), random.Random(seed), 0.0
        )
        for second in range(4, 84, 4):
            budget.request_arrived(10, float(second))
        server = ServerState(1)
        server.started_at = 84.0
        if budget.allows(server, 84.0):
            granted += 1
            next_window += budget.allows(server, 86.0)
            later_window += budget.allows(server, 88.0)
    assert 20 <= granted <= 60  # about one in fifty proxies gets a grant in one window
    assert next_window <= 3  # a proxy with an unused grant gets another no more often than the others
    assert later_window < granted, "unused grants are carried over"


def test_threshold_of_proxy_with_few_placements_follows_list() -> None:
    """Guards against a low threshold, with which a large fleet would use only the servers listed as idle."""
    for proxy in fleet(10, proxies=200, live_weights=True):
        proxy.request()
        assert proxy.balancer.threshold <= 1
        for _ in range(6):
            proxy.now += 1.5
            list_connections(proxy, {server_id: float(server_id % 7) for server_id in range(1, 11)})
        assert 2 <= proxy.balancer.threshold <= 3


def test_fleet_fills_servers_in_slow_start_along_with_their_capacity() -> None:
    """200 proxies that have just started place returning clients while three of ten servers warm up.

    They have observed no arrivals, so their budget depends only on the listed connections.
    """
    size, connections = 4.0, 20.0  # cores and connections of each ordinary server
    proxies = fleet(0, proxies=200, live_weights=True)
    placements: dict[int, list[float]] = {8: [], 9: [], 10: []}
    for proxy in proxies:
        proxy.watch(*endpoint_entries(10, weight=size), kind=WatchEventKind.FULL)
        list_connections(proxy, dict.fromkeys(range(1, 8), connections / size))
        start = proxy.now
        starting_entries = tuple(
            EndpointEntry(server_id, Stage.READY, weight=size, started_at=start) for server_id in placements
        )
        proxy.watch(*starting_entries)
        while proxy.now < start + 7.5:
            proxy.now += 0.5
            for send in sends(proxy.request(returning=True)):
                if send.server_id in placements:
                    placements[send.server_id].append(proxy.now - start)
    for times in placements.values():
        assert len(times) >= 0.5 * connections, "too few connections in slow start overload the other servers"
        for window_start in (0.0, 2.0, 4.0):
            age = (window_start + PROXY_SETTINGS.slow_start_window / 2.0) / PROXY_SETTINGS.slow_start_duration
            capacity = (
                PROXY_SETTINGS.initial_capacity_fraction
                + (1.0 - PROXY_SETTINGS.initial_capacity_fraction) * age
            )
            allowed = (
                PROXY_SETTINGS.slow_start_rate_multiple
                * capacity
                * connections
                / PROXY_SETTINGS.slow_start_duration
                * PROXY_SETTINGS.slow_start_window
            )
            assert (
                sum(window_start < time <= window_start + PROXY_SETTINGS.slow_start_window for time in times)
                <= allowed
            )


def test_slow_start_budget_goes_before_group_preference() -> None:
    used = 0
    for seed in range(300):
        proxy = SimulatedProxy(10, seed=seed, live_weights=True)
        list_connections(proxy, dict.fromkeys(range(1, 10), 0.0))
        proxy.now += 5.0
        list_connections(proxy, dict.fromkeys(range(1, 10), 9.0))
        starting_entry = EndpointEntry(10, Stage.READY, weight=4.0, started_at=proxy.now)
        proxy.watch(starting_entry)
        proxy.watch(EndpointEntry(9, Stage.READY, weight=4.0))  # listed as empty too, but not in slow start
        granted = 10 in proxy.balancer.token_counts()  # decided at random
        (send,) = sends(proxy.request(group=7))
        used += send.server_id == 10
        assert (send.server_id == 10) is granted
    assert used >= 10


def test_mean_lifetime_is_learned_from_own_connections() -> None:
    budget = SlowStartBudget(PROXY_SETTINGS, random.Random(1), 0.0)
    assert budget.mean_lifetime(0.0) == ASSUMED_LIFETIME_S
    for number in range(30):
        budget.connection_established(float(number))
    for number in range(30):
        budget.connection_closed(20.0 + number, completed=True)
    assert 20.0 < budget.mean_lifetime(50.0) < 25.0


def test_settings_enable_live_weights() -> None:
    assert parse_settings(json.dumps(SIMULATOR_SETTINGS | {"weightSource": "live"})).live_weights
    assert not parse_settings(json.dumps(SIMULATOR_SETTINGS | {"weightSource": "nominal"})).live_weights
