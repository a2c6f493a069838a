"""Attempts at servers on loopback sockets: their order, their retries and their end with the client."""

from __future__ import annotations

from ironmill.balancing.interface import Stage
from ironmill.protocol.discovery import EndpointUpdate, ListedServer
from ironmill.requests.metrics import ClassMetrics
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line


def test_failed_connect_is_retried_and_finally_rejected() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        for listener in proxy.listeners:
            listener.close()
        client = proxy.client(OPEN)
        answer = read_line(client)
        assert answer.startswith(b"BUSY ")
        assert int(answer.split()[1]) > 0
        assert proxy.gateway.counts["attempt CONNECT_FAILED"] >= 2
        proxy.listeners = []

    ProxyUnderTest(2).run(scenario)


def test_next_attempt_starts_after_the_rejected_one_is_closed() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN)
        for answer in (b"BUSY\r\n", b"ERR\r\n"):
            attempt = proxy.next_attempt()
            read_line(attempt)
            attempt.send(answer)
            assert attempt.receive(5.0) == b""  # closed before the next attempt connects
            attempt.close()
        attempt = proxy.next_attempt()
        read_line(attempt)
        attempt.send(b"UP r2\r\n")
        assert read_line(client) == b"UP r2\r\n"

    ProxyUnderTest(3).run(scenario)


def test_client_that_closes_before_up_ends_its_attempt() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        read_line(attempt)
        client.close()
        assert attempt.receive(5.0) == b""
        assert proxy.gateway.counts == {"attempts": 1, "attempt CANCELLED": 1}
        counted = ClassMetrics(received=1, abandoned=1, attempts=1)
        assert proxy.gateway.metrics.classes["read"] == counted

    ProxyUnderTest().run(scenario)


def test_attempt_that_connects_after_the_drain_grace_sends_nothing() -> None:
    """A draining server's grace period applies to the first byte of the request line."""

    def scenario(proxy: ProxyUnderTest) -> None:
        draining = ListedServer("s-0", *proxy.listeners[0].address, Stage.DRAINING, "a", 0, 1.0, 0.0)
        proxy.gateway.may_start = lambda attempt: False  # type: ignore[method-assign]
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        assert attempt.receive(5.0) == b""
        proxy.gateway.on_endpoints(EndpointUpdate(2, False, (draining,)))
        assert read_line(client).startswith(b"BUSY")

    ProxyUnderTest().run(scenario)


def test_connection_open_before_the_start_resumes_at_its_server() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        at = b"OPEN 1a 2b c=read,d=900,at=s-1\r\n"
        client = proxy.client(at)
        for answer in (b"BUSY\r\n", b"UP r9\r\n"):  # the resume is retried until the server answers UP
            attempt = proxy.next_attempt()
            assert read_line(attempt) == at
            attempt.send(answer)
        assert read_line(client) == b"UP r9\r\n"
        (request,) = proxy.gateway.established()
        assert request.attempt is not None
        assert request.attempt.server.uid == "s-1"
        client.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"

    ProxyUnderTest(2).run(scenario)
