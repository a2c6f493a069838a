"""What it costs to know who calls, and whether a rotation or a flood of forged tokens gets in anybody's way.

Five parts: tokens checked a second, cold and from the cache; set-ups with and without a credential; TLS, full
and resumed, beside a bare echo server; a rotation while a crowd reconnects within 0.2 to 3 s with valid,
expired, early, forged and foreign tokens; set-ups of valid callers while another address floods forgeries.
"""

from __future__ import annotations

import multiprocessing
import random
import socket
import ssl
import statistics
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from ironmill.identity.authenticator import Admitted, Authenticator
from ironmill.identity.rules import Caller, CallerRule, IdentitySettings, Rights, TokenMatch
from ironmill.net.sockets import TimedOutError
from ironmill.net.tls import TlsStream
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.certificates import write_all
from ironmill_testbed.credentials import AUDIENCE, BAD, ISSUER, Issuer
from ironmill_testbed.fleet import Client, NotServedError, in_parallel, play
from ironmill_testbed.processes import Neighbours, Process, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

HOSTS = 6
CROWD, CROWD_QUICK = 2000, 300
SETUPS, SETUPS_QUICK = 2000, 400
CHECKS, CHECKS_QUICK = 5000, 1000
AT_ONCE = 4
FLOOD_FROM = "127.0.0.9"
FLOOD_LIMIT = 60.0  # seconds
LIMIT = 300.0


def measure(quick: bool, poller: str, program: Path | None) -> dict[str, Any]:
    """The figures by name."""
    setups = SETUPS_QUICK if quick else SETUPS
    found: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as name, ExitStack() as stack:
        folder = Path(name)
        issuer = Issuer(folder)
        found |= _checks(issuer, CHECKS_QUICK if quick else CHECKS)
        neighbours = stack.enter_context(Neighbours(folder, HOSTS))
        plain = _proxy("plain", neighbours, folder, [], stack)
        asked = _proxy("asked", neighbours, folder, [f"--settings={issuer.settings}"], stack)
        found["start_mib_plain"] = round(plain.usage().resident / 2**20, 1)
        found["start_mib_settings"] = round(asked.usage().resident / 2**20, 1)
        found |= _latencies("plain", plain, [b""], setups)
        tokens = [issuer.token("old", f"farm-{at}") for at in range(setups)]
        found |= _latencies("token", asked, tokens, setups)
        found |= _tls(neighbours, folder, setups // 2, stack)
        found |= _flood(issuer, asked, setups)
        found |= _rotation(issuer, asked, CROWD_QUICK if quick else CROWD)
    for key, value in found.items():
        print(f"{key:<28} {value}")
    return found


def _proxy(
    name: str, neighbours: Neighbours, folder: Path, more: list[str], stack: ExitStack
) -> ProxyProcess:
    config = proxy_config(name, ("127.0.0.1", free_port()), neighbours.discovery, 8192, platform_settings())
    proxy = stack.enter_context(ProxyProcess(write_config(folder, config), folder, more=more))
    proxy.wait_ready()
    return proxy


def _checks(issuer: Issuer, count: int) -> dict[str, Any]:
    match = TokenMatch(ISSUER, AUDIENCE, "farm-*")
    identity = IdentitySettings("", (CallerRule(Caller("farms", "community", Rights()), (match,)),))
    authenticator = Authenticator(identity, issuer.store.ring(), time.time())
    tokens = [issuer.token("old", f"farm-{at}") for at in range(count)]
    rates = []
    for _ in range(2):  # cold, and from the cache
        start = time.process_time()
        for token in tokens:
            if not isinstance(authenticator.authenticate_token(token, "", time.time()), Admitted):
                raise RuntimeError("a good token was refused")
        rates.append(round(count / (time.process_time() - start)))
    return {"tokens_per_s_cold": rates[0], "tokens_per_s_cached": rates[1]}


def _latencies(name: str, proxy: ProxyProcess, tokens: list[bytes], count: int) -> dict[str, Any]:
    """Milliseconds from the connect to UP, some clients at once."""
    scheduler, took = Scheduler(), []
    left = iter(range(count))

    def one(at: int) -> None:
        client = Client(scheduler, proxy.address)
        start = time.monotonic()
        client.open(token=tokens[at % len(tokens)])
        took.append((time.monotonic() - start) * 1000.0)
        client.close()

    before = proxy.usage().cpu
    play(scheduler, lambda: in_parallel(scheduler, AT_ONCE, left, one), LIMIT)
    cpu = (proxy.usage().cpu - before) * 1000.0 / count
    cuts = statistics.quantiles(took, n=100)
    return {
        f"setup_p50_ms_{name}": round(cuts[49], 3),
        f"setup_p99_ms_{name}": round(cuts[98], 3),
        f"setup_cpu_ms_{name}": round(cpu, 3),
    }


TLS_SETTINGS = """<ironmill xmlns="urn:ironmill:settings:1">
  <tls listen="127.0.0.1:{}" certificate="server.crt" key="server.key"/>
</ironmill>
"""


def _tls(neighbours: Neighbours, folder: Path, count: int, stack: ExitStack) -> dict[str, Any]:
    """Handshakes a second of the proxy's CPU, full and resumed, beside a bare echo server's, and memory."""
    write_all(folder)
    port = free_port()
    settings = folder / "tls.xml"
    settings.write_text(TLS_SETTINGS.format(port))
    proxy = _proxy("tls", neighbours, folder, [f"--settings={settings}"], stack)
    words = ["-m", "ironmill_testbed", "floor", "tls", f"--target={folder}:0"]
    floor = stack.enter_context(Process(words, folder, "floor-tls"))
    assert floor.popen.stdout is not None
    floor_port = int(floor.popen.stdout.readline())
    found: dict[str, Any] = {}
    context = ssl.create_default_context(cafile=str(folder / "authority.pem"))
    context.maximum_version = ssl.TLSVersion.TLSv1_2  # where the session is there once the handshake is
    scheduler = Scheduler()

    def shaken(at: int, session: ssl.SSLSession | None) -> TlsStream:
        sock = socket.create_connection(("127.0.0.1", at))
        stream = TlsStream.for_client(scheduler, sock, context, "localhost", session)
        stream.handshake(time.monotonic() + 10.0)
        return stream

    def shakes(process: Process, at: int, resume: bool) -> int:
        first = shaken(at, None)
        session = first.tls.session if resume else None
        first.close()
        before = process.usage().cpu
        for _ in range(count):
            stream = shaken(at, session)
            if stream.tls.resumed is not resume:
                raise RuntimeError("a session was not resumed, or was where none should be")
            stream.close()
        return round(count / (process.usage().cpu - before))

    def story() -> None:
        for name, process, at in (("proxy", proxy, port), ("floor", floor, floor_port)):
            for kind, resume in (("full", False), ("resumed", True)):
                found[f"handshakes_per_cpu_s_{kind}_{name}"] = shakes(process, at, resume)
        before, clients = proxy.usage().resident, []
        for _ in range(count):
            client = Client(scheduler, ("127.0.0.1", port))
            client.stream = shaken(port, None)
            client.open()
            clients.append(client)
        found["kib_per_tls_connection"] = round((proxy.usage().resident - before) / 1024 / count, 1)
        for client in clients:
            client.close()

    play(scheduler, story, LIMIT)
    return found


def _send_forged(address: tuple[str, int], tokens: list[bytes], until: float) -> None:
    """Another process: one forged token after another, as fast as they are answered."""
    at = 0
    while time.time() < until:
        at += 1
        try:
            with socket.create_connection(address, 5.0, (FLOOD_FROM, 0)) as sock:
                sock.sendall(b"AUTH " + tokens[at % len(tokens)] + b"\r\nOPEN 1 2 c=index-sync,d=500\r\n")
                sock.recv(100)
        except OSError:
            time.sleep(0.001)


def _flood(issuer: Issuer, proxy: ProxyProcess, setups: int) -> dict[str, Any]:
    forged = [issuer.forged("old", f"farm-{at}") for at in range(500)]
    tokens = [issuer.token("old", f"farm-new-{at}") for at in range(setups)]
    context = multiprocessing.get_context("spawn")
    args = (proxy.address, forged, time.time() + FLOOD_LIMIT)
    floods = [context.Process(target=_send_forged, args=args, daemon=True) for _ in range(2)]
    for flood in floods:
        flood.start()
    time.sleep(1.5)
    try:
        return _latencies("flood", proxy, tokens, setups)
    finally:
        for flood in floods:
            flood.terminate()
            flood.join()


def _rotation(issuer: Issuer, proxy: ProxyProcess, size: int) -> dict[str, Any]:
    """Two crowds: in the first the new key begins to sign, before the second the old one has retired."""
    scheduler, rng = Scheduler(), random.Random(7)
    answers: Counter[tuple[str, str]] = Counter()

    def ask(kind: str, token: bytes, at: float) -> None:
        scheduler.sleep(at)
        client = Client(scheduler, proxy.address)
        try:
            client.open(wait=5.0, token=token)
            answers[kind, "UP"] += 1
        except NotServedError as error:
            answers[kind, str(error).partition(" ")[0] or "closed"] += 1
        except (OSError, TimedOutError):
            answers[kind, "none"] += 1
        client.close()

    def crowd(good: tuple[str, ...], bad: tuple[str, ...]) -> None:
        for at in range(size // 2):
            kind = "good" if at % 2 else bad[at // 2 % len(bad)]
            kid = "old" if kind == "retired" else rng.choice(good)
            subject = f"farm-{at}"
            fit = kind in ("good", "retired")
            token = issuer.token(kid, subject) if fit else issuer.bad(kind, kid, subject)
            scheduler.spawn(ask, kind, token, 0.2 + 2.8 * rng.random())

    def settled(count: int) -> None:
        while sum(n for (kind, _), n in answers.items() if kind != "probe") < count:
            scheduler.sleep(0.02)

    def story() -> None:
        crowd(("old", "new"), BAD)
        scheduler.sleep(1.5)
        issuer.store.write(issuer.store.ring().promoted("new", time.time(), 3600.0))
        settled(size // 2)
        issuer.store.write(issuer.store.ring().retired("old", time.time()))
        scheduler.sleep(1.0)
        crowd(("new",), (*BAD, "retired"))
        settled(size // 2 * 2)

    play(scheduler, story, LIMIT)
    bad = {kind: n for (kind, word), n in answers.items() if kind in BAD and word == "UP"}
    return {
        "rotation_clients": sum(answers.values()),
        "valid_failed": sum(n for (kind, word), n in answers.items() if kind == "good" and word == "ERR"),
        "valid_refused": sum(n for (kind, word), n in answers.items() if kind == "good" and word == "BUSY"),
        "forged_admitted": sum(bad.values()),
        "retired_admitted": answers["retired", "UP"],
        "unanswered": sum(n for (_, word), n in answers.items() if word in ("none", "closed")),
    }
