"""Probes: when the module asks, what it makes of the answers, and how they travel."""

from __future__ import annotations

import math
from itertools import pairwise

from ironmill.balancing.balancer import GROUP_LESS, PROBE_OVER, REPORT_MEMORY, REPORT_SAME
from ironmill.balancing.health import OUT_AFTER
from ironmill.balancing.interface import (
    Entry,
    ListChanged,
    ListKind,
    Move,
    Outcome,
    Probe,
    Probed,
    Request,
    Stage,
    TimerFired,
)
from ironmill.net.health_check import HealthCheckDriver
from ironmill.net.sockets import Stream
from ironmill.protocol.server import HealthCheckProtocol, LoadReport
from ironmill.requests.gateway import Gateway
from ironmill.requests.routing_table import Server
from ironmill.requests.tracked_request import IncomingRequest
from ironmill.simulator.host import PARSERS, format_action
from tests.support.balancing import Relay, sends
from tests.system.test_net import Town, read_line
from tests.unit.requests.test_gateway import FakeTimers, RecordingHandler, config, timers

__all__ = ["timers"]


def asked(relay: Relay, span: float) -> list[int]:
    return [action.backend for action in relay.run(relay.now + span) if isinstance(action, Probe)]


def test_backends_are_asked_in_turn_and_only_where_probes_are_allowed() -> None:
    relay = Relay(3, probes=True)
    order = asked(relay, 6.0)
    assert set(order) == {1, 2, 3}
    assert all(one != other for one, other in pairwise(order))
    assert asked(Relay(3), 6.0) == []


def test_reported_load_counts_beside_the_own_connections() -> None:
    """Guards against a neighbour that takes a machine: the own counts see nothing of it."""
    relay = Relay(3, probes=True)
    for _ in range(6):
        for send in sends(relay.request()):
            relay.stand(send)
    for backend, load in ((1, 0.8), (2, 0.2), (3, 0.2)):
        relay.play(Probed(backend, Outcome.OK, (("x0", load),)))
    (send,) = sends(relay.request())
    counts = relay.balancer.token_counts()
    assert counts.pop(1) == 4  # four sixths of the load that is reported, whatever stands there
    assert counts.pop(send.backend) == 2  # and one placed since
    assert list(counts.values()) == [1]
    relay.run(relay.now + REPORT_MEMORY + 1.0)
    relay.request()
    assert sum(relay.balancer.token_counts().values()) == 8  # old reports count no longer


def test_a_frozen_report_and_one_that_is_no_number_do_not_count() -> None:
    relay = Relay(2, probes=True)
    for _ in range(4):
        for send in sends(relay.request()):
            relay.stand(send)
    live = relay.balancer.live_counts()
    for bad in (math.nan, math.inf, -1.0):
        relay.play(Probed(1, Outcome.OK, (("x0", bad),)))
    assert relay.balancer.token_counts() == live
    for at in range(REPORT_SAME + 1):
        relay.play(Probed(1, Outcome.OK, (("x0", 0.1),)))
        relay.play(Probed(2, Outcome.OK, (("x0", 0.5 + at / 100.0),)))
    assert relay.balancer.token_counts()[1] == live[1]


def test_the_gate_goes_by_reports_and_not_by_one_slow_set_up() -> None:
    relay = Relay(4, probes=True)
    for send in [send for _ in range(8) for send in sends(relay.request())]:
        relay.stand(send, delay=0.4)
    for backend in (1, 2, 3, 4):
        relay.play(Probed(backend, Outcome.OK, (("x0", 0.4),)))
    relay.run(relay.now + 1.0)
    assert all(sends(relay.request()) for _ in range(10))
    relay.play(Probed(1, Outcome.OK, (("x0", 1.4),)))
    relay.run(relay.now + 1.0)
    assert all(sends(relay.request()) for _ in range(10))  # one is a matter of health
    relay.play(Probed(2, Outcome.OK, (("x0", 0.92),)))
    for backend in (3, 4):
        relay.play(Probed(backend, Outcome.OK, (("x0", 0.15),)))
    relay.run(relay.now + 1.0)
    assert all(sends(relay.request()) for _ in range(10))  # the others stand half idle
    for backend in (3, 4):
        relay.play(Probed(backend, Outcome.OK, (("x0", 0.8),)))
    relay.run(relay.now + 1.0)
    assert not all(sends(relay.request()) for _ in range(20))


def test_the_crowd_at_the_start_is_no_ordinary_rate() -> None:
    """Guards a cold backend against being granted what a crowd took at the relay's start."""
    relay = Relay(4)
    for _ in range(200):
        relay.request()
    relay.run(relay.now + 6.0)
    relay.play(ListChanged(ListKind.DELTA, (Entry(9, Stage.READY, started_at=relay.now),)))
    got = [send.backend for _ in range(40) for send in sends(relay.request())]
    assert got.count(9) <= 2


def test_groups_keep_to_the_same_backends_at_every_relay() -> None:
    """Each backend that holds any of a group pays for the group once."""
    used: dict[int, set[int]] = {77: set(), 78: set(), 79: set()}
    for seed in (1, 2):
        relay = Relay(8, seed=seed)
        for at in range(3 * (GROUP_LESS - 2)):
            group = 77 + at % 3
            for send in sends(relay.request(group=group)):
                relay.stand(send)
                used[group].add(send.backend)
    assert all(len(backends) <= 3 for backends in used.values())


def test_a_group_leaves_a_backend_that_has_far_more_than_the_others() -> None:
    relay = Relay(4)
    for _ in range(6 * GROUP_LESS):
        for send in sends(relay.request(group=77)):
            relay.stand(send)
    counts = sorted(relay.balancer.live_counts().values())
    assert counts[1] > GROUP_LESS  # three of the four share it
    assert counts[-1] < 3 * GROUP_LESS


def test_an_ended_connection_no_longer_holds_its_group() -> None:
    relay = Relay(4)
    (send,) = sends(relay.request(group=77))
    relay.stand(send)
    assert relay.balancer._groups == {77: {send.backend: 1}}
    relay.end(send, Outcome.OK, final=True)
    assert relay.balancer._groups == {}


def test_what_came_mid_flow_goes_where_its_group_stands() -> None:
    relay = Relay(8)
    (send,) = sends(relay.request(group=77))
    relay.stand(send)
    (again,) = sends(relay.request(group=77, rerouted=True))
    assert again.backend == send.backend


def test_a_backend_that_fails_at_once_is_left_out_and_tried_by_one() -> None:
    relay = Relay(4)
    failed = 0
    for _ in range(60):
        for send in sends(relay.request()):
            if send.backend == 1:
                relay.end(send, Outcome.ERROR)
                failed += 1
            else:
                relay.stand(send)
        relay.run(relay.now + 0.05)
    assert failed <= OUT_AFTER + 3
    relay.run(relay.now + 20.0)
    tries = [send for _ in range(30) for send in sends(relay.request()) if send.backend == 1]
    assert len(tries) == 1
    relay.stand(tries[0])
    assert any(send.backend == 1 for _ in range(30) for send in sends(relay.request()))


def test_where_most_fail_none_is_left_out() -> None:
    relay = Relay(2)
    for _ in range(12):
        for send in sends(relay.request(wait=0.05)):
            relay.end(send, Outcome.CONNECT_FAILED)
    assert sends(relay.request())


def test_a_backend_that_is_over_wins_no_tokens_and_loses_a_connection() -> None:
    relay = Relay(4, probes=True, tells_delay=False)
    out = [send for _ in range(4) for send in sends(relay.request())]
    for send in out:
        relay.stand(send)
    bad, good = out[0].backend, out[1].backend
    before = relay.balancer.token_counts()
    assert relay.play(Probed(good, Outcome.OK, (("x0", PROBE_OVER - 0.1),))) == []
    assert relay.play(Probed(good, Outcome.TIMEOUT)) == []
    assert relay.play(Probed(99, Outcome.OK, (("x0", 5.0),))) == []
    (action,) = relay.play(Probed(bad, Outcome.OK, (("x0", 1.5),)))
    assert isinstance(action, Move)
    after = relay.balancer.token_counts()
    assert after[bad] > before[bad]
    assert after[good] == before[good]


def test_the_simulators_wire_has_them() -> None:
    assert format_action("3", Probe(5)) == "PROBE\trelay=3\tbackend=5"
    fields = {"backend": "5", "outcome": "pass", "delaySeenS": "0.01", "telemetry": "x0:0.5,queue:2"}
    assert PARSERS["STATUS_BACK"](fields) == Probed(5, Outcome.OK, (("x0", 0.5), ("queue", 2.0)))


def test_the_gateway_carries_them(timers: FakeTimers) -> None:
    gateway, hosts = Gateway(config(), timers), list[Server]()

    class FakeProber:
        def check(self, host: Server) -> None:
            hosts.append(host)
            gateway.on_health_check(host, Outcome.OK, (("x0", 0.2),))

    gateway.use_health_checker(FakeProber())
    number = gateway._servers.by_uid("s-2").number  # type: ignore[union-attr]
    gateway._executor.execute(Probe(number))
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
    relay = Relay(1, probes=True, tells_delay=False)
    relay.play(TimerFired("probe"))
    assert relay.play(Request("q", "read", relay.now + 1.0))
