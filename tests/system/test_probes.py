"""Probes: when the module asks, what it makes of the answers, and how they travel."""

from __future__ import annotations

import math
from itertools import pairwise

from ironmill.balancing.circuit_breaker import EJECT_AFTER_FAILURES
from ironmill.balancing.health_checks import STALE_AFTER_IDENTICAL_REPORTS
from ironmill.balancing.interface import (
    CheckHealth,
    EndpointEntry,
    HealthChecked,
    Migrate,
    Outcome,
    Request,
    Stage,
    TimerFired,
    WatchEvent,
    WatchEventKind,
)
from ironmill.balancing.load_shedding import OVERLOADED_LOAD
from ironmill.balancing.placement import GROUP_DISCOUNT
from ironmill.balancing.server_state import REPORT_LIFETIME_S
from ironmill.net.health_check import HealthCheckDriver
from ironmill.net.sockets import Stream
from ironmill.protocol.server import HealthCheckProtocol, LoadReport
from ironmill.requests.gateway import Gateway
from ironmill.requests.routing_table import Server
from ironmill.requests.tracked_request import IncomingRequest
from ironmill.simulator.host import PARSERS, format_action
from tests.support.balancing import SimulatedProxy, sends
from tests.system.test_net import Town, read_line
from tests.unit.requests.test_gateway import FakeTimers, RecordingHandler, config, timers

__all__ = ["timers"]


def asked(proxy: SimulatedProxy, span: float) -> list[int]:
    return [action.server_id for action in proxy.run(proxy.now + span) if isinstance(action, CheckHealth)]


def test_servers_are_asked_in_turn_and_only_where_probes_are_allowed() -> None:
    proxy = SimulatedProxy(3, health_checks=True)
    order = asked(proxy, 6.0)
    assert set(order) == {1, 2, 3}
    assert all(one != other for one, other in pairwise(order))
    assert asked(SimulatedProxy(3), 6.0) == []


def test_reported_load_counts_beside_the_own_connections() -> None:
    """Guards against a neighbour that takes a machine: the own counts see nothing of it."""
    proxy = SimulatedProxy(3, health_checks=True)
    for _ in range(6):
        for send in sends(proxy.request()):
            proxy.stand(send)
    for server, load in ((1, 0.8), (2, 0.2), (3, 0.2)):
        proxy.play(HealthChecked(server, Outcome.OK, (("x0", load),)))
    (send,) = sends(proxy.request())
    counts = proxy.balancer.token_counts()
    assert counts.pop(1) == 4  # four sixths of the load that is reported, whatever stands there
    assert counts.pop(send.server_id) == 2  # and one placed since
    assert list(counts.values()) == [1]
    proxy.run(proxy.now + REPORT_LIFETIME_S + 1.0)
    proxy.request()
    assert sum(proxy.balancer.token_counts().values()) == 8  # old reports count no longer


def test_a_frozen_report_and_one_that_is_no_number_do_not_count() -> None:
    proxy = SimulatedProxy(2, health_checks=True)
    for _ in range(4):
        for send in sends(proxy.request()):
            proxy.stand(send)
    live = proxy.balancer.connection_counts()
    for bad in (math.nan, math.inf, -1.0):
        proxy.play(HealthChecked(1, Outcome.OK, (("x0", bad),)))
    assert proxy.balancer.token_counts() == live
    for at in range(STALE_AFTER_IDENTICAL_REPORTS + 1):
        proxy.play(HealthChecked(1, Outcome.OK, (("x0", 0.1),)))
        proxy.play(HealthChecked(2, Outcome.OK, (("x0", 0.5 + at / 100.0),)))
    assert proxy.balancer.token_counts()[1] == live[1]


def test_the_gate_goes_by_reports_and_not_by_one_slow_set_up() -> None:
    proxy = SimulatedProxy(4, health_checks=True)
    for send in [send for _ in range(8) for send in sends(proxy.request())]:
        proxy.stand(send, delay=0.4)
    for server in (1, 2, 3, 4):
        proxy.play(HealthChecked(server, Outcome.OK, (("x0", 0.4),)))
    proxy.run(proxy.now + 1.0)
    assert all(sends(proxy.request()) for _ in range(10))
    proxy.play(HealthChecked(1, Outcome.OK, (("x0", 1.4),)))
    proxy.run(proxy.now + 1.0)
    assert all(sends(proxy.request()) for _ in range(10))  # one is a matter of health
    proxy.play(HealthChecked(2, Outcome.OK, (("x0", 0.92),)))
    for server in (3, 4):
        proxy.play(HealthChecked(server, Outcome.OK, (("x0", 0.15),)))
    proxy.run(proxy.now + 1.0)
    assert all(sends(proxy.request()) for _ in range(10))  # the others stand half idle
    for server in (3, 4):
        proxy.play(HealthChecked(server, Outcome.OK, (("x0", 0.8),)))
    proxy.run(proxy.now + 1.0)
    assert not all(sends(proxy.request()) for _ in range(20))


def test_the_crowd_at_the_start_is_no_ordinary_rate() -> None:
    """Guards a cold server against being granted what a crowd took at the proxy's start."""
    proxy = SimulatedProxy(4)
    for _ in range(200):
        proxy.request()
    proxy.run(proxy.now + 6.0)
    proxy.play(WatchEvent(WatchEventKind.DELTA, (EndpointEntry(9, Stage.READY, started_at=proxy.now),)))
    got = [send.server_id for _ in range(40) for send in sends(proxy.request())]
    assert got.count(9) <= 2


def test_groups_keep_to_the_same_servers_at_every_proxy() -> None:
    """Each server that holds any of a group pays for the group once."""
    used: dict[int, set[int]] = {77: set(), 78: set(), 79: set()}
    for seed in (1, 2):
        proxy = SimulatedProxy(8, seed=seed)
        for at in range(3 * (GROUP_DISCOUNT - 2)):
            group = 77 + at % 3
            for send in sends(proxy.request(group=group)):
                proxy.stand(send)
                used[group].add(send.server_id)
    assert all(len(servers) <= 3 for servers in used.values())


def test_a_group_leaves_a_server_that_has_far_more_than_the_others() -> None:
    proxy = SimulatedProxy(4)
    for _ in range(6 * GROUP_DISCOUNT):
        for send in sends(proxy.request(group=77)):
            proxy.stand(send)
    counts = sorted(proxy.balancer.connection_counts().values())
    assert counts[1] > GROUP_DISCOUNT  # three of the four share it
    assert counts[-1] < 3 * GROUP_DISCOUNT


def test_an_ended_connection_no_longer_holds_its_group() -> None:
    proxy = SimulatedProxy(4)
    (send,) = sends(proxy.request(group=77))
    proxy.stand(send)
    assert proxy.balancer._connections.groups.by_group == {77: {send.server_id: 1}}
    proxy.end(send, Outcome.OK, final=True)
    assert proxy.balancer._connections.groups.by_group == {}


def test_what_came_mid_flow_goes_where_its_group_stands() -> None:
    proxy = SimulatedProxy(8)
    (send,) = sends(proxy.request(group=77))
    proxy.stand(send)
    (again,) = sends(proxy.request(group=77, rerouted=True))
    assert again.server_id == send.server_id


def test_a_server_that_fails_at_once_is_left_out_and_tried_by_one() -> None:
    proxy = SimulatedProxy(4)
    failed = 0
    for _ in range(60):
        for send in sends(proxy.request()):
            if send.server_id == 1:
                proxy.end(send, Outcome.ERROR)
                failed += 1
            else:
                proxy.stand(send)
        proxy.run(proxy.now + 0.05)
    assert failed <= EJECT_AFTER_FAILURES + 3
    proxy.run(proxy.now + 20.0)
    tries = [send for _ in range(30) for send in sends(proxy.request()) if send.server_id == 1]
    assert len(tries) == 1
    proxy.stand(tries[0])
    assert any(send.server_id == 1 for _ in range(30) for send in sends(proxy.request()))


def test_where_most_fail_none_is_left_out() -> None:
    proxy = SimulatedProxy(2)
    for _ in range(12):
        for send in sends(proxy.request(wait=0.05)):
            proxy.end(send, Outcome.CONNECT_FAILED)
    assert sends(proxy.request())


def test_a_server_that_is_over_wins_no_tokens_and_loses_a_connection() -> None:
    proxy = SimulatedProxy(4, health_checks=True, reports_delay=False)
    out = [send for _ in range(4) for send in sends(proxy.request())]
    for send in out:
        proxy.stand(send)
    bad, good = out[0].server_id, out[1].server_id
    before = proxy.balancer.token_counts()
    assert proxy.play(HealthChecked(good, Outcome.OK, (("x0", OVERLOADED_LOAD - 0.1),))) == []
    assert proxy.play(HealthChecked(good, Outcome.TIMEOUT)) == []
    assert proxy.play(HealthChecked(99, Outcome.OK, (("x0", 5.0),))) == []
    (action,) = proxy.play(HealthChecked(bad, Outcome.OK, (("x0", 1.5),)))
    assert isinstance(action, Migrate)
    after = proxy.balancer.token_counts()
    assert after[bad] > before[bad]
    assert after[good] == before[good]


def test_the_simulators_wire_has_them() -> None:
    assert format_action("3", CheckHealth(5)) == "PROBE\trelay=3\tbackend=5"
    fields = {"backend": "5", "outcome": "pass", "delaySeenS": "0.01", "telemetry": "x0:0.5,queue:2"}
    assert PARSERS["STATUS_BACK"](fields) == HealthChecked(5, Outcome.OK, (("x0", 0.5), ("queue", 2.0)))


def test_the_gateway_carries_them(timers: FakeTimers) -> None:
    gateway, hosts = Gateway(config(), timers), list[Server]()

    class FakeHealthChecker:
        def check(self, host: Server) -> None:
            hosts.append(host)
            gateway.on_health_check(host, Outcome.OK, (("x0", 0.2),))

    gateway.use_health_checker(FakeHealthChecker())
    number = gateway._servers.by_uid("s-2").number  # type: ignore[union-attr]
    gateway._executor.execute(CheckHealth(number))
    assert [host.number for host in hosts] == [number]
    assert gateway.counts["health check OK"] == 1
    handler = RecordingHandler()
    gateway.open_request(handler, IncomingRequest("read", gateway.now(), 1.0))
    assert len(handler.attempts) == 1


def test_answers_are_read_whole_and_bounded() -> None:
    side = HealthCheckProtocol()
    assert side.receive(b"PONG x0=0.5,ep") is None
    assert side.receive(b"s=0\r\n") == (Outcome.OK, (("x0", 0.5), ("eps", 0.0)))
    assert HealthCheckProtocol().receive(b"NO\r\n") == (Outcome.ERROR, ())
    assert HealthCheckProtocol().receive(b"x" * 5000) == (Outcome.ERROR, ())


def test_one_connection_serves_question_after_question_and_is_made_anew_when_it_broke() -> None:
    told: list[tuple[Outcome, LoadReport]] = []

    def story(town: Town) -> None:
        driver = HealthCheckDriver(
            town.scheduler, 0.5, lambda _, outcome, report: told.append((outcome, report))
        )
        host = town.gateway.server("s-0")
        assert host is not None

        def ask() -> None:
            driver.check(host)
            driver.check(host)  # one question at a time

        ask()
        attempt: Stream = town.attempt()
        for at in range(2):
            assert read_line(attempt) == b"STATS\r\n"
            attempt.send(b"PONG x0=%d\r\n" % at)
            town.until(lambda: len(told) == at + 1)  # noqa: B023
            ask()
        assert read_line(attempt) == b"STATS\r\n"
        attempt.close()
        town.until(lambda: len(told) == 3)
        ask()
        assert read_line(town.attempt()) == b"STATS\r\n"

    Town().run(story)
    assert told == [(Outcome.OK, (("x0", 0.0),)), (Outcome.OK, (("x0", 1.0),)), (Outcome.RESET, ())]


def test_probing_goes_on_for_ever_and_stops_nothing_else() -> None:
    proxy = SimulatedProxy(1, health_checks=True, reports_delay=False)
    proxy.play(TimerFired("probe"))
    assert proxy.play(Request("q", "read", proxy.now + 1.0))
