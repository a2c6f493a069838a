"""Cold servers stay within their budget; symptoms keep new connections away for a while."""

from __future__ import annotations

from ironmill.balancing.fault_penalty import PENALTY_HALF_LIFE_S
from ironmill.balancing.interface import (
    ConnectionSample,
    Costs,
    EndpointEntry,
    Migrate,
    Outcome,
    SampleKind,
    Stage,
    WatchEvent,
    WatchEventKind,
)
from ironmill.balancing.slow_start import BUDGET_SAFETY_FACTOR
from tests.support.balancing import SAFE, SimulatedProxy, entries, sends


def ordinary(proxy: SimulatedProxy, rate: float, span: float) -> None:
    """Ordinary traffic; each connection ends after a second."""
    for _ in range(int(rate * span)):
        proxy.now += 1.0 / rate
        actions = proxy.request()
        for send in sends(actions):
            proxy.stand(send)
            proxy.end(send, Outcome.OK, final=True)
    proxy.actions.clear()


def test_reconnect_burst_of_all_proxies_keeps_cold_servers_within_their_budget() -> None:
    """Many proxies, each with well under one connection a server, act alike on a mostly cold fleet."""
    proxies = [SimulatedProxy(10, seed=number) for number in range(100)]
    window, multiple, cold_from = 2.0, 3.0, 0.3
    for proxy in proxies:
        ordinary(proxy, 1.0, 40.0)
        cold = tuple(EndpointEntry(server, Stage.READY, started_at=proxy.now) for server in range(1, 8))
        proxy.play(WatchEvent(WatchEventKind.DELTA, cold))
        for _ in range(5):  # each proxy's clients all come again within a moment
            proxy.now += 0.1
            proxy.request(returning=True)
    took = [
        sum(send.server_id == server for proxy in proxies for send in sends(proxy.actions))
        for server in range(1, 11)
    ]
    assert sum(took) == 500
    warm_rate = 100 * 1.0 / 10  # what a warm server takes a second in ordinary times: surely within it
    budget = multiple * cold_from * warm_rate * window
    assert all(count <= budget for count in took[:7])
    assert sum(took[:7]) > 0.2 * BUDGET_SAFETY_FACTOR * 7 * budget, "the budget is there to be used"


def test_cold_server_does_not_win_every_draw() -> None:
    proxy = SimulatedProxy(5)
    for _ in range(10):
        proxy.request()
    ordinary_sends = len(sends(proxy.actions))
    proxy.play(WatchEvent(WatchEventKind.DELTA, (EndpointEntry(9, Stage.READY, started_at=proxy.now),)))
    for _ in range(10):
        proxy.request()
    assert sum(send.server_id == 9 for send in sends(proxy.actions)[ordinary_sends:]) <= 4


def test_server_is_ready_again_in_full_after_its_warm_up() -> None:
    proxy = SimulatedProxy(3)
    proxy.play(WatchEvent(WatchEventKind.DELTA, (EndpointEntry(9, Stage.READY, started_at=proxy.now),)))
    proxy.run(proxy.now + 9.0)
    proxy.request()
    assert 9 in proxy.balancer.token_counts()


def test_failing_server_gets_no_tokens_until_the_symptom_fades() -> None:
    proxy = SimulatedProxy(6)
    proxy.request()
    bad = sends(proxy.actions)[0]
    proxy.end(bad, Outcome.CONNECT_FAILED)
    proxy.run(proxy.now + 0.3)
    assert proxy.balancer.token_counts()[bad.server_id] >= 3
    for _ in range(4):
        proxy.request()
    assert bad.server_id not in {send.server_id for send in sends(proxy.actions)[1:]}
    proxy.now += 8 * PENALTY_HALF_LIFE_S
    proxy.request()
    assert proxy.balancer.token_counts()[bad.server_id] <= 2


def test_restart_clears_the_old_process_symptoms() -> None:
    proxy = SimulatedProxy(3)
    proxy.request()
    bad = sends(proxy.actions)[0]
    proxy.end(bad, Outcome.CONNECT_FAILED)
    proxy.play(
        WatchEvent(
            WatchEventKind.DELTA, (EndpointEntry(bad.server_id, Stage.READY, started_at=proxy.now - 50.0),)
        )
    )
    proxy.run(proxy.now + 0.3)
    assert proxy.balancer.token_counts()[bad.server_id] <= 2


def slow_notes(proxy: SimulatedProxy, slow: set[int], notes: int) -> int:
    """Plays slow messages on the named servers; returns how many moves came of it."""
    moves = 0
    standing = [send for send in sends(proxy.actions) if send.server_id in slow]
    for _ in range(notes):
        proxy.now += 1.0
        for send in standing:
            actions = proxy.play(
                ConnectionSample(send.request_id, 0, send.server_id, SampleKind.DELAY, 400.0)
            )
            moves += sum(isinstance(action, Migrate) for action in actions)
    return moves


def test_connections_are_moved_off_one_jammed_server_but_not_when_all_are_slow() -> None:
    for slow, moved in (({1}, True), (set(range(1, 9)), False)):
        proxy = SimulatedProxy(8)
        for _ in range(16):
            for send in sends(proxy.request()):
                proxy.stand(send)
        proxy.play(ConnectionSample("r1", 0, 1, SampleKind.DELAY, 1.0))
        if not moved:  # every server shows the symptom before the moves could start
            for send in sends(proxy.actions):
                if send.server_id > 1:
                    proxy.play(ConnectionSample(send.request_id, 0, send.server_id, SampleKind.DELAY, 90.0))
        assert (slow_notes(proxy, slow, 12) > 0) is moved


def test_server_on_an_old_list_that_restarted_is_cold() -> None:
    proxy = SimulatedProxy(3)
    proxy.play(WatchEvent(WatchEventKind.FULL, entries(3, started_at=proxy.now - 1.0)))
    for _ in range(30):
        proxy.request()
    assert len(sends(proxy.actions)) < 20


def test_idle_link_is_used_again_where_handshakes_are_priced() -> None:
    """With far fewer connections than servers, a blind draw opens a new link nearly every time."""
    used = {}
    for price in (0.0, 0.1):
        proxy = SimulatedProxy(30, costs=Costs(handshake=price))
        hits = 0
        for _ in range(40):
            links = {send.server_id for send in sends(proxy.actions)[-1:]}
            proxy.now += 0.5
            send = sends(proxy.request())[0]
            hits += send.server_id in links
            proxy.stand(send)
            proxy.end(send, Outcome.OK, final=True)
        used[price] = hits
    assert used[0.0] < 10
    assert used[0.1] > 20


def test_a_slow_setup_is_a_symptom_and_a_jam_where_no_line_tells_the_delay() -> None:
    """Guards against jams unseen on real sockets, where standing connections bring lines back at once."""
    proxy = SimulatedProxy(2)
    first = sends(proxy.request())[0]
    proxy.stand(first, delay=0.2 * SAFE.message_latency_objective)
    assert proxy.balancer._overload.server_ids == {}
    second = sends(proxy.request())[0]
    proxy.stand(second, delay=0.6 * SAFE.message_latency_objective)
    assert list(proxy.balancer._overload.server_ids) == [second.server_id]
    third = sends(proxy.request())[0]
    proxy.stand(third, delay=5.0 * SAFE.message_latency_objective)
    assert (
        proxy.balancer.token_counts()[third.server_id] > proxy.balancer.connection_counts()[third.server_id]
    )
