"""Migration of established connections and the graceful shutdown, on loopback sockets."""

from __future__ import annotations

import os
import signal

import pytest

from ironmill.net import shutdown as shutdown_module
from ironmill.net.clients import migration as migration_module
from ironmill.net.shutdown import Shutdown, ShutdownContext, ShutdownSchedule
from ironmill.net.signals import Signals
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
        established, server = proxy.established_pair()
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
        established.send(b"hey\r\n")  # relayed until the migration
        out["line"] = read_line(server)
        out["established"] = established.receive(5.0)

    try:
        proxy = ProxyUnderTest(packets_pass_through=packets_pass_through)
        proxy.run(scenario)
    finally:
        signals.close()
    assert hung_up
    assert out["late"].startswith(b"UP r5\r\n")
    assert out["line"] == b"hey\r\n"
    assert out["established"] == b"MOVE\r\n"


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


@pytest.mark.parametrize("longest", [0.05, 0.3, 0.6, 1.0, 2.0, 3.2, 60.0])
def test_shutdown_has_time_to_migrate_established_connections(longest: float) -> None:
    """Migrations must leave time to end, but not start before the proxy restarted earlier serves again."""
    times = ShutdownSchedule.for_deadline(longest)
    assert times.close_at < times.migrate_at < times.end_at <= min(longest, 3.0) + 0.7
    assert times.end_at - times.migrate_at >= (times.end_at - times.close_at) / 2.0 - 1e-9
    if longest >= 3.0:
        assert 1.95 <= times.migrate_at <= 2.5


@pytest.mark.parametrize("longest", [0.3, 0.6, 2.0, 3.2])
def test_shutdown_accepts_clients_until_the_front_has_noticed(longest: float) -> None:
    """New connections arrive for 0.2 to 0.4 s after SIGTERM, independent of the deadlines."""
    times = ShutdownSchedule.for_deadline(longest)
    assert times.close_at >= 0.4 + 0.04
    assert times.close_at < times.end_at - shutdown_module.FINAL_FLUSH_S  # the last requests are decided
