"""Operation of processes under load: upgrades, kills, drains and metrics."""

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

LIMIT = 120.0


class Site:
    """Emulated dependencies, one proxy address, and the processes that the scenario starts there."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.scheduler = Scheduler()
        self.dependencies = stack.enter_context(Dependencies(folder, 3))
        self.address = ("127.0.0.1", free_port())
        self.mode = "proxy"
        self.started = 0
        self.churned = 0
        self.ending = False

    def start(self) -> Running:
        """Starts another process at the address, with its own admin API."""
        settings = platform_settings()
        for category in settings["categories"]:
            category["hardLimitS"] = 0.6  # the longest deadline determines the time of a shutdown
        settings["familyInfo"]["mode"] = self.mode
        self.started += 1
        value = proxy_config(f"p{self.started}", self.address, self.dependencies.discovery, 4096, settings)
        control = ("127.0.0.1", free_port())
        value["control"] = f"{control[0]}:{control[1]}"
        process = ProxyProcess(write_config(self.folder, value), self.folder)
        return Running(self, self.stack.enter_context(process), control)

    def churn(self) -> None:
        """Opens, sends a line and closes, repeatedly; a request without an answer fails the scenario."""
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

    def until(self, true: Callable[[], bool]) -> None:
        while not true():
            self.scheduler.sleep(0.02)


class Running:
    """One process and the address of its admin API."""

    def __init__(self, site: Site, process: ProxyProcess, control: tuple[str, int]) -> None:
        self.site, self.process, self.control = site, process, control

    def call_api(self, method: str, path: str) -> tuple[int, Any]:
        """Returns status and JSON of the response; status 0 without a response."""
        try:
            status, body = call(self.site.scheduler, self.control, method, f"/admin/{path}")
        except (OSError, TimedOutError):
            return 0, None
        return status, orjson.loads(body)

    def serves(self) -> bool:
        assert self.process.popen.poll() is None, self.process.log.read_text()[-800:]
        return self.call_api("GET", "health")[0] == 200

    def over(self) -> bool:
        return self.process.popen.poll() is not None


@contextmanager
def site(folder: Path) -> Iterator[Site]:
    with ExitStack() as stack:
        yield Site(folder, stack)


def run_beside_clients(it: Site, scenario: Callable[[Fleet], None]) -> Fleet:
    """Runs the scenario beside clients that stay and others that come and go; none may be lost."""
    failed: list[BaseException] = []

    def churn() -> None:
        try:
            it.churn()
        except BaseException as error:
            failed.append(error)

    def run() -> Fleet:
        fleet = Fleet(it.scheduler, [it.address], 30, pause=0.2)
        for _ in range(2):
            it.scheduler.spawn(churn)
        it.until(lambda: len(fleet.established) == 30)
        scenario(fleet)
        fleet.end()
        it.ending = True
        it.scheduler.sleep(0.5)
        return fleet

    fleet: Fleet = run_scenario(it.scheduler, run, LIMIT)
    assert not failed, failed
    counts = fleet.counts
    assert (counts.lost, counts.unanswered, counts.failed, counts.unreachable) == (0, 0, 0, 0), counts
    return fleet


def test_twenty_upgrades_in_a_row_under_load(tmp_path: Path) -> None:
    with site(tmp_path) as it:
        running = it.start()
        running.process.wait_ready()

        def scenario(fleet: Fleet) -> None:
            nonlocal running
            for _ in range(20):
                old, running = running, it.start()
                it.until(running.serves)
                it.until(lambda: len(fleet.established) == 30)
                old.process.popen.send_signal(signal.SIGTERM)
                it.until(old.over)
                assert old.process.popen.returncode == 0

        fleet = run_beside_clients(it, scenario)
        assert fleet.counts.migrated >= 20 * 20  # later clients are at the new process already
        assert it.churned > 100


def test_killed_or_failed_successor_leaves_the_old_process_serving(tmp_path: Path) -> None:
    with site(tmp_path) as it:
        old = it.start()
        old.process.wait_ready()

        def scenario(fleet: Fleet) -> None:
            for wait in (0.0, 0.02, 0.05, 0.08, 0.12):
                new = it.start()
                it.scheduler.sleep(wait)  # before it listens
                if not new.call_api("GET", "health")[0]:
                    new.process.popen.kill()
                    it.until(new.over)
                else:
                    new.process.popen.send_signal(signal.SIGTERM)
                    it.until(new.over)
            it.until(lambda: len(fleet.established) == 30)
            assert old.serves()

        run_beside_clients(it, scenario)


def test_killed_predecessor_loses_only_its_own_connections(tmp_path: Path) -> None:
    with site(tmp_path) as it:
        old = it.start()
        old.process.wait_ready()
        new: Running | None = None

        def scenario() -> None:
            nonlocal new
            fleet = Fleet(it.scheduler, [it.address], 30, pause=0.2)
            it.until(lambda: len(fleet.established) == 30)
            new = it.start()
            it.until(new.serves)
            old.process.popen.kill()
            it.until(old.over)
            # Each client detects the loss at its next line; until then it is counted as established.
            it.until(lambda: fleet.counts.lost >= 30)
            it.until(lambda: len(fleet.established) == 30)
            assert fleet.counts.lost <= 30
            third = it.start()  # the remaining process can be succeeded as any other
            it.until(third.serves)
            lost = fleet.counts.lost
            new.process.popen.send_signal(signal.SIGTERM)
            it.until(new.over)
            it.until(lambda: len(fleet.established) == 30)
            assert (fleet.counts.lost, fleet.counts.unanswered) == (lost, 0)
            fleet.end()

        run_scenario(it.scheduler, scenario, LIMIT)


def test_drain_resume_and_shutdown_after_a_drain(tmp_path: Path) -> None:
    with site(tmp_path) as it:
        one = it.start()
        one.process.wait_ready()

        def scenario(fleet: Fleet) -> None:
            assert one.call_api("POST", "quiesce")[0] == 200
            one.process.popen.send_signal(signal.SIGHUP)  # does not affect the drain
            it.until(lambda: not fleet.established)
            it.until(lambda: one.call_api("GET", "stats")[1]["in_progress"] == 0)
            assert one.call_api("GET", "health") == (503, {"state": "drained"})
            assert not fleet.established
            assert one.call_api("POST", "resume")[0] == 200
            it.until(lambda: len(fleet.established) == 30)
            # A new version takes over while the old one drains.
            one.call_api("POST", "quiesce")
            two = it.start()
            it.until(two.serves)
            one.process.popen.send_signal(signal.SIGTERM)
            it.until(one.over)
            assert one.process.popen.returncode == 0
            it.until(lambda: len(fleet.established) == 30)
            assert two.call_api("GET", "stats")[1]["in_progress"] >= 30

        run_beside_clients(it, scenario)


def test_drain_where_packets_pass_through_migrates_nobody_until_shutdown(tmp_path: Path) -> None:
    with site(tmp_path) as it:
        it.mode = "pass"
        one = it.start()
        one.process.wait_ready()

        def scenario(fleet: Fleet) -> None:
            one.call_api("POST", "quiesce")
            it.until(lambda: "drained: 30 established" in one.process.log.read_text())
            assert (len(fleet.established), fleet.counts.migrated) == (30, 0)
            two = it.start()
            it.until(two.serves)
            one.process.popen.send_signal(signal.SIGTERM)
            it.until(one.over)
            it.until(lambda: len(fleet.established) == 30)

        run_beside_clients(it, scenario)


def test_metrics_match_the_counts_of_clients_and_servers(tmp_path: Path) -> None:
    with site(tmp_path) as it:
        one = it.start()
        one.process.wait_ready()
        stats: dict[str, Any] = {}

        def scenario(fleet: Fleet) -> None:
            it.scheduler.sleep(1.0)
            it.ending = True
            it.scheduler.sleep(0.3)  # until the churning clients have closed
            stats.update(one.call_api("GET", "stats")[1])
            assert stats["in_progress"] == len(fleet.established) == 30

        fleet = run_beside_clients(it, scenario)
        servers = it.dependencies.status().servers
        passed = stats["passed"]
        assert sum(passed.values()) == fleet.counts.served + it.churned
        assert stats["upstream_tries"] == sum(server.counts.opened for server in servers)
        assert sum(stats["dropped"].values()) == fleet.counts.rejected
        assert (stats["known_servers"], stats["skipped_servers"]) == (3, 0)
        taken = sum(stats["taken"].values())
        ended = sum(sum(stats[name].values()) for name in ("passed", "dropped", "bad_gateway", "abandoned"))
        assert taken == ended
