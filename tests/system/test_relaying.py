"""Established connections on loopback sockets: bytes in both directions, backpressure and ends."""

from __future__ import annotations

import socket

import pytest

from ironmill.net import sockets as sockets_module
from ironmill.net.clients import connection as connection_module
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
        first = read_line(attempt)
        head, _, tail = first.partition(b"d=")
        assert (head, tail.partition(b",")[2]) == (b"OPEN 1a 2b c=read,", b"g=3c\r\n")
        assert 0 < int(tail.partition(b",")[0]) < 1500
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


def test_each_side_ends_in_the_way_of_the_other() -> None:
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


def test_unresponsive_server_is_given_up_and_its_client_migrated(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that fails closes no connection."""
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
    counts: list[int] = []
    monkeypatch.setattr(DelayMeter, "lines_answered", lambda self, id_, count: counts.append(count))

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        total = 40_000_000
        sent = [0]

        def send_all() -> None:
            while sent[0] < total:
                attempt.send(b"z" * READ_BYTES)
                sent[0] += READ_BYTES
            attempt.close_gracefully(5.0)

        proxy.scheduler.spawn(send_all)
        proxy.scheduler.sleep(0.3)
        assert sent[0] < total  # the buffers on the way are full, so that the proxy stops reading
        received = 0
        while piece := client.receive(5.0):
            received += len(piece)
        assert received == sent[0] >= total

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
        client.send(b"you\r\n")  # the delay of the server is measured again
        assert read_line(attempt) == b"you\r\n"
        proxy.wait_until(lambda: proxy.gateway.counts.get("unresponsive") == 1)
        proxy.scheduler.kill(sender)

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize("end", ["reset", "finish"])
def test_server_close_is_noticed_while_the_client_does_not_read(end: str) -> None:
    """The server is not read while the write to the client waits."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        (request,) = proxy.gateway.established()
        driver = request.handler
        assert isinstance(driver, ClientConnection)
        if end == "reset":
            fill_buffers(proxy, attempt)
            attempt.abort()
        else:
            # With small buffers on the way to the client the rest waits at the proxy, followed by the end.
            driver.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            while not driver.is_writing:
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
        with pytest.raises(ConnectionResetError):  # not all that was sent has been received
            while attempt.receive(5.0):
                pass

    ProxyUnderTest().run(scenario)


def test_slow_reader_gets_all_data_of_a_closed_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only a client that reads nothing at all times out."""
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
        received = 0
        while piece := client.receive(5.0):
            received += len(piece)
            proxy.scheduler.sleep(0.02)  # longer in all than the timeout of a client that reads nothing
        assert received == 800_000

    ProxyUnderTest().run(scenario)


def test_early_data_that_cannot_be_written_ends_with_its_client(monkeypatch: pytest.MonkeyPatch) -> None:
    """The server has accepted the connection and reads nothing, and the client has closed."""
    failed: list[object] = []
    monkeypatch.setattr(connection_module.log, "exception", lambda *args: failed.append(args))

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
    assert not failed
