"""Tests of connections from before the start on loopback sockets: lost answers, repeats and their limits."""

from __future__ import annotations

import re

import pytest

from ironmill.balancing.interface import Stage
from ironmill.net.clients import attempts as attempts_module
from ironmill.net.sockets import Stream
from ironmill.protocol.discovery import EndpointUpdate, ListedServer
from ironmill.requests.connection_limiter import ConnectionSlot
from tests.support.clients import DEADLINES_S, connect_instantly
from tests.support.proxy_under_test import ProxyUnderTest, read_line

RESUME = b"OPEN 1a 2b c=read,d=4294967,at=s-0\r\n"
UP = b"UP r1\r\n"
SHORT_TIMEOUT_S = 8.4  # the first of three attempts gets 0.4 s of it


@pytest.fixture
def short_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shortens the time in which a connection may be resumed."""
    monkeypatch.setattr(attempts_module, "RESUME_TIMEOUT_S", SHORT_TIMEOUT_S)


def assert_established(client: Stream, attempt: Stream) -> None:
    """Answers the attempt and checks that the client gets the answer."""
    attempt.send(UP)
    assert read_line(client) == UP


def test_resume_is_repeated_after_a_lost_answer() -> None:
    """Guards against one lost answer that takes all the time in which a connection may be resumed."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(RESUME)
        silent = proxy.next_attempt()
        read_line(silent)
        repeat = proxy.next_attempt()
        assert silent.receive(0.0) == b""  # closed first, so that the two never overlap
        read_line(repeat)
        assert_established(client, repeat)
        assert not proxy.gateway.resuming
        assert proxy.gateway.counts == {"resume attempt TIMEOUT": 1, "resumed": 1}

    ProxyUnderTest().run(scenario)


@pytest.mark.usefixtures("short_timeout")
def test_resume_is_repeated_after_half_an_answer() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(RESUME)
        silent = proxy.next_attempt()
        read_line(silent)
        silent.send(b"UP r")
        repeat = proxy.next_attempt()
        read_line(repeat)
        assert_established(client, repeat)

    ProxyUnderTest().run(scenario)


@pytest.mark.usefixtures("short_timeout")
def test_resume_follows_a_server_to_its_new_address() -> None:
    """Guards against a wait at an address that the server has left."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(RESUME)
        silent = proxy.next_attempt()
        read_line(silent)
        moved = ListedServer("s-0", *proxy.listeners[1].address, Stage.READY, "a", 0, 1.0, 0.0)
        proxy.gateway.on_endpoints(EndpointUpdate(2, False, (moved,)))
        proxy.listeners[0].close()
        repeat = proxy.next_attempt()
        assert repeat._sock.getsockname() == proxy.listeners[1].address
        read_line(repeat)
        assert_established(client, repeat)
        del proxy.listeners[0]

    ProxyUnderTest(2).run(scenario)


@pytest.mark.usefixtures("short_timeout")
@pytest.mark.parametrize("answer", [b"", b"ERR\r\n", b"BUSY\r\n"])
def test_resume_costs_its_server_at_most_three_lines(answer: bytes) -> None:
    """Guards against a line each quarter of a second to a server that fails or that is full."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(RESUME)
        for _ in range(3):
            attempt = proxy.next_attempt()
            read_line(attempt)
            if answer:
                attempt.send(answer)
            else:
                attempt.abort()
        assert read_line(client) == b"ERR\r\n"  # at once, and not when the time is over
        assert not proxy.arrived
        assert proxy.gateway.metrics.attempts == 3

    ProxyUnderTest().run(scenario)


def test_resume_that_may_have_run_is_not_repeated_unless_idempotent() -> None:
    """Guards against a second effect of a line whose connection was reset."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(RESUME.replace(b"c=read", b"c=order"))
        attempt = proxy.next_attempt()
        read_line(attempt)
        attempt.abort()
        assert read_line(client) == b"ERR\r\n"
        assert not proxy.arrived

    ProxyUnderTest(default_deadlines_s=DEADLINES_S).run(scenario)


def test_resume_that_never_ran_is_repeated_for_every_class() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(RESUME.replace(b"c=read", b"c=order"))
        attempt = proxy.next_attempt()
        read_line(attempt)
        attempt.send(b"BUSY\r\n")
        repeat = proxy.next_attempt()
        read_line(repeat)
        assert_established(client, repeat)

    ProxyUnderTest(default_deadlines_s=DEADLINES_S).run(scenario)


@pytest.mark.usefixtures("short_timeout")
def test_resume_is_not_repeated_for_a_client_that_left_during_the_wait() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(RESUME)
        silent = proxy.next_attempt()
        read_line(silent)
        client.close()
        assert silent.receive(5.0) == b""
        proxy.scheduler.sleep(1.0)  # the second attempt would have started after 0.65 s
        assert not proxy.arrived
        assert not proxy.gateway.resuming

    ProxyUnderTest().run(scenario)


def test_resume_tells_the_server_how_long_it_waits() -> None:
    """Guards against a server that works for a client long after the proxy has given the attempt up."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(RESUME)
        for most_ms in (2_000, 8_000):
            line = read_line(proxy.next_attempt())
            match = re.fullmatch(rb"OPEN 1a 2b c=read,d=([0-9]+),at=s-0\r\n", line)
            assert match is not None
            assert 0 < int(match[1]) < most_ms
        client.close()

    ProxyUnderTest().run(scenario)


def test_resume_at_a_restarted_server_keeps_its_slow_start() -> None:
    """Guards against all connections of a server that restarts within the wait at its first moment."""

    def scenario(proxy: ProxyUnderTest) -> None:
        servers = connect_instantly(proxy)
        clients = [proxy.client(RESUME.replace(b"1a", b"%d" % number)) for number in range(10)]
        proxy.wait_until(lambda: len(servers) == len(clients))
        host, port = proxy.listeners[0].address
        restarted = ListedServer("s-0", host, port, Stage.READY, "a", 0, 1.0, proxy.gateway.now() + 0.01)
        proxy.scheduler.sleep(0.02)
        proxy.gateway.on_endpoints(EndpointUpdate(2, False, (restarted,)))
        for server in servers[:]:
            server.abort()
        proxy.scheduler.sleep(1.0)
        assert len(servers) - len(clients) <= 3  # the tolerance of the rule, without any capacity

    ProxyUnderTest().run(scenario)


def test_resume_at_a_draining_server_is_moved() -> None:
    """Guards against clients that come back to a server which drains already, and are not told to move."""

    def scenario(proxy: ProxyUnderTest) -> None:
        draining = ListedServer("s-0", *proxy.listeners[0].address, Stage.DRAINING, "a", 0, 1.0, 0.0)
        proxy.gateway.on_endpoints(EndpointUpdate(2, False, (draining,)))
        clients, attempts = [], []
        for number in range(5):
            clients.append(proxy.client(RESUME.replace(b"1a", b"%d" % number)))
            attempts.append(proxy.next_attempt())
            read_line(attempts[-1])
            assert_established(clients[-1], attempts[-1])
        for client in clients:
            assert read_line(client) == b"MOVE\r\n"

    ProxyUnderTest().run(scenario)


def test_resume_that_arrives_with_the_final_answers_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a connection that a shutdown does not answer, as its task has not begun by then."""

    def scenario(proxy: ProxyUnderTest) -> None:
        claim_id = proxy.connection_limiter.claim_id

        def claim_and_resolve(slot: ConnectionSlot, client_id: str) -> bool:
            proxy.scheduler.spawn(proxy.gateway.resolve_all)  # runs before the task of the connection
            return claim_id(slot, client_id)

        monkeypatch.setattr(proxy.connection_limiter, "claim_id", claim_and_resolve)
        client = proxy.client(RESUME)
        assert read_line(client) == b"ERR\r\n"
        assert not proxy.gateway.resuming

    ProxyUnderTest().run(scenario)
