"""Ends of established connections whose client reads slowly and goes on sending its lines."""

from __future__ import annotations

import socket

import pytest

from ironmill.net import lingering_close as lingering_close_module
from ironmill.net.clients.connection import ClientConnection
from ironmill.net.sockets import Stream
from tests.support.proxy_under_test import ProxyUnderTest
from tests.support.streams import read_all

SMALL_ARCHIVE_BYTES = 100_000  # more than the buffers to the client hold once they are made small
ARCHIVE_BYTES = 400_000  # fits into the kernel's buffers, so that the proxy has nothing left to write
PAUSE_S = 1.4  # longer than a close that waits for a second


def pause_and_send_line(proxy: ProxyUnderTest, client: Stream) -> None:
    """Lets the client read nothing for a while, then send a line, as it has not seen the end yet."""
    proxy.scheduler.sleep(PAUSE_S)
    client.send(b"line\r\n")
    proxy.scheduler.sleep(0.05)


def test_slow_client_gets_everything_before_the_end_of_its_server() -> None:
    """Guards against a reset, which discards what the client has not read, in place of the end."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        archive = b"z" * ARCHIVE_BYTES + b"\r\nBYE\r\n"
        server.send(archive)
        server.shutdown_write()
        pause_and_send_line(proxy, client)
        assert read_all(client) == archive
        client.close()
        proxy.wait_until(lambda: not proxy.connection_limiter.used())

    ProxyUnderTest().run(scenario)


def test_slow_client_gets_what_the_proxy_still_has_to_write_after_the_end_of_its_server() -> None:
    """Guards against a reset for a client that reads in steps, between which the proxy cannot write."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        (request,) = proxy.gateway.established()
        assert isinstance(request.handler, ClientConnection)
        request.handler.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        server.send(b"z" * SMALL_ARCHIVE_BYTES)
        server.shutdown_write()
        proxy.scheduler.sleep(0.1)
        assert request.handler.is_writing
        data = b""
        while len(data) < SMALL_ARCHIVE_BYTES // 4:
            data += client.receive(5.0)
        proxy.scheduler.sleep(PAUSE_S)
        assert len(data + read_all(client)) == SMALL_ARCHIVE_BYTES
        client.close()
        proxy.wait_until(lambda: not proxy.connection_limiter.used())

    ProxyUnderTest().run(scenario)


def test_slow_client_gets_everything_before_its_move() -> None:
    """Guards against a reset in place of MOVE for a client that has not read all lines before it."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        lines = b"z" * ARCHIVE_BYTES + b"\r\n"
        server.send(lines)
        proxy.scheduler.sleep(0.1)
        (request,) = proxy.gateway.established()
        request.handler.migrate()
        pause_and_send_line(proxy, client)
        assert read_all(client) == lines + b"MOVE\r\n"

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize("sends", [False, True])
def test_client_that_does_not_read_is_closed(monkeypatch: pytest.MonkeyPatch, sends: bool) -> None:
    """Guards against a socket that a client which makes no progress keeps open."""
    monkeypatch.setattr(lingering_close_module, "LINGER_CHECK_INTERVAL_S", 0.02)
    monkeypatch.setattr(lingering_close_module, "LINGER_IDLE_TIMEOUT_S", 0.3)

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        client._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        server.send(b"z" * 60_000 + b"\r\n")
        server.close()
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        for _ in range(100):
            if not proxy.connection_limiter.used():
                return
            if sends:
                client.send(b"line\r\n")
            proxy.scheduler.sleep(0.02)
        raise AssertionError("the connection is still open")

    ProxyUnderTest().run(scenario)


def test_lingering_ends_after_its_time_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a socket that a client keeps open by sending without end."""
    monkeypatch.setattr(lingering_close_module, "LINGER_CHECK_INTERVAL_S", 0.02)
    monkeypatch.setattr(lingering_close_module, "MAX_LINGER_S", 0.2)

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        server.close()
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        for _ in range(100):
            if not proxy.connection_limiter.used():
                return
            client.send(b"line\r\n")
            proxy.scheduler.sleep(0.02)
        raise AssertionError("the connection is still open")

    ProxyUnderTest().run(scenario)
