"""The drivers on loopback sockets, against servers and clients played by the tests."""

from __future__ import annotations

import errno
import os
import signal
import socket
from typing import Any

import pytest

from ironmill.balancing.interface import Stage
from ironmill.net import discovery as discovery_module
from ironmill.net import shutdown as shutdown_module
from ironmill.net.clients import intake as intake_module
from ironmill.net.clients import migration as migration_module
from ironmill.net.clients import reading as reading_module
from ironmill.net.discovery import Discovery, DiscoveryListener
from ironmill.net.shutdown import Shutdown, ShutdownContext, ShutdownSchedule
from ironmill.net.signals import Signals
from ironmill.net.sockets import READ_BYTES, Stream, TimedOutError
from ironmill.protocol.discovery import EndpointUpdate, ListedServer
from ironmill.requests import discovery_backoff
from ironmill.requests.metrics import ClassMetrics
from ironmill.requests.response_delay import DelayMeter
from ironmill.runtime.scheduler import READ, Scheduler
from tests.support.proxy_under_test import ONE, OPEN, ProxyUnderTest, answer_discovery, pace, read_line


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


@pytest.mark.parametrize(
    "data",
    [
        b"HELLO\r\n",
        b"x" * 5000,
        b"OPEN 1 2 d=4\r\n",
        OPEN.replace(b"read", b"none"),
        OPEN + OPEN,
        OPEN.replace(b"d=1500", b"d=1500,d=9"),
        OPEN.replace(b"1500", b"99999999"),
        b"PING\r\n" * 99,
        OPEN.replace(b"1500", b"-5"),
        OPEN.replace(b"1a ", b""),
    ],
)
def test_malformed_request_line_gets_one_error_line_and_a_close(data: bytes) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(data)
        assert read_line(client) == b"ERR\r\n"
        assert client.receive(5.0) == b""
        client.close()
        assert not proxy.arrived  # nothing of it goes on
        assert not proxy.gateway.pending_count()

    ProxyUnderTest().run(scenario)


def test_data_before_the_answer_ends_the_attempt() -> None:
    """A client must wait for the answer to its request line."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        read_line(attempt)
        client.send(OPEN)
        assert read_line(client) == b"ERR\r\n"
        assert attempt.receive(5.0) == b""

    ProxyUnderTest().run(scenario)


def test_rejects_the_client_id_of_an_open_connection() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        assert read_line(proxy.client(OPEN)) == b"ERR\r\n"
        client.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"
        client.close()
        assert attempt.receive(5.0) == b""
        proxy.wait_until(lambda: not proxy.admission.used())
        assert proxy.established_pair()  # the id is free again

    ProxyUnderTest().run(scenario)


def test_request_line_timeout_bounds_bytes_that_arrive_singly(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.1)

    def scenario(proxy: ProxyUnderTest) -> None:
        silent, dripping = proxy.client(), proxy.client()

        def drip() -> None:
            while True:
                dripping.send(b"O")
                proxy.scheduler.sleep(0.02)

        dripper = proxy.scheduler.spawn(drip)
        assert read_line(dripping) == b"ERR\r\n"
        assert read_line(silent) == b"BUSY 500\r\n"  # nothing of it is malformed, nor has run
        proxy.scheduler.kill(dripper)

    ProxyUnderTest().run(scenario)


def test_evicts_silent_clients_for_clients_with_requests() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        most = proxy.admission.max_silent
        silent = [proxy.client() for _ in range(most + 2)]
        assert read_line(silent[0]) == read_line(silent[1]) == b"BUSY 500\r\n"
        assert proxy.established_pair()
        assert proxy.admission.used() <= proxy.admission.max_descriptors

    ProxyUnderTest(sockets=64).run(scenario)


def test_rejects_client_immediately_if_nothing_can_be_evicted() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        pairs = []
        for at in range(proxy.admission.max_descriptors // 2):
            pairs.append(proxy.client(OPEN.replace(b"1a", b"%x" % at)))
            attempt = proxy.next_attempt()
            read_line(attempt)
            attempt.send(b"UP r1\r\n")
        late = proxy.client(OPEN.replace(b"1a", b"ffff"))
        assert read_line(late).startswith(b"BUSY ")
        pairs[0].close()
        proxy.wait_until(lambda: proxy.admission.used() <= proxy.admission.max_descriptors - 2)
        assert proxy.established_pair()

    ProxyUnderTest(sockets=64).run(scenario)


def test_reads_a_bounded_part_of_a_fast_sender_after_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bytes after a rejection must not cost processor time."""
    read: list[int] = []
    receive = Stream.receive

    def counted(self: Stream, timeout: float | None = None) -> bytes:
        data = receive(self, timeout)
        if self is not read_by_test[0]:
            read.append(len(data))
        return data

    monkeypatch.setattr(Stream, "receive", counted)
    read_by_test: list[Stream] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client()
        read_by_test.append(client)
        with pytest.raises(OSError):
            client.send(b"x" * 60_000_000)
        assert sum(read) < 200_000

    ProxyUnderTest().run(scenario)


def test_refused_connection_is_retried_and_finally_rejected() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        for listener in proxy.listeners:
            listener.close()
        client = proxy.client(OPEN)
        answer = read_line(client)
        assert answer.startswith(b"BUSY ")
        assert int(answer.split()[1]) > 0
        assert proxy.gateway.counts["attempt CONNECT_FAILED"] >= 2
        proxy.listeners = []

    ProxyUnderTest(2).run(scenario)


def test_next_attempt_starts_after_the_rejected_one_is_closed() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN)
        for answer in (b"BUSY\r\n", b"ERR\r\n"):
            attempt = proxy.next_attempt()
            read_line(attempt)
            attempt.send(answer)
            assert attempt.receive(5.0) == b""  # closed, and only then does the next one come
            attempt.close()
        attempt = proxy.next_attempt()
        read_line(attempt)
        attempt.send(b"UP r2\r\n")
        assert read_line(client) == b"UP r2\r\n"

    ProxyUnderTest(3).run(scenario)


def test_client_that_closes_before_up_ends_its_attempt() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        read_line(attempt)
        client.close()
        assert attempt.receive(5.0) == b""
        assert proxy.gateway.counts == {"attempts": 1, "attempt CANCELLED": 1}
        counted = ClassMetrics(received=1, abandoned=1, attempts=1)
        assert proxy.gateway.metrics.classes["read"] == counted

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
        attempt.send(b"BYE\r\n")  # a half-closed connection still takes what is on its way
        assert read_line(client) == b"BYE\r\n"
        attempt.close()
        assert client.receive(5.0) == b""
        proxy.wait_until(lambda: proxy.gateway.counts.get("established OK") == 1)
        assert proxy.gateway.counts["established RESET"] == 1
        assert proxy.gateway.counts["established CANCELLED"] == 1

    ProxyUnderTest().run(scenario)


def test_migration_waits_for_the_incomplete_line() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        attempt.send(b"ha")
        assert client.receive(5.0) == b"ha"
        (request,) = proxy.gateway.established()
        request.handler.migrate()
        proxy.scheduler.sleep(0.02)
        attempt.send(b"lf\r\n")
        data = b""
        while piece := client.receive(5.0):
            data += piece
        assert data == b"lf\r\nMOVE\r\n"
        client.close()
        assert attempt.receive(5.0) == b""

    ProxyUnderTest().run(scenario)


def test_migration_is_forced_if_the_line_does_not_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(migration_module, "MIGRATION_TIMEOUT_S", 0.05)

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        attempt.send(b"ha")
        assert client.receive(5.0) == b"ha"
        (request,) = proxy.gateway.established()
        request.handler.migrate()
        assert client.receive(5.0) == b""

    ProxyUnderTest().run(scenario)


def test_unresponsive_server_is_given_up_and_its_client_migrated(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that is lost closes no connection."""
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
    seen: list[int] = []
    monkeypatch.setattr(DelayMeter, "lines_answered", lambda self, id_, count: seen.append(count))

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        total = 40_000_000
        sent = [0]

        def pour() -> None:
            while sent[0] < total:
                attempt.send(b"z" * READ_BYTES)
                sent[0] += READ_BYTES
            attempt.close_gracefully(5.0)

        proxy.scheduler.spawn(pour)
        proxy.scheduler.sleep(0.3)
        assert sent[0] < total  # the buffers on the way are full; the proxy reads no further
        got = 0
        while piece := client.receive(5.0):
            got += len(piece)
        assert got == sent[0] >= total

    ProxyUnderTest().run(scenario)


def test_client_that_does_not_read_does_not_make_its_server_unresponsive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("ironmill.requests.response_delay.UNRESPONSIVE_TIMEOUT_S", 0.6)

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        client.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"
        poured = proxy.scheduler.spawn(attempt.send, b"z" * 40_000_000 + b"\r\n")
        proxy.scheduler.sleep(1.0)
        assert "unresponsive" not in proxy.gateway.counts
        while not client.receive(5.0).endswith(b"\r\n"):
            pass
        client.send(b"you\r\n")  # measured again from here on
        assert read_line(attempt) == b"you\r\n"
        proxy.wait_until(lambda: proxy.gateway.counts.get("unresponsive") == 1)
        proxy.scheduler.kill(poured)

    ProxyUnderTest().run(scenario)


def test_attempt_that_connects_after_the_drain_grace_sends_nothing() -> None:
    """The grace period of a draining server counts at the first byte."""

    def scenario(proxy: ProxyUnderTest) -> None:
        gone = ListedServer("s-0", *proxy.listeners[0].address, Stage.DRAINING, "a", 0, 1.0, 0.0)
        proxy.gateway.may_start = lambda attempt: False  # type: ignore[method-assign]
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        assert attempt.receive(5.0) == b""
        proxy.gateway.on_endpoints(EndpointUpdate(2, False, (gone,)))
        assert read_line(client).startswith(b"BUSY")

    ProxyUnderTest().run(scenario)


def test_connection_open_before_the_start_resumes_at_its_server() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        at = b"OPEN 1a 2b c=read,d=900,at=s-1\r\n"
        client = proxy.client(at)
        for answer in (b"BUSY\r\n", b"UP r9\r\n"):  # it is tried again until it is up
            attempt = proxy.next_attempt()
            assert read_line(attempt) == at
            attempt.send(answer)
        assert read_line(client) == b"UP r9\r\n"
        (request,) = proxy.gateway.established()
        assert request.attempt is not None
        assert request.attempt.server.uid == "s-1"
        client.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"

    ProxyUnderTest(2).run(scenario)


def test_exception_ends_only_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    parse = intake_module.request_attributes
    monkeypatch.setattr(
        intake_module, "request_attributes", lambda line: 1 / int(line.key, 16) and parse(line)
    )

    def scenario(proxy: ProxyUnderTest) -> None:
        broken = proxy.client(OPEN.replace(b"2b", b"00"))
        assert read_line(broken) == b"ERR\r\n"
        assert broken.receive(5.0) == b""
        assert proxy.established_pair()

    ProxyUnderTest().run(scenario)


def test_discovery_requests_the_full_list_then_changes_and_reconnects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_backoff, "RECONNECT_DELAY_S", 0.01)
    empty = b'{"rev":%d,"all":%s,"targets":[]}'
    received: list[EndpointUpdate] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(received.append), pace
        ).start()
        agent = proxy.next_attempt()
        asked = []
        for body in (empty % (41, b"true"), empty % (43, b"false"), b"{"):
            asked.append(read_line(agent).split(b" ")[1])
            agent.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        agent = proxy.next_attempt()  # after nonsense it calls anew, from where it was
        asked.append(read_line(agent).split(b" ")[1])
        agent.close()
        asked.append(read_line(proxy.next_attempt()).split(b" ")[1])
        watch, again = b"/api/targets?after=%d&wait_ms=1000", b"/api/targets?after=43&wait_ms=0"
        assert asked == [b"/api/targets", watch % 41, watch % 43, again, again]

    proxy = ProxyUnderTest()
    proxy.run(scenario)
    assert [(routing.revision, routing.full) for routing in received] == [(41, True), (43, False)]


@pytest.mark.parametrize("again", ["named", "empty", "partly", "silent", "broken"])
def test_empty_endpoint_list_is_requested_again(again: str) -> None:
    """An empty list is more likely a fault of discovery, and would remove all servers."""
    received: list[EndpointUpdate] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler,
            proxy.listeners[0].address,
            DiscoveryListener(received.append, server_count=proxy.gateway.known_servers),
            pace,
            15,
        ).start()
        agent = proxy.next_attempt()
        asked = [read_line(agent).split(b" ")[1]]
        answer_discovery(agent, 16)
        asked.append(read_line(agent).split(b" ")[1])
        assert not received
        if again == "named":
            answer_discovery(agent, 17, ONE)
        elif again == "empty":
            answer_discovery(agent, 17)
        elif again == "partly":
            agent.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
        elif again == "broken":
            agent.close()
        proxy.wait_until(lambda: bool(received))
        assert asked == [b"/api/targets?after=15&wait_ms=1000", b"/api/targets"]
        if again in ("partly", "silent", "broken"):
            agent = proxy.next_attempt()  # it goes on from there
        assert read_line(agent).split(b" ")[1] == b"/api/targets?after=%d&wait_ms=1000" % received[0].revision

    ProxyUnderTest().run(scenario)
    (routing,) = received
    assert (routing.revision, len(routing.servers)) == ((17, 1) if again == "named" else (16, 0))
    assert (routing.age > 0.0) is (again != "named")


def test_empty_endpoint_list_is_applied_if_no_server_was_known() -> None:
    received: list[EndpointUpdate] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(received.append), pace, 15
        ).start()
        answer_discovery(proxy.next_attempt(), 16)
        proxy.wait_until(lambda: bool(received))

    ProxyUnderTest().run(scenario)
    assert received == [EndpointUpdate(16, True, ())]


def test_watch_without_answers_reconnects_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    """An agent may block a call for ever; a drain would go unnoticed meanwhile.

    Only a call that is not to be answered has little time: others may be answered late by a busy machine.
    """
    assert discovery_module.POLL_WAIT_MS / 1000.0 + discovery_module.CALL_TIMEOUT_S <= 2.5
    monkeypatch.setattr(discovery_module, "POLL_WAIT_MS", 20)
    monkeypatch.setattr(discovery_module, "CALL_TIMEOUT_S", 30.0)
    revisions: list[int] = []
    ended = [0, 0]  # calls that were answered, and all that ended

    def take(routing: EndpointUpdate) -> None:
        revisions.append(routing.revision)
        ended[0] += 1
        monkeypatch.setattr(discovery_module, "CALL_TIMEOUT_S", 0.05)  # of the next call

    def called() -> None:
        ended[1] += 1
        if ended[1] > ended[0] * 2 - 1:  # a silent call behind each answered one
            monkeypatch.setattr(discovery_module, "CALL_TIMEOUT_S", 30.0)

    def scenario(proxy: ProxyUnderTest) -> None:
        address = proxy.listeners[0].address
        Discovery(proxy.scheduler, address, DiscoveryListener(take, called), pace).start()
        agent = proxy.next_attempt()
        read_line(agent)
        for revision in (41, 42):
            answer_discovery(agent, revision)
            proxy.wait_until(lambda: revisions[-1:] == [revision])  # noqa: B023
            asked = agent
            agent = proxy.next_attempt()  # on a connection of its own, for the last one brings nothing
            assert b"after=%d&" % revision in read_line(agent)
            assert b"after=%d&" % revision in read_line(asked)

    ProxyUnderTest().run(scenario)


def test_watch_starts_from_the_known_revision_and_logs_failures_once(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(discovery_backoff, "RECONNECT_DELAY_S", 0.01)
    monkeypatch.setattr(discovery_backoff, "MEAN_CALL_INTERVAL_S", 0.01)
    received: list[EndpointUpdate] = []
    seen: list[Stream] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(received.append), pace, 15
        ).start()
        for answer in (
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy",
            b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{"rev":16',
            b"",
            b'HTTP/1.1 200 OK\r\nContent-Length: 36\r\n\r\n{"rev":16,"all":false,"targets":[4]}',
            b'HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n{"rev":17,"all":false,"targets":[]}',
        ):
            agent = proxy.next_attempt()
            wait, seen[:] = (0 if seen else 1000), [agent]  # the first waits for news, the next ask at once
            assert read_line(agent).split(b" ")[1] == b"/api/targets?after=15&wait_ms=%d" % wait
            agent.send(answer)
            if b"17" not in answer:
                agent.close()
        proxy.wait_until(lambda: bool(received))

    ProxyUnderTest().run(scenario)
    assert [routing.revision for routing in received] == [17]
    assert [record.getMessage() for record in caplog.records if record.name == "ironmill.discovery"] == [
        "discovery: HttpError status 503"
    ]


def test_discovery_changes_its_address_after_the_full_list() -> None:
    received: list[int] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        discovery = Discovery(
            proxy.scheduler,
            proxy.listeners[0].address,
            DiscoveryListener(lambda update: received.append(update.revision)),
            pace,
        )
        discovery.start()
        old = proxy.next_attempt()
        read_line(old)
        answer_discovery(old, 41)
        read_line(old)
        discovery.watch_at(proxy.listeners[1].address)
        proxy.next_attempt()
        discovery.watch_at(proxy.listeners[2].address)  # before the one in between has answered
        new = proxy.next_attempt()
        assert read_line(new).startswith(b"GET /api/targets HTTP")
        answer_discovery(old, 42)  # still heard, for the new one has said nothing yet
        proxy.wait_until(lambda: received == [41, 42])
        answer_discovery(new, 7)
        proxy.wait_until(lambda: received == [41, 42, 7])
        data = b""
        while piece := old.receive(5.0):
            data += piece
        assert data.count(b"GET") <= 1

    ProxyUnderTest(3).run(scenario)


@pytest.mark.parametrize("packets_pass_through", [True, False])
def test_shutdown_answers_every_pending_request(
    monkeypatch: pytest.MonkeyPatch, packets_pass_through: bool
) -> None:
    monkeypatch.setattr(shutdown_module, "ACCEPT_PERIOD_S", 0.05)
    monkeypatch.setattr(shutdown_module, "MAX_DEADLINE_S", 0.9)
    monkeypatch.setattr(shutdown_module, "MIGRATION_DELAY_S", 0.6)
    signals = Signals()
    hung_up: list[bool] = []
    out: dict[str, bytes] = {}

    def scenario(proxy: ProxyUnderTest) -> None:
        standing, held_by = proxy.established_pair()
        signals.on(
            signal.SIGTERM,
            Shutdown(
                ShutdownContext(proxy.scheduler, proxy.gateway, proxy.listener, proxy.config, proxy.admission)
            ).run,
        )
        signals.on(signal.SIGHUP, lambda: hung_up.append(True))
        signals.start(proxy.scheduler)
        proxy.scheduler.sleep(0.01)
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGHUP)
        proxy.scheduler.sleep(0.01)
        late = proxy.client(OPEN.replace(b"1a", b"1b"))  # still accepted
        attempt = proxy.next_attempt()
        read_line(attempt)
        proxy.scheduler.sleep(0.2)
        attempt.send(b"UP r5\r\n")
        out["late"] = read_line(late)
        standing.send(b"hey\r\n")  # served meanwhile
        out["line"] = read_line(held_by)
        out["standing"] = standing.receive(5.0)

    try:
        proxy = ProxyUnderTest(packets_pass_through=packets_pass_through)
        proxy.run(scenario)
    finally:
        signals.close()
    assert hung_up
    assert out["late"].startswith(b"UP r5\r\n")
    assert out["line"] == b"hey\r\n"
    assert out["standing"] == b"MOVE\r\n"


def test_resolve_all_rejects_pending_requests() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        read_line(attempt)
        proxy.gateway.resolve_all()
        assert read_line(client).startswith(b"BUSY ")
        assert attempt.receive(5.0) == b""
        assert not proxy.gateway.pending_count()

    ProxyUnderTest().run(scenario)


def test_listener_survives_descriptor_exhaustion(monkeypatch: pytest.MonkeyPatch) -> None:
    class Full:
        """A listening socket of a process that has no descriptors left, for two calls."""

        def __init__(self, sock: socket.socket) -> None:
            self._sock, self.left = sock, 2

        def accept(self) -> Any:
            if self.left:
                self.left -= 1
                raise OSError(errno.EMFILE, "too many")
            return self._sock.accept()

        def __getattr__(self, name: str) -> Any:
            return getattr(self._sock, name)

    def scenario(proxy: ProxyUnderTest) -> None:
        full = Full(proxy.listener._sock)
        proxy.listener._sock = full  # type: ignore[assignment]
        assert proxy.established_pair()
        assert full.left == 0

    ProxyUnderTest().run(scenario)


def test_scheduler_waits_wakes_and_survives_failures() -> None:
    scheduler = Scheduler()
    left, right = socket.socketpair()
    seen: list[object] = []

    def scenario() -> None:
        seen.append(scheduler.wait(left.fileno(), READ, 0.01))
        right.send(b"x")
        seen.append(scheduler.wait(left.fileno(), READ, 1.0))
        left.recv(1)
        waiter = scheduler.spawn(scheduler.wait, left.fileno(), READ)
        scheduler.sleep(0)
        scheduler.kill(waiter)
        seen.append(scheduler.wait(left.fileno(), READ, 0.01))  # its watch is gone at once
        scheduler.spawn(lambda: 1 / 0)
        timer = scheduler.call_later(0.01, seen.append, "withdrawn")
        scheduler.cancel(timer)
        scheduler.cancel(timer)
        scheduler.call_later(0, lambda: 1 / 0)
        scheduler.sleep(0.02)
        seen.append("end")
        scheduler.stop()

    scheduler.spawn(scenario)
    scheduler.run()
    left.close()
    right.close()
    assert seen == [False, True, False, "end"]
    with pytest.raises(RuntimeError):
        scheduler.sleep(1.0)


def test_unclosed_stream_does_not_affect_the_next_one_with_its_descriptor() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        for _ in range(20):
            client = proxy.client(b"PING\r\n")
            assert read_line(client) == b"PONG\r\n"
            del client

    ProxyUnderTest().run(scenario)


def test_connect_times_out() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        address = full.getsockname()
        held = []
        with pytest.raises(TimedOutError):
            for _ in range(9):
                held.append(Stream.connect(proxy.scheduler, address, 0.05))
        for stream in held:
            stream.close()
        full.close()

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize("longest", [0.05, 0.3, 0.6, 1.0, 2.0, 3.2, 60.0])
def test_shutdown_has_time_to_migrate_established_connections(longest: float) -> None:
    """Migrations must start early enough, but not before the proxy restarted earlier serves again."""
    times = ShutdownSchedule.for_deadline(longest)
    assert times.close_at < times.migrate_at < times.end_at <= min(longest, 3.0) + 0.7
    assert times.end_at - times.migrate_at >= (times.end_at - times.close_at) / 2.0 - 1e-9
    if longest >= 3.0:
        assert 1.95 <= times.migrate_at <= 2.5


@pytest.mark.parametrize("longest", [0.3, 0.6, 2.0, 3.2])
def test_shutdown_accepts_clients_until_the_front_has_noticed(longest: float) -> None:
    """PROTOCOL: new connections arrive for 0.2 to 0.4 s after SIGTERM, whatever the deadlines are."""
    times = ShutdownSchedule.for_deadline(longest)
    assert times.close_at >= 0.4 + 0.04
    assert times.close_at < times.end_at - shutdown_module.FINAL_FLUSH_S  # what came last is decided on


def test_request_line_may_take_two_seconds() -> None:
    """DAYS: some take 2 s. STANDING: a client that stops halfway gets an error or a close within 3 s."""
    assert 2.3 <= reading_module.REQUEST_LINE_TIMEOUT_S <= 2.7
