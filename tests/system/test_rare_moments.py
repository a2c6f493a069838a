"""Instants in which something ends while something is still owed, each made certain by construction.

Clients here are plain sockets: what they send and how they end is in the kernel before the proxy's next turn.
"""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from msgspec import structs

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import (
    DeduplicationScope,
    Ended,
    Event,
    Outcome,
    Reject,
    Request,
    Resumed,
    TimerFired,
)
from ironmill.net import discovery as discovery_module
from ironmill.net import health_check as health_check_module
from ironmill.net import shutdown as shutdown_module
from ironmill.net import sockets as sockets_module
from ironmill.net.attempt import AttemptDriver
from ironmill.net.clients import attempts as attempts_module
from ironmill.net.clients import connection as connection_module
from ironmill.net.clients import reading as reading_module
from ironmill.net.clients.attempts import ClientAttempt
from ironmill.net.clients.connection import ClientConnection
from ironmill.net.discovery import Discovery, DiscoveryListener
from ironmill.net.health_check import MAX_CONNECTIONS, HealthCheckDriver
from ironmill.net.listener import Listener
from ironmill.net.migration import Migration
from ironmill.net.shutdown import Shutdown, ShutdownContext
from ironmill.net.sockets import READ_BYTES, Stream, TimedOutError
from ironmill.protocol.discovery import EndpointUpdate
from ironmill.requests import discovery_backoff
from ironmill.runtime.lifecycle import LifecycleEvent, ProcessState
from tests.support.balancing import IDEMPOTENT, NOT_IDEMPOTENT, SETTINGS, WITH_KEY
from tests.support.proxy_under_test import ONE, OPEN, ProxyUnderTest, answer_discovery, pace, read_line

LIMITS = {"read": 2.0, "write": 2.0, "order": 2.0}


@contextmanager
def dialled(proxy: ProxyUnderTest, data: bytes = b"") -> Iterator[socket.socket]:
    """A client whose bytes are at the proxy's socket before the proxy looks."""
    with socket.create_connection(proxy.listener.address) as client:
        client.sendall(data)
        yield client


def rest(proxy: ProxyUnderTest, client: socket.socket) -> bytes:
    """Everything that the client receives until the end, which must not be a reset."""
    stream, data = Stream(proxy.scheduler, client.dup()), b""
    while piece := stream.receive(5.0):
        data += piece
    stream.close()
    return data


def instant(proxy: ProxyUnderTest) -> list[Stream]:
    """Connections to servers come up without a wait; the other ends, as they are made."""
    held: list[Stream] = []

    def dial(address: tuple[str, int], timeout: float) -> Stream:
        ours, theirs = socket.socketpair()
        held.append(Stream(proxy.scheduler, theirs))
        return Stream(proxy.scheduler, ours)

    proxy.dial = dial
    return held


def test_request_of_a_client_that_closed_before_the_read_is_not_forwarded() -> None:
    """Its end lies behind its first line, and the attempt would be written before that end is read."""

    def scenario(proxy: ProxyUnderTest) -> None:
        held = instant(proxy)
        with dialled(proxy, OPEN):
            pass
        proxy.wait_until(lambda: proxy.gateway.metrics.classes["read"].abandoned == 1)
        assert proxy.gateway.metrics.attempts == 0
        assert not held  # nor was anybody disturbed
        assert not proxy.gateway.request_count()
        assert not proxy.admission.used()

    ProxyUnderTest().run(scenario)


def test_request_of_a_client_that_closes_during_the_connect_is_not_forwarded() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        held = instant(proxy)
        dial = proxy.dial
        assert dial is not None
        with dialled(proxy, OPEN) as client:

            def slow(address: tuple[str, int], timeout: float) -> Stream:
                client.close()  # in the very turn in which the connection comes up
                return dial(address, timeout)

            proxy.dial = slow
            proxy.wait_until(lambda: proxy.gateway.metrics.classes["read"].abandoned == 1)
        assert held[0].receive(5.0) == b""
        assert proxy.gateway.counts == {"attempts": 1, "attempt CANCELLED": 1}

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize(
    ("cls", "written", "answer"),
    [
        ("read", True, b"BUSY"),
        ("read", False, b"BUSY"),
        ("order", False, b"BUSY"),
        ("order", True, b"ERR"),
        ("write", False, b"BUSY"),
        ("write", True, b"ERR"),
    ],
)
def test_attempt_in_progress_at_shutdown_is_answered_by_what_may_have_run(
    cls: str, written: bool, answer: bytes
) -> None:
    """An attempt that may have run must not be rejected as harmless to retry, unless it is."""

    def scenario(proxy: ProxyUnderTest) -> None:
        if not written:
            proxy.dial = lambda address, timeout: proxy.scheduler.sleep(60.0)  # type: ignore[assignment,return-value]
        client = proxy.client(OPEN.replace(b"c=read", b"c=" + cls.encode()))
        if written:
            attempt = proxy.next_attempt()
            read_line(attempt)
        proxy.wait_until(lambda: proxy.gateway.counts.get("attempts") == 1)
        proxy.gateway.resolve_all()
        assert not proxy.gateway.pending_count()
        assert read_line(client).split()[0] == answer
        assert client.receive(5.0) == b""
        if written:
            assert attempt.receive(5.0) == b""
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        assert proxy.gateway.counts["attempts"] == 1
        assert "overdue" not in proxy.gateway.counts

    ProxyUnderTest(default_deadlines_s=LIMITS).run(scenario)


def test_waiting_request_is_rejected_at_shutdown() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN.replace(b"c=read", b"c=order"))
        proxy.wait_until(lambda: proxy.gateway.pending_count() == 1)
        proxy.gateway.resolve_all()
        assert read_line(client).startswith(b"BUSY ")

    ProxyUnderTest(0, default_deadlines_s=LIMITS).run(scenario)


def end_of(proxy: ProxyUnderTest, monkeypatch: pytest.MonkeyPatch) -> Shutdown:
    for name, value in {"ACCEPT_PERIOD_S": 0.02, "MAX_DEADLINE_S": 0.05, "KILL_GRACE_S": 0.6}.items():
        monkeypatch.setattr(shutdown_module, name, value)
    return Shutdown(
        ShutdownContext(proxy.scheduler, proxy.gateway, proxy.listener, proxy.config, proxy.admission)
    )


def test_idle_connections_are_notified_at_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request that arrives at that moment has its answer already, and no reset overtakes it."""
    told_all: list[bytes] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        with dialled(proxy, b"PING\r\n") as resting, dialled(proxy) as silent, dialled(proxy) as speaking:
            proxy.wait_until(lambda: len(proxy.admission._silent) == 3)

            def received(state: ProcessState) -> None:
                if state is ProcessState.FINALIZING:
                    speaking.sendall(OPEN)  # not read yet when the resting ones are ended

            proxy.gateway.lifecycle.add_listener(received)
            proxy.scheduler.spawn(end_of(proxy, monkeypatch).run)
            assert read_line(Stream(proxy.scheduler, silent.dup())) == b"BUSY 200\r\n"
            silent.sendall(OPEN)  # too late: it has its answer
            told_all.extend(rest(proxy, client) for client in (silent, resting, speaking))

    proxy = ProxyUnderTest()
    proxy.run(scenario)  # until the process would exit
    assert told_all == [b"", b"PONG\r\nBUSY 200\r\n", b"BUSY 200\r\n"]
    assert not proxy.arrived
    assert proxy.gateway.metrics.classes["read"].rejected == 1


def test_no_request_starts_while_settling() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(b"PING\r\n")
        assert read_line(client) == b"PONG\r\n"
        for step in (
            LifecycleEvent.STARTED,
            LifecycleEvent.SHUTDOWN_REQUESTED,
            LifecycleEvent.GRACE_PERIOD_ENDED,
        ):
            proxy.gateway.lifecycle.handle(step)
        client.send(OPEN)
        assert read_line(client) == b"BUSY 200\r\n"
        assert client.receive(5.0) == b""
        assert not proxy.arrived

    ProxyUnderTest().run(scenario)


def test_last_answer_precedes_the_close_without_lingering() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        proxy.admission.max_leaving = 0
        with dialled(proxy, b"HELLO\r\n" + b"x" * (READ_BYTES + 9)) as client:
            assert rest(proxy, client) == b"ERR\r\n"
        proxy.admission.max_descriptors = 0
        with dialled(proxy, OPEN + b"x" * READ_BYTES) as client:
            assert rest(proxy, client) == b"BUSY 500\r\n"

    ProxyUnderTest().run(scenario)


def test_unread_bytes_are_read_before_the_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """The wait for the other side's end is over and its bytes have just come."""

    def scenario(proxy: ProxyUnderTest) -> None:
        ours, theirs = socket.socketpair()
        stream = Stream(proxy.scheduler, ours)

        def late(timeout: float | None = None) -> bytes:
            theirs.sendall(b"late")
            raise TimedOutError

        monkeypatch.setattr(Stream, "receive", lambda self, timeout=None: late(timeout))
        stream.send_nowait(b"last\r\n")
        stream.close_gracefully(1.0)
        assert theirs.recv(99) == b"last\r\n"
        assert theirs.recv(99) == b""  # a Unix socket, too, tells of a close over unread bytes
        theirs.close()

    ProxyUnderTest().run(scenario)


def test_silent_client_with_an_unread_request_is_not_evicted() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        with dialled(proxy) as oldest, dialled(proxy) as second:
            proxy.wait_until(lambda: len(proxy.admission._silent) == 2)
            proxy.admission.max_silent = 2
            oldest.sendall(OPEN)
            ticket = proxy.admission.enter(lambda *, immediately: True)
            assert ticket is not None
            assert rest(proxy, second) == b"BUSY 500\r\n"
            read_line(proxy.next_attempt())
            proxy.admission.leave(ticket)

    ProxyUnderTest().run(scenario)


def test_request_line_that_arrived_by_its_deadline_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.0)

    def scenario(proxy: ProxyUnderTest) -> None:
        with dialled(proxy, OPEN):
            read_line(proxy.next_attempt())

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize(
    ("scope", "answer"), [(DeduplicationScope.ZONE, b"ERR"), (DeduplicationScope.ALL, b"BUSY")]
)
def test_retry_that_connects_after_its_window_is_not_sent(
    scope: DeduplicationScope, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Repeats are dropped within the window alone: what begins later could take effect a second time."""
    window = 10.0
    keyed = structs.replace(WITH_KEY, deduplication_scope=scope, deduplication_window=window)
    settings = structs.replace(SETTINGS, classes=(IDEMPOTENT, keyed, NOT_IDEMPOTENT))

    def scenario(proxy: ProxyUnderTest) -> None:
        dial, now = Stream.connect, proxy.gateway.now

        def late(address: tuple[str, int], timeout: float) -> Stream:
            stream = dial(proxy.scheduler, address, timeout)
            if proxy.gateway.counts["attempts"] == 2:
                # The connection comes up as the window ends. The clock is moved: the machine may be busy, and
                # in a window that passes in real time the second attempt might never have begun.
                monkeypatch.setattr(proxy.gateway, "now", lambda: now() + window)
            return stream

        proxy.dial = late
        line = OPEN.replace(b"c=read", b"c=write").replace(b"d=1500", b"d=15000")
        client = proxy.client(line)
        first = proxy.next_attempt()
        read_line(first)
        first.abort()  # it may have run
        second = proxy.next_attempt()
        assert second.receive(5.0) == b""
        assert read_line(client).split()[0] == answer
        assert proxy.gateway.counts == {"attempts": 2, "attempt RESET": 1, "attempt NOT_SENT": 1}

    ProxyUnderTest(2, settings=settings, default_deadlines_s=LIMITS).run(scenario)


def test_rejection_states_no_time_where_the_settings_forbid_it() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        proxy.admission.max_descriptors = 0
        with dialled(proxy, OPEN) as client:
            assert rest(proxy, client) == b"BUSY\r\n"

    ProxyUnderTest(settings=structs.replace(SETTINGS, max_retry_after=0.0)).run(scenario)


def test_accepted_connections_disable_the_nagle_algorithm() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        with socket.create_connection(proxy.listeners[0].address):
            assert proxy.next_attempt()._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    ProxyUnderTest().run(scenario)


def asked(agent: Stream) -> bytes:
    return read_line(agent).split(b" ")[1]


@pytest.mark.parametrize("part", ["head", "body"])
def test_endless_answer_of_discovery_does_not_block_the_watch(
    monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    """Each piece of it arrives in time."""
    monkeypatch.setattr(discovery_module, "CALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr(discovery_backoff, "RECONNECT_DELAY_S", 0.01)

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(lambda _: None), pace
        ).start()
        agent = proxy.next_attempt()
        agent.send(b"HTTP/1.1 200 OK\r\n" + (b"Content-Length: 9999\r\n\r\n" if part == "body" else b""))

        def drip() -> None:
            while True:
                agent.send(b"x")
                proxy.scheduler.sleep(0.01)

        dripper = proxy.scheduler.spawn(drip)
        assert asked(proxy.next_attempt()) == b"/api/targets"  # on a new connection
        proxy.scheduler.kill(dripper)

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize("late", [True, False])
def test_duplicate_answer_of_discovery_does_not_restore_removed_servers(late: bool) -> None:
    """To an earlier call, behind the answer or some milliseconds later, when the next call is out."""
    received: list[EndpointUpdate] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(received.append), pace
        ).start()
        agent = proxy.next_attempt()
        asked(agent)
        if late:
            answer_discovery(agent, 41)
            assert asked(agent) == b"/api/targets?after=41&wait_ms=1000"
            answer_discovery(agent, 40, ONE)
        else:
            old = b'{"rev":40,"all":true,"targets":[%b]}' % ONE
            new = b'{"rev":41,"all":true,"targets":[]}'
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
            agent.send(head % len(new) + new + head % len(old) + old)
        agent = proxy.next_attempt()  # asked for anew, on a connection that holds no old answers
        assert asked(agent) == b"/api/targets?after=41&wait_ms=%d" % (0 if late else 1000)
        answer_discovery(agent, 7, ONE)  # a discovery that began anew is believed there
        proxy.wait_until(lambda: received[-1].revision == 7)

    ProxyUnderTest().run(scenario)
    assert [routing.revision for routing in received] == [41, 7]


def test_watch_survives_an_exception_in_its_listener(caplog: pytest.LogCaptureFixture) -> None:
    """Without the watch no change would arrive; an update that was not applied is polled again."""
    received: list[EndpointUpdate] = []

    def take(routing: EndpointUpdate) -> None:
        received.append(routing)
        if len(received) == 1:
            raise ZeroDivisionError

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(take), pace).start()
        for _ in range(2):
            agent = proxy.next_attempt()
            assert asked(agent) == b"/api/targets"
            answer_discovery(agent, 41, ONE)
        proxy.wait_until(lambda: len(received) == 2)

    ProxyUnderTest().run(scenario)
    assert "a call failed" in caplog.text


def test_watch_reconnects_immediately_after_a_close_between_calls(
    caplog: pytest.LogCaptureFixture,
) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(lambda _: None), pace
        ).start()
        agent = proxy.next_attempt()
        asked(agent)
        answer_discovery(agent, 41)
        agent.close()  # before the next call is written
        assert asked(proxy.next_attempt()) == b"/api/targets?after=41&wait_ms=1000"

    ProxyUnderTest().run(scenario)
    assert not caplog.records


def test_resumed_connection_may_state_a_long_deadline() -> None:
    """Where connections end at the proxy all of them are resumed; a rejection would lose them."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(b"OPEN 1a 2b c=read,d=4294967,g=3c,at=s-0\r\n")
        attempt = proxy.next_attempt()
        read_line(attempt)
        attempt.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"

    ProxyUnderTest().run(scenario)


def test_tenant_of_the_request_line_reaches_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Quotas are by tenant."""
    received: list[Request] = []
    handle = Balancer.handle

    def recorded(balancer: Balancer, event: Event, now: float) -> object:
        if isinstance(event, Request | Resumed):
            received.append(event.request if isinstance(event, Resumed) else event)
        return handle(balancer, event, now)

    monkeypatch.setattr(Balancer, "handle", recorded)

    def scenario(proxy: ProxyUnderTest) -> None:
        held = []
        for at, line in enumerate((b"t=club,d=900", b"d=900", b"t=press,d=900,at=s-0")):
            held.append(proxy.client(b"OPEN %d 2b c=read,%b\r\n" % (at, line)))
            held.append(proxy.next_attempt())
            read_line(held[-1])
            held[-1].send(b"UP r1\r\n")
        proxy.wait_until(lambda: len(proxy.gateway.established()) == 3)

    ProxyUnderTest().run(scenario)
    assert [request.tenant for request in received] == ["club", "", "press"]


def blocked(proxy: ProxyUnderTest, writer: Stream) -> None:
    """Send until nothing more is taken, for the reader at the other end reads nothing."""
    piece = b"z" * READ_BYTES
    while True:
        try:
            writer.send(piece, 0.05)
        except TimedOutError:
            return


@pytest.mark.parametrize("end", ["reset", "finish"])
def test_server_close_is_noticed_while_the_client_does_not_read(end: str) -> None:
    """The server is not read while the write to the client waits."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        (standing,) = proxy.gateway.established()
        driver = standing.handler
        assert isinstance(driver, ClientConnection)
        if end == "reset":
            blocked(proxy, attempt)
            attempt.abort()
        else:
            # So little is held on the way to the client that the rest waits at the proxy, the end behind it.
            driver.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            while not driver.is_writing:
                attempt.send(b"z" * 1024)
                proxy.scheduler.sleep(0.0)
            attempt.shutdown_write()
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        assert not proxy.admission.used()

    ProxyUnderTest().run(scenario)


def test_client_close_is_noticed_while_the_server_does_not_read() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        blocked(proxy, client)
        client.abort()
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        with pytest.raises(ConnectionResetError):  # what came is not all that was sent
            while attempt.receive(5.0):
                pass

    ProxyUnderTest().run(scenario)


def test_slow_reader_gets_all_data_of_a_closed_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only a client that reads nothing is given up."""
    monkeypatch.setattr(sockets_module, "BLOCKED_WRITE_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(sockets_module, "BLOCKED_WRITE_TIMEOUT_S", 0.4)

    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        client._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        (standing,) = proxy.gateway.established()
        assert isinstance(standing.handler, ClientConnection)
        standing.handler.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        attempt.send(b"z" * 800_000)
        attempt.shutdown_write()
        got = 0
        while piece := client.receive(5.0):
            got += len(piece)
            proxy.scheduler.sleep(0.02)  # longer in all than the wait for one who takes nothing
        assert got == 800_000

    ProxyUnderTest().run(scenario)


def prober(proxy: ProxyUnderTest, received: list[tuple[Outcome, object]]) -> HealthCheckDriver:
    return HealthCheckDriver(
        proxy.scheduler, 0.5, lambda _, outcome, report: received.append((outcome, report))
    )


@pytest.mark.parametrize("between", [b"", b"PONG x0=9\r\n"])
def test_health_check_ignores_bytes_received_between_two_checks(between: bytes) -> None:
    """Its connection was closed as idle, or a second answer came: neither says anything of the load."""
    received: list[tuple[Outcome, object]] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        driver, host = prober(proxy, received), proxy.gateway.server("s-0")
        assert host is not None
        for _ in range(2):
            driver.check(host)
            attempt = proxy.next_attempt()  # the second one is a new connection
            read_line(attempt)
            attempt.send(b"PONG x0=0.5\r\n")
            proxy.wait_until(lambda: bool(received))
            if between:
                attempt.send(between)
            else:
                attempt.close()
        proxy.wait_until(lambda: len(received) == 2)

    ProxyUnderTest().run(scenario)
    assert received == [(Outcome.OK, (("x0", 0.5),))] * 2


def test_health_checks_stay_within_their_reserved_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(health_check_module, "REPLY_TIMEOUT_S", 60.0)
    received: list[tuple[Outcome, object]] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        driver, held = prober(proxy, received), []
        hosts = [host for at in range(MAX_CONNECTIONS + 3) if (host := proxy.gateway.server(f"s-{at}"))]
        for host in hosts:
            driver.check(host)
            held.append(proxy.next_attempt())
            if len(held) > 1:
                read_line(held[-1])
                held[-1].send(b"PONG x0=0.5\r\n")
                proxy.wait_until(lambda: len(received) == len(held) - 1)
        assert len(driver._streams) == MAX_CONNECTIONS
        assert read_line(held[0]) == b"STATS\r\n"  # a question is out there: it stays
        assert [attempt.is_closed_by_peer() for attempt in held[:5]] == [False, True, True, True, False]
        assert {outcome for outcome, _ in received} == {Outcome.OK}

    ProxyUnderTest(MAX_CONNECTIONS + 3).run(scenario)


def test_descriptor_exhaustion_affects_one_health_check_and_one_discovery_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The server is not at fault, and the watch continues."""
    received: list[tuple[Outcome, object]] = []
    connect, failed = Stream.connect, list[bool]()

    def full(*args: object) -> Stream:
        if len(failed) < 2:
            failed.append(True)
            raise OSError(errno.EMFILE, "too many")
        return connect(*args)  # type: ignore[arg-type]

    def scenario(proxy: ProxyUnderTest) -> None:
        host = proxy.gateway.server("s-0")
        assert host is not None
        monkeypatch.setattr(Stream, "connect", full)
        prober(proxy, received).check(host)
        proxy.wait_until(lambda: bool(received))
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(lambda _: None), pace
        ).start()
        assert asked(proxy.next_attempt()) == b"/api/targets"

    ProxyUnderTest().run(scenario)
    assert received == [(Outcome.NOT_SENT, ())]
    assert len(failed) == 2


@pytest.mark.parametrize("step", ["_request", "close_gracefully"])
def test_failed_task_releases_all_resources_of_its_connection(
    monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    """While its attempt is out, or while its last answer is given: no slot, id or descriptor stays behind."""
    received: list[Ended] = []
    handle = Balancer.handle

    def recorded(balancer: Balancer, event: Event, now: float) -> object:
        if isinstance(event, Ended):
            received.append(event)
        return handle(balancer, event, now)

    def fails(*_: object) -> None:
        raise ZeroDivisionError

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client()
        monkeypatch.setattr(Balancer, "handle", recorded)
        monkeypatch.setattr(AttemptDriver if step == "_request" else Stream, step, fails)
        client.send(OPEN)
        attempt = proxy.next_attempt()
        if step == "close_gracefully":
            read_line(attempt)
            proxy.gateway.resolve_all()
        assert read_line(client).split()[0] == (b"ERR" if step == "_request" else b"BUSY")
        proxy.wait_until(lambda: not proxy.admission.used())
        assert not proxy.gateway.request_count()
        assert not proxy.admission._client_ids
        counted = proxy.gateway.metrics.classes["read"]
        assert (counted.received, counted.failed + counted.rejected, counted.pending) == (1, 1, 0)
        assert proxy.gateway.metrics.in_progress == 0

    ProxyUnderTest().run(scenario)
    assert len(received) == 1


def test_failed_action_does_not_affect_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """One event may bring about the answers of several clients."""

    def scenario(proxy: ProxyUnderTest) -> None:
        first, second = (proxy.client(OPEN.replace(b"1a", name)) for name in (b"1a", b"1b"))
        proxy.wait_until(lambda: proxy.gateway.pending_count() == 2)
        ids = list(proxy.gateway.requests.by_id)
        orders = [Reject(ids[0], 0.1), Reject(ids[1], 0.1)]
        handler = proxy.gateway.requests.by_id[ids[0]].handler

        def failing(self: ClientConnection, retry_after: float) -> None:
            if self is handler:
                raise ZeroDivisionError
            reject(self, retry_after)

        monkeypatch.setattr(ClientConnection, "reject", failing)
        monkeypatch.setattr(Balancer, "handle", lambda *_: orders)
        proxy.gateway.feed(TimerFired("any"))
        monkeypatch.undo()
        assert read_line(second) == b"BUSY 100\r\n"
        first.close()
        proxy.wait_until(lambda: not proxy.admission.used())

    reject = ClientConnection.reject
    ProxyUnderTest(0).run(scenario)


def test_resume_stops_when_its_client_closes(monkeypatch: pytest.MonkeyPatch) -> None:
    """A resume is retried only while its client is connected."""
    monkeypatch.setattr(attempts_module, "RESUME_RETRY_INTERVAL_S", 0.0)

    def scenario(proxy: ProxyUnderTest) -> None:
        held = instant(proxy)
        dial = proxy.dial
        assert dial is not None
        with dialled(proxy, b"OPEN 1a 2b c=read,at=s-0\r\n") as client:

            def leaves(address: tuple[str, int], timeout: float) -> Stream:
                client.close()
                return dial(address, timeout)

            proxy.dial = leaves
            proxy.wait_until(lambda: proxy.gateway.metrics.classes["read"].abandoned == 1)
        for _ in range(20):
            proxy.scheduler.sleep(0.0)
        assert len(held) == 1
        assert held[0].receive(5.0) == b""

    ProxyUnderTest().run(scenario)


def test_early_data_that_cannot_be_written_ends_with_its_client(monkeypatch: pytest.MonkeyPatch) -> None:
    """The server has taken the connection and reads nothing, and the client has left."""
    failed: list[object] = []
    monkeypatch.setattr(connection_module.log, "exception", lambda *args: failed.append(args))

    def scenario(proxy: ProxyUnderTest) -> None:
        def gives_up(stream: Stream, data: bytes, source: Stream) -> None:
            raise TimedOutError

        monkeypatch.setattr(Stream, "send_from", gives_up)
        client = proxy.client(OPEN.replace(b"g=3c", b"g=3c,mid=1") + b"early\r\n")
        server = proxy.next_attempt()
        read_line(server)
        server.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        assert not proxy.admission.used()

    ProxyUnderTest().run(scenario)
    assert not failed


@pytest.mark.parametrize("known", [True, False])
def test_resuming_connection_is_failed_at_shutdown(known: bool) -> None:
    """Its server has not answered, or discovery has not listed it yet."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(b"OPEN 1a 2b c=read,at=%b\r\n" % (b"s-0" if known else b"s-9"))
        if known:
            read_line(proxy.next_attempt())
        proxy.wait_until(lambda: bool(proxy.gateway.resuming))
        proxy.gateway.resolve_all()
        assert read_line(client) == b"ERR\r\n"
        assert client.receive(5.0) == b""
        client.close()
        proxy.wait_until(lambda: not proxy.admission.used())
        assert not proxy.gateway.resuming
        assert proxy.gateway.metrics.classes["read"].failed == 1

    ProxyUnderTest().run(scenario)


def test_connection_established_after_the_last_round_is_migrated_as_well(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    got: list[bytes] = []
    monkeypatch.setattr(
        Migration, "migrate_all", lambda self, deadline: None
    )  # it has looked, and nothing stood

    def scenario(proxy: ProxyUnderTest) -> None:
        client, _ = proxy.established_pair()
        proxy.scheduler.spawn(end_of(proxy, monkeypatch).run)
        got.append(read_line(client))
        got.append(client.receive(5.0))

    ProxyUnderTest().run(scenario)
    assert got == [b"MOVE\r\n", b""]


def test_resumed_connection_gets_no_second_answer_at_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its first line still waits to be taken when the process ends."""

    def scenario(proxy: ProxyUnderTest) -> None:
        monkeypatch.setattr(ClientAttempt, "on_server_data", lambda *_: proxy.scheduler.sleep(60.0))
        client = proxy.client(b"OPEN 1a 2b c=read,at=s-0\r\n")
        server = proxy.next_attempt()
        read_line(server)
        server.send(b"UP r1\r\nline\r\n")
        assert read_line(client) == b"UP r1\r\n"
        proxy.gateway.resolve_all()
        (standing,) = proxy.gateway.established()
        standing.handler.migrate()
        assert read_line(client) == b"MOVE\r\n"  # and nothing before it

    ProxyUnderTest().run(scenario)


def test_simultaneous_health_checks_stay_within_their_reserved_descriptors() -> None:
    received: list[tuple[Outcome, object]] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        dialling: list[int] = []

        def dial(address: tuple[str, int], timeout: float) -> Stream:
            dialling.append(address[1])
            proxy.scheduler.sleep(60.0)
            raise TimedOutError

        driver = prober(proxy, received)
        driver._dial = dial
        for at in range(MAX_CONNECTIONS + 2):
            host = proxy.gateway.server(f"s-{at}")
            assert host is not None
            driver.check(host)
        proxy.wait_until(lambda: len(received) == 2)
        assert len(dialling) == MAX_CONNECTIONS

    ProxyUnderTest(MAX_CONNECTIONS + 2).run(scenario)
    assert received == [(Outcome.NOT_SENT, ())] * 2


class Broken:
    """A socket some of whose calls fail."""

    def __init__(self, sock: socket.socket, **errors: int) -> None:
        self._sock, self._errors = sock, errors

    def __getattr__(self, name: str) -> object:
        if name in self._errors:
            code = self._errors[name]

            def fail(*_: object) -> None:
                raise OSError(code, "broken")

            return fail
        return getattr(self._sock, name)


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETRESET])
@pytest.mark.parametrize("call", ["recv", "send", "setsockopt"])
def test_broken_connection_is_closed_and_counted(call: str, code: int) -> None:
    """The operators' notes: a broken connection may show as ETIMEDOUT or EHOSTUNREACH. Nothing leaks."""

    def scenario(proxy: ProxyUnderTest) -> None:
        taken: list[Stream] = []
        take = proxy.listener._on_connection
        proxy.listener._on_connection = lambda stream: (taken.append(stream), take(stream))[1]
        client, attempt = proxy.established_pair()
        (stream,) = taken
        stream._sock = Broken(stream._sock, **{call: code})  # type: ignore[assignment]
        if call == "setsockopt":
            attempt.abort()  # the client's side is to be aborted as well
        elif call == "send":
            attempt.send(b"line\r\n")
        else:
            client.send(b"line\r\n")
        proxy.wait_until(lambda: not proxy.gateway.request_count() and not proxy.admission.used())
        assert stream.closed
        if call != "setsockopt":
            with contextlib.suppress(ConnectionResetError):
                while attempt.receive(5.0):
                    pass
        assert proxy.gateway.metrics.classes["read"].established == 1

    ProxyUnderTest().run(scenario)


def test_interrupted_connect_continues(monkeypatch: pytest.MonkeyPatch) -> None:
    """connect(2): after EINTR the connection is established asynchronously."""

    class Interrupted(socket.socket):
        def connect_ex(self, address: object) -> int:
            code = super().connect_ex(address)  # type: ignore[arg-type]
            return errno.EINTR if code == errno.EINPROGRESS else code

    def scenario(proxy: ProxyUnderTest) -> None:
        monkeypatch.setattr(sockets_module.socket, "socket", Interrupted)
        assert proxy.established_pair()

    ProxyUnderTest().run(scenario)


def test_request_of_a_closed_client_is_not_retried() -> None:
    """The operators' notes: an attempt that begins more than 0.1 s after that is a lost request."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        read_line(attempt)
        attempt.send(b"ERR\r\n")  # another attempt follows after a pause
        client.close()
        proxy.wait_until(lambda: proxy.gateway.metrics.classes["read"].abandoned == 1)
        proxy.scheduler.sleep(0.3)
        assert not proxy.arrived
        assert proxy.gateway.counts["attempts"] == 1

    ProxyUnderTest(2).run(scenario)


def test_immediate_rejection_is_complete_despite_short_writes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found by the soak: of BUSY a few bytes went out, and the connection was closed."""

    class Short(socket.socket):
        def send(self, data: bytes, flags: int = 0) -> int:  # type: ignore[override]
            return super().send(data[:1], flags)

    def scenario(proxy: ProxyUnderTest) -> None:
        proxy.admission.max_descriptors = 0
        monkeypatch.setattr(sockets_module.socket, "socket", Short)
        with dialled(proxy, OPEN) as client:
            assert rest(proxy, client) == b"BUSY 500\r\n"

    ProxyUnderTest().run(scenario)


def test_time_in_the_accept_queue_counts_against_the_deadline() -> None:
    """PROTOCOL: ``d`` counts from when the client sent the line, also in the accept queue."""

    def scenario(proxy: ProxyUnderTest) -> None:
        late = Listener(proxy.scheduler, ("127.0.0.1", 0), proxy._take)

        def left() -> float:
            """Until the last request is given up."""
            read_line(proxy.next_attempt())
            *_, request = proxy.gateway.requests.by_id.values()
            return request.give_up_at - proxy.gateway.now()

        with socket.create_connection(late.address) as early, socket.create_connection(late.address) as slow:
            early.sendall(OPEN)
            proxy.scheduler.sleep(0.5)
            late.start()
            assert left() <= 1.0
            slow.sendall(OPEN.replace(b"1a", b"1b"))  # came just now, though its connection has waited
            assert left() > 1.1
        late.close()

    ProxyUnderTest().run(scenario)
