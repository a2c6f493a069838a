"""The start of a complete proxy."""

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


class NoOperation:
    """Replaces the signals and the garbage collection schedule, and does nothing."""

    def __init__(self, *_: Any) -> None:
        """Accepts any arguments."""

    def on(self, *_: Any) -> None:
        """Registers nothing, so no signal is handled."""

    def start(self, *_: Any) -> None:
        """Starts nothing."""


def serve_during(config_: Config, scenario: Callable[[Proxy], None]) -> None:
    """Runs a proxy until the scenario, a task of its scheduler, returns or fails."""
    proxy = Proxy(ProxyOptions(config_, lambda: config_), NoOperation())  # type: ignore[arg-type]

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
    """Guards against requests to a draining server: the endpoint list at the start may not show the drain."""
    monkeypatch.setattr(proxy_module, "FIRST_POLL_TIMEOUT_S", 60.0)
    monkeypatch.setattr(proxy_module, "GcSchedule", NoOperation)
    known_list = EndpointUpdate(
        15, True, (ListedServer("s-0", "127.0.0.1", 1, Stage.READY, "a", 0, 1.0, 0.0),)
    )
    received: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as agent:
        config_ = structs.replace(config(known_list), listen=("127.0.0.1", 0), discovery=agent.getsockname())

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

        serve_during(config_, scenario)
    assert received == [b"GET /api/targets?after=15&wait_ms=0", b"nothing", b"PONG\r\n"]


@pytest.mark.parametrize("subscribes", [False, True])
def test_clients_are_accepted_after_a_timeout_of_discovery(
    monkeypatch: pytest.MonkeyPatch, subscribes: bool
) -> None:
    """A proxy that polls discovery does not wait: a large fleet spreads its first polls over seconds."""
    monkeypatch.setattr(proxy_module, "FIRST_POLL_TIMEOUT_S", 60.0 if subscribes else 0.02)
    monkeypatch.setattr(proxy_module, "GcSchedule", NoOperation)
    received: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as agent:
        base_config = config(EndpointUpdate(15, True, ()))
        settings = structs.replace(base_config.settings, subscribes_to_discovery=subscribes, proxies=1000)
        config_ = structs.replace(
            base_config, listen=("127.0.0.1", 0), discovery=agent.getsockname(), settings=settings
        )

        def scenario(proxy: Proxy) -> None:
            client = Stream.connect(proxy.scheduler, proxy.listener.address, 5.0)
            client.send(b"PING\r\n")
            received.append(client.receive(5.0))

        serve_during(config_, scenario)
    assert received == [b"PONG\r\n"]
