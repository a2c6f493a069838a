"""Tests of TLS handshakes that fail or stall, and of the sans-I/O protocol against a model."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from ironmill.configuration.tls_context import server_tls
from ironmill.net.clients import reading as reading_module
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.tls import MAX_HANDSHAKE_BYTES, TlsError, TlsProtocol, TlsState
from ironmill_testbed.certificates import Authority
from tests.support.proxy_under_test import OPEN, ProxyUnderTest
from tests.support.tls import TlsProxyUnderTest, settings, wait_until_released

pytestmark = pytest.mark.usefixtures("short_half_close")


def client_hello(authority: Authority) -> bytes:
    return TlsProtocol(authority.client(), is_server=False, server_name="localhost").outgoing()


MALFORMED_HANDSHAKES: dict[str, Callable[[bytes], list[bytes]]] = {
    "half a ClientHello": lambda hello: [hello[: len(hello) // 2]],
    "no bytes": lambda hello: [],
    "plaintext line": lambda hello: [OPEN],
    "HTTP": lambda hello: [b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"],
    "oversized record": lambda hello: [b"\x16\x03\x01\xff\xff" + b"x" * 70_000],
    "repeated ClientHello": lambda hello: [hello] * 2000,
    "60 MB of invalid bytes": lambda hello: [bytes(range(256)) * 240] * 1000,
    "empty records": lambda hello: [b"\x16\x03\x01\x00\x00"] * 30_000,
}


@pytest.mark.parametrize("name", sorted(MALFORMED_HANDSHAKES))
def test_malformed_handshake_is_closed_and_others_are_served(
    authority: Authority, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.5)
    pieces = MALFORMED_HANDSHAKES[name](client_hello(authority))

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        bad_client = Stream.connect(proxy.scheduler, proxy.listener.address, 1.0)

        def send_all() -> None:
            try:
                for piece in pieces:
                    bad_client.send(piece, 5.0)
            except (OSError, TimedOutError):
                pass

        proxy.scheduler.spawn(send_all)
        client, _ = proxy.established_tls_pair()
        client.close()
        try:
            while bad_client.receive(5.0):
                pass
        except ConnectionError:
            pass
        proxy.scheduler.sleep(0.01)
        bad_client.close()
        wait_until_released(proxy)

    TlsProxyUnderTest(authority).run(scenario)


def test_request_line_timeout_bounds_a_slow_handshake(
    authority: Authority, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.3)
    closed_by_proxy: list[bool] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        slow_client = Stream.connect(proxy.scheduler, proxy.listener.address, 1.0)
        with pytest.raises(OSError):
            for offset in range(10_000):
                slow_client.send(client_hello(authority)[offset : offset + 1] or b"x")
                proxy.scheduler.sleep(0.005)
        closed_by_proxy.append(True)
        slow_client.close()
        wait_until_released(proxy)

    TlsProxyUnderTest(authority).run(scenario)
    assert closed_by_proxy


def test_handshake_fails_without_common_version_or_trusted_server(
    authority: Authority, tmp_path: Path
) -> None:
    old_version_context = authority.client()
    old_version_context.maximum_version = ssl.TLSVersion.TLSv1_2

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        for context in (old_version_context, Authority(tmp_path, "other").client()):
            with pytest.raises(OSError):
                proxy.tls_client(context=context)
        wait_until_released(proxy)
        assert proxy.gateway.counts.get("attempts", 0) == 0

    TlsProxyUnderTest(authority, minimum="1.3").run(scenario)


class TlsModel(RuleBasedStateMachine):
    """A client and a server that exchange records in random pieces.

    Each side must read exactly what the other has written, in order.
    """

    authority: Authority

    def __init__(self) -> None:
        super().__init__()
        authority = type(self).authority
        self.client = TlsProtocol(authority.client(), is_server=False, server_name="localhost")
        self.server = TlsProtocol(server_tls(settings(authority)).context, is_server=True)
        self.in_transit = {"client": bytearray(), "server": bytearray()}
        self.sent = {"client": b"", "server": b""}
        self.received = {"client": b"", "server": b""}
        self.closed_sides: set[str] = set()

    def protocol(self, side: str) -> TlsProtocol:
        return self.client if side == "client" else self.server

    @rule(sender=st.sampled_from(["client", "server"]), size=st.sampled_from([1, 5, 100, 1000, 20_000]))
    def deliver(self, sender: str, size: int) -> None:
        """Delivers up to ``size`` bytes in transit from ``sender``; the receiver reads all that it can."""
        receiver = "server" if sender == "client" else "client"
        self.in_transit[sender] += self.protocol(sender).outgoing()
        piece = bytes(self.in_transit[sender][:size])
        del self.in_transit[sender][:size]
        if piece:
            self.protocol(receiver).receive(piece)
        while data := self.protocol(receiver).read():
            self.received[receiver] += data
        assert self.sent[sender].startswith(self.received[receiver])
        if self.protocol(receiver).state is TlsState.ENDED:
            assert sender in self.closed_sides
            assert self.received[receiver] == self.sent[sender]

    @precondition(lambda self: self.client.state is not TlsState.HANDSHAKE)
    @rule(sender=st.sampled_from(["client", "server"]), data=st.binary(min_size=1, max_size=40_000))
    def write(self, sender: str, data: bytes) -> None:
        protocol = self.protocol(sender)
        if protocol.state is TlsState.HANDSHAKE:
            return
        if sender in self.closed_sides:
            with pytest.raises(TlsError):
                protocol.write(data)
            return
        protocol.write(data)
        self.sent[sender] += data

    @rule(sender=st.sampled_from(["client", "server"]))
    def finish(self, sender: str) -> None:
        if self.protocol(sender).state is not TlsState.HANDSHAKE:
            self.closed_sides.add(sender)
        self.protocol(sender).shutdown_write()

    def teardown(self) -> None:
        for _ in range(40):
            for sender in ("client", "server"):
                self.deliver(sender, 1 << 20)
        assert self.received == {"client": self.sent["server"], "server": self.sent["client"]}


def test_tls_protocol_agrees_with_a_model(authority: Authority) -> None:
    TlsModel.authority = authority
    case: Any = TlsModel.TestCase()
    case.runTest()


def test_handshake_bytes_are_bounded(authority: Authority) -> None:
    protocol = TlsProtocol(server_tls(settings(authority)).context, is_server=True)
    with pytest.raises(TlsError):
        for _ in range(MAX_HANDSHAKE_BYTES):
            protocol.receive(b"\x16\x03\x01\x00\x00")
    assert protocol.state is TlsState.FAILED
    assert protocol.read() == b""
