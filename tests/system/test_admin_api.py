"""The admin server of a proxy: incomplete and aborted calls, and drains."""

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
    """A proxy whose admin API answers."""

    def __init__(self, keeps: bool = False) -> None:
        self.proxy = ProxyUnderTest()
        self.server = AdminServer(self.proxy.scheduler, ("127.0.0.1", 0), ProxyApi(self.proxy.gateway))
        self.server.start()
        Drain(self.proxy.scheduler, self.proxy.gateway, keeps_established=keeps)

    def connect(self, data: bytes) -> Stream:
        stream = Stream.connect(self.proxy.scheduler, self.server.address, 1.0)
        stream.send(data)
        return stream

    def call_server(self, method: str, path: str) -> tuple[int, bytes]:
        return call(self.proxy.scheduler, self.server.address, method, path)

    def run(self, scenario: Callable[[], None]) -> None:
        self.proxy.run(lambda _: scenario())
        self.server.close()


def test_incomplete_calls_neither_delay_others_nor_stay_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_server_module, "REQUEST_TIMEOUT_S", 0.3)
    it = ProxyWithAdminApi()

    def scenario() -> None:
        incomplete = [it.connect(GET[:20]) for _ in range(200)]
        assert it.call_server("GET", "/admin/health")[0] == 200
        answers = []
        for stream in incomplete:
            data = b""
            while piece := stream.receive(5.0):
                data += piece
            answers.append(data[:12])
            stream.close()
        # The oldest were closed; the others timed out.
        assert answers.count(b"") >= 200 - MAX_CONNECTIONS
        assert set(answers[-MAX_CONNECTIONS + 1 :]) == {b"HTTP/1.1 408"}
        assert it.call_server("GET", "/admin/health")[0] == 200

    it.run(scenario)


def test_aborted_calls_leave_the_server_working() -> None:
    it = ProxyWithAdminApi()

    def scenario() -> None:
        for data in (b"", GET[:7], GET):
            it.connect(data).abort()
        assert it.call_server("GET", "/admin/health")[0] == 200

    it.run(scenario)


def test_drain_migrates_clients_and_resume_ends_it(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (
        ("FRONT_UPDATE_DELAY_S", 0.05),
        ("MIGRATION_DEADLINE_S", 0.4),
        ("FINAL_ANSWER_DEADLINE_S", 0.5),
        ("LATE_MIGRATION_S", 0.1),
    ):
        monkeypatch.setattr(drain_module, name, value)
    it = ProxyWithAdminApi()
    proxy = it.proxy

    def scenario() -> None:
        client, attempt = proxy.established_pair()
        pinging = proxy.client(b"PING\r\n")
        assert read_line(pinging) == b"PONG\r\n"
        assert it.call_server("POST", "/admin/quiesce")[0] == 200
        pinging.send(b"PING\r\n")
        assert read_line(pinging) == b"DRAINING\r\n"
        # A client that the front still sends is served, and then migrated like the others.
        late = proxy.client(OPEN.replace(b"1a", b"1b"))
        late_attempt = proxy.next_attempt()
        read_line(late_attempt)
        late_attempt.send(b"UP r2\r\n")
        assert read_line(late) == b"UP r2\r\n"
        # No server answers this one; it gets its final answer at the end of the drain.
        stuck = proxy.client(OPEN.replace(b"1a", b"1c"))
        stuck_attempt = proxy.next_attempt()
        assert [read_line(one) for one in (client, late)] == [b"MOVE\r\n"] * 2
        assert read_line(stuck).startswith(b"BUSY ")
        for stream in (client, late, stuck, attempt, late_attempt, stuck_attempt):
            stream.close()
        assert read_line(proxy.client(OPEN.replace(b"1a", b"1d"))) == b"BUSY 200\r\n"
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        assert it.call_server("POST", "/admin/resume")[0] == 200
        pinging.send(b"PING\r\n")
        assert read_line(pinging) == b"PONG\r\n"
        proxy.arrived.clear()  # the attempts of the stuck request
        proxy.established_pair()
        counted = proxy.gateway.metrics.classes["read"]
        assert counted == ClassMetrics(5, established=3, rejected=2, attempts=counted.attempts)
        assert counted.attempts >= 4
        assert proxy.gateway.metrics.in_progress == 1

    it.run(scenario)


def test_drain_keeps_established_connections_where_packets_pass_through(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A migration costs the client a reconnect, which nothing needs here."""
    for name, value in (
        ("FRONT_UPDATE_DELAY_S", 0.02),
        ("MIGRATION_DEADLINE_S", 0.1),
        ("FINAL_ANSWER_DEADLINE_S", 0.2),
        ("LATE_MIGRATION_S", 0.1),
    ):
        monkeypatch.setattr(drain_module, name, value)
    it = ProxyWithAdminApi(keeps=True)
    proxy = it.proxy

    def scenario() -> None:
        client, attempt = proxy.established_pair()
        stuck = proxy.client(OPEN.replace(b"1a", b"1c"))
        stuck_attempt = proxy.next_attempt()
        it.call_server("POST", "/admin/quiesce")
        assert read_line(stuck).startswith(b"BUSY ")  # a pending request still gets its final answer
        proxy.scheduler.sleep(0.15)  # past the late migration
        assert read_line(proxy.client(OPEN.replace(b"1a", b"1d"))) == b"BUSY 200\r\n"
        client.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"
        attempt.send(b"you\r\n")
        assert read_line(client) == b"you\r\n"
        assert "migrated" not in proxy.gateway.counts
        assert len(proxy.gateway.established()) == 1
        for stream in (client, attempt, stuck, stuck_attempt):
            stream.close()

    it.run(scenario)


def test_resume_during_a_drain_keeps_connections_not_yet_migrated(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(drain_module, "FRONT_UPDATE_DELAY_S", 0.0)
    it = ProxyWithAdminApi()
    proxy = it.proxy

    def scenario() -> None:
        pairs = []
        for at in range(12):
            client = proxy.client(OPEN.replace(b"1a", b"%x" % (at + 32)))
            attempt = proxy.next_attempt()
            read_line(attempt)
            attempt.send(b"UP r\r\n")
            read_line(client)
            pairs.append((client, attempt))
        it.call_server("POST", "/admin/quiesce")
        proxy.wait_until(lambda: len(proxy.gateway.established()) < 12)
        it.call_server("POST", "/admin/resume")
        left = len(proxy.gateway.established())
        assert left > 0
        proxy.scheduler.sleep(0.3)
        assert len(proxy.gateway.established()) == left
        for client, attempt in pairs:
            client.close()
            attempt.close()

    it.run(scenario)


def test_closed_oldest_call_is_not_reset_by_unread_bytes() -> None:
    it = ProxyWithAdminApi()

    def scenario() -> None:
        incomplete = [it.connect(GET[:7]) for _ in range(MAX_CONNECTIONS)]
        it.proxy.wait_until(lambda: len(it.server._connections) == MAX_CONNECTIONS)
        incomplete[0].send_nowait(GET[7:20])  # unread when the next call arrives
        ours, theirs = socket.socketpair()
        it.server._accepted(Stream(it.proxy.scheduler, ours))
        theirs.close()
        assert incomplete[0].receive(5.0) == b""

    it.run(scenario)
