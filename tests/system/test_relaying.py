"""Tests of established connections on loopback sockets: relaying in both directions, backpressure, closes."""

from __future__ import annotations

import socket

import pytest

from ironmill.net import sockets as sockets_module
from ironmill.net.clients import connection as connection_module
from ironmill.net.clients import reading as reading_module
from ironmill.net.clients.connection import ClientConnection
from ironmill.net.sockets import READ_BYTES, Stream, TimedOutError
from ironmill.requests.response_delay import DelayMeter
from tests.support.clients import fill_buffers
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line


def test_connection_is_served_and_bytes_are_relayed_unchanged() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(b"PING\r\n")
        assert read_line(client) == b"PONG\r\n"
        client.send(OPEN[:9])
        client.send(OPEN[9:])
        attempt = proxy.next_attempt()
        request_line = read_line(attempt)
        before_deadline, _, from_deadline = request_line.partition(b"d=")
        assert (before_deadline, from_deadline.partition(b",")[2]) == (b"OPEN 1a 2b c=read,", b"g=3c\r\n")
        assert 0 < int(from_deadline.partition(b",")[0]) < 1500
        attempt.send(b"UP r")
        attempt.send(b"1\r\nmore\r\nhal")
        data = client.receive(5.0)
        client.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"
        attempt.send(b"f\r\nBYE\r\n")
        attempt.close_gracefully(1.0)
        while piece := client.receive(5.0):
            data += piece
        assert data == b"UP r1\r\nmore\r\nhalf\r\nBYE\r\n"
        client.close()
        proxy.wait_until(lambda: proxy.gateway.counts.get("established OK") == 1)

    ProxyUnderTest().run(scenario)


def test_reset_half_close_and_close_are_passed_on_to_the_other_side() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        attempt.abort()
        with pytest.raises(ConnectionResetError):
            client.receive(5.0)
        client, attempt = proxy.established_pair()
        client.abort()
        with pytest.raises(ConnectionResetError):
            while attempt.receive(5.0):
                pass
        client, attempt = proxy.established_pair()
        client.send(b"last\r\n")
        client.shutdown_write()
        assert read_line(attempt) == b"last\r\n"
        assert attempt.receive(5.0) == b""
        attempt.send(b"BYE\r\n")  # a half-closed connection still receives data
        assert read_line(client) == b"BYE\r\n"
        attempt.close()
        assert client.receive(5.0) == b""
        proxy.wait_until(lambda: proxy.gateway.counts.get("established OK") == 1)
        assert proxy.gateway.counts["established RESET"] == 1
        assert proxy.gateway.counts["established CANCELLED"] == 1

    ProxyUnderTest().run(scenario)


def test_half_closed_client_gets_all_that_its_server_still_sends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a close within the data of a server that sends for longer than the timeout."""
    monkeypatch.setattr(reading_module, "HALF_CLOSED_TIMEOUT_S", 0.6)

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        client.shutdown_write()
        assert attempt.receive(5.0) == b""
        for _ in range(30):
            attempt.send(b"line\r\n")
            assert read_line(client) == b"line\r\n"
            proxy.scheduler.sleep(0.04)
        assert client.receive(5.0) == b""  # the server is silent from here on
        proxy.wait_until(lambda: not proxy.connection_limiter.used())

    ProxyUnderTest().run(scenario)


def test_unresponsive_server_is_given_up_and_its_client_migrated(monkeypatch: pytest.MonkeyPatch) -> None:
    """A server machine that fails does not close its connections, so only a timeout reveals the failure."""
    monkeypatch.setattr("ironmill.requests.response_delay.UNRESPONSIVE_TIMEOUT_S", 0.2)

    def scenario(proxy: ProxyUnderTest) -> None:
        client, _ = proxy.established_pair()
        client.send(b"hey\r\n")
        assert read_line(client) == b"MOVE\r\n"
        assert client.receive(5.0) == b""
        proxy.wait_until(lambda: proxy.gateway.counts.get("established RESET") == 1)
        assert proxy.gateway.counts["unresponsive"] == 1

    ProxyUnderTest().run(scenario)


def test_slow_reader_applies_backpressure_and_loses_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    line_counts: list[int] = []
    monkeypatch.setattr(DelayMeter, "lines_answered", lambda self, id_, count: line_counts.append(count))

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        total_bytes = 40_000_000
        sent_bytes = [0]

        def send_all() -> None:
            while sent_bytes[0] < total_bytes:
                attempt.send(b"z" * READ_BYTES)
                sent_bytes[0] += READ_BYTES
            attempt.close_gracefully(5.0)

        proxy.scheduler.spawn(send_all)
        proxy.scheduler.sleep(0.3)
        assert sent_bytes[0] < total_bytes  # all buffers are full, so that the proxy stops reading
        received_bytes = 0
        while piece := client.receive(5.0):
            received_bytes += len(piece)
        assert received_bytes == sent_bytes[0] >= total_bytes

    ProxyUnderTest().run(scenario)


def test_client_that_does_not_read_does_not_make_its_server_unresponsive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("ironmill.requests.response_delay.UNRESPONSIVE_TIMEOUT_S", 0.6)

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        client.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"
        sender = proxy.scheduler.spawn(attempt.send, b"z" * 40_000_000 + b"\r\n")
        proxy.scheduler.sleep(1.0)
        assert "unresponsive" not in proxy.gateway.counts
        while not client.receive(5.0).endswith(b"\r\n"):
            pass
        client.send(b"you\r\n")  # the server's response delay is measured again
        assert read_line(attempt) == b"you\r\n"
        proxy.wait_until(lambda: proxy.gateway.counts.get("unresponsive") == 1)
        proxy.scheduler.kill(sender)

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize("end", ["reset", "finish"])
def test_server_close_is_noticed_while_the_client_does_not_read(end: str) -> None:
    """Guards against missing a server's close while the proxy reads nothing from it, as a write blocks."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        (request,) = proxy.gateway.established()
        connection = request.handler
        assert isinstance(connection, ClientConnection)
        if end == "reset":
            fill_buffers(proxy, attempt)
            attempt.abort()
        else:
            # With small buffers on the way to the client, the proxy holds unsent data when the server closes.
            connection.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            while not connection.is_writing:
                attempt.send(b"z" * 1024)
                proxy.scheduler.sleep(0.0)
            attempt.shutdown_write()
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        assert not proxy.connection_limiter.used()

    ProxyUnderTest().run(scenario)


def test_client_close_is_noticed_while_the_server_does_not_read() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        fill_buffers(proxy, client)
        client.abort()
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        with pytest.raises(ConnectionResetError):  # not all of the client's data was delivered
            while attempt.receive(5.0):
                pass

    ProxyUnderTest().run(scenario)


def test_slow_reader_gets_all_data_of_a_closed_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a timeout for a client that reads slowly; only one that reads nothing may time out."""
    monkeypatch.setattr(sockets_module, "BLOCKED_WRITE_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(sockets_module, "BLOCKED_WRITE_TIMEOUT_S", 0.4)

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        client._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        (request,) = proxy.gateway.established()
        assert isinstance(request.handler, ClientConnection)
        request.handler.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        attempt.send(b"z" * 800_000)
        attempt.shutdown_write()
        received_bytes = 0
        while piece := client.receive(5.0):
            received_bytes += len(piece)
            proxy.scheduler.sleep(0.02)  # in total longer than BLOCKED_WRITE_TIMEOUT_S
        assert received_bytes == 800_000

    ProxyUnderTest().run(scenario)


def test_early_data_that_cannot_be_written_closes_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an exception when a server accepts the connection but does not read the early data."""
    logged_errors: list[object] = []
    monkeypatch.setattr(connection_module.log, "exception", lambda *args: logged_errors.append(args))

    def scenario(proxy: ProxyUnderTest) -> None:
        def time_out(stream: Stream, data: bytes, source: Stream) -> None:
            raise TimedOutError

        monkeypatch.setattr(Stream, "send_from", time_out)
        client = proxy.client(OPEN.replace(b"g=3c", b"g=3c,mid=1") + b"early\r\n")
        server = proxy.next_attempt()
        read_line(server)
        server.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        assert not proxy.connection_limiter.used()

    ProxyUnderTest().run(scenario)
    assert not logged_errors
