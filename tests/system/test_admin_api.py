"""Staff's second address: the calls, the table behind them, the driver beside callers that never finish."""

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
from tests.system.test_net import OPEN, Town, read_line

GET = b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n"


class Served:
    """What the figures come from."""

    def __init__(self, state: ProcessState = ProcessState.SERVING) -> None:
        self.lifecycle = Lifecycle(state)
        self.metrics = RequestMetrics(["read"])

    def known_servers(self) -> int:
        return 4

    def skipped_servers(self) -> int:
        return 1


def hear(data: bytes, step: int = 1 << 20) -> ApiRequest | ApiResponse | None:
    side, heard = HttpExchange(), None
    for at in range(0, len(data), step):
        heard = side.receive(data[at : at + step])
        if heard is not None:
            break
    return heard


@given(st.integers(1, 60))
def test_a_call_is_whole_however_its_bytes_come(step: int) -> None:
    assert hear(GET, step) == ApiRequest("GET", "/admin/health")
    post = b"POST /admin/quiesce?a=b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
    assert hear(post, step) == ApiRequest("POST", "/admin/quiesce")
    assert hear(post[:-1], step) is None


@given(st.binary(max_size=200))
def test_rubbish_is_answered_or_waited_for_and_never_fails(data: bytes) -> None:
    side = HttpExchange()
    heard = side.receive(data) if data else side.receive(b"")
    if isinstance(heard, ApiResponse):
        assert heard.status >= 400
        assert side.encode(heard).startswith(b"HTTP/1.1 %d " % heard.status)


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
def test_what_can_be_no_call_has_an_answer(data: bytes, status: int) -> None:
    heard = hear(data, 4096)
    assert isinstance(heard, ApiResponse)
    assert heard.status == status


def test_the_table_of_calls() -> None:
    served = Served()
    api = ProxyApi(served)

    def ask(method: str, path: str) -> tuple[int, Any]:
        answer = api.dispatch(ApiRequest(method, path))
        return int(answer.status), orjson.loads(answer.body) if answer.body else dict(answer.headers)

    assert ask("GET", "/admin/health") == (200, {"state": "serving"})
    assert ask("POST", "/admin/quiesce") == (200, {"state": "draining"})
    assert ask("POST", "/admin/quiesce") == (200, {"state": "draining"})
    assert ask("GET", "/admin/health")[0] == 503
    assert ask("POST", "/admin/resume") == (200, {"state": "serving"})
    assert ask("POST", "/admin/resume")[0] == 200
    assert ask("GET", "/admin/nothing")[0] == 404
    assert ask("GET", "/admin/quiesce") == (405, {"Allow": "POST"})
    assert ask("DELETE", "/admin/stats") == (405, {"Allow": "GET"})
    served.metrics.start("read").established()
    served.metrics.start("read").rejected()
    status, stats = ask("GET", "/admin/stats")
    assert (status, stats["passed"], stats["dropped"], stats["bad_gateway"]) == (
        200,
        {"read": 1},
        {"read": 1},
        {"read": 0},
    )
    assert (stats["in_progress"], stats["known_servers"], stats["skipped_servers"]) == (1, 4, 1)
    assert stats["upstream_tries"] == 0  # one number, as the platform reads it
    served.lifecycle.handle(LifecycleEvent.SHUTDOWN_REQUESTED)
    assert ask("GET", "/admin/health")[0] == 503
    assert ask("POST", "/admin/quiesce")[0] == 200
    assert ask("POST", "/admin/resume")[0] == 409


STEPS = ("established", "rejected", "failed", "abandoned", "closed", "attempt_sent")


@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from(STEPS))))
def test_each_request_is_counted_once_at_any_instant(steps: list[tuple[int, str]]) -> None:
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


class Called:
    """A town whose staff's address answers."""

    def __init__(self, keeps: bool = False) -> None:
        self.town = Town()
        self.control = AdminServer(self.town.scheduler, ("127.0.0.1", 0), ProxyApi(self.town.gateway))
        self.control.start()
        Drain(self.town.scheduler, self.town.gateway, keeps_established=keeps)

    def connect(self, data: bytes) -> Stream:
        stream = Stream.connect(self.town.scheduler, self.control.address, 1.0)
        stream.send(data)
        return stream

    def ask(self, method: str, path: str) -> tuple[int, bytes]:
        return call(self.town.scheduler, self.control.address, method, path)

    def run(self, story: Callable[[], None]) -> None:
        self.town.run(lambda _: story())
        self.control.close()


def test_half_calls_neither_hold_up_others_nor_stay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_server_module, "REQUEST_TIMEOUT_S", 0.3)
    it = Called()

    def story() -> None:
        half = [it.connect(GET[:20]) for _ in range(200)]
        assert it.ask("GET", "/admin/health")[0] == 200
        answers = []
        for stream in half:
            data = b""
            while piece := stream.receive(5.0):
                data += piece
            answers.append(data[:12])
            stream.close()
        # The oldest made room; those that were left had their time.
        assert answers.count(b"") >= 200 - MAX_CONNECTIONS
        assert set(answers[-MAX_CONNECTIONS + 1 :]) == {b"HTTP/1.1 408"}
        assert it.ask("GET", "/admin/health")[0] == 200

    it.run(story)


def test_a_caller_that_breaks_off_costs_nothing() -> None:
    it = Called()

    def story() -> None:
        for data in (b"", GET[:7], GET):
            it.connect(data).abort()
        assert it.ask("GET", "/admin/health")[0] == 200

    it.run(story)


def test_a_drain_and_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (
        ("FRONT_UPDATE_DELAY_S", 0.05),
        ("MIGRATION_DEADLINE_S", 0.4),
        ("FINAL_ANSWER_DEADLINE_S", 0.5),
        ("LATE_MIGRATION_S", 0.1),
    ):
        monkeypatch.setattr(drain_module, name, value)
    it = Called()
    town = it.town

    def story() -> None:
        client, attempt = town.pair()
        asking = town.client(b"PING\r\n")
        assert read_line(asking) == b"PONG\r\n"
        assert it.ask("POST", "/admin/quiesce")[0] == 200
        asking.send(b"PING\r\n")
        assert read_line(asking) == b"DRAINING\r\n"
        # Whom the front still sends is served, and then sent away like the others.
        late = town.client(OPEN.replace(b"1a", b"1b"))
        late_attempt = town.attempt()
        read_line(late_attempt)
        late_attempt.send(b"UP r2\r\n")
        assert read_line(late) == b"UP r2\r\n"
        # Nothing comes for this one; it has its answer at the end of the drain.
        stuck = town.client(OPEN.replace(b"1a", b"1c"))
        stuck_attempt = town.attempt()
        assert [read_line(one) for one in (client, late)] == [b"MOVE\r\n"] * 2
        assert read_line(stuck).startswith(b"BUSY ")
        for stream in (client, late, stuck, attempt, late_attempt, stuck_attempt):
            stream.close()
        assert read_line(town.client(OPEN.replace(b"1a", b"1d"))) == b"BUSY 200\r\n"
        town.until(lambda: not town.gateway.request_count())
        assert it.ask("POST", "/admin/resume")[0] == 200
        asking.send(b"PING\r\n")
        assert read_line(asking) == b"PONG\r\n"
        town.arrived.clear()  # what came for the one that was stuck
        town.pair()
        counted = town.gateway.metrics.classes["read"]
        assert counted == ClassMetrics(5, established=3, rejected=2, attempts=counted.attempts)
        assert counted.attempts >= 4
        assert town.gateway.metrics.in_progress == 1

    it.run(story)


def test_where_packets_pass_a_drain_leaves_what_stands(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each move is a connection set up anew, and two proxies drained in turn moved every client once."""
    for name, value in (
        ("FRONT_UPDATE_DELAY_S", 0.02),
        ("MIGRATION_DEADLINE_S", 0.1),
        ("FINAL_ANSWER_DEADLINE_S", 0.2),
        ("LATE_MIGRATION_S", 0.1),
    ):
        monkeypatch.setattr(drain_module, name, value)
    it = Called(keeps=True)
    town = it.town

    def story() -> None:
        client, attempt = town.pair()
        stuck = town.client(OPEN.replace(b"1a", b"1c"))
        stuck_attempt = town.attempt()
        it.ask("POST", "/admin/quiesce")
        assert read_line(stuck).startswith(b"BUSY ")  # what is owed is answered all the same
        town.scheduler.sleep(0.15)  # past the last look
        assert read_line(town.client(OPEN.replace(b"1a", b"1d"))) == b"BUSY 200\r\n"
        client.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"
        attempt.send(b"you\r\n")
        assert read_line(client) == b"you\r\n"
        assert "migrated" not in town.gateway.counts
        assert len(town.gateway.established()) == 1
        for stream in (client, attempt, stuck, stuck_attempt):
            stream.close()

    it.run(story)


def test_a_drain_that_is_taken_back_half_way_keeps_the_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(drain_module, "FRONT_UPDATE_DELAY_S", 0.0)
    it = Called()
    town = it.town

    def story() -> None:
        pairs = []
        for at in range(12):
            client = town.client(OPEN.replace(b"1a", b"%x" % (at + 32)))
            attempt = town.attempt()
            read_line(attempt)
            attempt.send(b"UP r\r\n")
            read_line(client)
            pairs.append((client, attempt))
        it.ask("POST", "/admin/quiesce")
        town.until(lambda: len(town.gateway.established()) < 12)
        it.ask("POST", "/admin/resume")
        left = len(town.gateway.established())
        assert left > 0
        town.scheduler.sleep(0.3)
        assert len(town.gateway.established()) == left
        for client, attempt in pairs:
            client.close()
            attempt.close()

    it.run(story)


def test_a_caller_that_makes_room_is_not_reset_over_what_it_has_just_sent() -> None:
    it = Called()

    def story() -> None:
        half = [it.connect(GET[:7]) for _ in range(MAX_CONNECTIONS)]
        it.town.until(lambda: len(it.control._connections) == MAX_CONNECTIONS)
        half[0].send_nowait(GET[7:20])  # not read yet when the next one comes
        ours, theirs = socket.socketpair()
        it.control._accepted(Stream(it.town.scheduler, ours))
        theirs.close()
        assert half[0].receive(5.0) == b""

    it.run(story)
