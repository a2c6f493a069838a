"""Tests of health checks: the gateway, the reply protocol and the reuse of connections."""

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
    gateway, checked_servers = Gateway(config(), timers), list[Server]()

    class FakeHealthChecker:
        def check(self, server: Server) -> None:
            checked_servers.append(server)
            gateway.on_health_check(server, Outcome.OK, (("x0", 0.2),))

    gateway.use_health_checker(FakeHealthChecker())
    number = gateway._servers.by_uid("s-2").number  # type: ignore[union-attr]
    gateway._executor.execute(CheckHealth(number))
    assert [server.number for server in checked_servers] == [number]
    assert gateway.counts["health check OK"] == 1
    handler = RecordingHandler()
    gateway.open_request(handler, IncomingRequest("read", gateway.now(), 1.0))
    assert len(handler.attempts) == 1


def test_health_check_replies_are_complete_and_bounded() -> None:
    protocol = HealthCheckProtocol()
    assert protocol.receive(b"PONG x0=0.5,ep") is None
    assert protocol.receive(b"s=0\r\n") == (Outcome.OK, (("x0", 0.5), ("eps", 0.0)))
    assert HealthCheckProtocol().receive(b"NO\r\n") == (Outcome.ERROR, ())
    assert HealthCheckProtocol().receive(b"x" * 5000) == (Outcome.ERROR, ())


def test_health_checks_reuse_a_connection_and_replace_a_broken_one() -> None:
    results: list[tuple[Outcome, LoadReport]] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        driver = HealthCheckDriver(
            proxy.scheduler, 0.5, lambda _, outcome, report: results.append((outcome, report))
        )
        server = proxy.gateway.server("s-0")
        assert server is not None

        def check_twice() -> None:
            driver.check(server)
            driver.check(server)  # ignored while the first check is running

        check_twice()
        connection: Stream = proxy.next_attempt()
        for check_index in range(2):
            assert read_line(connection) == b"STATS\r\n"
            connection.send(b"PONG x0=%d\r\n" % check_index)
            proxy.wait_until(lambda: len(results) == check_index + 1)  # noqa: B023
            check_twice()
        assert read_line(connection) == b"STATS\r\n"
        connection.close()
        proxy.wait_until(lambda: len(results) == 3)
        check_twice()
        assert read_line(proxy.next_attempt()) == b"STATS\r\n"

    ProxyUnderTest().run(scenario)
    assert results == [(Outcome.OK, (("x0", 0.0),)), (Outcome.OK, (("x0", 1.0),)), (Outcome.RESET, ())]
