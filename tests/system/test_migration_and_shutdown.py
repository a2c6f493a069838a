"""Tests of migration and of the graceful shutdown on loopback sockets."""

from __future__ import annotations

import os
import signal

import pytest

from ironmill.net import shutdown as shutdown_module
from ironmill.net.bulk_migration import BulkMigration
from ironmill.net.clients.attempts import ClientAttempt
from ironmill.net.shutdown import Shutdown, ShutdownContext, ShutdownSchedule
from ironmill.net.signals import Signals
from ironmill.net.sockets import Stream
from ironmill.runtime.lifecycle import LifecycleEvent, ProcessState
from tests.support.clients import DEADLINES_S, raw_client, read_to_end
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line


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


def test_migration_is_forced_if_the_line_does_not_end() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        attempt.send(b"ha")
        assert client.receive(5.0) == b"ha"
        (request,) = proxy.gateway.established()
        request.handler.migrate(0.05)
        assert client.receive(5.0) == b""

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize("packets_pass_through", [True, False])
def test_shutdown_answers_every_pending_request(
    monkeypatch: pytest.MonkeyPatch, packets_pass_through: bool
) -> None:
    monkeypatch.setattr(shutdown_module, "ACCEPT_PERIOD_S", 0.05)
    monkeypatch.setattr(shutdown_module, "MAX_DEADLINE_S", 0.9)
    monkeypatch.setattr(shutdown_module, "MIGRATION_DELAY_S", 0.6)
    signals = Signals()
    sighup_calls: list[bool] = []
    received: dict[str, bytes] = {}

    def scenario(proxy: ProxyUnderTest) -> None:
        established, server = proxy.established_pair()
        signals.on(
            signal.SIGTERM,
            Shutdown(
                ShutdownContext(
                    proxy.scheduler, proxy.gateway, proxy.listener, proxy.config, proxy.connection_limiter
                )
            ).run,
        )
        signals.on(signal.SIGHUP, lambda: sighup_calls.append(True))
        signals.start(proxy.scheduler)
        proxy.scheduler.sleep(0.01)
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGHUP)
        proxy.scheduler.sleep(0.01)
        late = proxy.client(OPEN.replace(b"1a", b"1b"))  # accepted although the shutdown has begun
        attempt = proxy.next_attempt()
        read_line(attempt)
        proxy.scheduler.sleep(0.2)
        attempt.send(b"UP r5\r\n")
        received["late"] = read_line(late)
        established.send(b"hey\r\n")  # relayed until the migration
        received["line"] = read_line(server)
        received["established"] = established.receive(5.0)

    try:
        proxy = ProxyUnderTest(packets_pass_through=packets_pass_through)
        proxy.run(scenario)
    finally:
        signals.close()
    assert sighup_calls
    assert received["late"].startswith(b"UP r5\r\n")
    assert received["line"] == b"hey\r\n"
    assert received["established"] == b"MOVE\r\n"


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


@pytest.mark.parametrize("longest_deadline_s", [0.05, 0.3, 0.6, 1.0, 2.0, 3.2, 60.0])
def test_shutdown_has_time_to_migrate_established_connections(longest_deadline_s: float) -> None:
    """Migrations must have time to end, but begin only once the previously restarted proxy serves again."""
    schedule = ShutdownSchedule.for_deadline(longest_deadline_s)
    assert schedule.close_at < schedule.migrate_at < schedule.end_at <= min(longest_deadline_s, 3.0) + 0.7
    assert schedule.end_at - schedule.migrate_at >= (schedule.end_at - schedule.close_at) / 2.0 - 1e-9
    if longest_deadline_s >= 3.0:
        assert 1.95 <= schedule.migrate_at <= 2.5


@pytest.mark.parametrize("longest_deadline_s", [0.3, 0.6, 2.0, 3.2])
def test_shutdown_accepts_clients_until_the_load_balancer_has_noticed(longest_deadline_s: float) -> None:
    """The load balancer sends new connections for 0.2 to 0.4 s after SIGTERM, whatever the deadlines."""
    schedule = ShutdownSchedule.for_deadline(longest_deadline_s)
    assert schedule.close_at >= 0.4 + 0.04
    # The schedule leaves time to choose servers for the requests that arrive last.
    assert schedule.close_at < schedule.end_at - shutdown_module.FINAL_FLUSH_S


def short_shutdown(proxy: ProxyUnderTest, monkeypatch: pytest.MonkeyPatch) -> Shutdown:
    for name, value in {"ACCEPT_PERIOD_S": 0.02, "MAX_DEADLINE_S": 0.05, "KILL_GRACE_S": 0.6}.items():
        monkeypatch.setattr(shutdown_module, name, value)
    return Shutdown(
        ShutdownContext(
            proxy.scheduler, proxy.gateway, proxy.listener, proxy.config, proxy.connection_limiter
        )
    )


@pytest.mark.parametrize(
    ("class_name", "request_sent", "answer"),
    [
        ("read", True, b"BUSY"),
        ("read", False, b"BUSY"),
        ("order", False, b"BUSY"),
        ("order", True, b"ERR"),
        ("write", False, b"BUSY"),
        ("write", True, b"ERR"),
    ],
)
def test_answer_at_shutdown_depends_on_whether_the_attempt_may_have_run(
    class_name: str, request_sent: bool, answer: bytes
) -> None:
    """Guards against ``BUSY`` for a request that may have run and is not safe to retry."""

    def scenario(proxy: ProxyUnderTest) -> None:
        if not request_sent:
            proxy.dial = lambda address, timeout: proxy.scheduler.sleep(60.0)  # type: ignore[assignment,return-value]
        client = proxy.client(OPEN.replace(b"c=read", b"c=" + class_name.encode()))
        if request_sent:
            attempt = proxy.next_attempt()
            read_line(attempt)
        proxy.wait_until(lambda: proxy.gateway.counts.get("attempts") == 1)
        proxy.gateway.resolve_all()
        assert not proxy.gateway.pending_count()
        assert read_line(client).split()[0] == answer
        assert client.receive(5.0) == b""
        if request_sent:
            assert attempt.receive(5.0) == b""
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        assert proxy.gateway.counts["attempts"] == 1
        assert "overdue" not in proxy.gateway.counts

    ProxyUnderTest(default_deadlines_s=DEADLINES_S).run(scenario)


def test_waiting_request_is_rejected_at_shutdown() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN.replace(b"c=read", b"c=order"))
        proxy.wait_until(lambda: proxy.gateway.pending_count() == 1)
        proxy.gateway.resolve_all()
        assert read_line(client).startswith(b"BUSY ")

    ProxyUnderTest(0, default_deadlines_s=DEADLINES_S).run(scenario)


def test_idle_connections_are_notified_at_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a missing or second answer, or a reset, for a request that arrives at the eviction."""
    answers: list[bytes] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        with (
            raw_client(proxy, b"PING\r\n") as idle,
            raw_client(proxy) as silent,
            raw_client(proxy) as late,
        ):
            proxy.wait_until(lambda: len(proxy.connection_limiter._silent) == 3)

            def send_late_request(state: ProcessState) -> None:
                if state is ProcessState.FINALIZING:
                    late.sendall(OPEN)  # has not been read when the idle connections are closed

            proxy.gateway.lifecycle.add_listener(send_late_request)
            proxy.scheduler.spawn(short_shutdown(proxy, monkeypatch).run)
            assert read_line(Stream(proxy.scheduler, silent.dup())) == b"BUSY 200\r\n"
            silent.sendall(OPEN)  # too late: the client has been answered
            answers.extend(read_to_end(proxy, client) for client in (silent, idle, late))

    proxy = ProxyUnderTest()
    proxy.run(scenario)  # ends when the process would exit
    assert answers == [b"", b"PONG\r\nBUSY 200\r\n", b"BUSY 200\r\n"]
    assert not proxy.arrived
    assert proxy.gateway.metrics.classes["read"].rejected == 1


def test_no_request_starts_while_finalizing() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(b"PING\r\n")
        assert read_line(client) == b"PONG\r\n"
        for event in (
            LifecycleEvent.STARTED,
            LifecycleEvent.SHUTDOWN_REQUESTED,
            LifecycleEvent.GRACE_PERIOD_ENDED,
        ):
            proxy.gateway.lifecycle.handle(event)
        client.send(OPEN)
        assert read_line(client) == b"BUSY 200\r\n"
        assert client.receive(5.0) == b""
        assert not proxy.arrived

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize("server_known", [True, False])
def test_resuming_connection_is_failed_at_shutdown(server_known: bool) -> None:
    """Guards against a missing answer if the server has not answered or is not listed by discovery yet."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(b"OPEN 1a 2b c=read,at=%b\r\n" % (b"s-0" if server_known else b"s-9"))
        if server_known:
            read_line(proxy.next_attempt())
        proxy.wait_until(lambda: bool(proxy.gateway.resuming))
        proxy.gateway.resolve_all()
        assert read_line(client) == b"ERR\r\n"
        assert client.receive(5.0) == b""
        client.close()
        proxy.wait_until(lambda: not proxy.connection_limiter.used())
        assert not proxy.gateway.resuming
        assert proxy.gateway.metrics.classes["read"].failed == 1

    ProxyUnderTest().run(scenario)


def test_connection_established_after_the_last_round_is_migrated_as_well(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    received: list[bytes] = []
    monkeypatch.setattr(
        BulkMigration, "migrate_all", lambda self, deadline: None
    )  # as if no connection had been established during the last round

    def scenario(proxy: ProxyUnderTest) -> None:
        client, _ = proxy.established_pair()
        proxy.scheduler.spawn(short_shutdown(proxy, monkeypatch).run)
        received.append(read_line(client))
        received.append(client.receive(5.0))

    ProxyUnderTest().run(scenario)
    assert received == [b"MOVE\r\n", b""]


def test_resumed_connection_gets_no_second_answer_at_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a second answer if the server's first line has not been processed at the shutdown."""

    def scenario(proxy: ProxyUnderTest) -> None:
        monkeypatch.setattr(ClientAttempt, "on_server_data", lambda *_: proxy.scheduler.sleep(60.0))
        client = proxy.client(b"OPEN 1a 2b c=read,at=s-0\r\n")
        server = proxy.next_attempt()
        read_line(server)
        server.send(b"UP r1\r\nline\r\n")
        assert read_line(client) == b"UP r1\r\n"
        proxy.gateway.resolve_all()
        (request,) = proxy.gateway.established()
        request.handler.migrate()
        assert read_line(client) == b"MOVE\r\n"  # the first line after UP

    ProxyUnderTest().run(scenario)
