"""Tests of discovery that answers each call late, with a stand-in on a loopback socket."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from ironmill.net.discovery import Discovery, DiscoveryListener
from ironmill.net.late_responses import MAX_CALLS
from ironmill.net.sockets import Stream
from ironmill.protocol.discovery import EndpointUpdate
from ironmill.requests import discovery_backoff
from ironmill.requests.discovery_backoff import DiscoveryBackoff
from tests.support.proxy_under_test import ENDPOINT, ProxyUnderTest, answer_discovery, read_line

CALL_TIMEOUT_S = 0.1


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shortens the timeout of a call, so that an answer after some tenths of a second is late."""
    monkeypatch.setattr(discovery_backoff, "MAX_CALL_S", CALL_TIMEOUT_S)
    monkeypatch.setattr(discovery_backoff, "MAX_CALL_TIMEOUT_S", 2.5 * CALL_TIMEOUT_S)
    monkeypatch.setattr(discovery_backoff, "RECONNECT_DELAY_S", 0.01)


def watch_discovery(
    proxy: ProxyUnderTest, known_revision: int | None = None
) -> tuple[Discovery, list[EndpointUpdate]]:
    """Starts a watch at the first listener and returns it with the list of the updates that it receives."""
    updates: list[EndpointUpdate] = []
    discovery = Discovery(
        proxy.scheduler,
        proxy.listeners[0].address,
        DiscoveryListener(updates.append),
        lambda: DiscoveryBackoff(1, random.Random(1), first_immediately=True),
        known_revision,
    )
    discovery.start()
    return discovery, updates


def given_up_call(proxy: ProxyUnderTest) -> Stream:
    """Returns the connection of a call that the watch does not wait for any more."""
    call = proxy.next_attempt()
    read_line(call)
    proxy.wait_until(lambda: bool(proxy.arrived))  # the next call
    return call


@pytest.mark.parametrize("known_revision", [None, 40])
def test_answer_to_a_call_that_was_given_up_is_applied(known_revision: int | None) -> None:
    """Guards against a discovery that is never listened to again once all its answers come late."""

    def scenario(proxy: ProxyUnderTest) -> None:
        _, updates = watch_discovery(proxy, known_revision)
        call = given_up_call(proxy)
        answer_discovery(call, 41, ENDPOINT)
        proxy.wait_until(lambda: [update.revision for update in updates] == [41])

    ProxyUnderTest().run(scenario)


def test_late_answer_from_a_new_address_is_applied() -> None:
    """Guards against a new configuration whose discovery is slow, so that its list is never taken."""

    def scenario(proxy: ProxyUnderTest) -> None:
        discovery, updates = watch_discovery(proxy)
        first = proxy.next_attempt()
        answer_discovery(first, 41, ENDPOINT)
        proxy.wait_until(lambda: len(updates) == 1)
        discovery.watch_at(proxy.listeners[1].address)
        calls: list[Stream] = []
        while not calls:
            call = proxy.next_attempt()
            if _arrived_at(call, proxy.listeners[1].address):
                calls.append(call)
        proxy.wait_until(lambda: any(_arrived_at(call, proxy.listeners[1].address) for call in proxy.arrived))
        answer_discovery(calls[0], 7, ENDPOINT)
        proxy.wait_until(lambda: updates[-1].revision == 7)

    ProxyUnderTest(2).run(scenario)


def _arrived_at(call: Stream, address: tuple[str, int]) -> bool:
    local_address: tuple[str, int] = call._sock.getsockname()
    return local_address == address


def test_overtaken_answer_does_not_restore_an_older_list() -> None:
    """Guards against a late answer that brings a server back which a later answer has removed."""

    def scenario(proxy: ProxyUnderTest) -> None:
        _, updates = watch_discovery(proxy, 40)
        first = given_up_call(proxy)
        second = proxy.next_attempt()
        answer_discovery(second, 43, ENDPOINT)
        proxy.wait_until(lambda: len(updates) == 1)
        answer_discovery(first, 42, ENDPOINT)
        assert first.receive(5.0) == b""  # the answer was read, and its connection closed
        assert [update.revision for update in updates] == [43]

    ProxyUnderTest().run(scenario)


def test_calls_that_are_awaited_are_bounded() -> None:
    """Guards against descriptors of a discovery that accepts calls and never answers."""

    def scenario(proxy: ProxyUnderTest) -> None:
        watch_discovery(proxy)
        calls = [given_up_call(proxy) for _ in range(MAX_CALLS + 3)]
        assert calls[0].receive(5.0) == b""
        assert calls[1].receive(5.0) == b""

    ProxyUnderTest().run(scenario)


def test_watch_that_is_stopped_awaits_nothing() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        discovery, updates = watch_discovery(proxy)
        call = given_up_call(proxy)
        discovery._current.stop()
        assert call.receive(5.0) == b""
        assert updates == []

    ProxyUnderTest().run(scenario)


@pytest.mark.parametrize(
    "respond",
    [
        lambda call: call.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        lambda call: call.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{"),
        lambda call: call.abort(),
    ],
)
def test_failed_late_answer_changes_nothing(respond: Callable[[Stream], object]) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        _, updates = watch_discovery(proxy, 40)
        respond(given_up_call(proxy))
        answer_discovery(proxy.next_attempt(), 44, ENDPOINT)
        proxy.wait_until(lambda: bool(updates))
        assert [update.revision for update in updates] == [44]

    ProxyUnderTest().run(scenario)
