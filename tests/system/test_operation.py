"""Operation of proxy processes under load: upgrades, kills, drains and metrics."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import orjson

from ironmill.net.sockets import TimedOutError
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.admin_client import call
from ironmill_testbed.fleet import Client, Fleet, NotServedError, run_scenario
from ironmill_testbed.processes import Dependencies, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

TIMEOUT_S = 120.0


class Site:
    """Emulated dependencies, the address of a proxy, and the processes that a scenario starts there."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.scheduler = Scheduler()
        self.dependencies = stack.enter_context(Dependencies(folder, 3))
        self.address = ("127.0.0.1", free_port())
        self.mode = "proxy"
        self.started = 0
        self.churned = 0
        self.ending = False

    def start(self) -> RunningProxy:
        """Starts another process at the address, with an admin API of its own."""
        settings = platform_settings()
        for category in settings["categories"]:
            category["hardLimitS"] = 0.6  # the longest deadline determines how long a shutdown takes
        settings["familyInfo"]["mode"] = self.mode
        self.started += 1
        value = proxy_config(f"p{self.started}", self.address, self.dependencies.discovery, 4096, settings)
        control = ("127.0.0.1", free_port())
        value["control"] = f"{control[0]}:{control[1]}"
        process = ProxyProcess(write_config(self.folder, value), self.folder)
        return RunningProxy(self, self.stack.enter_context(process), control)

    def churn(self) -> None:
        """Repeatedly opens a connection, sends a line and closes. A missing answer fails the scenario."""
        while not self.ending:
            client = Client(self.scheduler, self.address)
            try:
                client.open(0.6)
                assert client.exchange(b"line") in (b"line", b"MOVE")
                self.churned += 1
            except NotServedError as error:
                assert str(error).startswith("BUSY")
            client.close()
            self.scheduler.sleep(0.005)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self.scheduler.sleep(0.02)


class RunningProxy:
    """A proxy process and the address of its admin API."""

    def __init__(self, site: Site, process: ProxyProcess, control: tuple[str, int]) -> None:
        self.site, self.process, self.control = site, process, control

    def call_api(self, method: str, path: str) -> tuple[int, Any]:
        """Returns the HTTP status and the JSON of the response, or 0 and None if there is no response."""
        try:
            status, body = call(self.site.scheduler, self.control, method, f"/admin/{path}")
        except (OSError, TimedOutError):
            return 0, None
        return status, orjson.loads(body)

    def serves(self) -> bool:
        assert self.process.popen.poll() is None, self.process.log.read_text()[-800:]
        return self.call_api("GET", "health")[0] == 200

    def has_exited(self) -> bool:
        return self.process.popen.poll() is not None


@contextmanager
def create_site(folder: Path) -> Iterator[Site]:
    with ExitStack() as stack:
        yield Site(folder, stack)


def run_beside_clients(site: Site, scenario: Callable[[Fleet], None]) -> Fleet:
    """Runs the scenario with clients that stay and clients that connect repeatedly; none may be lost."""
    failed: list[BaseException] = []

    def churn() -> None:
        try:
            site.churn()
        except BaseException as error:
            failed.append(error)

    def run() -> Fleet:
        fleet = Fleet(site.scheduler, [site.address], 30, pause=0.2)
        for _ in range(2):
            site.scheduler.spawn(churn)
        site.wait_until(lambda: len(fleet.established) == 30)
        scenario(fleet)
        fleet.end()
        site.ending = True
        site.scheduler.sleep(0.5)
        return fleet

    fleet: Fleet = run_scenario(site.scheduler, run, TIMEOUT_S)
    assert not failed, failed
    counts = fleet.counts
    assert (counts.lost, counts.unanswered, counts.failed, counts.unreachable) == (0, 0, 0, 0), counts
    return fleet


def test_twenty_upgrades_in_a_row_under_load(tmp_path: Path) -> None:
    with create_site(tmp_path) as site:
        running = site.start()
        running.process.wait_ready()

        def scenario(fleet: Fleet) -> None:
            nonlocal running
            for _ in range(20):
                old, running = running, site.start()
                site.wait_until(running.serves)
                site.wait_until(lambda: len(fleet.established) == 30)
                old.process.popen.send_signal(signal.SIGTERM)
                site.wait_until(old.has_exited)
                assert old.process.popen.returncode == 0

        fleet = run_beside_clients(site, scenario)
        assert fleet.counts.migrated >= 20 * 20  # the other clients may already have been at the new process
        assert site.churned > 100


def test_killed_or_failed_successor_leaves_the_old_process_serving(tmp_path: Path) -> None:
    with create_site(tmp_path) as site:
        old = site.start()
        old.process.wait_ready()

        def scenario(fleet: Fleet) -> None:
            for delay_s in (0.0, 0.02, 0.05, 0.08, 0.12):
                new = site.start()
                site.scheduler.sleep(delay_s)  # the process may not listen yet
                if not new.call_api("GET", "health")[0]:
                    new.process.popen.kill()
                    site.wait_until(new.has_exited)
                else:
                    new.process.popen.send_signal(signal.SIGTERM)
                    site.wait_until(new.has_exited)
            site.wait_until(lambda: len(fleet.established) == 30)
            assert old.serves()

        run_beside_clients(site, scenario)


def test_killed_predecessor_loses_only_its_own_connections(tmp_path: Path) -> None:
    with create_site(tmp_path) as site:
        old = site.start()
        old.process.wait_ready()
        new: RunningProxy | None = None

        def scenario() -> None:
            nonlocal new
            fleet = Fleet(site.scheduler, [site.address], 30, pause=0.2)
            site.wait_until(lambda: len(fleet.established) == 30)
            new = site.start()
            site.wait_until(new.serves)
            old.process.popen.kill()
            site.wait_until(old.has_exited)
            # A client detects the loss when it sends its next line; until then it is counted as established.
            site.wait_until(lambda: fleet.counts.lost >= 30)
            site.wait_until(lambda: len(fleet.established) == 30)
            assert fleet.counts.lost <= 30
            third = site.start()  # the remaining process can be upgraded like any other
            site.wait_until(third.serves)
            lost = fleet.counts.lost
            new.process.popen.send_signal(signal.SIGTERM)
            site.wait_until(new.has_exited)
            site.wait_until(lambda: len(fleet.established) == 30)
            assert (fleet.counts.lost, fleet.counts.unanswered) == (lost, 0)
            fleet.end()

        run_scenario(site.scheduler, scenario, TIMEOUT_S)


def test_drain_resume_and_shutdown_after_a_drain(tmp_path: Path) -> None:
    with create_site(tmp_path) as site:
        proxy = site.start()
        proxy.process.wait_ready()

        def scenario(fleet: Fleet) -> None:
            assert proxy.call_api("POST", "quiesce")[0] == 200
            proxy.process.popen.send_signal(signal.SIGHUP)  # a reload does not affect the drain
            site.wait_until(lambda: not fleet.established)
            site.wait_until(lambda: proxy.call_api("GET", "stats")[1]["in_progress"] == 0)
            assert proxy.call_api("GET", "health") == (503, {"state": "drained"})
            assert not fleet.established
            assert proxy.call_api("POST", "resume")[0] == 200
            site.wait_until(lambda: len(fleet.established) == 30)
            # A new version takes over while the old proxy drains.
            proxy.call_api("POST", "quiesce")
            successor = site.start()
            site.wait_until(successor.serves)
            proxy.process.popen.send_signal(signal.SIGTERM)
            site.wait_until(proxy.has_exited)
            assert proxy.process.popen.returncode == 0
            site.wait_until(lambda: len(fleet.established) == 30)
            assert successor.call_api("GET", "stats")[1]["in_progress"] >= 30

        run_beside_clients(site, scenario)


def test_drain_where_packets_pass_through_migrates_nobody_until_shutdown(tmp_path: Path) -> None:
    with create_site(tmp_path) as site:
        site.mode = "pass"
        proxy = site.start()
        proxy.process.wait_ready()

        def scenario(fleet: Fleet) -> None:
            proxy.call_api("POST", "quiesce")
            site.wait_until(lambda: "drained: 30 established" in proxy.process.log.read_text())
            assert (len(fleet.established), fleet.counts.migrated) == (30, 0)
            successor = site.start()
            site.wait_until(successor.serves)
            proxy.process.popen.send_signal(signal.SIGTERM)
            site.wait_until(proxy.has_exited)
            site.wait_until(lambda: len(fleet.established) == 30)

        run_beside_clients(site, scenario)


def test_metrics_match_the_counts_of_clients_and_servers(tmp_path: Path) -> None:
    with create_site(tmp_path) as site:
        proxy = site.start()
        proxy.process.wait_ready()
        stats: dict[str, Any] = {}

        def scenario(fleet: Fleet) -> None:
            site.scheduler.sleep(1.0)
            site.ending = True
            site.scheduler.sleep(0.3)  # until the clients that connect repeatedly have closed
            stats.update(proxy.call_api("GET", "stats")[1])
            assert stats["in_progress"] == len(fleet.established) == 30

        fleet = run_beside_clients(site, scenario)
        servers = site.dependencies.status().servers
        passed = stats["passed"]
        assert sum(passed.values()) == fleet.counts.served + site.churned
        assert stats["upstream_tries"] == sum(server.counts.opened for server in servers)
        assert sum(stats["dropped"].values()) == fleet.counts.rejected
        assert (stats["known_servers"], stats["skipped_servers"]) == (3, 0)
        admitted = sum(stats["taken"].values())
        ended = sum(sum(stats[name].values()) for name in ("passed", "dropped", "bad_gateway", "abandoned"))
        assert admitted == ended
