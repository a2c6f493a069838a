"""Tests of health checks on loopback sockets: stale replies and the descriptors reserved for checks."""

from __future__ import annotations

import errno

import pytest

from ironmill.balancing.interface import (
    Outcome,
)
from ironmill.net import health_check as health_check_module
from ironmill.net.discovery import Discovery, DiscoveryListener
from ironmill.net.health_check import MAX_CONNECTIONS, HealthCheckDriver
from ironmill.net.sockets import Stream, TimedOutError
from tests.support.clients import requested_path
from tests.support.proxy_under_test import ProxyUnderTest, create_backoff, read_line


def health_check_driver(proxy: ProxyUnderTest, results: list[tuple[Outcome, object]]) -> HealthCheckDriver:
    return HealthCheckDriver(
        proxy.scheduler, 0.5, lambda _, outcome, report: results.append((outcome, report))
    )


@pytest.mark.parametrize("between", [b"", b"PONG x0=9\r\n"])
def test_health_check_ignores_bytes_received_between_two_checks(between: bytes) -> None:
    """Guards against failed checks and stale replies after an idle connection closed or received bytes."""
    results: list[tuple[Outcome, object]] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        driver, server = health_check_driver(proxy, results), proxy.gateway.server("s-0")
        assert server is not None
        for _ in range(2):
            driver.check(server)
            attempt = proxy.next_attempt()  # the second one is a new connection
            read_line(attempt)
            attempt.send(b"PONG x0=0.5\r\n")
            proxy.wait_until(lambda: bool(results))
            if between:
                attempt.send(between)
            else:
                attempt.close()
        proxy.wait_until(lambda: len(results) == 2)

    ProxyUnderTest().run(scenario)
    assert results == [(Outcome.OK, (("x0", 0.5),))] * 2


def test_health_checks_stay_within_their_reserved_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(health_check_module, "REPLY_TIMEOUT_S", 60.0)
    results: list[tuple[Outcome, object]] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        driver, connections = health_check_driver(proxy, results), []
        servers = [
            server for index in range(MAX_CONNECTIONS + 3) if (server := proxy.gateway.server(f"s-{index}"))
        ]
        for server in servers:
            driver.check(server)
            connections.append(proxy.next_attempt())
            if len(connections) > 1:
                read_line(connections[-1])
                connections[-1].send(b"PONG x0=0.5\r\n")
                proxy.wait_until(lambda: len(results) == len(connections) - 1)
        assert len(driver._streams) == MAX_CONNECTIONS
        assert read_line(connections[0]) == b"STATS\r\n"  # its check is pending, so it stays open
        assert [stream.is_closed_by_peer() for stream in connections[:5]] == [False, True, True, True, False]
        assert {outcome for outcome, _ in results} == {Outcome.OK}

    ProxyUnderTest(MAX_CONNECTIONS + 3).run(scenario)


def test_descriptor_exhaustion_affects_one_health_check_and_one_discovery_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The failed check must not count against the server, and the discovery watch must continue."""
    results: list[tuple[Outcome, object]] = []
    connect, failures = Stream.connect, list[bool]()

    def connect_after_two_failures(*args: object) -> Stream:
        if len(failures) < 2:
            failures.append(True)
            raise OSError(errno.EMFILE, "too many")
        return connect(*args)  # type: ignore[arg-type]

    def scenario(proxy: ProxyUnderTest) -> None:
        server = proxy.gateway.server("s-0")
        assert server is not None
        monkeypatch.setattr(Stream, "connect", connect_after_two_failures)
        health_check_driver(proxy, results).check(server)
        proxy.wait_until(lambda: bool(results))
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(lambda _: None), create_backoff
        ).start()
        assert requested_path(proxy.next_attempt()) == b"/api/targets"

    ProxyUnderTest().run(scenario)
    assert results == [(Outcome.NOT_SENT, ())]
    assert len(failures) == 2


def test_simultaneous_health_checks_stay_within_their_reserved_descriptors() -> None:
    results: list[tuple[Outcome, object]] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        connecting_ports: list[int] = []

        def dial(address: tuple[str, int], timeout: float) -> Stream:
            connecting_ports.append(address[1])
            proxy.scheduler.sleep(60.0)
            raise TimedOutError

        driver = health_check_driver(proxy, results)
        driver._dial = dial
        for index in range(MAX_CONNECTIONS + 2):
            server = proxy.gateway.server(f"s-{index}")
            assert server is not None
            driver.check(server)
        proxy.wait_until(lambda: len(results) == 2)
        assert len(connecting_ports) == MAX_CONNECTIONS

    ProxyUnderTest(MAX_CONNECTIONS + 2).run(scenario)
    assert results == [(Outcome.NOT_SENT, ())] * 2
