"""Callers on loopback sockets, with a proxy process, and by an operator's commands."""

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


def auth(token: bytes) -> bytes:
    return b"AUTH " + token + b"\r\n"


def answer(proxy: ProxyUnderTest, *pieces: bytes) -> bytes:
    client = proxy.client(*pieces)
    line = read_line(client)
    client.close()
    return line


def establish(proxy: ProxyUnderTest, token: bytes) -> tuple[Stream, Stream]:
    client = proxy.client(auth(token) + OPEN.replace(b"1a", b"%x" % random.getrandbits(60)))
    attempt = proxy.next_attempt()
    first = read_line(attempt)
    assert first.startswith(b"OPEN ")  # the credential is not forwarded
    attempt.send(b"UP r1\r\n")
    assert read_line(client) == b"UP r1\r\n"
    return client, attempt


def test_token_in_segments_of_one_byte_is_accepted_and_not_forwarded(keys: Keys) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(b"PING\r\n")
        assert read_line(client) == b"PONG\r\n"
        for at in range(len(line := auth(keys.token()) + OPEN)):
            client.send(line[at : at + 1])
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
        assert answer(proxy, OPEN) == b"ERR\r\n"
        for name, token in hostile_tokens(keys).items():
            if len(token) < 4000:
                assert answer(proxy, auth(token) + OPEN) == b"ERR\r\n", name
        assert answer(proxy, auth(keys.token(exp=1)), OPEN) == b"ERR\r\n"
        assert answer(proxy, auth(keys.token()) + auth(keys.token()) + OPEN) == b"ERR\r\n"
        assert answer(proxy, b"AUTH \r\n" + OPEN) == b"ERR\r\n"
        assert answer(proxy, b"AUTH " + b"x" * 5000) == b"ERR\r\n"
        assert proxy.arrived == []
        assert proxy.gateway.counts.get("attempts", 0) == 0
        counts = proxy.callers.counts()
        assert counts["rejected missing"] == 1
        assert counts["rejected expired"] == 1
        assert counts["rejected signature"] >= 2

    proxy_with_identity(identity(suspect_checks_per_s=1000.0), keys.ring()).run(scenario)


def test_anonymous_caller_has_own_tenant_and_rights(keys: Keys) -> None:
    anonymous = Caller("stranger", "strangers", Rights(frozenset({"read"}), max_connections=1))
    events: list[Any] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        inner = proxy.gateway._balancer.handle
        proxy.gateway._balancer.handle = lambda event, now: (events.append(event), inner(event, now))[1]
        first = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        read_line(attempt)
        attempt.send(b"UP r1\r\n")
        assert read_line(first) == b"UP r1\r\n"
        assert answer(proxy, OPEN.replace(b"1a", b"1b")).startswith(b"BUSY 1000")
        first.close()
        assert attempt.receive(5.0) == b""
        proxy.wait_until(lambda: not proxy.gateway.request_count())
        client, _ = establish(proxy, keys.token())
        client.close()
        tenants = [event.tenant for event in events if type(event).__name__ == "Request"]
        assert tenants == ["strangers", "tenant-farms"]

    proxy_with_identity(identity(anonymous=anonymous), keys.ring()).run(scenario)


def test_class_without_right_is_rejected(keys: Keys) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert proxy.callers is not None
        assert answer(proxy, auth(keys.token()) + OPEN) == b"ERR\r\n"
        assert proxy.callers.counts()["rejected class not allowed"] == 1

    proxy_with_identity(identity(rule(classes=frozenset({"write"}))), keys.ring()).run(scenario)


@pytest.mark.parametrize("within", [None, 0.05])
def test_connections_of_retired_key_stay_or_migrate(keys: Keys, within: float | None) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        assert proxy.callers is not None
        connections = [establish(proxy, keys.token(kid)) for kid in "aabab"]
        proxy.callers.reconfigure(
            identity(migrate_within_s=within), keys.ring().retired("a", time.time() - 1.0)
        )
        assert answer(proxy, auth(keys.token("a")) + OPEN) == b"ERR\r\n"
        if within is not None:
            for at in (0, 1, 3):
                assert read_line(connections[at][0]) == b"MOVE\r\n"
            proxy.wait_until(lambda: len(proxy.gateway.established()) == 2)
        proxy.scheduler.sleep(0.1)
        for at in range(5) if within is None else (2, 4):
            client, attempt = connections[at]
            client.send(b"hey\r\n")
            assert read_line(attempt) == b"hey\r\n"

    proxy_with_identity(identity(migrate_within_s=within), keys.ring()).run(scenario)


def test_incomplete_ring_file_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    keys, timers = Keys(tmp_path), FakeTimers(monkeypatch)
    taken: list[KeyRing] = []
    watch = KeyRingWatcher(timers, str(keys.path), taken.append)
    watch.start()
    data = keys.path.read_bytes()
    for cut in (data[:50], b"", data[:-9]):
        keys.path.write_bytes(cut)
        timers.run(1.0)
    keys.path.unlink()
    timers.run(1.0)
    assert taken == []
    assert {record.getMessage() for record in caplog.records} == {"key ring rejected"}
    keys.path.write_bytes(data)
    timers.run(1.0)
    assert [key.kid for key in taken[0]] == ["a", "b"]
    timers.run(5.0)
    assert len(taken) == 1


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
        more = [f"--settings={self.settings}"]
        self.proxy = ProxyProcess(write_config(folder, config), folder, options=more)
        self.scheduler = Scheduler()
        self.answers: Counter[tuple[str, str]] = Counter()

    def open(self, kind: str, token: bytes, at: float = 0.0) -> str:
        """Opens a connection at that time. Returns the first word of the answer, empty for none."""
        self.scheduler.sleep(at)
        client = Client(self.scheduler, self.proxy.address)
        try:
            client.open(token=token)
            word = "UP"
            # There is only one answer: the next line is the reply. But a probe may be established just when
            # its key retires, and is then migrated.
            assert client.exchange(b"line") in ((b"line", b"MOVE") if kind == "probe" else (b"line",))
        except NotServedError as error:
            word = str(error).partition(" ")[0]
        self.answers[kind, word] += 1
        client.close()
        return word


def test_key_rotation_while_clients_reconnect(tmp_path: Path) -> None:
    """No valid caller is rejected, no forged one admitted, and each gets one answer."""
    keys = Keys(tmp_path)
    rng = random.Random(4)
    now = time.time()
    with Dependencies(tmp_path, 3) as dependencies:
        it = ProxyWithClients(tmp_path, dependencies)
        with it.proxy:
            it.proxy.wait_ready()
            bad = {
                "expired": lambda kid: keys.token(kid, exp=now - 60.0),
                "early": lambda kid: keys.token(kid, nbf=now + 3600.0),
                "forged": lambda kid: forged(keys.token(kid, sub=f"farm-{rng.random()}")),
                "audience": lambda kid: keys.token(kid, aud="other"),
            }

            def reconnect(count: int, good: str, more: dict[str, Any]) -> None:
                kinds = [*more, *["good"] * 4]
                for at in range(count):
                    kind = kinds[at % len(kinds)]
                    kid = rng.choice(good)
                    token = keys.token(kid, sub=f"farm-{at}") if kind == "good" else more[kind](kid)
                    it.scheduler.spawn(it.open, kind, token, 0.2 + 1.2 * rng.random())

            def scenario() -> None:
                reconnect(160, "ab", bad)
                it.scheduler.sleep(0.7)
                keys.write(keys.ring().promoted("b", time.time(), 3600.0))
                while sum(it.answers.values()) < 160:
                    it.scheduler.sleep(0.02)
                keys.write(keys.ring().retired("a", time.time()))
                while it.open("probe", keys.token("a")) == "UP":
                    it.scheduler.sleep(0.02)
                reconnect(160, "b", bad | {"retired": lambda _: keys.token("a", sub=f"farm-{rng.random()}")})
                while sum(n for (kind, _), n in it.answers.items() if kind != "probe") < 320:
                    it.scheduler.sleep(0.02)

            run_scenario(it.scheduler, scenario, 90.0)
            assert it.proxy.end() == 0
        log = it.proxy.log.read_text()
    answers = {kind: {word for (of, word) in it.answers if of == kind} for kind, _ in it.answers}
    assert answers.pop("probe") <= {"UP", "ERR"}
    assert answers.pop("good") == {"UP"}
    assert answers == {key: {"ERR"} for key in [*bad, "retired"]}
    events = [orjson.loads(line) for line in log.splitlines()]
    kinds = {event["kind"] for event in events if event["event"] == "credential rejected"}
    assert {"expired", "not yet valid", "signature", "no caller"} <= kinds
    assert all(event["proxy"] == "p" for event in events)
    assert keys.token("a").split(b".")[0].decode() not in log


def test_flood_of_forged_tokens_does_not_delay_valid_callers(keys: Keys) -> None:
    """Forgeries are verified within their budget, and no valid caller is rejected or throttled."""
    words: Counter[tuple[str, str]] = Counter()

    def scenario(proxy: ProxyUnderTest) -> None:
        assert proxy.callers is not None
        forgeries = [forged(keys.token(sub=f"farm-{at}")) for at in range(200)]

        def flood() -> None:
            for token in forgeries:
                client = Stream.connect(proxy.scheduler, proxy.listener.address, 5.0, "127.0.0.9")
                client.send(auth(token) + OPEN)
                words["forged", read_line(client)[:4].decode().strip()] += 1
                client.close()

        proxy.scheduler.spawn(flood)
        for at in range(30):
            client, attempt = establish(proxy, keys.token(sub=f"farm-{at}"))
            words["good", "UP"] += 1
            client.close()
            attempt.close()
        proxy.wait_until(lambda: sum(words.values()) == 230)
        # Each valid token costs a signature; of the forged ones only the budget was verified.
        allowed = SUSPECT_AFTER + SUSPECT_CHECK_BURST + 1
        assert 30 < proxy.callers.authenticator.signatures_verified <= 30 + allowed
        assert words["forged", "BUSY"] == proxy.callers.counts()["throttled"] >= 200 - allowed

    proxy_with_identity(identity(suspect_checks_per_s=0.001), keys.ring()).run(scenario)
    assert {word for kind, word in words if kind == "forged"} == {"ERR", "BUSY"}


def test_settings_reload_under_load_and_invalid_file_changes_nothing(tmp_path: Path) -> None:
    """Five reloads, one of an invalid file; each applies to all callers or to none."""
    keys = Keys(tmp_path)
    with Dependencies(tmp_path, 2) as dependencies:
        it = ProxyWithClients(tmp_path, dependencies)
        with it.proxy:
            it.proxy.wait_ready()

            def scenario() -> None:
                ending = False

                def load() -> None:
                    while not ending:
                        it.open("load", keys.token(sub="farm-load"))

                for _ in range(4):
                    it.scheduler.spawn(load)
                narrow = SETTINGS.replace("farm-*", "farm-load")
                denied = SETTINGS.replace("<caller", '<deny subject="farm-1"/><caller')
                for text, word in (
                    (narrow, "ERR"),
                    (SETTINGS, "UP"),
                    ("<ironmill", "UP"),
                    (denied, "ERR"),
                    (SETTINGS, "UP"),
                ):
                    it.settings.write_text(text)
                    os.kill(it.proxy.popen.pid, signal.SIGHUP)
                    it.scheduler.sleep(0.2)
                    while it.open("one", keys.token()) != word:
                        it.scheduler.sleep(0.02)
                ending = True

            run_scenario(it.scheduler, scenario, 60.0)
            assert it.proxy.end() == 0
        log = it.proxy.log.read_text()
    assert {word for kind, word in it.answers if kind == "load"} == {"UP"}
    assert log.count("the old configuration stays in use") == 1


def test_commands_from_new_key_to_explained_caller(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    store = ["--store", str(tmp_path)]

    def run(*words: str) -> tuple[int, str, str]:
        status = main(list(words))
        out, err = capsys.readouterr()
        return status, out, err

    issue = ["token", "issue", "farm-1", *store, "--audience", AUDIENCE, "--issuer", ISSUER]
    assert run("keys", "new", "../x", *store)[0] == 2
    assert run("keys", "new", "k1", *store, "--algorithm=HS256")[0] == 2
    assert run("keys", "new", "k1", *store)[0] == 0
    assert "there is a key 'k1' already" in run("keys", "new", "k1", *store)[2]
    assert "there is no signing key" in run(*issue)[2]
    assert run("keys", "promote", "k1", *store, "--overlap=soon")[0] == 2
    assert run("keys", "promote", "k1", *store)[0] == 0
    token = run(*issue)[1].strip()
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
    assert "others may read it; it must be 0600" in run(*issue)[2]
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
    code = (
        "import sys, ironmill.cli\n"
        "heavy = ('lxml', 'structlog', 'cryptography', 'jwt', 'ironmill.identity', "
        "'ironmill.identity.callers', 'ironmill.configuration.settings', 'ironmill.commands', "
        "'ironmill_testbed')\n"
        "print([name for name in heavy if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
