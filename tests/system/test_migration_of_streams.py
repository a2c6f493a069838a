"""Migration of connections whose server keeps sending, so that its reads seldom end with a complete line."""

from __future__ import annotations

import pytest

from ironmill.net import drain as drain_module
from ironmill.net import shutdown as shutdown_module
from ironmill.net.drain import Drain
from ironmill.net.shutdown import Shutdown, ShutdownContext
from ironmill.runtime.lifecycle import LifecycleEvent
from tests.support.proxy_under_test import ProxyUnderTest
from tests.support.streams import LARGE_BLOCK_BYTES, assert_moved_between_lines, read_all, stream_blocks


def test_streaming_connection_is_moved_between_two_lines() -> None:
    """Guards against a close without MOVE when no read from the server ends with a complete line."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        sent = stream_blocks(proxy, server)
        proxy.scheduler.sleep(0.02)
        (request,) = proxy.gateway.established()
        request.handler.migrate()
        assert_moved_between_lines(read_all(client), sent)
        assert proxy.gateway.counts["MOVE sent"] == 1

    ProxyUnderTest().run(scenario)


def test_shutdown_moves_streaming_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections that a planned restart closes within a line of a stream."""
    for name, value in {"ACCEPT_PERIOD_S": 0.02, "MAX_DEADLINE_S": 0.3, "KILL_GRACE_S": 0.9}.items():
        monkeypatch.setattr(shutdown_module, name, value)
    received: list[bytes] = []
    sent: list[bytes] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        stream = stream_blocks(proxy, server)
        context = ShutdownContext(
            proxy.scheduler, proxy.gateway, proxy.listener, proxy.config, proxy.connection_limiter
        )
        proxy.scheduler.spawn(Shutdown(context).run)
        received.append(read_all(client))
        sent.append(bytes(stream))

    ProxyUnderTest().run(scenario)
    assert_moved_between_lines(received[0], sent[0])


def test_operators_drain_moves_streaming_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections that a drain of the proxy closes within a line of a stream."""
    monkeypatch.setattr(drain_module, "FRONT_UPDATE_DELAY_S", 0.02)

    def scenario(proxy: ProxyUnderTest) -> None:
        Drain(proxy.scheduler, proxy.gateway, keeps_established=False)
        client, server = proxy.established_pair()
        sent = stream_blocks(proxy, server)
        for event in (LifecycleEvent.STARTED, LifecycleEvent.DRAIN_REQUESTED):
            proxy.gateway.lifecycle.handle(event)
        assert_moved_between_lines(read_all(client), sent)

    ProxyUnderTest().run(scenario)


def test_line_end_split_between_two_reads_is_found() -> None:
    """Guards against MOVE before the LF of a line, or within the line after it."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        server.send(b"half\r")
        assert client.receive(5.0) == b"half\r"
        (request,) = proxy.gateway.established()
        request.handler.migrate()
        proxy.scheduler.sleep(0.02)
        server.send(b"\nnext")
        assert read_all(client) == b"\nMOVE\r\n"

    ProxyUnderTest().run(scenario)


def test_migration_requested_during_a_slow_write_follows_the_written_lines() -> None:
    """Guards against MOVE within data that the client has not taken yet, and against lost lines before it."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        sent = stream_blocks(proxy, server, LARGE_BLOCK_BYTES, 0.0)
        (request,) = proxy.gateway.established()
        proxy.wait_until(lambda: bool(getattr(request.handler, "is_writing", False)))
        request.handler.migrate()
        proxy.scheduler.sleep(0.05)
        assert_moved_between_lines(read_all(client), bytes(sent))

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize("last_line", [b"BYE\r\n", b"BYE x0=0.5\r\n", b"MOVE\r\n"])
def test_no_move_follows_the_last_line_of_a_server(last_line: bytes) -> None:
    """Guards against MOVE to a client that was served to its end, or that its server has moved already."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        (request,) = proxy.gateway.established()
        server.send(b"line\r\n" + last_line)
        data = client.receive(5.0)
        request.handler.migrate()
        proxy.scheduler.sleep(0.02)
        server.close()
        assert data + read_all(client) == b"line\r\n" + last_line

    ProxyUnderTest().run(scenario)


def test_operators_drain_closes_within_a_line_at_its_end_unless_it_is_resumed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a drain that leaves a connection, and against one that cuts it off after its end."""
    times = {"FRONT_UPDATE_DELAY_S": 0.02, "MIGRATION_DEADLINE_S": 0.1, "FINAL_ANSWER_DEADLINE_S": 0.12}
    for name, value in (times | {"LATE_MIGRATION_S": 0.05, "LAST_LINE_TIMEOUT_S": 0.01}).items():
        monkeypatch.setattr(drain_module, name, value)

    def scenario(proxy: ProxyUnderTest) -> None:
        Drain(proxy.scheduler, proxy.gateway, keeps_established=False)
        lifecycle = proxy.gateway.lifecycle
        lifecycle.handle(LifecycleEvent.STARTED)
        client, server = proxy.established_pair()
        server.send(b"ha")
        assert client.receive(5.0) == b"ha"
        lifecycle.handle(LifecycleEvent.DRAIN_REQUESTED)
        proxy.scheduler.sleep(0.06)
        lifecycle.handle(LifecycleEvent.RESUME_REQUESTED)
        proxy.scheduler.sleep(0.3)
        server.send(b"lf")
        assert client.receive(5.0) == b"lf"
        lifecycle.handle(LifecycleEvent.DRAIN_REQUESTED)
        assert client.receive(5.0) == b""

    ProxyUnderTest().run(scenario)


def test_migration_waits_for_server_that_pauses_within_a_line(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a close without MOVE while the server answers, however long its line takes."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        server.send(b"ha")
        assert client.receive(5.0) == b"ha"
        (request,) = proxy.gateway.established()
        request.handler.migrate()
        proxy.scheduler.sleep(1.2)
        server.send(b"lf\r\nnext")
        assert read_all(client) == b"lf\r\nMOVE\r\n"

    ProxyUnderTest().run(scenario)


def test_migration_that_waits_for_a_line_ends_once_the_server_is_unresponsive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that stays at a silent server because a migration was requested before."""
    monkeypatch.setattr("ironmill.requests.response_delay.UNRESPONSIVE_TIMEOUT_S", 0.1)
    monkeypatch.setattr("ironmill.requests.gateway.UNRESPONSIVE_LINE_TIMEOUT_S", 0.1)

    def scenario(proxy: ProxyUnderTest) -> None:
        client, server = proxy.established_pair()
        server.send(b"ha")
        assert client.receive(5.0) == b"ha"
        (request,) = proxy.gateway.established()
        request.handler.migrate()
        client.send(b"hey\r\n")
        assert client.receive(5.0) == b""
        assert proxy.gateway.counts["unresponsive"] >= 1
        assert proxy.gateway.counts["closed without MOVE: the server has not ended its line"] == 1

    ProxyUnderTest().run(scenario)
