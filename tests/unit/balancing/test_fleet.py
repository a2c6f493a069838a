"""Forty proxies side by side: what each may do alone, and all of them together must not."""

from __future__ import annotations

import json
import random
from collections import Counter
from typing import Any

from msgspec import structs

from ironmill.balancing.connection_groups import preference
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
    WatchEvent,
    WatchEventKind,
)
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.slow_start import ASSUMED_LIFETIME_S, SlowStartBudget
from ironmill.configuration.site_settings import parse_settings
from tests.support.balancing import SETTINGS as BASE
from tests.support.balancing import SimulatedProxy, entries, sends
from tests.unit.simulator.test_simulator import SETTINGS

FORTY = 40


def fleet(servers: int = 10, proxies: int = FORTY, **changes: Any) -> list[SimulatedProxy]:
    return [SimulatedProxy(servers, seed=seed, proxies=proxies, **changes) for seed in range(proxies)]


def weigh(proxy: SimulatedProxy, held: dict[int, float], size: float = 4.0) -> None:
    """The list tells what servers hold per core, as live weights do."""
    listed = tuple(
        EndpointEntry(number, Stage.READY, weight=size / (1.0 + load)) for number, load in held.items()
    )
    proxy.play(WatchEvent(WatchEventKind.DELTA, listed))


def count(actions: list[Action], kind: type) -> int:
    return sum(isinstance(action, kind) for action in actions)


def test_a_group_that_all_proxies_open_at_once_is_not_sent_to_one_server() -> None:
    """Each prefers the same server, and no report has come yet: the next ones go to the next in order."""
    proxies = fleet(live_weights=True)
    took: Counter[int] = Counter()
    for proxy in proxies:
        for _ in range(4):
            (send,) = sends(proxy.request(group=7))
            proxy.stand(send)
            took[send.server_id] += 1
    assert sum(took.values()) == 4 * FORTY
    assert max(took.values()) <= 1.25 * FORTY
    assert len(took) <= 6, "the group stays together as far as that goes"


def test_proxies_that_hold_little_keep_a_group_together_by_the_order_they_share() -> None:
    """What is least loaded changes with each list; a group that follows it stands everywhere in the end."""
    proxies, rng = fleet(0, live_weights=True), random.Random(5)
    for proxy in proxies:
        proxy.play(WatchEvent(WatchEventKind.FULL, entries(12, weight=4.0)))
    took: Counter[int] = Counter()
    for _ in range(8):
        held = {number: rng.uniform(4.0, 6.0) for number in range(1, 13)}
        for proxy in proxies:
            proxy.now += 5.0
            weigh(proxy, held)
            (send,) = sends(proxy.request(group=7))
            took[send.server_id] += 1
            proxy.stand(send)
            proxy.end(send, Outcome.OK, final=True)
    assert sum(count for _, count in took.most_common(3)) >= 0.8 * 8 * FORTY


def test_mid_flow_connections_are_looked_for_where_all_proxies_place_their_group() -> None:
    """A proxy that took over holds none of the group, and what is least loaded tells nothing of it."""
    for group in range(1, 20):
        proxy = SimulatedProxy(0, proxies=FORTY, live_weights=True)
        proxy.play(WatchEvent(WatchEventKind.FULL, entries(12, weight=4.0)))
        first = max(range(1, 13), key=lambda server: preference(group, server))
        weigh(proxy, {number: 5.0 if number == first else 4.0 for number in range(1, 13)})
        assert [send.server_id for send in sends(proxy.request(group=group, rerouted=True))] == [first]


def test_live_weights_tell_a_proxy_what_the_others_placed() -> None:
    for proxy in fleet(4, live_weights=True):
        weigh(proxy, {1: 0.0, 2: 0.0, 3: 0.0, 4: 0.0})  # so large they are
        proxy.now += 5.0
        weigh(proxy, {1: 5.0, 2: 4.5, 3: 0.5, 4: 6.0})
        assert [send.server_id for send in sends(proxy.request())] == [3]


def test_own_sends_count_for_the_others_until_the_list_can_tell_of_them() -> None:
    proxy = SimulatedProxy(4, proxies=FORTY, live_weights=True)
    weigh(proxy, dict.fromkeys(range(1, 5), 0.0))
    (send,) = sends(proxy.request())
    proxy.stand(send)
    assert proxy.balancer.token_counts()[send.server_id] == FORTY // 4
    proxy.now += 0.5
    weigh(proxy, {send.server_id: 0.0})  # too early to hold it
    assert proxy.balancer.token_counts()[send.server_id] == FORTY // 4
    proxy.now += 1.5
    weigh(proxy, {send.server_id: 0.25})
    assert proxy.balancer.token_counts()[send.server_id] == 0


def test_a_slow_machine_reads_more_for_each_connection_held() -> None:
    proxy = SimulatedProxy(3, proxies=FORTY, live_weights=True, health_checks=True)
    weigh(proxy, dict.fromkeys(range(1, 4), 0.0))
    weigh(proxy, dict.fromkeys(range(1, 4), 4.0))
    for server, load in ((1, 0.8), (2, 0.3), (3, 0.3)):
        proxy.play(HealthChecked(server, Outcome.OK, (("x0", load),)))
    (send,) = sends(proxy.request())
    counts = proxy.balancer.token_counts()
    assert send.server_id != 1
    assert counts[1] > 1.5 * counts[5 - send.server_id]


def test_probes_of_all_proxies_together_do_not_grow_with_their_number() -> None:
    asked = [
        sum(count(proxy.run(proxy.now + 10.0), CheckHealth) for proxy in fleet(60, many, health_checks=True))
        for many in (4, FORTY)
    ]
    assert abs(asked[1] - asked[0]) <= 0.15 * asked[0]


def standing(proxies: list[SimulatedProxy], each: int) -> None:
    """Each proxy has so many connections, all on server 1."""
    for proxy in proxies:
        for _ in range(each):
            for send in sends(proxy.request()):
                proxy.stand(send)
        proxy.play(WatchEvent(WatchEventKind.FULL, entries(4)))
        proxy.actions.clear()


def test_a_jam_that_probes_tell_of_is_neither_emptied_at_once_nor_left_as_it_is() -> None:
    """A report reaches one proxy of many, so that one has to act on it; all together must not act at once."""
    proxies = fleet(1, health_checks=True)
    standing(proxies, 1)
    moves = 0
    for proxy in proxies:
        end, early = proxy.now + 5.0, 0
        while due := [timer for timer in proxy.timers if timer[0] <= end]:
            for action in proxy.run(min(due)[0]):
                if isinstance(action, CheckHealth):
                    load = 1.0 if action.server_id == 1 else 0.3
                    early += count(
                        proxy.play(HealthChecked(action.server_id, Outcome.OK, (("x0", load),))), Migrate
                    )
        assert early <= 1
        moves += early
    assert 0.2 * FORTY <= moves <= 0.7 * FORTY


def test_slow_messages_move_as_many_off_a_jam_as_with_few_proxies() -> None:
    proxies = fleet(1)
    standing(proxies, 1)
    slow = [proxy.play(ConnectionSample("r1", 0, 1, SampleKind.DELAY, 200.0)) for proxy in proxies]
    assert sum(count(actions, Migrate) for actions in slow) <= 0.2 * FORTY


def test_a_drain_is_not_emptied_at_once_by_all_proxies_together() -> None:
    proxies = fleet(1)
    standing(proxies, 1)
    first = whole = 0
    for proxy in proxies:
        proxy.play(WatchEvent(WatchEventKind.DELTA, (EndpointEntry(1, Stage.DRAINING),)))
        first += count(proxy.run(proxy.now + 1.0), Migrate)
        whole += count(proxy.run(proxy.now + 9.0), Migrate)
    assert first <= 0.4 * FORTY
    assert first + whole == FORTY


def test_what_a_cold_server_may_take_is_not_saved_for_a_burst() -> None:
    """A grant kept for one more window made three of them meet in one span: over the rule for all."""
    granted = kept = late = 0
    for seed in range(2000):
        budget = SlowStartBudget(structs.replace(BASE, proxies=FORTY), random.Random(seed), 0.0)
        for at in range(4, 84, 4):
            budget.request_arrived(10, float(at))
        cold = ServerState(1)
        cold.started_at = 84.0
        if budget.allows(cold, 84.0):
            granted += 1
            kept += budget.allows(cold, 86.0)
            late += budget.allows(cold, 88.0)
    assert 20 <= granted <= 60  # about one in fifty proxies in one window
    assert kept <= 3  # no more often than any other proxy is granted one then
    assert late < granted, "not saved for a burst"


def test_the_threshold_of_a_proxy_that_seldom_places_follows_the_list() -> None:
    """Else all of a large fleet go on sending to the few that its late list shows as the emptiest."""
    for proxy in fleet(10, proxies=200, live_weights=True):
        proxy.request()
        assert proxy.balancer.threshold <= 1
        for _ in range(6):
            proxy.now += 1.5
            weigh(proxy, {number: float(number % 7) for number in range(1, 11)})
        assert 2 <= proxy.balancer.threshold <= 3


def test_cold_servers_are_filled_along_with_their_capacity_by_all_proxies_together() -> None:
    """200 proxies that have just started place a crowd while three of ten servers are cold.

    They have seen no arrival, so all they go by is what the list tells as held.
    """
    size, held = 4.0, 20.0  # of each warm server, and connections
    proxies = fleet(0, proxies=200, live_weights=True)
    took: dict[int, list[float]] = {8: [], 9: [], 10: []}
    for proxy in proxies:
        proxy.play(WatchEvent(WatchEventKind.FULL, entries(10, weight=size)))
        weigh(proxy, dict.fromkeys(range(1, 8), held / size))
        start = proxy.now
        cold = tuple(EndpointEntry(number, Stage.READY, weight=size, started_at=start) for number in took)
        proxy.play(WatchEvent(WatchEventKind.DELTA, cold))
        while proxy.now < start + 7.5:
            proxy.now += 0.5
            for send in sends(proxy.request(returning=True)):
                if send.server_id in took:
                    took[send.server_id].append(proxy.now - start)
    for times in took.values():
        assert len(times) >= 0.5 * held, "the warm ones jam meanwhile"
        for at in (0.0, 2.0, 4.0):
            age = (at + BASE.slow_start_window / 2.0) / BASE.slow_start_duration
            capacity = BASE.initial_capacity_fraction + (1.0 - BASE.initial_capacity_fraction) * age
            rule = (
                BASE.slow_start_rate_multiple
                * capacity
                * held
                / BASE.slow_start_duration
                * BASE.slow_start_window
            )
            assert sum(at < time <= at + BASE.slow_start_window for time in times) <= rule


def test_what_a_cold_server_may_have_goes_there_before_a_group_to_what_it_prefers() -> None:
    used = 0
    for seed in range(300):
        proxy = SimulatedProxy(10, seed=seed, live_weights=True)
        weigh(proxy, dict.fromkeys(range(1, 10), 0.0))
        proxy.now += 5.0
        weigh(proxy, dict.fromkeys(range(1, 10), 9.0))
        cold = EndpointEntry(10, Stage.READY, weight=4.0, started_at=proxy.now)
        proxy.play(WatchEvent(WatchEventKind.DELTA, (cold,)))
        proxy.play(
            WatchEvent(WatchEventKind.DELTA, (EndpointEntry(9, Stage.READY, weight=4.0),))
        )  # as empty, and warm
        granted = 10 in proxy.balancer.token_counts()  # by chance
        (send,) = sends(proxy.request(group=7))
        used += send.server_id == 10
        assert (send.server_id == 10) is granted
    assert used >= 10


def test_the_mean_life_is_learnt_from_own_connections() -> None:
    budget = SlowStartBudget(BASE, random.Random(1), 0.0)
    assert budget.mean_lifetime(0.0) == ASSUMED_LIFETIME_S
    for number in range(30):
        budget.connection_established(float(number))
    for number in range(30):
        budget.connection_closed(20.0 + number, completed=True)
    assert 20.0 < budget.mean_lifetime(50.0) < 25.0


def test_the_settings_say_whether_weights_are_live() -> None:
    assert parse_settings(json.dumps(SETTINGS | {"weightSource": "live"})).live_weights
    assert not parse_settings(json.dumps(SETTINGS | {"weightSource": "nominal"})).live_weights
