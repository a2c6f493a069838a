"""The proxy as a whole, at its start."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import pytest
from msgspec import structs

from ironmill.balancing.interface import Stage
from ironmill.configuration.proxy_config import Config
from ironmill.net import proxy as proxy_module
from ironmill.net.proxy import Proxy, ProxyOptions
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.discovery import EndpointUpdate, ListedServer
from ironmill.runtime.scheduler import READ
from tests.unit.requests.test_gateway import config


class Quiet:
    """Signals and a collector that do nothing."""

    def __init__(self, *_: Any) -> None:
        """Whatever is handed in."""

    def on(self, *_: Any) -> None:
        """No signal comes."""

    def start(self, *_: Any) -> None:
        """Nothing begins."""


def play(told: Config, story: Callable[[Proxy], None]) -> None:
    """Serve until the story, a task of the proxy's scheduler, is over."""
    proxy = Proxy(ProxyOptions(told, lambda: told), Quiet())  # type: ignore[arg-type]

    def told_story() -> None:
        try:
            story(proxy)
        finally:
            proxy.scheduler.stop()

    proxy.scheduler.spawn(told_story)
    proxy.serve()
    proxy.close()


@pytest.mark.parametrize("answered", [True, False])
def test_clients_are_taken_once_discovery_has_answered_or_failed(
    monkeypatch: pytest.MonkeyPatch, answered: bool
) -> None:
    """Until then a drain may have been told long ago that the list at hand does not know of."""
    monkeypatch.setattr(proxy_module, "FIRST_POLL_TIMEOUT_S", 60.0)
    monkeypatch.setattr(proxy_module, "GcSchedule", Quiet)
    known = EndpointUpdate(15, True, (ListedServer("s-0", "127.0.0.1", 1, Stage.READY, "a", 0, 1.0, 0.0),))
    seen: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as agent:
        told = structs.replace(config(known), listen=("127.0.0.1", 0), discovery=agent.getsockname())

        def story(proxy: Proxy) -> None:
            client = Stream.connect(proxy.scheduler, proxy.listener.address, 5.0)
            client.send(b"PING\r\n")
            assert proxy.scheduler.wait(agent.fileno(), READ, 5.0)
            asked = Stream(proxy.scheduler, agent.accept()[0])
            seen.append(asked.receive(5.0).split(b" HTTP")[0])
            try:
                seen.append(client.receive(0.05))
            except TimedOutError:
                seen.append(b"nothing")
            if answered:
                body = b'{"rev":15,"all":false,"targets":[]}'
                asked.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            else:
                asked.close()
            seen.append(client.receive(5.0))

        play(told, story)
    assert seen == [b"GET /api/targets?after=15&wait_ms=0", b"nothing", b"PONG\r\n"]


@pytest.mark.parametrize("asks", [False, True])
def test_clients_are_taken_though_discovery_stays_silent(monkeypatch: pytest.MonkeyPatch, asks: bool) -> None:
    """At once where it must be asked, for the first call is spread over seconds there."""
    monkeypatch.setattr(proxy_module, "FIRST_POLL_TIMEOUT_S", 60.0 if asks else 0.02)
    monkeypatch.setattr(proxy_module, "GcSchedule", Quiet)
    seen: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as agent:
        known = config(EndpointUpdate(15, True, ()))
        settings = structs.replace(known.settings, subscribes_to_discovery=asks, proxies=1000)
        told = structs.replace(
            known, listen=("127.0.0.1", 0), discovery=agent.getsockname(), settings=settings
        )

        def story(proxy: Proxy) -> None:
            client = Stream.connect(proxy.scheduler, proxy.listener.address, 5.0)
            client.send(b"PING\r\n")
            seen.append(client.receive(5.0))

        play(told, story)
    assert seen == [b"PONG\r\n"]
