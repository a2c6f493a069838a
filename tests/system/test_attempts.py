"""Tests of attempts on loopback sockets: their order, retries, resumes and the client's close."""

from __future__ import annotations

import pytest
from msgspec import structs

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import (
    DeduplicationScope,
    Ended,
    Event,
    Reject,
    Stage,
    TimerFired,
)
from ironmill.net.attempt import AttemptDriver
from ironmill.net.clients import attempts as attempts_module
from ironmill.net.clients.connection import ClientConnection
from ironmill.net.sockets import Stream
from ironmill.protocol.discovery import EndpointUpdate, ListedServer
from ironmill.requests.metrics import ClassMetrics
from tests.support.balancing import IDEMPOTENT, NOT_IDEMPOTENT, SETTINGS, WITH_KEY
from tests.support.clients import DEADLINES_S, connect_instantly, raw_client
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line


def test_failed_connect_is_retried_and_finally_rejected() -> None:
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
            assert attempt.receive(5.0) == b""  # the proxy closes it before the next attempt connects
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


def test_attempt_that_connects_after_the_drain_grace_sends_nothing() -> None:
    """Guards against a request line that reaches a server after its drain grace period has ended."""

    def scenario(proxy: ProxyUnderTest) -> None:
        draining = ListedServer("s-0", *proxy.listeners[0].address, Stage.DRAINING, "a", 0, 1.0, 0.0)
        proxy.gateway.may_start = lambda attempt: False  # type: ignore[method-assign]
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        assert attempt.receive(5.0) == b""
        proxy.gateway.on_endpoints(EndpointUpdate(2, False, (draining,)))
        assert read_line(client).startswith(b"BUSY")

    ProxyUnderTest().run(scenario)


def test_connection_open_before_the_start_resumes_at_its_server() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        request_line = b"OPEN 1a 2b c=read,d=900,at=s-1\r\n"
        client = proxy.client(request_line)
        for answer in (b"BUSY\r\n", b"UP r9\r\n"):  # the resume is retried until the server answers UP
            attempt = proxy.next_attempt()
            assert read_line(attempt) == request_line
            attempt.send(answer)
        assert read_line(client) == b"UP r9\r\n"
        (request,) = proxy.gateway.established()
        assert request.attempt is not None
        assert request.attempt.server.uid == "s-1"
        client.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"

    ProxyUnderTest(2).run(scenario)


def test_request_of_a_client_that_closed_before_the_read_is_not_forwarded() -> None:
    """The client's FIN follows its request line; the attempt must not be sent before the FIN is read."""

    def scenario(proxy: ProxyUnderTest) -> None:
        servers = connect_instantly(proxy)
        with raw_client(proxy, OPEN):
            pass
        proxy.wait_until(lambda: proxy.gateway.metrics.classes["read"].abandoned == 1)
        assert proxy.gateway.metrics.attempts == 0
        assert not servers
        assert not proxy.gateway.request_count()
        assert not proxy.connection_limiter.used()

    ProxyUnderTest().run(scenario)


def test_request_of_a_client_that_closes_during_the_connect_is_not_forwarded() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        servers = connect_instantly(proxy)
        dial = proxy.dial
        assert dial is not None
        with raw_client(proxy, OPEN) as client:

            def close_client(address: tuple[str, int], timeout: float) -> Stream:
                client.close()  # in the scheduler turn in which the server's connection is established
                return dial(address, timeout)

            proxy.dial = close_client
            proxy.wait_until(lambda: proxy.gateway.metrics.classes["read"].abandoned == 1)
        assert servers[0].receive(5.0) == b""
        assert proxy.gateway.counts == {"attempts": 1, "attempt CANCELLED": 1}

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize(
    ("scope", "answer"), [(DeduplicationScope.ZONE, b"ERR"), (DeduplicationScope.ALL, b"BUSY")]
)
def test_retry_that_connects_after_its_window_is_not_sent(
    scope: DeduplicationScope, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second execution: servers drop duplicates of a request only within the window."""
    window_s = 10.0
    keyed_class = structs.replace(WITH_KEY, deduplication_scope=scope, deduplication_window=window_s)
    settings = structs.replace(SETTINGS, classes=(IDEMPOTENT, keyed_class, NOT_IDEMPOTENT))

    def scenario(proxy: ProxyUnderTest) -> None:
        dial, now = Stream.connect, proxy.gateway.now

        def dial_until_window_ends(address: tuple[str, int], timeout: float) -> Stream:
            stream = dial(proxy.scheduler, address, timeout)
            if proxy.gateway.counts["attempts"] == 2:
                # The window ends when the connection is established. The clock is advanced for this, because
                # on a busy machine a window in real time could end before the second attempt starts.
                monkeypatch.setattr(proxy.gateway, "now", lambda: now() + window_s)
            return stream

        proxy.dial = dial_until_window_ends
        request_line = OPEN.replace(b"c=read", b"c=write").replace(b"d=1500", b"d=15000")
        client = proxy.client(request_line)
        first_attempt = proxy.next_attempt()
        read_line(first_attempt)
        first_attempt.abort()  # the request may have run
        second_attempt = proxy.next_attempt()
        assert second_attempt.receive(5.0) == b""
        assert read_line(client).split()[0] == answer
        assert proxy.gateway.counts == {"attempts": 2, "attempt RESET": 1, "attempt NOT_SENT": 1}

    ProxyUnderTest(2, settings=settings, default_deadlines_s=DEADLINES_S).run(scenario)


def test_resume_stops_when_its_client_closes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a resume that is retried although its client has closed."""
    monkeypatch.setattr(attempts_module, "RESUME_RETRY_INTERVAL_S", 0.0)

    def scenario(proxy: ProxyUnderTest) -> None:
        servers = connect_instantly(proxy)
        dial = proxy.dial
        assert dial is not None
        with raw_client(proxy, b"OPEN 1a 2b c=read,at=s-0\r\n") as client:

            def close_client(address: tuple[str, int], timeout: float) -> Stream:
                client.close()
                return dial(address, timeout)

            proxy.dial = close_client
            proxy.wait_until(lambda: proxy.gateway.metrics.classes["read"].abandoned == 1)
        for _ in range(20):
            proxy.scheduler.sleep(0.0)
        assert len(servers) == 1
        assert servers[0].receive(5.0) == b""

    ProxyUnderTest().run(scenario)


def test_request_of_a_closed_client_is_not_retried() -> None:
    """Guards against a retry more than 0.1 s after the client's close, whose result would be lost."""

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


@pytest.mark.parametrize("step", ["_request", "close_gracefully"])
def test_failed_task_releases_all_resources_of_its_connection(
    monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    """Guards against leaked slots, ids and descriptors after an exception in the attempt or final answer."""
    ended_events: list[Ended] = []
    handle = Balancer.handle

    def recorded(balancer: Balancer, event: Event, now: float) -> object:
        if isinstance(event, Ended):
            ended_events.append(event)
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
        proxy.wait_until(lambda: not proxy.connection_limiter.used())
        assert not proxy.gateway.request_count()
        assert not proxy.connection_limiter._client_ids
        counted = proxy.gateway.metrics.classes["read"]
        assert (counted.received, counted.failed + counted.rejected, counted.pending) == (1, 1, 0)
        assert proxy.gateway.metrics.in_progress == 0

    ProxyUnderTest().run(scenario)
    assert len(ended_events) == 1


def test_failed_action_does_not_affect_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """One event may produce answers for several clients; an exception for one must not affect the others."""

    def scenario(proxy: ProxyUnderTest) -> None:
        first, second = (proxy.client(OPEN.replace(b"1a", name)) for name in (b"1a", b"1b"))
        proxy.wait_until(lambda: proxy.gateway.pending_count() == 2)
        request_ids = list(proxy.gateway.requests.by_id)
        actions = [Reject(request_ids[0], 0.1), Reject(request_ids[1], 0.1)]
        failing_handler = proxy.gateway.requests.by_id[request_ids[0]].handler

        def reject_or_fail(self: ClientConnection, retry_after: float) -> None:
            if self is failing_handler:
                raise ZeroDivisionError
            reject(self, retry_after)

        monkeypatch.setattr(ClientConnection, "reject", reject_or_fail)
        monkeypatch.setattr(Balancer, "handle", lambda *_: actions)
        proxy.gateway.feed(TimerFired("any"))
        monkeypatch.undo()
        assert read_line(second) == b"BUSY 100\r\n"
        first.close()
        proxy.wait_until(lambda: not proxy.connection_limiter.used())

    reject = ClientConnection.reject
    ProxyUnderTest(0).run(scenario)
