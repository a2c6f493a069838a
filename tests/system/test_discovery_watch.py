"""Tests of the watch on discovery, with an agent that the test emulates on a loopback socket."""

from __future__ import annotations

import pytest

from ironmill.net import discovery as discovery_module
from ironmill.net.discovery import Discovery, DiscoveryListener
from ironmill.net.sockets import Stream
from ironmill.protocol.discovery import EndpointUpdate
from ironmill.requests import discovery_backoff
from tests.support.clients import requested_path
from tests.support.proxy_under_test import (
    ENDPOINT,
    ProxyUnderTest,
    answer_discovery,
    create_backoff,
    read_line,
)


def test_discovery_requests_the_full_list_then_changes_and_reconnects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_backoff, "RECONNECT_DELAY_S", 0.01)
    empty = b'{"rev":%d,"all":%s,"targets":[]}'
    received: list[EndpointUpdate] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(received.append), create_backoff
        ).start()
        agent = proxy.next_attempt()
        paths = []
        for body in (empty % (41, b"true"), empty % (43, b"false"), b"{"):
            paths.append(read_line(agent).split(b" ")[1])
            agent.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        agent = proxy.next_attempt()  # after a malformed answer it reconnects, from the last revision
        paths.append(read_line(agent).split(b" ")[1])
        agent.close()
        paths.append(read_line(proxy.next_attempt()).split(b" ")[1])
        poll, retry = b"/api/targets?after=%d&wait_ms=1000", b"/api/targets?after=43&wait_ms=0"
        assert paths == [b"/api/targets", poll % 41, poll % 43, retry, retry]

    proxy = ProxyUnderTest()
    proxy.run(scenario)
    assert [(update.revision, update.full) for update in received] == [(41, True), (43, False)]


@pytest.mark.parametrize("second_answer", ["servers", "empty", "truncated", "silent", "closed"])
def test_empty_endpoint_list_is_requested_again(second_answer: str) -> None:
    """Guards against removing all servers for an empty list, more likely a fault of discovery."""
    received: list[EndpointUpdate] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler,
            proxy.listeners[0].address,
            DiscoveryListener(received.append, server_count=proxy.gateway.known_servers),
            create_backoff,
            15,
        ).start()
        agent = proxy.next_attempt()
        paths = [read_line(agent).split(b" ")[1]]
        answer_discovery(agent, 16)
        paths.append(read_line(agent).split(b" ")[1])
        assert not received
        if second_answer == "servers":
            answer_discovery(agent, 17, ENDPOINT)
        elif second_answer == "empty":
            answer_discovery(agent, 17)
        elif second_answer == "truncated":
            agent.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
        elif second_answer == "closed":
            agent.close()
        proxy.wait_until(lambda: bool(received))
        assert paths == [b"/api/targets?after=15&wait_ms=1000", b"/api/targets"]
        if second_answer in ("truncated", "silent", "closed"):
            agent = proxy.next_attempt()  # the watch continues from its revision
        assert read_line(agent).split(b" ")[1] == b"/api/targets?after=%d&wait_ms=1000" % received[0].revision

    ProxyUnderTest().run(scenario)
    (update,) = received
    assert (update.revision, len(update.servers)) == ((17, 1) if second_answer == "servers" else (16, 0))
    assert (update.age > 0.0) is (second_answer != "servers")


def test_empty_endpoint_list_is_applied_if_no_server_was_known() -> None:
    received: list[EndpointUpdate] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler,
            proxy.listeners[0].address,
            DiscoveryListener(received.append),
            create_backoff,
            15,
        ).start()
        answer_discovery(proxy.next_attempt(), 16)
        proxy.wait_until(lambda: bool(received))

    ProxyUnderTest().run(scenario)
    assert received == [EndpointUpdate(16, True, ())]


def test_watch_without_answers_reconnects_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against missing a drain while an agent blocks a call indefinitely.

    Only calls that stay unanswered get a short timeout, since a busy machine may answer the others late.
    """
    assert discovery_module.POLL_WAIT_MS / 1000.0 + discovery_module.CALL_TIMEOUT_S <= 2.5
    monkeypatch.setattr(discovery_module, "POLL_WAIT_MS", 20)
    monkeypatch.setattr(discovery_module, "CALL_TIMEOUT_S", 30.0)
    revisions: list[int] = []
    call_counts = [0, 0]  # answered calls, all completed calls

    def on_update(update: EndpointUpdate) -> None:
        revisions.append(update.revision)
        call_counts[0] += 1
        monkeypatch.setattr(discovery_module, "CALL_TIMEOUT_S", 0.05)  # for the next call

    def on_call() -> None:
        call_counts[1] += 1
        if call_counts[1] > call_counts[0] * 2 - 1:  # the unanswered call has ended; the next is answered
            monkeypatch.setattr(discovery_module, "CALL_TIMEOUT_S", 30.0)

    def scenario(proxy: ProxyUnderTest) -> None:
        address = proxy.listeners[0].address
        Discovery(proxy.scheduler, address, DiscoveryListener(on_update, on_call), create_backoff).start()
        agent = proxy.next_attempt()
        read_line(agent)
        for revision in (41, 42):
            answer_discovery(agent, revision)
            proxy.wait_until(lambda: revisions[-1:] == [revision])  # noqa: B023
            silent_agent = agent
            agent = proxy.next_attempt()  # a new connection, since the last one gets no answer
            assert b"after=%d&" % revision in read_line(agent)
            assert b"after=%d&" % revision in read_line(silent_agent)

    ProxyUnderTest().run(scenario)


def test_watch_starts_from_the_known_revision_and_logs_failures_once(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(discovery_backoff, "RECONNECT_DELAY_S", 0.01)
    monkeypatch.setattr(discovery_backoff, "MEAN_CALL_INTERVAL_S", 0.01)
    received: list[EndpointUpdate] = []
    agents: list[Stream] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler,
            proxy.listeners[0].address,
            DiscoveryListener(received.append),
            create_backoff,
            15,
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
            wait_ms = 0 if agents else 1000  # the first call waits for a change; retries do not
            agents[:] = [agent]
            assert read_line(agent).split(b" ")[1] == b"/api/targets?after=15&wait_ms=%d" % wait_ms
            agent.send(answer)
            if b"17" not in answer:
                agent.close()
        proxy.wait_until(lambda: bool(received))

    ProxyUnderTest().run(scenario)
    assert [update.revision for update in received] == [17]
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
            create_backoff,
        )
        discovery.start()
        old = proxy.next_attempt()
        read_line(old)
        answer_discovery(old, 41)
        read_line(old)
        discovery.watch_at(proxy.listeners[1].address)
        proxy.next_attempt()
        discovery.watch_at(proxy.listeners[2].address)  # before the second address answers
        new = proxy.next_attempt()
        assert read_line(new).startswith(b"GET /api/targets HTTP")
        answer_discovery(old, 42)  # still applied, since the new watch has no list yet
        proxy.wait_until(lambda: received == [41, 42])
        answer_discovery(new, 7)
        proxy.wait_until(lambda: received == [41, 42, 7])
        requests = b""
        while chunk := old.receive(5.0):
            requests += chunk
        assert requests.count(b"GET") <= 1

    ProxyUnderTest(3).run(scenario)


@pytest.mark.parametrize("part", ["head", "body"])
def test_endless_answer_of_discovery_does_not_block_the_watch(
    monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    """Guards against a timeout that restarts at each received byte."""
    monkeypatch.setattr(discovery_module, "CALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr(discovery_backoff, "RECONNECT_DELAY_S", 0.01)

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(lambda _: None), create_backoff
        ).start()
        agent = proxy.next_attempt()
        agent.send(b"HTTP/1.1 200 OK\r\n" + (b"Content-Length: 9999\r\n\r\n" if part == "body" else b""))

        def send_bytes_singly() -> None:
            while True:
                agent.send(b"x")
                proxy.scheduler.sleep(0.01)

        sender = proxy.scheduler.spawn(send_bytes_singly)
        assert requested_path(proxy.next_attempt()) == b"/api/targets"  # on a new connection
        proxy.scheduler.kill(sender)

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize("late", [True, False])
def test_duplicate_answer_of_discovery_does_not_restore_removed_servers(late: bool) -> None:
    """The duplicate follows the answer immediately or arrives while the next call is pending."""
    received: list[EndpointUpdate] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(received.append), create_backoff
        ).start()
        agent = proxy.next_attempt()
        requested_path(agent)
        if late:
            answer_discovery(agent, 41)
            assert requested_path(agent) == b"/api/targets?after=41&wait_ms=1000"
            answer_discovery(agent, 40, ENDPOINT)
        else:
            old_body = b'{"rev":40,"all":true,"targets":[%b]}' % ENDPOINT
            new_body = b'{"rev":41,"all":true,"targets":[]}'
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
            agent.send(head % len(new_body) + new_body + head % len(old_body) + old_body)
        agent = proxy.next_attempt()  # the next poll is on a new connection, without old answers
        assert requested_path(agent) == b"/api/targets?after=41&wait_ms=%d" % (0 if late else 1000)
        answer_discovery(agent, 7, ENDPOINT)  # restarted revisions are accepted on a new connection
        proxy.wait_until(lambda: received[-1].revision == 7)

    ProxyUnderTest().run(scenario)
    assert [update.revision for update in received] == [41, 7]


def test_watch_survives_an_exception_in_its_listener(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a watch that ends, or that skips the update that was not applied."""
    received: list[EndpointUpdate] = []

    def on_update(update: EndpointUpdate) -> None:
        received.append(update)
        if len(received) == 1:
            raise ZeroDivisionError

    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(on_update), create_backoff
        ).start()
        for _ in range(2):
            agent = proxy.next_attempt()
            assert requested_path(agent) == b"/api/targets"
            answer_discovery(agent, 41, ENDPOINT)
        proxy.wait_until(lambda: len(received) == 2)

    ProxyUnderTest().run(scenario)
    assert "unexpected error in a call" in caplog.text


def test_watch_reconnects_immediately_after_a_close_between_calls(
    caplog: pytest.LogCaptureFixture,
) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        Discovery(
            proxy.scheduler, proxy.listeners[0].address, DiscoveryListener(lambda _: None), create_backoff
        ).start()
        agent = proxy.next_attempt()
        requested_path(agent)
        answer_discovery(agent, 41)
        agent.close()  # before the next call is written
        assert requested_path(proxy.next_attempt()) == b"/api/targets?after=41&wait_ms=1000"

    ProxyUnderTest().run(scenario)
    assert not caplog.records
