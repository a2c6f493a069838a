"""The admin API of a proxy: its routes, its server beside incomplete calls, and drains."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironmill.administration.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, HttpExchange
from ironmill.administration.messages import ApiRequest, ApiResponse
from ironmill.administration.proxy_api import ProxyApi
from ironmill.net import admin_server as admin_server_module
from ironmill.net import drain as drain_module
from ironmill.net.admin_server import MAX_CONNECTIONS, AdminServer
from ironmill.net.drain import Drain
from ironmill.net.sockets import Stream
from ironmill.requests.metrics import ClassMetrics, RequestMetrics
from ironmill.runtime.lifecycle import Lifecycle, LifecycleEvent, ProcessState
from ironmill_testbed.staff import call
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line

GET = b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n"


class Served:
    """The source of the metrics."""

    def __init__(self, state: ProcessState = ProcessState.SERVING) -> None:
        self.lifecycle = Lifecycle(state)
        self.metrics = RequestMetrics(["read"])

    def known_servers(self) -> int:
        return 4

    def skipped_servers(self) -> int:
        return 1


def parse(data: bytes, step: int = 1 << 20) -> ApiRequest | ApiResponse | None:
    side, parsed = HttpExchange(), None
    for at in range(0, len(data), step):
        parsed = side.receive(data[at : at + step])
        if parsed is not None:
            break
    return parsed


@given(st.integers(1, 60))
def test_call_is_parsed_however_its_bytes_are_split(step: int) -> None:
    assert parse(GET, step) == ApiRequest("GET", "/admin/health")
    post = b"POST /admin/quiesce?a=b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
    assert parse(post, step) == ApiRequest("POST", "/admin/quiesce")
    assert parse(post[:-1], step) is None


@given(st.binary(max_size=200))
def test_arbitrary_bytes_get_an_error_response_or_wait_for_more(data: bytes) -> None:
    side = HttpExchange()
    parsed = side.receive(data) if data else side.receive(b"")
    if isinstance(parsed, ApiResponse):
        assert parsed.status >= 400
        assert side.encode(parsed).startswith(b"HTTP/1.1 %d " % parsed.status)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"HELLO\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),  # no Host
        (b"GET / HTTP/1.1\r\nHost: x\r\nx: " + b"y" * (2 * MAX_HEAD_BYTES) + b"\r\n\r\n", 431),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n" + b"z" * (MAX_BODY_BYTES + 1),
            413,
        ),
    ],
)
def test_malformed_call_gets_an_error_status(data: bytes, status: int) -> None:
    parsed = parse(data, 4096)
    assert isinstance(parsed, ApiResponse)
    assert parsed.status == status


def test_routes_of_a_proxy() -> None:
    served = Served()
    api = ProxyApi(served)

    def call_server(method: str, path: str) -> tuple[int, Any]:
        answer = api.dispatch(ApiRequest(method, path))
        return int(answer.status), orjson.loads(answer.body) if answer.body else dict(answer.headers)

    assert call_server("GET", "/admin/health") == (200, {"state": "serving"})
    assert call_server("POST", "/admin/quiesce") == (200, {"state": "draining"})
    assert call_server("POST", "/admin/quiesce") == (200, {"state": "draining"})
    assert call_server("GET", "/admin/health")[0] == 503
    assert call_server("POST", "/admin/resume") == (200, {"state": "serving"})
    assert call_server("POST", "/admin/resume")[0] == 200
    assert call_server("GET", "/admin/nothing")[0] == 404
    assert call_server("GET", "/admin/quiesce") == (405, {"Allow": "POST"})
    assert call_server("DELETE", "/admin/stats") == (405, {"Allow": "GET"})
    served.metrics.start("read").established()
    served.metrics.start("read").rejected()
    status, stats = call_server("GET", "/admin/stats")
    assert (status, stats["passed"], stats["dropped"], stats["bad_gateway"]) == (
        200,
        {"read": 1},
        {"read": 1},
        {"read": 0},
    )
    assert (stats["in_progress"], stats["known_servers"], stats["skipped_servers"]) == (1, 4, 1)
    assert stats["upstream_tries"] == 0  # one number, as the platform reads it
    served.lifecycle.handle(LifecycleEvent.SHUTDOWN_REQUESTED)
    assert call_server("GET", "/admin/health")[0] == 503
    assert call_server("POST", "/admin/quiesce")[0] == 200
    assert call_server("POST", "/admin/resume")[0] == 409


STEPS = ("established", "rejected", "failed", "abandoned", "closed", "attempt_sent")


@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from(STEPS))))
def test_each_request_is_counted_once_at_any_time(steps: list[tuple[int, str]]) -> None:
    metrics = RequestMetrics(["read", "write"])
    counts = [metrics.start("read" if at % 2 else "write") for at in range(10)]
    outcomes: dict[int, str] = {}
    over: set[int] = set()
    for which, step in steps:
        getattr(counts[which], step)()
        if step in STEPS[:4]:
            outcomes.setdefault(which, step)
        if step == "closed":
            outcomes.setdefault(which, "abandoned")
            over.add(which)
        over |= {at for at, outcome in outcomes.items() if outcome != "established"}
        for one in metrics.classes.values():
            assert one.received == 5
            assert one.pending >= 0
        outcome_sums = [sum(by.values()) for by in metrics.by_outcome().values()][1:]
        assert outcome_sums == [list(outcomes.values()).count(name) for name in STEPS[:4]]
        assert metrics.in_progress == 10 - len(over)


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
