"""TLS handshakes that fail or stall, and the sans-I/O protocol against a model."""

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
    "half a hello": lambda first: [first[: len(first) // 2]],
    "nothing": lambda first: [],
    "plain lines": lambda first: [OPEN],
    "HTTP": lambda first: [b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"],
    "a record that is too long": lambda first: [b"\x16\x03\x01\xff\xff" + b"x" * 70_000],
    "hellos without end": lambda first: [first] * 2000,
    "60 MB of rubbish": lambda first: [bytes(range(256)) * 240] * 1000,
    "records of nothing": lambda first: [b"\x16\x03\x01\x00\x00"] * 30_000,
}


@pytest.mark.parametrize("name", sorted(MALFORMED_HANDSHAKES))
def test_malformed_handshake_is_closed_and_others_are_served(
    authority: Authority, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.5)
    pieces = MALFORMED_HANDSHAKES[name](client_hello(authority))

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        bad = Stream.connect(proxy.scheduler, proxy.listener.address, 1.0)

        def flood() -> None:
            try:
                for piece in pieces:
                    bad.send(piece, 5.0)
            except (OSError, TimedOutError):
                pass

        proxy.scheduler.spawn(flood)
        client, _ = proxy.established_tls_pair()
        client.close()
        try:
            while bad.receive(5.0):
                pass
        except ConnectionError:
            pass
        proxy.scheduler.sleep(0.01)
        bad.close()
        wait_until_released(proxy)

    TlsProxyUnderTest(authority).run(scenario)


def test_request_line_timeout_bounds_a_slow_handshake(
    authority: Authority, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.3)
    ended: list[bool] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        bad = Stream.connect(proxy.scheduler, proxy.listener.address, 1.0)
        with pytest.raises(OSError):
            for at in range(10_000):
                bad.send(client_hello(authority)[at : at + 1] or b"x")
                proxy.scheduler.sleep(0.005)
        ended.append(True)
        bad.close()
        wait_until_released(proxy)

    TlsProxyUnderTest(authority).run(scenario)
    assert ended


def test_handshake_fails_without_common_version_or_trusted_server(
    authority: Authority, tmp_path: Path
) -> None:
    old = authority.client()
    old.maximum_version = ssl.TLSVersion.TLSv1_2

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        for context in (old, Authority(tmp_path, "other").client()):
            with pytest.raises(OSError):
                proxy.tls_client(context=context)
        wait_until_released(proxy)
        assert proxy.gateway.counts.get("attempts", 0) == 0

    TlsProxyUnderTest(authority, minimum="1.3").run(scenario)


class TlsModel(RuleBasedStateMachine):
    """Two sides that exchange records in random pieces: each side reads what the other wrote, in order."""

    authority: Authority

    def __init__(self) -> None:
        super().__init__()
        authority = type(self).authority
        self.client = TlsProtocol(authority.client(), is_server=False, server_name="localhost")
        self.server = TlsProtocol(server_tls(settings(authority)).context, is_server=True)
        self.wires = {"client": bytearray(), "server": bytearray()}
        self.sent = {"client": b"", "server": b""}
        self.came = {"client": b"", "server": b""}
        self.ended: set[str] = set()

    def side(self, who: str) -> TlsProtocol:
        return self.client if who == "client" else self.server

    @rule(who=st.sampled_from(["client", "server"]), size=st.sampled_from([1, 5, 100, 1000, 20_000]))
    def carry(self, who: str, size: int) -> None:
        """Some of what one side has written reaches the other, which reads all it can."""
        other = "server" if who == "client" else "client"
        self.wires[who] += self.side(who).outgoing()
        piece = bytes(self.wires[who][:size])
        del self.wires[who][:size]
        if piece:
            self.side(other).receive(piece)
        while data := self.side(other).read():
            self.came[other] += data
        assert self.sent[who].startswith(self.came[other])
        if self.side(other).state is TlsState.ENDED:
            assert who in self.ended
            assert self.came[other] == self.sent[who]

    @precondition(lambda self: self.client.state is not TlsState.HANDSHAKE)
    @rule(who=st.sampled_from(["client", "server"]), data=st.binary(min_size=1, max_size=40_000))
    def write(self, who: str, data: bytes) -> None:
        side = self.side(who)
        if side.state is TlsState.HANDSHAKE:
            return
        if who in self.ended:
            with pytest.raises(TlsError):
                side.write(data)
            return
        side.write(data)
        self.sent[who] += data

    @rule(who=st.sampled_from(["client", "server"]))
    def finish(self, who: str) -> None:
        if self.side(who).state is not TlsState.HANDSHAKE:
            self.ended.add(who)
        self.side(who).shutdown_write()

    def teardown(self) -> None:
        for _ in range(40):
            for who in ("client", "server"):
                self.carry(who, 1 << 20)
        assert self.came == {"client": self.sent["server"], "server": self.sent["client"]}


def test_tls_protocol_agrees_with_a_model(authority: Authority) -> None:
    TlsModel.authority = authority
    case: Any = TlsModel.TestCase()
    case.runTest()


def test_handshake_bytes_are_bounded(authority: Authority) -> None:
    side = TlsProtocol(server_tls(settings(authority)).context, is_server=True)
    with pytest.raises(TlsError):
        for _ in range(MAX_HANDSHAKE_BYTES):
            side.receive(b"\x16\x03\x01\x00\x00")
    assert side.state is TlsState.FAILED
    assert side.read() == b""
