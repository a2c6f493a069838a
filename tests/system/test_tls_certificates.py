"""Tests of TLS certificates: the callers that they identify, denials, replacement and unusable files."""

from __future__ import annotations

import random
import signal
import socket
import ssl
import time
from pathlib import Path

import pytest

from ironmill.commands.keys import KeyStore
from ironmill.configuration.tls_context import server_tls
from ironmill.identity.keyring import KeyRing
from ironmill.identity.rules import Caller, CallerRule, IdentitySettings, Rights
from ironmill.net.tls import TlsStream
from ironmill.protocol.json_object import MalformedError
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed import call, certificates
from ironmill_testbed.certificates import DAY, NOW, Authority, fingerprint
from ironmill_testbed.fleet import Client, NotServedError, run_scenario
from ironmill_testbed.processes import Dependencies, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line
from tests.support.tls import TlsProxyUnderTest, settings, wait_until_released

pytestmark = pytest.mark.usefixtures("short_half_close")

CALLER_RULES = (
    CallerRule(Caller("farms", "community", Rights()), names=("dns:*.farm.example",)),
    CallerRule(Caller("mirrors", "mirrors", Rights()), names=("dns:mirror.example", "uri:x")),
)


@pytest.fixture(scope="module")
def certificates_by_name(
    authority: Authority, tmp_path_factory: pytest.TempPathFactory
) -> dict[str, tuple[str, str]]:
    other_authority = Authority(tmp_path_factory.mktemp("other"), "other")
    return {
        "good": authority.certificate("good", "a.farm.example"),
        "expired": authority.certificate("expired", "a.farm.example", until=NOW - DAY / 2),
        "revoked": authority.certificate("revoked", "b.farm.example"),
        "denied": authority.certificate("denied", "c.farm.example"),
        "nobody": authority.certificate("nobody", "a.example"),
        "nameless": authority.certificate("nameless"),
        "foreign": other_authority.certificate("foreign", "a.farm.example"),
    }


def answer_to(proxy: TlsProxyUnderTest, pair: tuple[str, str]) -> str:
    try:
        client = proxy.tls_client(*pair)
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


def test_certificate_identifies_the_caller(
    authority: Authority, certificates_by_name: dict[str, tuple[str, str]]
) -> None:
    identity = IdentitySettings(
        "", CALLER_RULES, denied_fingerprints=frozenset({fingerprint(certificates_by_name["denied"][0])})
    )
    received: dict[str, str] = {}

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        assert proxy.callers is not None
        for name, pair in certificates_by_name.items():
            received[name] = answer_to(proxy, pair)
        counts = proxy.callers.counts()
        assert [counts[f"rejected {reason}"] for reason in ("denied", "no caller", "malformed")] == [1, 1, 1]
        wait_until_released(proxy)

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
    authority: Authority, certificates_by_name: dict[str, tuple[str, str]]
) -> None:
    identity = IdentitySettings("", CALLER_RULES, migrate_within_s=0.05)

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        assert proxy.callers is not None
        denied, _ = proxy.established_tls_pair(*certificates_by_name["denied"])
        good, attempt = proxy.established_tls_pair(*certificates_by_name["good"])
        with_denial = IdentitySettings(
            "",
            CALLER_RULES,
            migrate_within_s=0.05,
            denied_fingerprints=frozenset({fingerprint(certificates_by_name["denied"][0])}),
        )
        proxy.callers.reconfigure(with_denial, KeyRing())
        assert read_line(denied) == b"MOVE\r\n"
        good.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"
        assert proxy.callers._usage.connections("farms") >= 1

    TlsProxyUnderTest(authority, identity, clients="optional", authorities=str(authority.path)).run(scenario)


def test_session_is_resumed_until_the_certificate_is_replaced(authority: Authority) -> None:
    context = authority.client()
    context.maximum_version = ssl.TLSVersion.TLSv1_2  # its session exists once the handshake is complete

    def connect(
        proxy: TlsProxyUnderTest, session: ssl.SSLSession | None
    ) -> tuple[bool, ssl.SSLSession | None]:
        sock = socket.create_connection(proxy.listener.address)
        stream = TlsStream.for_client(proxy.scheduler, sock, context, "localhost", session)
        stream.handshake(time.monotonic() + 5.0)
        stream.send(b"PING\r\n")
        assert read_line(stream) == b"PONG\r\n"
        result = stream.tls.resumed, stream.tls.session
        stream.close()
        return result

    def scenario(proxy: ProxyUnderTest) -> None:
        assert isinstance(proxy, TlsProxyUnderTest)
        resumed_first, session = connect(proxy, None)
        resumed_second, session = connect(proxy, session)
        authority.certificate("server", "localhost")
        proxy.context = server_tls(settings(authority)).context
        resumed_third, _ = connect(proxy, session)
        assert (resumed_first, resumed_second, resumed_third) == (False, True, False)

    TlsProxyUnderTest(authority).run(scenario)


def test_unusable_tls_files_are_rejected(authority: Authority, tmp_path: Path) -> None:
    server_tls(settings(authority))
    invalid_file = tmp_path / "rubbish.pem"
    invalid_file.write_text("rubbish")
    invalid_file.chmod(0o600)
    readable_key = tmp_path / "open.key"
    readable_key.write_bytes((authority.folder / "server.key").read_bytes())
    readable_key.chmod(0o644)
    optional = {"clients": "optional", "authorities": str(authority.path)}
    for changes, message in (
        ({"certificate": str(tmp_path / "none")}, "cannot be read"),
        ({"key": str(invalid_file)}, "is not a PEM certificate"),
        ({"key": str(readable_key)}, "it must be 0600"),
        (optional | {"authorities": str(invalid_file)}, "contains no usable PEM certificate or CRL"),
        (optional | {"crl": str(invalid_file)}, "contains no usable PEM certificate or CRL"),
    ):
        with pytest.raises(MalformedError, match=message):
            server_tls(settings(authority, **changes))


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
        stream = connect()
        client.stream = stream
        client.open()
        first_certificate = stream.peer_certificate()
        certificates.write_all(tmp_path)  # replaces the authority too
        proxy.popen.send_signal(signal.SIGHUP)
        while True:
            try:
                later_stream = connect()
            except OSError:
                scheduler.sleep(0.02)  # the old certificate, not signed by the new authority, is still in use
                continue
            assert later_stream.peer_certificate() != first_certificate
            later_stream.close()
            break
        assert client.exchange(b"hey") == b"hey"
        client.close()
        # The listener without TLS still accepts clients, but rejects those without a credential.
        with pytest.raises(NotServedError, match="ERR"):
            Client(scheduler, proxy.address).open()

    with Dependencies(tmp_path, 2) as dependencies:
        config = proxy_config(
            "p", ("127.0.0.1", free_port()), dependencies.discovery, 1024, platform_settings()
        )
        command_options = [f"--settings={tmp_path / 'settings.xml'}"]
        with ProxyProcess(write_config(tmp_path, config), tmp_path, options=command_options) as proxy:
            proxy.wait_ready()
            run_scenario(scheduler, lambda: scenario(proxy), 30.0)
            arguments = (f"127.0.0.1:{port}", "", "index-sync", str(tmp_path / "authority.pem"))
            assert call.run(*arguments, str(tmp_path / "farm")) == 0
            assert call.run(*arguments, "") == 1
            assert proxy.end() == 0
    assert "a line came back: hello" in capsys.readouterr().out
