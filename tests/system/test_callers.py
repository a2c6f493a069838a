"""Tests of callers on loopback sockets, with a proxy process, and with the operator's commands."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import orjson
import pytest

from ironmill.cli import main
from ironmill.identity.authenticator import SUSPECT_CHECK_BURST
from ironmill.identity.callers import Callers
from ironmill.identity.keyring import KeyRing
from ironmill.identity.rules import Caller, IdentitySettings, Rights
from ironmill.identity.suspect_addresses import SUSPECT_AFTER
from ironmill.net.key_ring_watcher import KeyRingWatcher
from ironmill.net.sockets import Stream
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.fleet import Client, NotServedError, run_scenario
from ironmill_testbed.processes import Dependencies, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config
from tests.support.identity import AUDIENCE, ISSUER, Keys, forged, hostile_tokens, identity, rule
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line
from tests.support.requests import FakeTimers


@pytest.fixture(scope="module")
def keys(tmp_path_factory: pytest.TempPathFactory) -> Keys:
    return Keys(tmp_path_factory.mktemp("keys"))


def proxy_with_identity(settings: IdentitySettings, key_ring: KeyRing) -> ProxyUnderTest:
    proxy = ProxyUnderTest()
    proxy.callers = Callers(settings, key_ring, proxy.scheduler)
    return proxy


def auth_line(token: bytes) -> bytes:
    return b"AUTH " + token + b"\r\n"


def first_answer_line(proxy: ProxyUnderTest, *pieces: bytes) -> bytes:
    client = proxy.client(*pieces)
    line = read_line(client)
    client.close()
    return line


def establish(proxy: ProxyUnderTest, token: bytes) -> tuple[Stream, Stream]:
    client = proxy.client(auth_line(token) + OPEN.replace(b"1a", b"%x" % random.getrandbits(60)))
    attempt = proxy.next_attempt()
    request_line = read_line(attempt)
    assert request_line.startswith(b"OPEN ")  # the credential is not forwarded
    attempt.send(b"UP r1\r\n")
    assert read_line(client) == b"UP r1\r\n"
    return client, attempt


def test_token_in_segments_of_one_byte_is_accepted_and_not_forwarded(keys: Keys) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(b"PING\r\n")
        assert read_line(client) == b"PONG\r\n"
        for index in range(len(data := auth_line(keys.token()) + OPEN)):
            client.send(data[index : index + 1])
        attempt = proxy.next_attempt()
        assert read_line(attempt).startswith(b"OPEN 1a 2b c=read,")
        attempt.send(b"UP r1\r\nhey\r\n")
        client.close()
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        assert proxy.callers is not None
        assert proxy.callers._usage.connections("farms") == 0

    proxy_with_identity(identity(), keys.ring()).run(scenario)


def test_invalid_credential_gets_one_answer_and_no_attempt(keys: Keys) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert proxy.callers is not None
        assert first_answer_line(proxy, OPEN) == b"ERR\r\n"
        for name, token in hostile_tokens(keys).items():
            if len(token) < 4000:
                assert first_answer_line(proxy, auth_line(token) + OPEN) == b"ERR\r\n", name
        assert first_answer_line(proxy, auth_line(keys.token(exp=1)), OPEN) == b"ERR\r\n"
        assert (
            first_answer_line(proxy, auth_line(keys.token()) + auth_line(keys.token()) + OPEN) == b"ERR\r\n"
        )
        assert first_answer_line(proxy, b"AUTH \r\n" + OPEN) == b"ERR\r\n"
        assert first_answer_line(proxy, b"AUTH " + b"x" * 5000) == b"ERR\r\n"
        assert proxy.arrived == []
        assert proxy.gateway.counts.get("attempts", 0) == 0
        counts = proxy.callers.counts()
        assert counts["rejected missing"] == 1
        assert counts["rejected expired"] == 1
        assert counts["rejected signature"] >= 2

    proxy_with_identity(identity(suspect_checks_per_s=1000.0), keys.ring()).run(scenario)


def test_anonymous_caller_has_own_tenant_and_rights(keys: Keys) -> None:
    anonymous = Caller("stranger", "strangers", Rights(frozenset({"read"}), max_connections=1))
    balancer_events: list[Any] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        handle = proxy.gateway._balancer.handle
        proxy.gateway._balancer.handle = lambda event, now: (
            balancer_events.append(event),
            handle(event, now),
        )[1]
        first = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        read_line(attempt)
        attempt.send(b"UP r1\r\n")
        assert read_line(first) == b"UP r1\r\n"
        assert first_answer_line(proxy, OPEN.replace(b"1a", b"1b")).startswith(b"BUSY 1000")
        first.close()
        assert attempt.receive(5.0) == b""
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        client, _ = establish(proxy, keys.token())
        client.close()
        tenants = [event.tenant for event in balancer_events if type(event).__name__ == "Request"]
        assert tenants == ["strangers", "tenant-farms"]

    proxy_with_identity(identity(anonymous=anonymous), keys.ring()).run(scenario)


def test_class_without_right_is_rejected(keys: Keys) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert proxy.callers is not None
        assert first_answer_line(proxy, auth_line(keys.token()) + OPEN) == b"ERR\r\n"
        assert proxy.callers.counts()["rejected class not allowed"] == 1

    proxy_with_identity(identity(rule(classes=frozenset({"write"}))), keys.ring()).run(scenario)


@pytest.mark.parametrize("period_s", [None, 0.05])
def test_connections_of_retired_key_stay_or_migrate(keys: Keys, period_s: float | None) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert proxy.callers is not None
        connections = [establish(proxy, keys.token(kid)) for kid in "aabab"]
        proxy.callers.reconfigure(
            identity(migrate_within_s=period_s), keys.ring().retired("a", time.time() - 1.0)
        )
        assert first_answer_line(proxy, auth_line(keys.token("a")) + OPEN) == b"ERR\r\n"
        if period_s is not None:
            for index in (0, 1, 3):
                assert read_line(connections[index][0]) == b"MOVE\r\n"
            proxy.wait_until(lambda: len(proxy.gateway.established()) == 2)
        proxy.scheduler.sleep(0.1)
        for index in range(5) if period_s is None else (2, 4):
            client, attempt = connections[index]
            client.send(b"hey\r\n")
            assert read_line(attempt) == b"hey\r\n"

    proxy_with_identity(identity(migrate_within_s=period_s), keys.ring()).run(scenario)


def test_incomplete_ring_file_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    keys, timers = Keys(tmp_path), FakeTimers(monkeypatch)
    received_rings: list[KeyRing] = []
    watcher = KeyRingWatcher(timers, str(keys.path), received_rings.append)
    watcher.start()
    data = keys.path.read_bytes()
    for incomplete in (data[:50], b"", data[:-9]):
        keys.path.write_bytes(incomplete)
        timers.run(1.0)
    keys.path.unlink()
    timers.run(1.0)
    assert received_rings == []
    assert {record.getMessage() for record in caplog.records} == {"key ring rejected"}
    keys.path.write_bytes(data)
    timers.run(1.0)
    assert [key.kid for key in received_rings[0]] == ["a", "b"]
    timers.run(5.0)
    assert len(received_rings) == 1


SETTINGS = f"""<ironmill xmlns="urn:ironmill:settings:1">
  <log form="json"/>
  <identity keys="ring.json" standing="move-within=500ms" suspect-checks="1000/s">
    <caller name="farms" tenant="community">
      <token issuer="{ISSUER}" audience="{AUDIENCE}" subject="farm-*"/>
    </caller>
  </identity>
</ironmill>
"""


class ProxyWithClients:
    """A proxy process with identity settings, and clients that present tokens."""

    def __init__(self, folder: Path, dependencies: Dependencies) -> None:
        self.settings = folder / "settings.xml"
        self.settings.write_text(SETTINGS)
        config = proxy_config(
            "p", ("127.0.0.1", free_port()), dependencies.discovery, 4096, platform_settings()
        )
        command_options = [f"--settings={self.settings}"]
        self.proxy = ProxyProcess(write_config(folder, config), folder, options=command_options)
        self.scheduler = Scheduler()
        self.answers: Counter[tuple[str, str]] = Counter()  # by kind of client and first word

    def open(self, kind: str, token: bytes, delay_s: float = 0.0) -> str:
        """Opens a connection after a delay. Returns the first word of the answer, or an empty string."""
        self.scheduler.sleep(delay_s)
        client = Client(self.scheduler, self.proxy.address)
        try:
            client.open(token=token)
            word = "UP"
            # The proxy sends only one answer, so the next line is the server's reply. A client of kind
            # "probe" may be established just when its key is retired; the proxy then migrates it.
            assert client.exchange(b"line") in ((b"line", b"MOVE") if kind == "probe" else (b"line",))
        except NotServedError as error:
            word = str(error).partition(" ")[0]
        self.answers[kind, word] += 1
        client.close()
        return word


def test_key_rotation_while_clients_reconnect(tmp_path: Path) -> None:
    """No valid caller may be rejected, no invalid one admitted, and each must get exactly one answer."""
    keys = Keys(tmp_path)
    rng = random.Random(4)
    now = time.time()
    with Dependencies(tmp_path, 3) as dependencies:
        clients = ProxyWithClients(tmp_path, dependencies)
        with clients.proxy:
            clients.proxy.wait_ready()
            invalid_tokens = {
                "expired": lambda kid: keys.token(kid, exp=now - 60.0),
                "early": lambda kid: keys.token(kid, nbf=now + 3600.0),
                "forged": lambda kid: forged(keys.token(kid, sub=f"farm-{rng.random()}")),
                "audience": lambda kid: keys.token(kid, aud="other"),
            }

            def reconnect(count: int, valid_kids: str, invalid: dict[str, Any]) -> None:
                kinds = [*invalid, *["good"] * 4]
                for index in range(count):
                    kind = kinds[index % len(kinds)]
                    kid = rng.choice(valid_kids)
                    token = keys.token(kid, sub=f"farm-{index}") if kind == "good" else invalid[kind](kid)
                    clients.scheduler.spawn(clients.open, kind, token, 0.2 + 1.2 * rng.random())

            def scenario() -> None:
                reconnect(160, "ab", invalid_tokens)
                clients.scheduler.sleep(0.7)
                keys.write(keys.ring().promoted("b", time.time(), 3600.0))
                while sum(clients.answers.values()) < 160:
                    clients.scheduler.sleep(0.02)
                keys.write(keys.ring().retired("a", time.time()))
                while clients.open("probe", keys.token("a")) == "UP":
                    clients.scheduler.sleep(0.02)
                reconnect(
                    160,
                    "b",
                    invalid_tokens | {"retired": lambda _: keys.token("a", sub=f"farm-{rng.random()}")},
                )
                while sum(count for (kind, _), count in clients.answers.items() if kind != "probe") < 320:
                    clients.scheduler.sleep(0.02)

            run_scenario(clients.scheduler, scenario, 90.0)
            assert clients.proxy.end() == 0
        log = clients.proxy.log.read_text()
    answers = {
        kind: {word for (other, word) in clients.answers if other == kind} for kind, _ in clients.answers
    }
    assert answers.pop("probe") <= {"UP", "ERR"}
    assert answers.pop("good") == {"UP"}
    assert answers == {invalid_kind: {"ERR"} for invalid_kind in [*invalid_tokens, "retired"]}
    events = [orjson.loads(line) for line in log.splitlines()]
    kinds = {event["kind"] for event in events if event["event"] == "credential rejected"}
    assert {"expired", "not yet valid", "signature", "no caller"} <= kinds
    assert all(event["proxy"] == "p" for event in events)
    assert keys.token("a").split(b".")[0].decode() not in log


def test_flood_of_forged_tokens_does_not_delay_valid_callers(keys: Keys) -> None:
    """Forged tokens are verified within their budget, and no valid caller is rejected or throttled."""
    answers: Counter[tuple[str, str]] = Counter()  # by kind of client and first word

    def scenario(proxy: ProxyUnderTest) -> None:
        assert proxy.callers is not None
        forged_tokens = [forged(keys.token(sub=f"farm-{index}")) for index in range(200)]

        def flood() -> None:
            for token in forged_tokens:
                client = Stream.connect(proxy.scheduler, proxy.listener.address, 5.0, "127.0.0.9")
                client.send(auth_line(token) + OPEN)
                answers["forged", read_line(client)[:4].decode().strip()] += 1
                client.close()

        proxy.scheduler.spawn(flood)
        for index in range(30):
            client, attempt = establish(proxy, keys.token(sub=f"farm-{index}"))
            answers["good", "UP"] += 1
            client.close()
            attempt.close()
        proxy.wait_until(lambda: sum(answers.values()) == 230)
        # Each valid token requires a signature check; the forged ones are limited by the budget.
        check_budget = SUSPECT_AFTER + SUSPECT_CHECK_BURST + 1
        assert 30 < proxy.callers.authenticator.signatures_verified <= 30 + check_budget
        assert answers["forged", "BUSY"] == proxy.callers.counts()["throttled"] >= 200 - check_budget

    proxy_with_identity(identity(suspect_checks_per_s=0.001), keys.ring()).run(scenario)
    assert {word for kind, word in answers if kind == "forged"} == {"ERR", "BUSY"}


def test_settings_reload_under_load_and_invalid_file_changes_nothing(tmp_path: Path) -> None:
    """Guards against a reload that is applied in part. Of five reloads, one has an invalid file."""
    keys = Keys(tmp_path)
    with Dependencies(tmp_path, 2) as dependencies:
        clients = ProxyWithClients(tmp_path, dependencies)
        with clients.proxy:
            clients.proxy.wait_ready()

            def scenario() -> None:
                stopping = False

                def load() -> None:
                    while not stopping:
                        clients.open("load", keys.token(sub="farm-load"))

                for _ in range(4):
                    clients.scheduler.spawn(load)
                load_caller_only = SETTINGS.replace("farm-*", "farm-load")
                with_denial = SETTINGS.replace("<caller", '<deny subject="farm-1"/><caller')
                for text, word in (
                    (load_caller_only, "ERR"),
                    (SETTINGS, "UP"),
                    ("<ironmill", "UP"),
                    (with_denial, "ERR"),
                    (SETTINGS, "UP"),
                ):
                    clients.settings.write_text(text)
                    os.kill(clients.proxy.popen.pid, signal.SIGHUP)
                    clients.scheduler.sleep(0.2)
                    while clients.open("one", keys.token()) != word:
                        clients.scheduler.sleep(0.02)
                stopping = True

            run_scenario(clients.scheduler, scenario, 60.0)
            assert clients.proxy.end() == 0
        log = clients.proxy.log.read_text()
    assert {word for kind, word in clients.answers if kind == "load"} == {"UP"}
    assert log.count("the old configuration stays in use") == 1


def test_commands_from_new_key_to_explained_caller(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    store = ["--store", str(tmp_path)]

    def run(*words: str) -> tuple[int, str, str]:
        status = main(list(words))
        out, err = capsys.readouterr()
        return status, out, err

    issue_command = ["token", "issue", "farm-1", *store, "--audience", AUDIENCE, "--issuer", ISSUER]
    assert run("keys", "new", "../x", *store)[0] == 2
    assert run("keys", "new", "k1", *store, "--algorithm=HS256")[0] == 2
    assert run("keys", "new", "k1", *store)[0] == 0
    assert "there is a key 'k1' already" in run("keys", "new", "k1", *store)[2]
    assert "there is no signing key" in run(*issue_command)[2]
    assert run("keys", "promote", "k1", *store, "--overlap=soon")[0] == 2
    assert run("keys", "promote", "k1", *store)[0] == 0
    token = run(*issue_command)[1].strip()
    assert orjson.loads(run("token", "inspect", token)[1])["claims"]["sub"] == "farm-1"
    assert run("token", "inspect", "a.b.c")[0] == 2
    settings = tmp_path / "settings.xml"
    settings.write_text(SETTINGS)
    config = proxy_config("p", ("127.0.0.1", 1), ("127.0.0.1", 2), 512, platform_settings())
    files = ["--settings", str(settings), "--config", str(write_config(tmp_path, config))]
    explained = run("caller", "explain", token, *files)[1].splitlines()
    assert explained[0] == "line 4, caller farms: matches"
    assert explained[1].startswith("admitted by key k1: caller farms of tenant community, all classes")
    (tmp_path / "k1.pem").chmod(0o640)
    assert "others may read it; it must be 0600" in run(*issue_command)[2]
    (tmp_path / "k1.pem").chmod(0o600)
    assert "promote another key first" in run("keys", "retire", "k1", *store)[2]
    assert run("keys", "new", "k2", *store, "--algorithm=ES256")[0] == 0
    assert run("keys", "promote", "k2", *store, "--overlap=1h")[0] == 0
    assert run("keys", "retire", "k1", *store, "--after=0s")[0] == 0
    listed = run("keys", "list", *store)[1].splitlines()
    assert [(line.split()[0], line.split()[2]) for line in listed] == [("k1", "retired"), ("k2", "signing")]
    assert run("caller", "explain", token, *files)[1].splitlines()[-1] == "refused: key retired"
    assert run("caller", "explain", "rubbish", *files)[1].startswith("refused: malformed")


def test_identity_is_not_imported_without_settings() -> None:
    program = (
        "import sys, ironmill.cli\n"
        "heavy = ('lxml', 'structlog', 'cryptography', 'jwt', 'ironmill.identity', "
        "'ironmill.identity.callers', 'ironmill.configuration.settings', 'ironmill.commands', "
        "'ironmill_testbed')\n"
        "print([name for name in heavy if name in sys.modules])"
    )
    result = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"
