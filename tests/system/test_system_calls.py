"""Transient errors of system calls in a real proxy process, as Linux documents them."""

from __future__ import annotations

import random
import signal
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType
from typing import Any

import orjson
import pytest

from ironmill.administration.routes import Routes
from ironmill.net.admin_server import AdminServer
from ironmill.net.sockets import TimedOutError
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.admin_client import call
from ironmill_testbed.fleet import Client, NotServedError, run_scenario
from ironmill_testbed.processes import Dependencies, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config
from tests.faults import FaultPlan, Faults, faulty_socket

TIMEOUT_S = 60.0
SERVER_COUNT = 3
NOTHING: Mapping[str, Any] = MappingProxyType({})


@dataclass
class Site:
    """A proxy process with faults, its dependencies, and the outcome of each request."""

    scheduler: Scheduler
    dependencies: Dependencies
    proxy: ProxyProcess
    control: tuple[str, int]
    config: Path
    value: dict[str, Any]
    answers: list[str] = field(default_factory=list)

    def send_request(self, deadline_s: float = 2.0, fields: Mapping[str, object] = NOTHING) -> None:
        """Sends one request and records the first word of its answer, or a word for the failure."""
        client = Client(self.scheduler, self.proxy.address)
        try:
            client.open(deadline_s, fields)
            self.answers.append("UP" if client.exchange(b"line") in (b"line", b"MOVE") else "cut off")
        except NotServedError as error:
            self.answers.append(str(error).partition(" ")[0] or "closed")
        except TimedOutError:
            self.answers.append("silent")
        except OSError as error:
            self.answers.append("unreached" if client.stream is None else f"reset ({error.strerror})")
        client.close()

    def send_requests(self, count: int, span_s: float, seed: int = 1) -> None:
        """Sends ``count`` requests at random times within ``span_s`` seconds and waits for all outcomes."""
        rng, before = random.Random(seed), len(self.answers)
        for _ in range(count):
            self.scheduler.call_later(span_s * rng.random(), self.scheduler.spawn, self.send_request)
        while len(self.answers) < before + count:
            self.scheduler.sleep(0.01)

    def reload(self, discovery: tuple[str, int]) -> None:
        """Writes a new address of discovery to the configuration and sends SIGHUP."""
        self.value["discovery"] = f"{discovery[0]}:{discovery[1]}"
        write_config(self.config.parent, self.value)
        self.proxy.popen.send_signal(signal.SIGHUP)

    def stats(self) -> dict[str, Any]:
        """Returns the metrics that the admin API reports."""
        found: dict[str, Any] = orjson.loads(call(self.scheduler, self.control, "GET", "/admin/stats")[1])
        return found

    def outcomes(self) -> set[str]:
        """Returns the distinct outcomes of the requests."""
        return set(self.answers)


@contextmanager
def create_site(
    folder: Path, plan: FaultPlan, settings: Mapping[str, Any] = NOTHING, wait_ready: bool = True
) -> Iterator[Site]:
    with Dependencies(folder, SERVER_COUNT) as dependencies:
        address, control = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
        value = proxy_config("p1", address, dependencies.discovery, 1024, platform_settings() | settings)
        value["control"] = f"{control[0]}:{control[1]}"
        config = write_config(folder, value)
        with ProxyProcess(config, folder, launcher=plan.launcher()) as proxy:
            if wait_ready:
                proxy.wait_ready()
            yield Site(Scheduler(), dependencies, proxy, control, config, value)


def run(site: Site, scenario: Callable[[], None]) -> None:
    run_scenario(site.scheduler, scenario, TIMEOUT_S)


def test_shutdown_answers_queued_connections_although_accept_fails(tmp_path: Path) -> None:
    """The load balancer in front sends new connections for another 0.2 to 0.4 s after SIGTERM."""
    answers: list[str] = []
    for seed in range(4):
        folder = tmp_path / str(seed)
        folder.mkdir()
        with create_site(folder, FaultPlan(seed, failing_fraction={"accept": 0.5})) as site:

            def scenario(site: Site = site) -> None:
                site.scheduler.call_later(0.2, site.proxy.popen.send_signal, signal.SIGTERM)
                site.send_requests(300, 0.6)

            run(site, scenario)
            assert site.proxy.popen.wait(10.0) == 0
            answers += site.answers
    assert set(answers) <= {"UP", "BUSY"}, answers


def test_start_retries_transient_errors_of_system_calls(tmp_path: Path) -> None:
    """A transient error must not make the start fail, since no client is served until the next start."""
    failed_starts = []
    for call_name in ("socket", "bind", "listen", "epoll", "open", "socketpair"):
        folder = tmp_path / call_name
        folder.mkdir()
        with create_site(folder, FaultPlan(initial_failures={call_name: 2}), wait_ready=False) as site:
            try:
                site.proxy.wait_ready()
            except RuntimeError:
                failed_starts.append(call_name)
    assert not failed_starts


def test_queued_connections_are_accepted_although_accept_fails(tmp_path: Path) -> None:
    with create_site(tmp_path, FaultPlan(failing_fraction={"accept": 0.5}, delay_s=1.0)) as site:

        def scenario() -> None:
            site.scheduler.sleep(1.0)
            site.send_requests(400, 0.1)

        run(site, scenario)
        assert site.outcomes() == {"UP"}, site.answers


def test_admin_server_answers_connections_accepted_at_its_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Calls of the admin API must be answered within 1 s under any load, also while the process exits.

    This holds for calls that are queued before the close. The kernel may reset one that arrives during it.
    """
    monkeypatch.setattr(
        socket,
        "socket",
        faulty_socket(Faults(FaultPlan(initial_failures={"accept": 5}, failing_fraction={"accept": 0.5}))),
    )
    scheduler = Scheduler()
    control = AdminServer(scheduler, ("127.0.0.1", 0), Routes())
    answers: list[bytes] = []

    def scenario() -> None:
        callers = [socket.create_connection(control.address) for _ in range(8)]
        for caller in callers:
            caller.sendall(b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n")
        control.close(5.0)
        scheduler.sleep(0.5)
        for caller in callers:
            answers.append(caller.recv(12))
            caller.close()

    run_scenario(scheduler, scenario, TIMEOUT_S)
    assert answers == [b"HTTP/1.1 404"] * 8


SLOW_START = MappingProxyType(platform_settings()["rules"] | {"coldFrom": 0.05, "rampTimeS": 60.0})


@pytest.mark.parametrize("step_s", [0.0, 3600.0, -3600.0])
def test_slow_start_budget_holds_whatever_the_wall_clock(tmp_path: Path, step_s: float) -> None:
    """Guards against a slow start that ends early or late if the wall clock is stepped, by up to an hour.

    Without a slow-start budget the new one of four equal servers would get a fourth of the 400 requests. The
    budget for a window is 0.4 x 3 x 0.05 of what an old server gets in it, and there are two windows.
    """
    with create_site(tmp_path, FaultPlan(clock_step_s=step_s), {"rules": dict(SLOW_START)}) as site:

        def scenario() -> None:
            site.send_requests(800, 4.0, seed=1)  # the usual rate of requests
            site.dependencies.add("s-new", time.time())
            site.scheduler.sleep(0.5)
            site.answers.clear()
            site.send_requests(400, 2.0, seed=2)

        run(site, scenario)
        assert site.outcomes() == {"UP"}
        requests_by_server = {
            server.server_id: server.counts.opened for server in site.dependencies.status().servers
        }
        assert requests_by_server["s-new"] <= 40


def test_local_connect_errors_are_not_attributed_to_servers(tmp_path: Path) -> None:
    """socket(2) and connect(2) may fail for a moment, which says nothing about a server."""
    with create_site(
        tmp_path, FaultPlan(failing_fraction={"connect": 0.5, "socket": 0.3}, delay_s=1.0)
    ) as site:

        def scenario() -> None:
            site.scheduler.sleep(1.0)
            site.send_requests(600, 3.0)
            assert site.stats()["skipped_servers"] == 0

        run(site, scenario)
        assert site.outcomes() == {"UP"}
        servers = site.dependencies.status().servers
        assert sum(server.counts.opened for server in servers) == 600


def test_step_of_the_wall_clock_while_serving_changes_nothing(tmp_path: Path) -> None:
    """Deadlines, windows, waits and grace periods must not depend on the wall clock."""
    for step_s in (-3600.0, 3600.0):
        folder = tmp_path / str(step_s)
        folder.mkdir()
        with create_site(folder, FaultPlan(clock_step_s=step_s, delay_s=1.5)) as site:

            def scenario(site: Site = site) -> None:
                site.send_requests(300, 3.0)  # before, during and after the step

            run(site, scenario)
            assert site.outcomes() == {"UP"}, site.answers
            assert site.proxy.end() == 0


def test_short_reads_and_writes_change_no_answer(tmp_path: Path) -> None:
    """Reads and writes may be short on connections to clients, servers, discovery and the admin API."""
    with create_site(tmp_path, FaultPlan(has_short_io=True)) as site:

        def scenario() -> None:
            site.send_requests(150, 2.0)
            assert site.stats()["known_servers"] == SERVER_COUNT

        run(site, scenario)
        assert site.outcomes() == {"UP"}, site.answers


def test_transient_read_and_write_errors_change_no_answer(tmp_path: Path) -> None:
    """recv(2) and send(2) may fail with ENOMEM or ENOBUFS while the connection stays intact."""
    with create_site(tmp_path, FaultPlan(failing_fraction={"recv": 0.1, "send": 0.1}, delay_s=1.0)) as site:

        def scenario() -> None:
            site.scheduler.sleep(1.0)
            site.send_requests(200, 2.0)

        run(site, scenario)
        assert site.outcomes() == {"UP"}, site.answers


def test_successive_reloads_end_at_the_last_configuration(tmp_path: Path) -> None:
    """New configurations may come in quick succession, and reading the file may fail at times."""
    other_folder = tmp_path / "other"
    other_folder.mkdir()
    with (
        create_site(tmp_path, FaultPlan(failing_fraction={"open": 0.5}, delay_s=1.0)) as site,
        Dependencies(other_folder, 5) as last_dependencies,
    ):

        def scenario() -> None:
            site.scheduler.sleep(1.0)
            for address in (
                ("127.0.0.1", free_port()),
                last_dependencies.discovery,
                ("127.0.0.1", free_port()),
            ) * 2:
                site.reload(address)
                site.scheduler.sleep(0.03)
            site.send_requests(50, 0.3)  # served with the old endpoint list
            site.reload(last_dependencies.discovery)
            while site.stats()["known_servers"] != 5:
                site.scheduler.sleep(0.02)
            site.send_requests(50, 0.3)

        run(site, scenario)
        assert site.outcomes() == {"UP"}, site.answers
        assert sum(server.counts.opened for server in last_dependencies.status().servers) >= 50


def test_series_of_signals_shuts_down_once_without_lost_requests(tmp_path: Path) -> None:
    """Signals may come in quick succession."""
    with create_site(tmp_path, FaultPlan()) as site:

        def scenario() -> None:
            signals = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
            for index, signal_number in enumerate(signals):
                site.scheduler.call_later(0.2 + 0.02 * index, site.proxy.popen.send_signal, signal_number)
            site.send_requests(150, 0.5)

        run(site, scenario)
        assert site.proxy.popen.wait(10.0) == 0
        assert site.outcomes() <= {"UP", "BUSY"}, site.answers


def short_deadlines() -> dict[str, Any]:
    """Returns settings with which a shutdown ends before the time limit of a request line."""
    categories = platform_settings()["categories"]
    return {"categories": [category | {"hardLimitS": 0.3, "aimS": 0.1} for category in categories]}


def send_slowly(address: tuple[str, int], interval_s: float, sending_until: float) -> bytes:
    """Sends the start of a request line, one byte per interval, and returns all bytes received."""
    received = b""
    with socket.create_connection(address) as client:
        client.settimeout(interval_s)
        for byte in b"OPEN " + b"x" * 10_000:
            try:
                if time.monotonic() < sending_until:
                    client.send(bytes([byte]))
                received += (data := client.recv(100))
            except TimeoutError:
                continue
            except OSError:
                break
            if not data:
                break
    return received


@pytest.mark.parametrize("interval_s", [0.004, 0.05])
@pytest.mark.parametrize("recv_failing", [0.0, 0.4])
def test_shutdown_answers_clients_that_are_writing_their_request_line(
    tmp_path: Path, interval_s: float, recv_failing: float
) -> None:
    """Guards against a shutdown that checks only once for unread bytes of clients.

    Clients that had sent bytes by then, or whose check had failed, got no answer.
    """
    with (
        create_site(
            tmp_path, FaultPlan(5, failing_fraction={"recv": recv_failing}), short_deadlines()
        ) as site,
        ThreadPoolExecutor(60) as pool,
    ):
        sending_until = time.monotonic() + 8.0
        clients = [pool.submit(send_slowly, site.proxy.address, interval_s, sending_until) for _ in range(60)]
        time.sleep(0.3)
        site.proxy.popen.send_signal(signal.SIGTERM)
        answers = Counter(client.result().partition(b" ")[0] for client in clients)
        assert site.proxy.popen.wait(10.0) == 0
    assert set(answers) <= {b"BUSY", b"ERR\r\n"}, answers


def test_proxy_runs_on_a_read_only_file_system(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """In a deployment only the folder for temporary files is writable."""
    temporary = tmp_path / "tmp"
    temporary.mkdir()
    monkeypatch.setenv("TMPDIR", str(temporary))
    monkeypatch.setenv("PYTHONDONTWRITEBYTECODE", "1")
    with create_site(tmp_path, FaultPlan(has_read_only_files=True)) as site:

        def scenario() -> None:
            site.send_requests(50, 0.5)
            site.reload(site.dependencies.discovery)
            site.send_requests(50, 0.5)
            site.proxy.popen.send_signal(signal.SIGTERM)

        run(site, scenario)
        assert site.proxy.popen.wait(10.0) == 0
        assert site.outcomes() == {"UP"}, site.answers
        log = site.proxy.log.read_text()
    assert "write refused" not in log
    assert list(temporary.iterdir()) == []
