"""The start of a whole proxy."""

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
from tests.support.requests import config


class Quiet:
    """Signals and a garbage collection schedule that do nothing."""

    def __init__(self, *_: Any) -> None:
        """Accepts any arguments."""

    def on(self, *_: Any) -> None:
        """No signal arrives."""

    def start(self, *_: Any) -> None:
        """Starts nothing."""


def play(config_: Config, scenario: Callable[[Proxy], None]) -> None:
    """Serve until the scenario, a task of the proxy's scheduler, is over."""
    proxy = Proxy(ProxyOptions(config_, lambda: config_), Quiet())  # type: ignore[arg-type]

    def run_scenario() -> None:
        try:
            scenario(proxy)
        finally:
            proxy.scheduler.stop()

    proxy.scheduler.spawn(run_scenario)
    proxy.serve()
    proxy.close()


@pytest.mark.parametrize("answered", [True, False])
def test_clients_are_accepted_once_discovery_has_answered_or_failed(
    monkeypatch: pytest.MonkeyPatch, answered: bool
) -> None:
    """Until then the known list may lack the draining of a server."""
    monkeypatch.setattr(proxy_module, "FIRST_POLL_TIMEOUT_S", 60.0)
    monkeypatch.setattr(proxy_module, "GcSchedule", Quiet)
    known = EndpointUpdate(15, True, (ListedServer("s-0", "127.0.0.1", 1, Stage.READY, "a", 0, 1.0, 0.0),))
    received: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as agent:
        config_ = structs.replace(config(known), listen=("127.0.0.1", 0), discovery=agent.getsockname())

        def scenario(proxy: Proxy) -> None:
            client = Stream.connect(proxy.scheduler, proxy.listener.address, 5.0)
            client.send(b"PING\r\n")
            assert proxy.scheduler.wait(agent.fileno(), READ, 5.0)
            poll = Stream(proxy.scheduler, agent.accept()[0])
            received.append(poll.receive(5.0).split(b" HTTP")[0])
            try:
                received.append(client.receive(0.05))
            except TimedOutError:
                received.append(b"nothing")
            if answered:
                body = b'{"rev":15,"all":false,"targets":[]}'
                poll.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            else:
                poll.close()
            received.append(client.receive(5.0))

        play(config_, scenario)
    assert received == [b"GET /api/targets?after=15&wait_ms=0", b"nothing", b"PONG\r\n"]


@pytest.mark.parametrize("asks", [False, True])
def test_clients_are_accepted_after_a_timeout_of_discovery(
    monkeypatch: pytest.MonkeyPatch, asks: bool
) -> None:
    """At once where discovery is polled, since the first polls are spread over seconds there."""
    monkeypatch.setattr(proxy_module, "FIRST_POLL_TIMEOUT_S", 60.0 if asks else 0.02)
    monkeypatch.setattr(proxy_module, "GcSchedule", Quiet)
    received: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as agent:
        known = config(EndpointUpdate(15, True, ()))
        settings = structs.replace(known.settings, subscribes_to_discovery=asks, proxies=1000)
        config_ = structs.replace(
            known, listen=("127.0.0.1", 0), discovery=agent.getsockname(), settings=settings
        )

        def scenario(proxy: Proxy) -> None:
            client = Stream.connect(proxy.scheduler, proxy.listener.address, 5.0)
            client.send(b"PING\r\n")
            received.append(client.receive(5.0))

        play(config_, scenario)
    assert received == [b"PONG\r\n"]
