"""Probes: when the module asks, what it makes of the answers, and how they travel."""

from __future__ import annotations

from itertools import pairwise

from ironmill.gateway import Gateway
from ironmill.net.probe import ProbeDriver
from ironmill.net.sockets import Stream
from ironmill.protocol.issuer_host import ProbeSide, Report
from ironmill.routing_table import IssuerHost
from stonegap.balance import PROBE_OVER
from stonegap.interface import Move, Outcome, Probe, Probed, Request, TimerFired
from stonegap.wirehost import PARSERS, format_action
from tests.helpers import Relay, sends
from tests.test_gateway import FakeHolder, FakeTimers, config, timers
from tests.test_net import Town, read_line

__all__ = ["timers"]


def asked(relay: Relay, span: float) -> list[int]:
    return [action.backend for action in relay.run(relay.now + span) if isinstance(action, Probe)]


def test_backends_in_use_are_asked_in_turn_and_only_where_no_note_tells() -> None:
    relay = Relay(3, probes=True, tells_delay=False)
    used = [send.backend for _ in range(2) for send in sends(relay.request())]
    assert len(set(used)) == 2
    order = asked(relay, 6.0)
    assert set(order) == set(used)
    assert all(one != other for one, other in pairwise(order))
    for changes in ({"probes": True}, {"tells_delay": False}):
        relay = Relay(3, **changes)
        relay.request()
        assert asked(relay, 6.0) == []


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
    gateway, hosts = Gateway(config(), timers), list[IssuerHost]()

    class FakeProber:
        def probe(self, host: IssuerHost) -> None:
            hosts.append(host)
            gateway.probed(host, Outcome.OK, (("x0", 0.2),))

    gateway.prober = FakeProber()
    gateway._order(Probe(2))
    assert [host.number for host in hosts] == [2]
    assert gateway.counts["probe OK"] == 1
    holder = FakeHolder()
    gateway.authorise(holder, "read", 1.0, gateway.now())
    assert len(holder.legs) == 1


def test_answers_are_read_whole_and_bounded() -> None:
    side = ProbeSide()
    assert side.receive(b"PONG x0=0.5,ep") is None
    assert side.receive(b"s=0\r\n") == (Outcome.OK, (("x0", 0.5), ("eps", 0.0)))
    assert ProbeSide().receive(b"NO\r\n") == (Outcome.ERROR, ())
    assert ProbeSide().receive(b"x" * 5000) == (Outcome.ERROR, ())


def test_one_connection_serves_question_after_question_and_is_made_anew_when_it_broke() -> None:
    told: list[tuple[Outcome, Report]] = []

    def story(town: Town) -> None:
        driver = ProbeDriver(town.scheduler, 0.5, lambda _, outcome, report: told.append((outcome, report)))
        host = town.gateway.issuer_host("s-0")
        assert host is not None

        def ask() -> None:
            driver.probe(host)
            driver.probe(host)  # one question at a time

        ask()
        leg: Stream = town.leg()
        for at in range(2):
            assert read_line(leg) == b"STATS\r\n"
            leg.send(b"PONG x0=%d\r\n" % at)
            town.until(lambda: len(told) == at + 1)  # noqa: B023
            ask()
        assert read_line(leg) == b"STATS\r\n"
        leg.close()
        town.until(lambda: len(told) == 3)
        ask()
        assert read_line(town.leg()) == b"STATS\r\n"

    Town().run(story)
    assert told == [(Outcome.OK, (("x0", 0.0),)), (Outcome.OK, (("x0", 1.0),)), (Outcome.RESET, ())]


def test_probing_goes_on_for_ever_and_stops_nothing_else() -> None:
    relay = Relay(1, probes=True, tells_delay=False)
    relay.play(TimerFired("probe"))
    assert relay.play(Request("q", "read", relay.now + 1.0))
