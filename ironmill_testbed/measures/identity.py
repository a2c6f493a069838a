"""Measures authentication: its cost, TLS, a key rotation and a flood of forged tokens.

The five parts are: tokens verified per second, without and with the cache; set-ups with and without a
credential; TLS handshakes, full and resumed, compared with a bare echo server; a key rotation during which
clients reconnect within some seconds with valid, expired, not yet valid and forged tokens and with tokens for
another audience; set-ups of valid callers while another address sends forged tokens.
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
from ironmill.membership.identity import Address
from ironmill.net.sockets import TimedOutError
from ironmill.net.tls import TlsStream
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.certificates import write_all
from ironmill_testbed.credentials import AUDIENCE, ISSUER, InvalidToken, Issuer
from ironmill_testbed.fleet import Client, NotServedError, in_parallel, run_scenario
from ironmill_testbed.measures.errors import MeasurementError
from ironmill_testbed.measures.options import MeasurementOptions
from ironmill_testbed.processes import Dependencies, Process, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

SERVER_COUNT = 6
ROTATION_CLIENTS, QUICK_ROTATION_CLIENTS = 2000, 300
SETUPS, QUICK_SETUPS = 2000, 400
VERIFIED_TOKENS, QUICK_VERIFIED_TOKENS = 5000, 1000
MAX_SOCKETS = 8192
PARALLEL_SETUPS = 4
HANDSHAKE_TIMEOUT_S = 10.0
FLOOD_ADDRESS = "127.0.0.9"
FLOOD_PROCESSES = 2
FLOOD_TOKENS = 500
FLOOD_WARM_UP_S = 1.5  # between the start of the flood and the first set-up
MAX_FLOOD_S = 60.0
FLOOD_RETRY_DELAY_S = 0.001
FLOOD_CONNECT_TIMEOUT_S = 5.0
MIN_RECONNECT_DELAY_S, RECONNECT_SPAN_S = 0.2, 2.8  # clients reconnect at random times between 0.2 and 3.0 s
PROMOTE_DELAY_S, RETIRE_SETTLE_S = 1.5, 1.0
KEY_OVERLAP_S = 3600.0
DEADLINE_S = 5.0
MAX_RUN_S = 300.0
CHECK_INTERVAL_S = 0.02
VALID, RETIRED = "good", "retired"  # kinds of credentials, in addition to those of ``InvalidToken``
TLS_SETTINGS = """<ironmill xmlns="urn:ironmill:settings:1">
  <tls listen="127.0.0.1:{}" certificate="server.crt" key="server.key"/>
</ironmill>
"""


def measure(options: MeasurementOptions) -> dict[str, Any]:
    """Prints the figures and returns them by name; only ``is_quick`` is used."""
    quick = options.is_quick
    setups = QUICK_SETUPS if quick else SETUPS
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as directory, ExitStack() as stack:
        folder = Path(directory)
        issuer = Issuer(folder)
        figures |= _measure_verification(issuer, QUICK_VERIFIED_TOKENS if quick else VERIFIED_TOKENS)
        dependencies = stack.enter_context(Dependencies(folder, SERVER_COUNT))
        plain = _start_proxy("plain", dependencies, folder, [], stack)
        settings = [f"--settings={issuer.settings}"]
        authenticating = _start_proxy("settings", dependencies, folder, settings, stack)
        figures["start_mib_plain"] = round(plain.usage().resident_bytes / 2**20, 1)
        figures["start_mib_settings"] = round(authenticating.usage().resident_bytes / 2**20, 1)
        figures |= _measure_setups("plain", plain, [b""], setups)
        tokens = [issuer.token("old", f"farm-{number}") for number in range(setups)]
        figures |= _measure_setups("token", authenticating, tokens, setups)
        figures |= _measure_tls(dependencies, folder, setups // 2, stack)
        figures |= _measure_flood(issuer, authenticating, setups)
        client_count = QUICK_ROTATION_CLIENTS if quick else ROTATION_CLIENTS
        figures |= Rotation(issuer, authenticating, client_count).measure()
    for key, value in figures.items():
        print(f"{key:<28} {value}")
    return figures


def _start_proxy(
    name: str, dependencies: Dependencies, folder: Path, options: list[str], stack: ExitStack
) -> ProxyProcess:
    address = ("127.0.0.1", free_port())
    config = proxy_config(name, address, dependencies.discovery, MAX_SOCKETS, platform_settings())
    proxy = stack.enter_context(ProxyProcess(write_config(folder, config), folder, options=options))
    proxy.wait_ready()
    return proxy


def _measure_verification(issuer: Issuer, count: int) -> dict[str, Any]:
    """Returns the tokens that one core verifies per second, at their first use and from the cache."""
    match = TokenMatch(ISSUER, AUDIENCE, "farm-*")
    identity = IdentitySettings("", (CallerRule(Caller("farms", "community", Rights()), (match,)),))
    authenticator = Authenticator(identity, issuer.store.ring(), time.time())
    tokens = [issuer.token("old", f"farm-{number}") for number in range(count)]
    rates = []
    for _ in range(2):
        start = time.process_time()
        for token in tokens:
            if not isinstance(authenticator.authenticate_token(token, "", time.time()), Admitted):
                raise MeasurementError("the authenticator rejected a valid token")
        rates.append(round(count / (time.process_time() - start)))
    return {"tokens_per_s_cold": rates[0], "tokens_per_s_cached": rates[1]}


def _measure_setups(name: str, proxy: ProxyProcess, tokens: list[bytes], count: int) -> dict[str, Any]:
    """Returns the time from connect to UP, and the proxy's CPU time per set-up, in milliseconds."""
    scheduler = Scheduler()
    latencies_ms: list[float] = []

    def set_up(number: int) -> None:
        client = Client(scheduler, proxy.address)
        start = time.monotonic()
        client.open(token=tokens[number % len(tokens)])
        latencies_ms.append((time.monotonic() - start) * 1000.0)
        client.close()

    cpu_before_s = proxy.usage().cpu_s
    run_scenario(scheduler, lambda: in_parallel(scheduler, PARALLEL_SETUPS, range(count), set_up), MAX_RUN_S)
    cpu_ms = (proxy.usage().cpu_s - cpu_before_s) * 1000.0 / count
    percentiles = statistics.quantiles(latencies_ms, n=100)
    return {
        f"setup_p50_ms_{name}": round(percentiles[49], 3),
        f"setup_p99_ms_{name}": round(percentiles[98], 3),
        f"setup_cpu_ms_{name}": round(cpu_ms, 3),
    }


def _measure_tls(dependencies: Dependencies, folder: Path, count: int, stack: ExitStack) -> dict[str, Any]:
    """Returns handshakes per CPU second, full and resumed, and memory per connection.

    The handshakes are also measured with a bare echo server.
    """
    write_all(folder)
    port = free_port()
    settings = folder / "tls.xml"
    settings.write_text(TLS_SETTINGS.format(port))
    proxy = _start_proxy("tls", dependencies, folder, [f"--settings={settings}"], stack)
    arguments = ["-m", "ironmill_testbed", "floor", "tls", f"--target={folder}:0"]
    floor = stack.enter_context(Process(arguments, folder, "floor-tls"))
    assert floor.popen.stdout is not None
    floor_port = int(floor.popen.stdout.readline())
    scheduler = Scheduler()
    connector = TlsConnector(scheduler, folder / "authority.pem")

    def scenario() -> dict[str, Any]:
        figures: dict[str, Any] = {}
        for name, process, server_port in (("proxy", proxy, port), ("floor", floor, floor_port)):
            for kind, is_resumed in (("full", False), ("resumed", True)):
                rate = connector.handshake_rate(process, server_port, count, is_resumed=is_resumed)
                figures[f"handshakes_per_cpu_s_{kind}_{name}"] = rate
        figures["kib_per_tls_connection"] = _tls_connection_kib(scheduler, connector, proxy, port, count)
        return figures

    figures: dict[str, Any] = run_scenario(scheduler, scenario, MAX_RUN_S)
    return figures


class TlsConnector:
    """Connects TLS clients to servers whose certificate is for localhost."""

    def __init__(self, scheduler: Scheduler, authorities: Path) -> None:
        self._scheduler = scheduler
        self._context = ssl.create_default_context(cafile=str(authorities))
        # In TLS 1.2 the session is available as soon as the handshake is complete.
        self._context.maximum_version = ssl.TLSVersion.TLSv1_2

    def connect(self, port: int, session: ssl.SSLSession | None = None) -> TlsStream:
        """Connects and completes the handshake, resuming ``session`` if it is given. Parks."""
        sock = socket.create_connection(("127.0.0.1", port))
        stream = TlsStream.for_client(self._scheduler, sock, self._context, "localhost", session)
        stream.handshake(time.monotonic() + HANDSHAKE_TIMEOUT_S)
        return stream

    def handshake_rate(self, process: Process, port: int, count: int, *, is_resumed: bool) -> int:
        """Returns the number of handshakes per second of the process's CPU time. Parks."""
        first = self.connect(port)
        session = first.tls.session if is_resumed else None
        first.close()
        cpu_before_s = process.usage().cpu_s
        for _ in range(count):
            stream = self.connect(port, session)
            if stream.tls.resumed is not is_resumed:
                raise MeasurementError(f"TLS session resumed: {stream.tls.resumed}; expected: {is_resumed}")
            stream.close()
        return round(count / (process.usage().cpu_s - cpu_before_s))


def _tls_connection_kib(
    scheduler: Scheduler, connector: TlsConnector, proxy: ProxyProcess, port: int, count: int
) -> float:
    before_bytes, clients = proxy.usage().resident_bytes, []
    for _ in range(count):
        client = Client(scheduler, ("127.0.0.1", port))
        client.stream = connector.connect(port)
        client.open()
        clients.append(client)
    kib = round((proxy.usage().resident_bytes - before_bytes) / 1024 / count, 1)
    for client in clients:
        client.close()
    return kib


def _send_forged(address: Address, tokens: list[bytes], until: float) -> None:
    """Sends forged tokens one at a time, each after the answer to the previous one, until a Unix time.

    It runs in a separate process.
    """
    number = 0
    while time.time() < until:
        number += 1
        token = tokens[number % len(tokens)]
        try:
            with socket.create_connection(address, FLOOD_CONNECT_TIMEOUT_S, (FLOOD_ADDRESS, 0)) as sock:
                sock.sendall(b"AUTH " + token + b"\r\nOPEN 1 2 c=index-sync,d=500\r\n")
                sock.recv(100)
        except OSError:
            time.sleep(FLOOD_RETRY_DELAY_S)


def _measure_flood(issuer: Issuer, proxy: ProxyProcess, setups: int) -> dict[str, Any]:
    """Measures set-ups with valid tokens while other processes send forged ones."""
    forged = [issuer.forged("old", f"farm-{number}") for number in range(FLOOD_TOKENS)]
    tokens = [issuer.token("old", f"farm-new-{number}") for number in range(setups)]
    context = multiprocessing.get_context("spawn")
    args = (proxy.address, forged, time.time() + MAX_FLOOD_S)
    floods = [context.Process(target=_send_forged, args=args, daemon=True) for _ in range(FLOOD_PROCESSES)]
    for flood in floods:
        flood.start()
    time.sleep(FLOOD_WARM_UP_S)
    try:
        return _measure_setups("flood", proxy, tokens, setups)
    finally:
        for flood in floods:
            flood.terminate()
            flood.join()


class Rotation:
    """A key rotation while clients reconnect, half of them with invalid credentials.

    Clients reconnect in two rounds. The new key becomes the signing one during the first round, and the old
    key is retired before the second.
    """

    def __init__(self, issuer: Issuer, proxy: ProxyProcess, client_count: int) -> None:
        self._issuer = issuer
        self._proxy = proxy
        self._clients_per_round = client_count // 2
        self._scheduler = Scheduler()
        self._rng = random.Random(7)
        # By kind of credential and first word of the answer.
        self._answers: Counter[tuple[str, str]] = Counter()

    def measure(self) -> dict[str, Any]:
        """Runs the rotation; returns the counts of requests with a wrong outcome, by kind."""
        run_scenario(self._scheduler, self._scenario, MAX_RUN_S)
        answers = self._answers
        invalid = {kind.value for kind in InvalidToken}
        return {
            "rotation_clients": sum(answers.values()),
            "valid_failed": answers[VALID, "ERR"],
            "valid_refused": answers[VALID, "BUSY"],
            "forged_admitted": sum(answers[kind, "UP"] for kind in invalid),
            "retired_admitted": answers[RETIRED, "UP"],
            "unanswered": sum(count for (_, word), count in answers.items() if word in ("none", "closed")),
        }

    def _scenario(self) -> None:
        invalid = tuple(kind.value for kind in InvalidToken)
        store = self._issuer.store
        self._reconnect(("old", "new"), invalid)
        self._scheduler.sleep(PROMOTE_DELAY_S)
        store.write(store.ring().promoted("new", time.time(), KEY_OVERLAP_S))
        self._wait_for_answers(self._clients_per_round)
        store.write(store.ring().retired("old", time.time()))
        self._scheduler.sleep(RETIRE_SETTLE_S)
        self._reconnect(("new",), (*invalid, RETIRED))
        self._wait_for_answers(2 * self._clients_per_round)

    def _reconnect(self, valid_keys: tuple[str, ...], invalid: tuple[str, ...]) -> None:
        """Starts the clients of a round; every other one has an invalid credential, of each kind in turn."""
        for number in range(self._clients_per_round):
            kind = VALID if number % 2 else invalid[number // 2 % len(invalid)]
            kid = "old" if kind == RETIRED else self._rng.choice(valid_keys)
            token = self._token(kind, kid, f"farm-{number}")
            delay_s = MIN_RECONNECT_DELAY_S + RECONNECT_SPAN_S * self._rng.random()
            self._scheduler.spawn(self._request, kind, token, delay_s)

    def _token(self, kind: str, kid: str, subject: str) -> bytes:
        if kind in (VALID, RETIRED):
            return self._issuer.token(kid, subject)
        return self._issuer.invalid(InvalidToken(kind), kid, subject)

    def _request(self, kind: str, token: bytes, delay_s: float) -> None:
        self._scheduler.sleep(delay_s)
        client = Client(self._scheduler, self._proxy.address)
        try:
            client.open(DEADLINE_S, token=token)
            outcome = "UP"
        except NotServedError as error:
            outcome = str(error).partition(" ")[0] or "closed"
        except (OSError, TimedOutError):
            outcome = "none"
        self._answers[kind, outcome] += 1
        client.close()

    def _wait_for_answers(self, count: int) -> None:
        while sum(self._answers.values()) < count:
            self._scheduler.sleep(CHECK_INTERVAL_S)
