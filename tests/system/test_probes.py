"""Health checks: how the gateway and their driver carry them out."""

from __future__ import annotations

from ironmill.balancing.interface import (
    CheckHealth,
    Outcome,
)
from ironmill.net.health_check import HealthCheckDriver
from ironmill.net.sockets import Stream
from ironmill.protocol.server import HealthCheckProtocol, LoadReport
from ironmill.requests.client_request import IncomingRequest
from ironmill.requests.gateway import Gateway
from ironmill.requests.routing_table import Server
from tests.support.proxy_under_test import ProxyUnderTest, read_line
from tests.support.requests import FakeTimers, RecordingHandler, config


def test_gateway_carries_out_health_checks(timers: FakeTimers) -> None:
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


def test_health_check_replies_are_complete_and_bounded() -> None:
    side = HealthCheckProtocol()
    assert side.receive(b"PONG x0=0.5,ep") is None
    assert side.receive(b"s=0\r\n") == (Outcome.OK, (("x0", 0.5), ("eps", 0.0)))
    assert HealthCheckProtocol().receive(b"NO\r\n") == (Outcome.ERROR, ())
    assert HealthCheckProtocol().receive(b"x" * 5000) == (Outcome.ERROR, ())


def test_health_checks_reuse_a_connection_and_replace_a_broken_one() -> None:
    received: list[tuple[Outcome, LoadReport]] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        driver = HealthCheckDriver(
            proxy.scheduler, 0.5, lambda _, outcome, report: received.append((outcome, report))
        )
        host = proxy.gateway.server("s-0")
        assert host is not None

        def ask() -> None:
            driver.check(host)
            driver.check(host)  # one question at a time

        ask()
        attempt: Stream = proxy.next_attempt()
        for at in range(2):
            assert read_line(attempt) == b"STATS\r\n"
            attempt.send(b"PONG x0=%d\r\n" % at)
            proxy.wait_until(lambda: len(received) == at + 1)  # noqa: B023
            ask()
        assert read_line(attempt) == b"STATS\r\n"
        attempt.close()
        proxy.wait_until(lambda: len(received) == 3)
        ask()
        assert read_line(proxy.next_attempt()) == b"STATS\r\n"

    ProxyUnderTest().run(scenario)
    assert received == [(Outcome.OK, (("x0", 0.0),)), (Outcome.OK, (("x0", 1.0),)), (Outcome.RESET, ())]
