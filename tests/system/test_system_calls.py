"""Transient errors of system calls in a real process, as Linux documents them."""

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

LIMIT = 60.0
SERVERS = 3
MORE: Mapping[str, Any] = MappingProxyType({})


@dataclass
class Site:
    """One proxy with faults, its dependencies, and the outcome of each request."""

    scheduler: Scheduler
    dependencies: Dependencies
    proxy: ProxyProcess
    control: tuple[str, int]
    config: Path
    value: dict[str, Any]
    answers: list[str] = field(default_factory=list)

    def ask(self, wait: float = 2.0, fields: Mapping[str, object] = MORE) -> None:
        """Sends one request and records the first word of its answer, or what happened instead."""
        client = Client(self.scheduler, self.proxy.address)
        try:
            client.open(wait, fields)
            self.answers.append("UP" if client.exchange(b"line") in (b"line", b"MOVE") else "cut off")
        except NotServedError as error:
            self.answers.append(str(error).partition(" ")[0] or "closed")
        except TimedOutError:
            self.answers.append("silent")
        except OSError as error:
            self.answers.append("unreached" if client.stream is None else f"reset ({error.strerror})")
        client.close()

    def crowd(self, count: int, over: float, seed: int = 1) -> None:
        """Sends ``count`` requests at random moments within ``over`` seconds and waits for all outcomes."""
        rng, before = random.Random(seed), len(self.answers)
        for _ in range(count):
            self.scheduler.call_later(over * rng.random(), self.scheduler.spawn, self.ask)
        while len(self.answers) < before + count:
            self.scheduler.sleep(0.01)

    def reload(self, discovery: tuple[str, int]) -> None:
        """Writes another address of discovery to the file and sends SIGHUP."""
        self.value["discovery"] = f"{discovery[0]}:{discovery[1]}"
        write_config(self.config.parent, self.value)
        self.proxy.popen.send_signal(signal.SIGHUP)

    def stats(self) -> dict[str, Any]:
        """Returns the metrics of the admin API."""
        found: dict[str, Any] = orjson.loads(call(self.scheduler, self.control, "GET", "/admin/stats")[1])
        return found

    def kinds(self) -> set[str]:
        """Returns the distinct outcomes."""
        return set(self.answers)


@contextmanager
def site(
    folder: Path, plan: FaultPlan, settings: Mapping[str, Any] = MORE, wait: bool = True
) -> Iterator[Site]:
    with Dependencies(folder, SERVERS) as dependencies:
        address, control = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
        value = proxy_config("p1", address, dependencies.discovery, 1024, platform_settings() | settings)
        value["control"] = f"{control[0]}:{control[1]}"
        config = write_config(folder, value)
        with ProxyProcess(config, folder, launcher=plan.launcher()) as proxy:
            if wait:
                proxy.wait_ready()
            yield Site(Scheduler(), dependencies, proxy, control, config, value)


def run(it: Site, scenario: Callable[[], None]) -> None:
    run_scenario(it.scheduler, scenario, LIMIT)


def test_shutdown_answers_queued_connections_although_accept_fails(tmp_path: Path) -> None:
    """PROTOCOL: new connections go on coming for 0.2 to 0.4 s after SIGTERM."""
    answers: list[str] = []
    for seed in range(4):
        folder = tmp_path / str(seed)
        folder.mkdir()
        with site(folder, FaultPlan(seed, failing_fraction={"accept": 0.5})) as it:

            def scenario(it: Site = it) -> None:
                it.scheduler.call_later(0.2, it.proxy.popen.send_signal, signal.SIGTERM)
                it.crowd(300, 0.6)

            run(it, scenario)
            assert it.proxy.popen.wait(10.0) == 0
            answers += it.answers
    assert set(answers) <= {"UP", "BUSY"}, answers


def test_start_retries_transient_errors_of_system_calls(tmp_path: Path) -> None:
    """STANDING: a refusal to start fails the day."""
    refused = []
    for failing in ("socket", "bind", "listen", "epoll", "open", "socketpair"):
        folder = tmp_path / failing
        folder.mkdir()
        with site(folder, FaultPlan(initial_failures={failing: 2}), wait=False) as it:
            try:
                it.proxy.wait_ready()
            except RuntimeError:
                refused.append(failing)
    assert not refused


def test_queued_connections_are_accepted_although_accept_fails(tmp_path: Path) -> None:
    with site(tmp_path, FaultPlan(failing_fraction={"accept": 0.5}, delay_s=1.0)) as it:

        def scenario() -> None:
            it.scheduler.sleep(1.0)
            it.crowd(400, 0.1)

        run(it, scenario)
        assert it.kinds() == {"UP"}, it.answers


def test_admin_server_answers_connections_accepted_at_its_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """DAYS: answers are due within 1 s, under any load; also for calls that wait when the process ends.

    Those that wait before the close; one that comes in its very instant is the kernel's to reset.
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

    run_scenario(scheduler, scenario, LIMIT)
    assert answers == [b"HTTP/1.1 404"] * 8


SLOW_START = MappingProxyType(platform_settings()["rules"] | {"coldFrom": 0.05, "rampTimeS": 60.0})


@pytest.mark.parametrize("ahead", [0.0, 3600.0, -3600.0])
def test_slow_start_budget_holds_whatever_the_wall_clock(tmp_path: Path, ahead: float) -> None:
    """The operators' notes: a machine's wall clock may be stepped by seconds or by an hour.

    Of four servers alike the new one would get a fourth of 400 without a budget. The budget of a window is
    0.4 x 3 x 0.05 of what an old one gets in it, and there are two windows.
    """
    with site(tmp_path, FaultPlan(clock_step_s=ahead), {"rules": dict(SLOW_START)}) as it:

        def scenario() -> None:
            it.crowd(800, 4.0, seed=1)  # the ordinary rate
            it.dependencies.add("s-new", time.time())
            it.scheduler.sleep(0.5)
            it.answers.clear()
            it.crowd(400, 2.0, seed=2)

        run(it, scenario)
        assert it.kinds() == {"UP"}
        taken = {server.server_id: server.counts.opened for server in it.dependencies.status().servers}
        assert taken["s-new"] <= 40


def test_local_connect_errors_are_not_attributed_to_servers(tmp_path: Path) -> None:
    """The operators' notes: socket and connect may fail for a moment, and all rules hold."""
    with site(tmp_path, FaultPlan(failing_fraction={"connect": 0.5, "socket": 0.3}, delay_s=1.0)) as it:

        def scenario() -> None:
            it.scheduler.sleep(1.0)
            it.crowd(600, 3.0)
            assert it.stats()["skipped_servers"] == 0

        run(it, scenario)
        assert it.kinds() == {"UP"}
        servers = it.dependencies.status().servers
        assert sum(server.counts.opened for server in servers) == 600


def test_step_of_the_wall_clock_while_serving_changes_nothing(tmp_path: Path) -> None:
    """The operators' notes: deadlines, windows, waits and graces are spans of real time."""
    for step in (-3600.0, 3600.0):
        folder = tmp_path / str(step)
        folder.mkdir()
        with site(folder, FaultPlan(clock_step_s=step, delay_s=1.5)) as it:

            def scenario(it: Site = it) -> None:
                it.crowd(300, 3.0)  # before, during and after the step

            run(it, scenario)
            assert it.kinds() == {"UP"}, it.answers
            assert it.proxy.end() == 0


def test_short_reads_and_writes_change_no_answer(tmp_path: Path) -> None:
    """The operators' notes: reads and writes may be short. Clients, servers, discovery, staff."""
    with site(tmp_path, FaultPlan(has_short_io=True)) as it:

        def scenario() -> None:
            it.crowd(150, 2.0)
            assert it.stats()["known_servers"] == SERVERS

        run(it, scenario)
        assert it.kinds() == {"UP"}, it.answers


def test_transient_read_and_write_errors_change_no_answer(tmp_path: Path) -> None:
    """recv(2) and send(2): ENOMEM, ENOBUFS. The connection is sound."""
    with site(tmp_path, FaultPlan(failing_fraction={"recv": 0.1, "send": 0.1}, delay_s=1.0)) as it:

        def scenario() -> None:
            it.scheduler.sleep(1.0)
            it.crowd(200, 2.0)

        run(it, scenario)
        assert it.kinds() == {"UP"}, it.answers


def test_successive_reloads_end_at_the_last_configuration(tmp_path: Path) -> None:
    """STANDING: new configurations in quick succession. The file cannot be read at times."""
    other = tmp_path / "other"
    other.mkdir()
    with (
        site(tmp_path, FaultPlan(failing_fraction={"open": 0.5}, delay_s=1.0)) as it,
        Dependencies(other, 5) as last,
    ):

        def scenario() -> None:
            it.scheduler.sleep(1.0)
            for address in (("127.0.0.1", free_port()), last.discovery, ("127.0.0.1", free_port())) * 2:
                it.reload(address)
                it.scheduler.sleep(0.03)
            it.crowd(50, 0.3)  # served with the old list
            it.reload(last.discovery)
            while it.stats()["known_servers"] != 5:
                it.scheduler.sleep(0.02)
            it.crowd(50, 0.3)

        run(it, scenario)
        assert it.kinds() == {"UP"}, it.answers
        assert sum(server.counts.opened for server in last.status().servers) >= 50


def test_series_of_signals_shuts_down_once_without_lost_requests(tmp_path: Path) -> None:
    """The operators' notes: signals come in series."""
    with site(tmp_path, FaultPlan()) as it:

        def scenario() -> None:
            series = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
            for at, number in enumerate(series):
                it.scheduler.call_later(0.2 + 0.02 * at, it.proxy.popen.send_signal, number)
            it.crowd(150, 0.5)

        run(it, scenario)
        assert it.proxy.popen.wait(10.0) == 0
        assert it.kinds() <= {"UP", "BUSY"}, it.answers


def short_deadlines() -> dict[str, Any]:
    """Returns settings by which a shutdown ends before a request line is late."""
    categories = platform_settings()["categories"]
    return {"categories": [category | {"hardLimitS": 0.3, "aimS": 0.1} for category in categories]}


def send_slowly(address: tuple[str, int], interval_s: float, until: float) -> bytes:
    """Sends the begin of a request line, a byte each interval, and returns what was received by the end."""
    received = b""
    with socket.create_connection(address) as client:
        client.settimeout(interval_s)
        for byte in b"OPEN " + b"x" * 10_000:
            try:
                if time.monotonic() < until:
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
    """A check for unread bytes at one moment left out those with some, or whose check had failed."""
    with (
        site(tmp_path, FaultPlan(5, failing_fraction={"recv": recv_failing}), short_deadlines()) as it,
        ThreadPoolExecutor(60) as pool,
    ):
        until = time.monotonic() + 8.0
        clients = [pool.submit(send_slowly, it.proxy.address, interval_s, until) for _ in range(60)]
        time.sleep(0.3)
        it.proxy.popen.send_signal(signal.SIGTERM)
        answers = Counter(client.result().partition(b" ")[0] for client in clients)
        assert it.proxy.popen.wait(10.0) == 0
    assert set(answers) <= {b"BUSY", b"ERR\r\n"}, answers


def test_proxy_runs_on_a_read_only_file_system(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """DEPLOY: the file system is read-only but for the folder for temporary files."""
    temporary = tmp_path / "tmp"
    temporary.mkdir()
    monkeypatch.setenv("TMPDIR", str(temporary))
    monkeypatch.setenv("PYTHONDONTWRITEBYTECODE", "1")
    with site(tmp_path, FaultPlan(has_read_only_files=True)) as it:

        def scenario() -> None:
            it.crowd(50, 0.5)
            it.reload(it.dependencies.discovery)
            it.crowd(50, 0.5)
            it.proxy.popen.send_signal(signal.SIGTERM)

        run(it, scenario)
        assert it.proxy.popen.wait(10.0) == 0
        assert it.kinds() == {"UP"}, it.answers
        log = it.proxy.log.read_text()
    assert "write refused" not in log
    assert list(temporary.iterdir()) == []
