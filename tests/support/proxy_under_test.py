"""The gateway and drivers of a proxy on loopback sockets; the test emulates clients and servers."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ironmill.balancing.interface import Stage
from ironmill.identity.callers import Callers
from ironmill.net.attempt import Dial
from ironmill.net.clients.service import ClientDependencies, ClientService
from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream
from ironmill.protocol.discovery import EndpointUpdate, ListedServer
from ironmill.requests.connection_limiter import ConnectionLimiter
from ironmill.requests.discovery_backoff import DiscoveryBackoff
from ironmill.requests.gateway import Gateway
from ironmill.runtime.scheduler import Scheduler
from tests.support.requests import config

OPEN = b"OPEN 1a 2b c=read,d=1500,g=3c\r\n"
TIMEOUT_S = 60.0  # limit for a scenario


class ProxyUnderTest:
    """The gateway and drivers of a proxy, with its listener and the listeners of emulated servers."""

    def __init__(self, server_count: int = 1, **changes: Any) -> None:
        self.scheduler = Scheduler()
        self.arrived: list[Stream] = []
        self.listeners = [
            Listener(self.scheduler, ("127.0.0.1", 0), self.arrived.append) for _ in range(server_count)
        ]
        listed = tuple(
            ListedServer(f"s-{index}", *listener.address, Stage.READY, "a", 0, 1.0, 0.0)
            for index, listener in enumerate(self.listeners)
        )
        self.config = config(EndpointUpdate(1, True, listed), **changes)
        self.gateway = Gateway(self.config, self.scheduler)
        self.connection_limiter = ConnectionLimiter(self.config.sockets)
        self.callers: Callers | None = None
        self.dial: Dial | None = None
        self.listener = Listener(self.scheduler, ("127.0.0.1", 0), self._serve_client)
        for listener in [*self.listeners, self.listener]:
            listener.start()

    def _serve_client(self, stream: Stream) -> None:
        ClientService(
            ClientDependencies(
                self.scheduler, self.gateway, self.config, self.connection_limiter, self.callers, self.dial
            )
        ).serve(stream)

    def run(self, scenario: Callable[[ProxyUnderTest], None]) -> None:
        """Runs a scenario in a new task. Raises the exception that the scenario raises."""
        errors: list[BaseException] = []

        def run_scenario() -> None:
            try:
                scenario(self)
            except Exception as error:
                errors.append(error)
            self.scheduler.stop()

        def time_out() -> None:
            errors.append(AssertionError("the scenario did not end in time"))
            self.scheduler.stop()

        self.scheduler.spawn(run_scenario)
        self.scheduler.call_later(TIMEOUT_S, time_out)
        self.scheduler.run()
        for listener in [*self.listeners, self.listener]:
            listener.close()
        if errors:
            raise errors[0]

    def client(self, *pieces: bytes) -> Stream:
        """Connects a client and sends the pieces with a pause after each."""
        stream = Stream.connect(self.scheduler, self.listener.address, 1.0)
        for piece in pieces:
            stream.send(piece)
            self.scheduler.sleep(0.001)
        return stream

    def next_attempt(self) -> Stream:
        """Returns the next connection that an emulated server accepts."""
        self.wait_until(lambda: bool(self.arrived))
        return self.arrived.pop(0)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Runs other tasks until the condition is true. Raises AssertionError after about 6 s."""
        for _ in range(3000):
            if condition():
                return
            self.scheduler.sleep(0.002)
        raise AssertionError("the condition did not become true in time")

    def established_pair(self) -> tuple[Stream, Stream]:
        """Returns the client's and the server's side of an established connection."""
        client = self.client(OPEN)
        attempt = self.next_attempt()
        read_line(attempt)
        attempt.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"
        return client, attempt


def create_backoff() -> DiscoveryBackoff:
    """Returns the backoff of one proxy in a fleet of four."""
    return DiscoveryBackoff(4, random.Random(1))


def read_line(stream: Stream) -> bytes:
    """Returns the bytes up to the end of a line, or of the stream."""
    data = b""
    while not data.endswith(b"\r\n"):
        piece = stream.receive(5.0)
        if not piece:
            break
        data += piece
    return data


def answer_discovery(agent: Stream, revision: int, targets: bytes = b"") -> None:
    """Answers a poll of discovery with a complete endpoint list."""
    body = b'{"rev":%d,"all":true,"targets":[%b]}' % (revision, targets)
    agent.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


ENDPOINT = b'{"uid":"s-0","endpoint":"127.0.0.1:9","state":"up"}'
