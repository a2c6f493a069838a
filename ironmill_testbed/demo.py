"""A demonstration with one proxy, emulated dependencies and a line of output for every step.

A server is drained, the proxy is restarted, a new version is started beside the old one and replaces it,
and an operator drains the proxy.
"""

from __future__ import annotations

import signal
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import astuple, fields
from pathlib import Path
from typing import Any

from msgspec import Struct

from ironmill.membership.identity import Address, format_address
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.admin_client import call
from ironmill_testbed.dependency_status import DependenciesStatus
from ironmill_testbed.fleet import Fleet, FleetCounts, run_scenario
from ironmill_testbed.processes import Dependencies, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

SERVER_COUNT = 6
SOCKETS = 4096
DRAINED_SERVER = "s-0"
# Times of the steps, in seconds from the start of the clients.
DRAIN_AT_S, RESTART_AT_S, UPGRADE_AT_S, PROXY_DRAIN_AT_S = 3.0, 8.0, 14.0, 20.0
RESUME_AT_S, END_AT_S = 23.5, 27.0
FINAL_DELAY_S = 1.0  # lets the clients close their connections
TIMEOUT_S = 90.0
STAY_TIMEOUT_S = 1e6
START_TIMEOUT_S = 20.0
START_CHECK_INTERVAL_S = 0.02
EXIT_CHECK_INTERVAL_S = 0.05
REPORT_INTERVAL_S = 1.0
PING_TIMEOUT_S = 1.0


class Deployment(Struct, frozen=True):
    """The folder, configuration and options with which every process of the proxy is started."""

    folder: Path
    config: dict[str, Any]  # object of the configuration file, without the admin API's address
    options: list[str]


def run(clients: int, *, stay: bool, settings: Path | None) -> int:
    """Runs the demonstration; returns 1 if a request or connection was lost, or a request was late."""
    options = [] if settings is None else [f"--settings={settings}"]
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        with Dependencies(folder, SERVER_COUNT) as dependencies:
            address = ("127.0.0.1", free_port())
            config = proxy_config("demo", address, dependencies.discovery, SOCKETS, platform_settings())
            print(f"discovery and {SERVER_COUNT} emulated servers are up")
            demo = Demo(dependencies, Deployment(folder, config, options), clients)
            try:
                is_complete: bool = demo.run()
                if stay:
                    demo.stay()
            except KeyboardInterrupt:
                return 0
            finally:
                demo.close()
    return 0 if is_complete else 1


class Demo:
    """The scenario of the demonstration and its output."""

    def __init__(self, dependencies: Dependencies, deployment: Deployment, client_count: int) -> None:
        """Starts the proxy."""
        self._scheduler = Scheduler()
        self._dependencies = dependencies
        self._deployment = deployment
        self._client_count = client_count
        self._admin_address: Address = ("127.0.0.1", 0)
        self._config = self._write_config()
        self._proxy = self._start_proxy()
        self._fleet = Fleet(self._scheduler, [self._proxy.address], 0)
        self._started_at = time.monotonic()

    def run(self) -> bool:
        """Waits for the proxy and runs the scenario to its end; returns True if nothing was lost."""
        self._proxy.wait_ready()
        is_complete: bool = run_scenario(self._scheduler, self._scenario, TIMEOUT_S)
        return is_complete

    def stay(self) -> None:
        """Keeps the proxy running until the process is interrupted."""
        print(
            f"the proxy stays at 127.0.0.1 port {self._proxy.address[1]}; connect with telnet, type\n"
            "    OPEN 1 2 c=index-sync,d=2000\n"
            "and then any line, which comes back; interrupt to end",
            flush=True,
        )
        run_scenario(self._scheduler, lambda: self._scheduler.sleep(STAY_TIMEOUT_S), STAY_TIMEOUT_S)

    def close(self) -> None:
        """Kills the current proxy process."""
        self._proxy.end(signal.SIGKILL)

    def _scenario(self) -> bool:
        self._started_at = time.monotonic()
        self._fleet = Fleet(self._scheduler, [self._proxy.address], self._client_count)
        self._report(f"{self._client_count} clients connect")
        self._run_until(DRAIN_AT_S)
        established = self._dependencies.drain(DRAINED_SERVER).established
        self._report(f"server {DRAINED_SERVER} drains {established} established connections")
        self._run_until(RESTART_AT_S)
        self._restart()
        self._run_until(UPGRADE_AT_S)
        self._upgrade()
        self._run_until(PROXY_DRAIN_AT_S)
        self._report(f"an operator drains it: POST /admin/quiesce: {self._call_api('POST', 'quiesce')}")
        self._run_until(RESUME_AT_S)
        self._report(f"and ends the drain: POST /admin/resume: {self._call_api('POST', 'resume')}")
        self._run_until(END_AT_S)
        self._fleet.end()
        self._scheduler.sleep(FINAL_DELAY_S)
        return self._print_summary(self._dependencies.status())

    def _write_config(self) -> Path:
        """Writes the configuration with a new admin API address, so that two proxies can run at once."""
        self._admin_address = ("127.0.0.1", free_port())
        config = self._deployment.config | {"control": format_address(self._admin_address)}
        return write_config(self._deployment.folder, config)

    def _start_proxy(self) -> ProxyProcess:
        return ProxyProcess(self._config, self._deployment.folder, options=self._deployment.options)

    def _run_until(self, at_s: float) -> None:
        while (left := self._started_at + at_s - time.monotonic()) > 0.0:
            self._scheduler.sleep(min(REPORT_INTERVAL_S, left))
            self._report("")

    def _report(self, step: str) -> None:
        counts = self._fleet.counts
        print(
            f"{time.monotonic() - self._started_at:5.1f} s  opened {counts.opened:4}  "
            f"served {counts.served:4}  rejected {counts.rejected:3}  migrated {counts.migrated:4}  "
            f"lost {counts.lost:3}  established {len(self._fleet.established):4}  {step}".rstrip(),
            flush=True,
        )

    def _restart(self) -> None:
        self._report("the proxy gets SIGTERM and migrates its clients")
        self._proxy.popen.send_signal(signal.SIGTERM)
        status = self._wait_for_exit(self._proxy)
        self._report(f"it has ended with status {status} and is started again")
        self._proxy = self._start_proxy()
        self._wait_for_start(self._answers_ping)
        self._report("it answers again")

    def _upgrade(self) -> None:
        old = self._proxy
        self._config = self._write_config()
        self._proxy = self._start_proxy()
        self._report("a new version is started beside it, at the same address")
        self._wait_for_start(self._is_healthy)
        self._report(
            f"it serves: GET /admin/health: {self._call_api('GET', 'health')}; the old one gets SIGTERM"
        )
        old.popen.send_signal(signal.SIGTERM)
        self._report(f"the old one has ended with status {self._wait_for_exit(old)}")

    def _wait_for_exit(self, proxy: ProxyProcess) -> int:
        while proxy.popen.poll() is None:
            self._scheduler.sleep(EXIT_CHECK_INTERVAL_S)
        return proxy.end()

    def _wait_for_start(self, is_started: Callable[[], bool]) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and not is_started():
            self._scheduler.sleep(START_CHECK_INTERVAL_S)

    def _is_healthy(self) -> bool:
        try:
            return self._call_api("GET", "health") == 200
        except (OSError, TimedOutError):
            return False  # the new process does not listen on this address yet

    def _call_api(self, method: str, path: str) -> int:
        return call(self._scheduler, self._admin_address, method, f"/admin/{path}")[0]

    def _answers_ping(self) -> bool:
        try:
            stream = Stream.connect(self._scheduler, self._proxy.address, PING_TIMEOUT_S)
        except (OSError, TimedOutError):
            return False
        try:
            stream.send(b"PING\r\n", PING_TIMEOUT_S)
            return stream.receive(PING_TIMEOUT_S) == b"PONG\r\n"
        except (OSError, TimedOutError):
            return False
        finally:
            stream.close()

    def _print_summary(self, status: DependenciesStatus) -> bool:
        counts = self._fleet.counts
        late = sum(server.counts.late for server in status.servers)
        print("\nin the end")
        for field, value in zip(fields(FleetCounts), astuple(counts), strict=True):
            print(f"  {field.name:<11} {value:>6}")
        print(f"  {'late':<11} {late:>6}   requests to the draining server, beyond 250 ms")
        for server in status.servers:
            opened, migrated = server.counts.opened, server.counts.migrated
            print(f"  {server.server_id}: accepted {opened} connections, migrated {migrated} itself")
        is_complete = late + counts.unanswered + counts.lost + counts.failed == 0
        print("nothing was lost" if is_complete else "something was lost: see above")
        sys.stdout.flush()
        return is_complete
