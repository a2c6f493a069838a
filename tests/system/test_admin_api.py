"""Tests of a proxy's admin server: incomplete and aborted requests, and drains."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from ironmill.administration.proxy_api import ProxyApi
from ironmill.net import admin_server as admin_server_module
from ironmill.net import drain as drain_module
from ironmill.net.admin_server import MAX_CONNECTIONS, AdminServer
from ironmill.net.drain import Drain
from ironmill.net.sockets import Stream
from ironmill.requests.metrics import ClassMetrics
from ironmill_testbed.admin_client import call
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line

GET = b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n"


class ProxyWithAdminApi:
    """A proxy with its admin server."""

    def __init__(self, keeps_connections: bool = False) -> None:
        self.proxy = ProxyUnderTest()
        self.server = AdminServer(self.proxy.scheduler, ("127.0.0.1", 0), ProxyApi(self.proxy.gateway))
        self.server.start()
        Drain(self.proxy.scheduler, self.proxy.gateway, keeps_established=keeps_connections)

    def connect(self, data: bytes) -> Stream:
        stream = Stream.connect(self.proxy.scheduler, self.server.address, 1.0)
        stream.send(data)
        return stream

    def call_server(self, method: str, path: str) -> tuple[int, bytes]:
        return call(self.proxy.scheduler, self.server.address, method, path)

    def run(self, scenario: Callable[[], None]) -> None:
        self.proxy.run(lambda _: scenario())
        self.server.close()


def test_incomplete_requests_neither_delay_others_nor_stay_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_server_module, "REQUEST_TIMEOUT_S", 0.3)
    fixture = ProxyWithAdminApi()

    def scenario() -> None:
        incomplete = [fixture.connect(GET[:20]) for _ in range(200)]
        assert fixture.call_server("GET", "/admin/health")[0] == 200
        responses = []
        for stream in incomplete:
            data = b""
            while piece := stream.receive(5.0):
                data += piece
            responses.append(data[:12])
            stream.close()
        # The server closed the oldest connections; the others timed out.
        assert responses.count(b"") >= 200 - MAX_CONNECTIONS
        assert set(responses[-MAX_CONNECTIONS + 1 :]) == {b"HTTP/1.1 408"}
        assert fixture.call_server("GET", "/admin/health")[0] == 200

    fixture.run(scenario)


def test_aborted_requests_leave_the_server_working() -> None:
    fixture = ProxyWithAdminApi()

    def scenario() -> None:
        for data in (b"", GET[:7], GET):
            fixture.connect(data).abort()
        assert fixture.call_server("GET", "/admin/health")[0] == 200

    fixture.run(scenario)


def test_drain_migrates_clients_and_resume_ends_it(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (
        ("FRONT_UPDATE_DELAY_S", 0.05),
        ("MIGRATION_DEADLINE_S", 0.4),
        ("FINAL_ANSWER_DEADLINE_S", 0.5),
        ("LATE_MIGRATION_S", 0.1),
    ):
        monkeypatch.setattr(drain_module, name, value)
    fixture = ProxyWithAdminApi()
    proxy = fixture.proxy

    def scenario() -> None:
        client, attempt = proxy.established_pair()
        pinging = proxy.client(b"PING\r\n")
        assert read_line(pinging) == b"PONG\r\n"
        assert fixture.call_server("POST", "/admin/quiesce")[0] == 200
        pinging.send(b"PING\r\n")
        assert read_line(pinging) == b"DRAINING\r\n"
        # The front end sends new clients until it learns of the drain. They are served and then migrated like
        # the others.
        late_client = proxy.client(OPEN.replace(b"1a", b"1b"))
        late_attempt = proxy.next_attempt()
        read_line(late_attempt)
        late_attempt.send(b"UP r2\r\n")
        assert read_line(late_client) == b"UP r2\r\n"
        # No server answers this request. It gets its final answer at the end of the drain.
        pending_client = proxy.client(OPEN.replace(b"1a", b"1c"))
        pending_attempt = proxy.next_attempt()
        assert [read_line(migrated) for migrated in (client, late_client)] == [b"MOVE\r\n"] * 2
        assert read_line(pending_client).startswith(b"BUSY ")
        for stream in (client, late_client, pending_client, attempt, late_attempt, pending_attempt):
            stream.close()
        assert read_line(proxy.client(OPEN.replace(b"1a", b"1d"))) == b"BUSY 200\r\n"
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        assert fixture.call_server("POST", "/admin/resume")[0] == 200
        pinging.send(b"PING\r\n")
        assert read_line(pinging) == b"PONG\r\n"
        proxy.arrived.clear()  # the attempts of the pending request
        proxy.established_pair()
        class_metrics = proxy.gateway.metrics.classes["read"]
        assert class_metrics == ClassMetrics(5, established=3, rejected=2, attempts=class_metrics.attempts)
        assert class_metrics.attempts >= 4
        assert proxy.gateway.metrics.in_progress == 1

    fixture.run(scenario)


def test_drain_keeps_established_connections_where_packets_pass_through(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against needless migrations in a drain, each of which makes a client reconnect."""
    for name, value in (
        ("FRONT_UPDATE_DELAY_S", 0.02),
        ("MIGRATION_DEADLINE_S", 0.1),
        ("FINAL_ANSWER_DEADLINE_S", 0.2),
        ("LATE_MIGRATION_S", 0.1),
    ):
        monkeypatch.setattr(drain_module, name, value)
    fixture = ProxyWithAdminApi(keeps_connections=True)
    proxy = fixture.proxy

    def scenario() -> None:
        client, attempt = proxy.established_pair()
        pending_client = proxy.client(OPEN.replace(b"1a", b"1c"))
        pending_attempt = proxy.next_attempt()
        fixture.call_server("POST", "/admin/quiesce")
        assert read_line(pending_client).startswith(b"BUSY ")  # a pending request still gets its final answer
        proxy.scheduler.sleep(0.15)  # longer than LATE_MIGRATION_S
        assert read_line(proxy.client(OPEN.replace(b"1a", b"1d"))) == b"BUSY 200\r\n"
        client.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"
        attempt.send(b"you\r\n")
        assert read_line(client) == b"you\r\n"
        assert "migrated" not in proxy.gateway.counts
        assert len(proxy.gateway.established()) == 1
        for stream in (client, attempt, pending_client, pending_attempt):
            stream.close()

    fixture.run(scenario)


def test_resume_during_a_drain_keeps_connections_not_yet_migrated(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(drain_module, "FRONT_UPDATE_DELAY_S", 0.0)
    fixture = ProxyWithAdminApi()
    proxy = fixture.proxy

    def scenario() -> None:
        pairs = []
        for index in range(12):
            client = proxy.client(OPEN.replace(b"1a", b"%x" % (index + 32)))
            attempt = proxy.next_attempt()
            read_line(attempt)
            attempt.send(b"UP r\r\n")
            read_line(client)
            pairs.append((client, attempt))
        fixture.call_server("POST", "/admin/quiesce")
        proxy.wait_until(lambda: len(proxy.gateway.established()) < 12)
        fixture.call_server("POST", "/admin/resume")
        remaining_count = len(proxy.gateway.established())
        assert remaining_count > 0
        proxy.scheduler.sleep(0.3)
        assert len(proxy.gateway.established()) == remaining_count
        for client, attempt in pairs:
            client.close()
            attempt.close()

    fixture.run(scenario)


def test_closed_oldest_connection_is_not_reset_by_unread_bytes() -> None:
    fixture = ProxyWithAdminApi()

    def scenario() -> None:
        incomplete = [fixture.connect(GET[:7]) for _ in range(MAX_CONNECTIONS)]
        fixture.proxy.wait_until(lambda: len(fixture.server._connections) == MAX_CONNECTIONS)
        incomplete[0].send_nowait(GET[7:20])  # still unread when the next connection is accepted
        server_socket, client_socket = socket.socketpair()
        fixture.server._accepted(Stream(fixture.proxy.scheduler, server_socket))
        client_socket.close()
        assert incomplete[0].receive(5.0) == b""

    fixture.run(scenario)
