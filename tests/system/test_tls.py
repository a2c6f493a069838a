"""TLS to clients and servers: the rules of plain TCP, failing handshakes, and certificates."""

from __future__ import annotations

import contextlib
import random
import signal
import socket
import ssl
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from ironmill.commands.keys import KeyStore
from ironmill.configuration.settings.model import TlsSettings, UpstreamTls
from ironmill.configuration.tls_context import server_tls, upstream_tls
from ironmill.identity.callers import Callers
from ironmill.identity.keyring import KeyRing
from ironmill.identity.rules import Caller, CallerRule, IdentitySettings, Rights
from ironmill.net.clients import reading as reading_module
from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.net.tls import TlsStream
from ironmill.protocol.json_object import MalformedError
from ironmill.protocol.tls import MAX_HANDSHAKE_BYTES, TlsError, TlsProtocol, TlsState
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed import call, certificates
from ironmill_testbed.certificates import DAY, NOW, Authority, fingerprint
from ironmill_testbed.fleet import Client, NotServedError, run_scenario
from ironmill_testbed.processes import Dependencies, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line


@pytest.fixture(autouse=True)
def _short_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Servers that the tests play do not end by themselves once their client has."""
    monkeypatch.setattr(reading_module, "HALF_CLOSED_TIMEOUT_S", 0.2)


@pytest.fixture(scope="module")
def authority(tmp_path_factory: pytest.TempPathFactory) -> Authority:
    it = Authority(tmp_path_factory.mktemp("tls"))
    it.certificate("server", "localhost")
    return it


def settings(authority: Authority, **changes: Any) -> TlsSettings:
    folder = authority.folder
    fields: dict[str, Any] = {
        "listen": ("127.0.0.1", 0),
        "certificate": str(folder / "server.crt"),
        "key": str(folder / "server.key"),
        "clients": "none",
    }
    return TlsSettings(**(fields | changes))


class TlsProxyUnderTest(ProxyUnderTest):
    """A proxy that speaks TLS to its clients."""

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
            self._take,
            make_stream=lambda scheduler, sock: TlsStream.for_server(scheduler, sock, self.context),
        )
        self.listener.start()

    def secure(self, *shown: str, context: ssl.SSLContext | None = None) -> TlsStream:
        """A client's stream after its handshake."""
        sock = socket.create_connection(self.listener.address)
        context = context or self.authority.client(*shown)
        stream = TlsStream.for_client(self.scheduler, sock, context, "localhost")
        stream.handshake(time.monotonic() + 5.0)
        return stream

    def stand(self, *shown: str) -> tuple[TlsStream, Stream]:
        client = self.secure(*shown)
        client.send(OPEN.replace(b"1a", b"%x" % random.getrandbits(60)))
        attempt = self.next_attempt()
        assert read_line(attempt).startswith(b"OPEN ")
        attempt.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"
        return client, attempt


def crosses(proxy: ProxyUnderTest, data: bytes, client: Stream, attempt: Stream) -> None:
    """The data is relayed unchanged, first to the server and then to the client."""
    for source, to in ((client, attempt), (attempt, client)):
        proxy.scheduler.spawn(source.send, data)
        came = b""
        while len(came) < len(data):
            came += to.receive(5.0)
        assert came == data


def until_gone(proxy: ProxyUnderTest) -> None:
    proxy.wait_until(lambda: not proxy.gateway.request_count() and proxy.admission.used() == 0)


def test_tls_relays_bytes_unchanged_both_ways_and_the_close_of_the_server(authority: Authority) -> None:
    data = random.Random(3).randbytes(700_000).replace(b"\r\n", b"--") + b"\r\n"

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        client, attempt = proxy.stand()
        crosses(proxy, data, client, attempt)
        attempt.send(b"BYE\r\n")
        attempt.close_gracefully(1.0)
        assert read_line(client) == b"BYE\r\n"
        assert client.receive(5.0) == b""  # said, and not cut off
        client.close()
        until_gone(proxy)
        assert proxy.gateway.counts["established OK"] == 1

    TlsProxyUnderTest(authority).run(scenario)


def test_tls_client_that_does_not_read_applies_backpressure(authority: Authority) -> None:
    """Buffers are bounded with TLS as well."""

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        client, attempt = proxy.stand()
        sent = 0
        with pytest.raises(TimedOutError):
            while sent < 1 << 28:
                sent += attempt.send_some(b"x" * 65536, 0.3)
        assert sent < 1 << 25
        came = 0
        while came < sent:
            came += len(client.receive(5.0))
        client.close()
        until_gone(proxy)

    TlsProxyUnderTest(authority).run(scenario)


def end_with_close_notify(client: TlsStream) -> None:
    client.close()


def end_without_close_notify(client: TlsStream) -> None:
    client._sock.shutdown(socket.SHUT_RDWR)


def end_by_reset(client: TlsStream) -> None:
    client.abort()


def end_by_rubbish(client: TlsStream) -> None:
    client._sock.send(b"rubbish that is no record at all")


@pytest.mark.parametrize(
    "end", [end_with_close_notify, end_without_close_notify, end_by_reset, end_by_rubbish]
)
def test_any_close_of_a_tls_client_ends_its_attempt_and_releases_everything(
    authority: Authority, end: Callable[[TlsStream], None]
) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        client, attempt = proxy.stand()
        end(client)
        with contextlib.suppress(ConnectionResetError):
            assert attempt.receive(5.0) == b""
        attempt.close()
        until_gone(proxy)
        assert proxy.gateway.counts["established CANCELLED"] == 1

    TlsProxyUnderTest(authority).run(scenario)


def test_half_closed_tls_client_still_receives_data(authority: Authority) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        client, attempt = proxy.stand()
        client.shutdown_write()
        assert attempt.receive(5.0) == b""
        attempt.send(b"late\r\n")
        assert read_line(client) == b"late\r\n"
        attempt.close()
        until_gone(proxy)

    TlsProxyUnderTest(authority).run(scenario)


def test_reset_of_the_server_resets_the_tls_client(authority: Authority) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        client, attempt = proxy.stand()
        attempt.abort()
        with pytest.raises(ConnectionError):
            client.receive(5.0)
        until_gone(proxy)

    TlsProxyUnderTest(authority).run(scenario)


def hello(authority: Authority) -> bytes:
    return TlsProtocol(authority.client(), is_server=False, server_name="localhost").outgoing()


HOSTILE: dict[str, Callable[[bytes], list[bytes]]] = {
    "half a hello": lambda first: [first[: len(first) // 2]],
    "nothing": lambda first: [],
    "plain lines": lambda first: [OPEN],
    "HTTP": lambda first: [b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"],
    "a record that is too long": lambda first: [b"\x16\x03\x01\xff\xff" + b"x" * 70_000],
    "hellos without end": lambda first: [first] * 2000,
    "60 MB of rubbish": lambda first: [bytes(range(256)) * 240] * 1000,
    "records of nothing": lambda first: [b"\x16\x03\x01\x00\x00"] * 30_000,
}


@pytest.mark.parametrize("name", sorted(HOSTILE))
def test_malformed_handshake_is_closed_and_others_are_served(
    authority: Authority, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.5)
    pieces = HOSTILE[name](hello(authority))

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
        client, _ = proxy.stand()
        client.close()
        try:
            while bad.receive(5.0):
                pass
        except ConnectionError:
            pass
        proxy.scheduler.sleep(0.01)
        bad.close()
        until_gone(proxy)

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
                bad.send(hello(authority)[at : at + 1] or b"x")
                proxy.scheduler.sleep(0.005)
        ended.append(True)
        bad.close()
        until_gone(proxy)

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
                proxy.secure(context=context)
        until_gone(proxy)
        assert proxy.gateway.counts.get("attempts", 0) == 0

    TlsProxyUnderTest(authority, minimum="1.3").run(scenario)


RULES = (
    CallerRule(Caller("farms", "community", Rights()), names=("dns:*.farm.example",)),
    CallerRule(Caller("mirrors", "mirrors", Rights()), names=("dns:mirror.example", "uri:x")),
)


@pytest.fixture(scope="module")
def shown(authority: Authority, tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[str, str]]:
    other = Authority(tmp_path_factory.mktemp("other"), "other")
    return {
        "good": authority.certificate("good", "a.farm.example"),
        "expired": authority.certificate("expired", "a.farm.example", until=NOW - DAY / 2),
        "revoked": authority.certificate("revoked", "b.farm.example"),
        "denied": authority.certificate("denied", "c.farm.example"),
        "nobody": authority.certificate("nobody", "a.example"),
        "nameless": authority.certificate("nameless"),
        "foreign": other.certificate("foreign", "a.farm.example"),
    }


def answers(proxy: TlsProxyUnderTest, pair: tuple[str, str]) -> str:
    try:
        client = proxy.secure(*pair)
        client.send(OPEN.replace(b"1a", b"%x" % random.getrandbits(60)))
        if not proxy.arrived:
            proxy.scheduler.sleep(0.05)
        if proxy.arrived:
            attempt = proxy.next_attempt()
            attempt.send(b"UP r1\r\n")
        line = read_line(client)
        client.close()
    except OSError:
        return "closed"
    return line.decode().strip()


def test_certificate_identifies_the_caller(authority: Authority, shown: dict[str, tuple[str, str]]) -> None:
    identity = IdentitySettings("", RULES, denied_fingerprints=frozenset({fingerprint(shown["denied"][0])}))
    received: dict[str, str] = {}

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        assert proxy.callers is not None
        for name, pair in shown.items():
            received[name] = answers(proxy, pair)
        counts = proxy.callers.counts()
        assert [counts[f"rejected {it}"] for it in ("denied", "no caller", "malformed")] == [1, 1, 1]
        until_gone(proxy)

    TlsProxyUnderTest(
        authority,
        identity,
        clients="required",
        authorities=str(authority.path),
        crl=authority.revocations("revoked"),
    ).run(scenario)
    assert received == {
        "good": "UP r1",
        "expired": "closed",
        "revoked": "closed",
        "denied": "ERR",
        "nobody": "ERR",
        "nameless": "ERR",
        "foreign": "closed",
    }


def test_denied_certificate_migrates_its_established_connection(
    authority: Authority, shown: dict[str, tuple[str, str]]
) -> None:
    identity = IdentitySettings("", RULES, migrate_within_s=0.05)

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        assert proxy.callers is not None
        denied, _ = proxy.stand(*shown["denied"])
        good, attempt = proxy.stand(*shown["good"])
        without = IdentitySettings(
            "", RULES, migrate_within_s=0.05, denied_fingerprints=frozenset({fingerprint(shown["denied"][0])})
        )
        proxy.callers.reconfigure(without, KeyRing())
        assert read_line(denied) == b"MOVE\r\n"
        good.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"
        assert proxy.callers._usage.connections("farms") >= 1

    TlsProxyUnderTest(authority, identity, clients="optional", authorities=str(authority.path)).run(scenario)


def test_session_is_resumed_until_the_certificate_is_replaced(authority: Authority) -> None:
    context = authority.client()
    context.maximum_version = ssl.TLSVersion.TLSv1_2  # where the session is there once the handshake is

    def again(proxy: TlsProxyUnderTest, session: ssl.SSLSession | None) -> tuple[bool, ssl.SSLSession | None]:
        sock = socket.create_connection(proxy.listener.address)
        stream = TlsStream.for_client(proxy.scheduler, sock, context, "localhost", session)
        stream.handshake(time.monotonic() + 5.0)
        stream.send(b"PING\r\n")
        assert read_line(stream) == b"PONG\r\n"
        found = stream.tls.resumed, stream.tls.session
        stream.close()
        return found

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        first, session = again(proxy, None)
        second, session = again(proxy, session)
        authority.certificate("server", "localhost")
        proxy.context = server_tls(settings(authority)).context
        third, _ = again(proxy, session)
        assert (first, second, third) == (False, True, False)

    TlsProxyUnderTest(authority).run(scenario)


def test_unusable_tls_files_are_rejected(authority: Authority, tmp_path: Path) -> None:
    server_tls(settings(authority))
    rubbish = tmp_path / "rubbish.pem"
    rubbish.write_text("rubbish")
    rubbish.chmod(0o600)
    open_key = tmp_path / "open.key"
    open_key.write_bytes((authority.folder / "server.key").read_bytes())
    open_key.chmod(0o644)
    optional = {"clients": "optional", "authorities": str(authority.path)}
    for changes, wrong in (
        ({"certificate": str(tmp_path / "none")}, "cannot be read"),
        ({"key": str(rubbish)}, "is no certificate"),
        ({"key": str(open_key)}, "it must be 0600"),
        (optional | {"authorities": str(rubbish)}, "holds nothing"),
        (optional | {"crl": str(rubbish)}, "holds nothing"),
    ):
        with pytest.raises(MalformedError, match=wrong):
            server_tls(settings(authority, **changes))


class SecureHosts(ProxyUnderTest):
    """A proxy whose servers speak TLS, and whose proxy checks that they are ``name``."""

    def __init__(self, authority: Authority, name: str) -> None:
        super().__init__()
        context = server_tls(settings(authority)).context
        for listener in self.listeners:
            listener._make_stream = lambda scheduler, sock: TlsStream.for_server(scheduler, sock, context)
        upstream = upstream_tls(UpstreamTls(str(authority.path)))
        self.dialled = 0

        def dial(address: tuple[str, int], timeout: float) -> Stream:
            self.dialled += 1
            stream = Stream.connect(self.scheduler, address, timeout)
            return TlsStream.wrap(self.scheduler, stream, upstream, name)

        self.dial = dial


def test_upstream_connections_use_tls(authority: Authority) -> None:
    data = bytes(range(256)) * 1000 + b"\r\n"

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        attempt.handshake(time.monotonic() + 5.0)
        assert read_line(attempt).startswith(b"OPEN 1a 2b c=read,")
        attempt.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"
        crosses(proxy, data, client, attempt)
        attempt.send(b"BYE\r\n")
        attempt.close_gracefully(1.0)
        assert read_line(client) == b"BYE\r\n"
        client.close()
        until_gone(proxy)
        assert proxy.gateway.counts["established OK"] == 1

    SecureHosts(authority, "localhost").run(scenario)


def test_server_with_another_name_gets_no_request(authority: Authority) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, SecureHosts)
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        with pytest.raises(OSError):
            attempt.handshake(time.monotonic() + 5.0)
            attempt.receive(5.0)
        assert proxy.gateway.counts["attempt CONNECT_FAILED"] >= 1
        client.close()

    SecureHosts(authority, "other.example").run(scenario)


def test_no_handshake_starts_at_a_leaving_server(authority: Authority) -> None:
    """The rule on drains counts an attempt's first byte, and with TLS that is the handshake's."""

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, SecureHosts)
        host = proxy.gateway.server("s-0")
        assert host is not None
        inner = proxy.dial
        assert inner is not None

        def told_meanwhile(address: tuple[str, int], timeout: float) -> Stream:
            stream = inner(address, timeout)
            host.leaving_since = proxy.gateway.now() - 10.0
            return stream

        proxy.dial = told_meanwhile
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        assert Stream.receive(attempt, 5.0) == b""
        client.close()

    SecureHosts(authority, "localhost").run(scenario)


SETTINGS = """<ironmill xmlns="urn:ironmill:settings:1">
  <identity keys="ring.json" standing="move-within=100ms">
    <caller name="farms" tenant="community"><certificate name="dns:*.farm.example"/></caller>
  </identity>
  <tls listen="127.0.0.1:{}" certificate="server.crt" key="server.key" clients="required"
      authorities="authority.pem"/>
</ironmill>
"""


def test_replaced_certificate_leaves_established_connections_open(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    certificates.write_all(tmp_path)
    KeyStore(tmp_path).new("a", "EdDSA")
    port = free_port()
    (tmp_path / "settings.xml").write_text(SETTINGS.format(port))
    scheduler = Scheduler()

    def connect() -> TlsStream:
        context = ssl.create_default_context(cafile=str(tmp_path / "authority.pem"))
        context.load_cert_chain(tmp_path / "farm.crt", tmp_path / "farm.key")
        sock = socket.create_connection(("127.0.0.1", port))
        stream = TlsStream.for_client(scheduler, sock, context, "localhost")
        stream.handshake(time.monotonic() + 5.0)
        return stream

    def scenario(proxy: ProxyProcess) -> None:
        client = Client(scheduler, proxy.address)
        client.stream = stands = connect()
        client.open()
        first = stands.peer_certificate()
        certificates.write_all(tmp_path)  # another authority, too
        proxy.popen.send_signal(signal.SIGHUP)
        while True:
            try:
                later = connect()
            except OSError:
                scheduler.sleep(0.02)  # it still shows the old one, which the new authority did not sign
                continue
            assert later.peer_certificate() != first
            later.close()
            break
        assert client.exchange(b"hey") == b"hey"
        client.close()
        # In plain nothing has changed, but that nobody is known there.
        with pytest.raises(NotServedError, match="ERR"):
            Client(scheduler, proxy.address).open()

    with Dependencies(tmp_path, 2) as dependencies:
        config = proxy_config(
            "p", ("127.0.0.1", free_port()), dependencies.discovery, 1024, platform_settings()
        )
        more = [f"--settings={tmp_path / 'settings.xml'}"]
        with ProxyProcess(write_config(tmp_path, config), tmp_path, options=more) as proxy:
            proxy.wait_ready()
            run_scenario(scheduler, lambda: scenario(proxy), 30.0)
            word = (f"127.0.0.1:{port}", "", "index-sync", str(tmp_path / "authority.pem"))
            assert call.run(*word, str(tmp_path / "farm")) == 0
            assert call.run(*word, "") == 1
            assert proxy.end() == 0
    assert "a line came back: hello" in capsys.readouterr().out


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
