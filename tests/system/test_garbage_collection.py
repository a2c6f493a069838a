"""Tests that closed connections leave no reference cycles, since full collections are rare."""

from __future__ import annotations

import gc
from collections.abc import Callable

import pytest

from ironmill.net.sockets import Stream
from ironmill.runtime import gc_schedule
from ironmill.runtime.gc_schedule import GcSchedule
from ironmill.runtime.timers import TimerQueue
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line


def test_garbage_collector_is_enabled_once_the_proxy_serves(monkeypatch: pytest.MonkeyPatch) -> None:
    """The collector is disabled during imports, which shortens the start."""
    called: list[str] = []
    for name in ("freeze", "enable", "set_threshold"):
        monkeypatch.setattr(gc, name, lambda *_, name=name: called.append(name))
    GcSchedule(TimerQueue(), lambda: 0).start()
    assert called == ["freeze", "enable", "set_threshold"]


def client_closes(proxy: ProxyUnderTest) -> None:
    client, attempt = proxy.established_pair()
    client.send(b"hey\r\n")
    assert read_line(attempt) == b"hey\r\n"
    client.close()
    assert attempt.receive(5.0) == b""
    attempt.close()


def server_ends(proxy: ProxyUnderTest) -> None:
    client, attempt = proxy.established_pair()
    attempt.send(b"BYE\r\n")
    attempt.close_gracefully(1.0)
    assert read_line(client) == b"BYE\r\n"
    client.close()


def client_is_migrated(proxy: ProxyUnderTest) -> None:
    client, attempt = proxy.established_pair()
    proxy.gateway.established()[0].handler.migrate()
    assert read_line(client) == b"MOVE\r\n"
    client.close()
    attempt.close()


def server_resets(proxy: ProxyUnderTest) -> None:
    client, attempt = proxy.established_pair()
    attempt.abort()
    with pytest.raises(ConnectionError):
        client.receive(5.0)
    client.close()


def request_line_is_invalid(proxy: ProxyUnderTest) -> None:
    client = proxy.client(b"nonsense\r\n")
    assert read_line(client) == b"ERR\r\n"
    client.close()


def servers_reject(proxy: ProxyUnderTest) -> None:
    client = proxy.client(OPEN)
    for _ in range(3):
        attempt: Stream = proxy.next_attempt()
        read_line(attempt)
        attempt.send(b"BUSY\r\n")
        attempt.close_gracefully(1.0)
        if proxy.gateway.pending_count() == 0:
            break
    assert read_line(client).startswith(b"BUSY")
    client.close()


def client_resets(proxy: ProxyUnderTest) -> None:
    client = proxy.client(OPEN)
    attempt = proxy.next_attempt()
    read_line(attempt)
    client.abort()
    with pytest.raises(ConnectionError):
        attempt.receive(5.0)
    attempt.close()


@pytest.mark.parametrize(
    "scenario",
    [
        client_closes,
        server_ends,
        client_is_migrated,
        server_resets,
        request_line_is_invalid,
        servers_reject,
        client_resets,
    ],
)
def test_closed_connection_leaves_no_reference_cycle(scenario: Callable[[ProxyUnderTest], None]) -> None:
    cyclic_types: set[str] = set()

    def run_scenario(proxy: ProxyUnderTest) -> None:
        scenario(proxy)
        proxy.wait_until(lambda: not proxy.gateway.request_count() and proxy.connection_limiter.used() == 0)
        gc.collect()
        gc.set_debug(gc.DEBUG_SAVEALL)
        try:
            for _ in range(3):
                scenario(proxy)
                proxy.wait_until(
                    lambda: not proxy.gateway.request_count() and proxy.connection_limiter.used() == 0
                )
            proxy.scheduler.sleep(0.01)
            gc.collect()
            cyclic_types.update(
                type(garbage).__qualname__
                for garbage in gc.garbage
                if type(garbage).__module__.startswith("ironmill")
            )
        finally:
            gc.set_debug(0)
            gc.garbage.clear()

    gc.disable()
    try:
        ProxyUnderTest().run(run_scenario)
    finally:
        gc.enable()
    assert cyclic_types == set()


def test_full_collections_wait_until_few_connections_are_established(monkeypatch: pytest.MonkeyPatch) -> None:
    now, connections, collections = 0.0, gc_schedule.MAX_CONNECTIONS_FOR_FULL_COLLECTION + 1, 0

    def collect() -> None:
        nonlocal collections
        collections += 1

    thresholds = gc.get_threshold()
    timers = TimerQueue(lambda: now)
    monkeypatch.setattr(gc, "collect", collect)
    monkeypatch.setattr(gc, "freeze", lambda: None)
    try:
        GcSchedule(timers, lambda: connections).start()
        assert gc.get_threshold()[2] == gc_schedule.DISABLED_THRESHOLD
    finally:
        gc.set_threshold(*thresholds)
    for _ in range(4):
        now += gc_schedule.CHECK_INTERVAL_S
        timers.run()
    assert collections == 0
    connections = gc_schedule.MAX_CONNECTIONS_FOR_FULL_COLLECTION
    now += gc_schedule.CHECK_INTERVAL_S
    timers.run()
    assert collections == 1
