"""Proxies under test that use TLS to their clients or to their servers."""

from __future__ import annotations

import random
import socket
import ssl
import time
from typing import Any

from ironmill.configuration.settings.model import TlsSettings, UpstreamTls
from ironmill.configuration.tls_context import server_tls, upstream_tls
from ironmill.identity.callers import Callers
from ironmill.identity.keyring import KeyRing
from ironmill.identity.rules import IdentitySettings
from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream
from ironmill.net.tls import TlsStream
from ironmill_testbed.certificates import Authority
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line


def settings(authority: Authority, **changes: Any) -> TlsSettings:
    """Returns the TLS settings of a listener with the authority's server certificate."""
    folder = authority.folder
    fields: dict[str, Any] = {
        "listen": ("127.0.0.1", 0),
        "certificate": str(folder / "server.crt"),
        "key": str(folder / "server.key"),
        "clients": "none",
    }
    return TlsSettings(**(fields | changes))


class TlsProxyUnderTest(ProxyUnderTest):
    """A proxy that uses TLS to its clients."""

    def __init__(self, authority: Authority, callers: IdentitySettings | None = None, **changes: Any) -> None:
        super().__init__()
        self.listener.close()
        self.authority = authority
        self.context = server_tls(settings(authority, **changes)).context
        if callers is not None:
            self.callers = Callers(callers, KeyRing(), self.scheduler)
        self.listener = Listener(
            self.scheduler,
            ("127.0.0.1", 0),
            self._serve_client,
            make_stream=lambda scheduler, sock: TlsStream.for_server(scheduler, sock, self.context),
        )
        self.listener.start()

    def tls_client(self, *certificate: str, context: ssl.SSLContext | None = None) -> TlsStream:
        """Connects a client and returns its stream after the handshake."""
        sock = socket.create_connection(self.listener.address)
        context = context or self.authority.client(*certificate)
        stream = TlsStream.for_client(self.scheduler, sock, context, "localhost")
        stream.handshake(time.monotonic() + 5.0)
        return stream

    def established_tls_pair(self, *certificate: str) -> tuple[TlsStream, Stream]:
        """Returns a TLS client whose connection is established, and the server's end of the attempt."""
        client = self.tls_client(*certificate)
        client.send(OPEN.replace(b"1a", b"%x" % random.getrandbits(60)))
        attempt = self.next_attempt()
        assert read_line(attempt).startswith(b"OPEN ")
        attempt.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"
        return client, attempt


def check_relayed(proxy: ProxyUnderTest, data: bytes, client: Stream, attempt: Stream) -> None:
    """Checks that the data is relayed unchanged, first to the server and then to the client."""
    for source, target in ((client, attempt), (attempt, client)):
        proxy.scheduler.spawn(source.send, data)
        received = b""
        while len(received) < len(data):
            received += target.receive(5.0)
        assert received == data


def wait_until_released(proxy: ProxyUnderTest) -> None:
    """Waits until the proxy has no requests and no open client connections."""
    proxy.wait_until(lambda: not proxy.gateway.request_count() and proxy.connection_limiter.used() == 0)


class UpstreamTlsProxyUnderTest(ProxyUnderTest):
    """A proxy whose servers use TLS, and which verifies that their certificate is for ``name``."""

    def __init__(self, authority: Authority, name: str) -> None:
        super().__init__()
        context = server_tls(settings(authority)).context
        for listener in self.listeners:
            listener._make_stream = lambda scheduler, sock: TlsStream.for_server(scheduler, sock, context)
        upstream = upstream_tls(UpstreamTls(str(authority.path)))
        self.connect_count = 0

        def dial(address: tuple[str, int], timeout: float) -> Stream:
            self.connect_count += 1
            stream = Stream.connect(self.scheduler, address, timeout)
            return TlsStream.wrap(self.scheduler, stream, upstream, name)

        self.dial = dial
