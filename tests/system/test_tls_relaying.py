"""Tests of TLS to clients and servers: the same relaying, backpressure and closes as on plain TCP."""

from __future__ import annotations

import contextlib
import random
import socket
import time
from collections.abc import Callable

import pytest

from ironmill.net.sockets import Stream, TimedOutError
from ironmill.net.tls import TlsStream
from ironmill_testbed.certificates import Authority
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line
from tests.support.streams import assert_moved_between_lines, read_all, stream_blocks
from tests.support.tls import TlsProxyUnderTest, UpstreamTlsProxyUnderTest, check_relayed, wait_until_released

pytestmark = pytest.mark.usefixtures("short_half_close")


def test_tls_relays_bytes_unchanged_both_ways_and_the_close_of_the_server(authority: Authority) -> None:
    data = random.Random(3).randbytes(700_000).replace(b"\r\n", b"--") + b"\r\n"

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        client, attempt = proxy.established_tls_pair()
        check_relayed(proxy, data, client, attempt)
        attempt.send(b"BYE\r\n")
        attempt.close_gracefully(1.0)
        assert read_line(client) == b"BYE\r\n"
        assert client.receive(5.0) == b""  # ended by close_notify
        client.close()
        wait_until_released(proxy)
        assert proxy.gateway.counts["established OK"] == 1

    TlsProxyUnderTest(authority).run(scenario)


def test_tls_streaming_connection_is_moved_between_two_lines(authority: Authority) -> None:
    """Guards against a close without MOVE, or within a line, on a stream that is relayed as TLS records."""

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        client, attempt = proxy.established_tls_pair()
        sent = stream_blocks(proxy, attempt)
        proxy.scheduler.sleep(0.02)
        (request,) = proxy.gateway.established()
        request.handler.migrate()
        assert_moved_between_lines(read_all(client), sent)  # ended by close_notify
        client.close()
        wait_until_released(proxy)

    TlsProxyUnderTest(authority).run(scenario)


def test_tls_client_that_does_not_read_applies_backpressure(authority: Authority) -> None:
    """Guards against unbounded buffers with TLS when a client does not read."""

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        client, attempt = proxy.established_tls_pair()
        sent_bytes = 0
        with pytest.raises(TimedOutError):
            while sent_bytes < 1 << 28:
                sent_bytes += attempt.send_some(b"x" * 65536, 0.3)
        assert sent_bytes < 1 << 25
        received_bytes = 0
        while received_bytes < sent_bytes:
            received_bytes += len(client.receive(5.0))
        client.close()
        wait_until_released(proxy)

    TlsProxyUnderTest(authority).run(scenario)


def end_with_close_notify(client: TlsStream) -> None:
    client.close()


def end_without_close_notify(client: TlsStream) -> None:
    client._sock.shutdown(socket.SHUT_RDWR)


def end_by_reset(client: TlsStream) -> None:
    client.abort()


def end_by_invalid_record(client: TlsStream) -> None:
    client._sock.send(b"bytes that form no TLS record...")


@pytest.mark.parametrize(
    "end", [end_with_close_notify, end_without_close_notify, end_by_reset, end_by_invalid_record]
)
def test_any_close_of_a_tls_client_ends_its_attempt_and_releases_everything(
    authority: Authority, end: Callable[[TlsStream], None]
) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        client, attempt = proxy.established_tls_pair()
        end(client)
        with contextlib.suppress(ConnectionResetError):
            assert attempt.receive(5.0) == b""
        attempt.close()
        wait_until_released(proxy)
        assert proxy.gateway.counts["established CANCELLED"] == 1

    TlsProxyUnderTest(authority).run(scenario)


def test_half_closed_tls_client_still_receives_data(authority: Authority) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        client, attempt = proxy.established_tls_pair()
        client.shutdown_write()
        assert attempt.receive(5.0) == b""
        attempt.send(b"late\r\n")
        assert read_line(client) == b"late\r\n"
        attempt.close()
        wait_until_released(proxy)

    TlsProxyUnderTest(authority).run(scenario)


def test_reset_of_the_server_resets_the_tls_client(authority: Authority) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        client, attempt = proxy.established_tls_pair()
        attempt.abort()
        with pytest.raises(ConnectionError):
            client.receive(5.0)
        wait_until_released(proxy)

    TlsProxyUnderTest(authority).run(scenario)


def test_upstream_connections_use_tls(authority: Authority) -> None:
    data = bytes(range(256)) * 1000 + b"\r\n"

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        attempt.handshake(time.monotonic() + 5.0)
        assert read_line(attempt).startswith(b"OPEN 1a 2b c=read,")
        attempt.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"
        check_relayed(proxy, data, client, attempt)
        attempt.send(b"BYE\r\n")
        attempt.close_gracefully(1.0)
        assert read_line(client) == b"BYE\r\n"
        client.close()
        wait_until_released(proxy)
        assert proxy.gateway.counts["established OK"] == 1

    UpstreamTlsProxyUnderTest(authority, "localhost").run(scenario)


def test_server_with_another_name_gets_no_request(authority: Authority) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, UpstreamTlsProxyUnderTest)
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        with pytest.raises(OSError):
            attempt.handshake(time.monotonic() + 5.0)
            attempt.receive(5.0)
        assert proxy.gateway.counts["attempt CONNECT_FAILED"] >= 1
        client.close()

    UpstreamTlsProxyUnderTest(authority, "other.example").run(scenario)


def test_no_handshake_starts_at_a_leaving_server(authority: Authority) -> None:
    """A server's drain grace period applies to the first byte sent, which with TLS is in the handshake."""

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, UpstreamTlsProxyUnderTest)
        server = proxy.gateway.server("s-0")
        assert server is not None
        dial = proxy.dial
        assert dial is not None

        def drain_while_connecting(address: tuple[str, int], timeout: float) -> Stream:
            stream = dial(address, timeout)
            server.leaving_since = proxy.gateway.now() - 10.0
            return stream

        proxy.dial = drain_while_connecting
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        assert Stream.receive(attempt, 5.0) == b""
        client.close()

    UpstreamTlsProxyUnderTest(authority, "localhost").run(scenario)
