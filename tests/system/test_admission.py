"""Tests of admission on loopback sockets: eviction of silent clients and immediate rejections."""

from __future__ import annotations

import socket

import pytest
from msgspec import structs

from ironmill.net import sockets as sockets_module
from ironmill.net.sockets import READ_BYTES
from tests.support.balancing import SETTINGS
from tests.support.clients import raw_client, read_to_end
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line


def test_evicts_silent_clients_for_clients_with_requests() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        max_silent = proxy.connection_limiter.max_silent
        silent_clients = [proxy.client() for _ in range(max_silent + 2)]
        assert read_line(silent_clients[0]) == read_line(silent_clients[1]) == b"BUSY 500\r\n"
        assert proxy.established_pair()
        assert proxy.connection_limiter.used() <= proxy.connection_limiter.max_descriptors

    ProxyUnderTest(sockets=64).run(scenario)


def test_rejects_client_immediately_if_nothing_can_be_evicted() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        clients = []
        for client_id in range(proxy.connection_limiter.max_descriptors // 2):
            clients.append(proxy.client(OPEN.replace(b"1a", b"%x" % client_id)))
            attempt = proxy.next_attempt()
            read_line(attempt)
            attempt.send(b"UP r1\r\n")
        rejected_client = proxy.client(OPEN.replace(b"1a", b"ffff"))
        assert read_line(rejected_client).startswith(b"BUSY ")
        clients[0].close()
        proxy.wait_until(
            lambda: proxy.connection_limiter.used() <= proxy.connection_limiter.max_descriptors - 2
        )
        assert proxy.established_pair()

    ProxyUnderTest(sockets=64).run(scenario)


def test_last_answer_precedes_the_close_without_lingering() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        proxy.connection_limiter.max_leaving = 0
        with raw_client(proxy, b"HELLO\r\n" + b"x" * (READ_BYTES + 9)) as client:
            assert read_to_end(proxy, client) == b"ERR\r\n"
        proxy.connection_limiter.max_descriptors = 0
        with raw_client(proxy, OPEN + b"x" * READ_BYTES) as client:
            assert read_to_end(proxy, client) == b"BUSY 500\r\n"

    ProxyUnderTest().run(scenario)


def test_silent_client_with_an_unread_request_is_not_evicted() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        with raw_client(proxy) as oldest, raw_client(proxy) as second:
            proxy.wait_until(lambda: len(proxy.connection_limiter._silent) == 2)
            proxy.connection_limiter.max_silent = 2
            oldest.sendall(OPEN)
            slot = proxy.connection_limiter.enter(lambda *, immediately: True)
            assert slot is not None
            assert read_to_end(proxy, second) == b"BUSY 500\r\n"
            read_line(proxy.next_attempt())
            proxy.connection_limiter.leave(slot)

    ProxyUnderTest().run(scenario)


def test_rejection_states_no_time_where_the_settings_forbid_it() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        proxy.connection_limiter.max_descriptors = 0
        with raw_client(proxy, OPEN) as client:
            assert read_to_end(proxy, client) == b"BUSY\r\n"

    ProxyUnderTest(settings=structs.replace(SETTINGS, max_retry_after=0.0)).run(scenario)


def test_immediate_rejection_is_complete_despite_short_writes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a truncated answer when each write takes only one byte."""

    class OneByteSocket(socket.socket):
        def send(self, data: bytes, flags: int = 0) -> int:  # type: ignore[override]
            return super().send(data[:1], flags)

    def scenario(proxy: ProxyUnderTest) -> None:
        proxy.connection_limiter.max_descriptors = 0
        monkeypatch.setattr(sockets_module.socket, "socket", OneByteSocket)
        with raw_client(proxy, OPEN) as client:
            assert read_to_end(proxy, client) == b"BUSY 500\r\n"

    ProxyUnderTest().run(scenario)
