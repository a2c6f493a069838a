"""The demonstration: one proxy among emulated neighbours, told as it goes.

A server drains, the proxy is started again, a new version takes over beside it, and staff drain it.
"""

from __future__ import annotations

import signal
import sys
import tempfile
import time
from dataclasses import astuple, fields
from pathlib import Path
from typing import Any

from ironmill.net.sockets import Stream, TimedOutError
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.admin_client import call
from ironmill_testbed.fleet import Fleet, FleetCounts, play
from ironmill_testbed.processes import Neighbours, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

HOSTS = 6
SOCKETS = 4096
# When what happens, in seconds from the start of the fleet.
DRAIN_AT, RESTART_AT, UPGRADE_AT, QUIESCE_AT, RESUME_AT, END_AT = 3.0, 8.0, 14.0, 20.0, 23.5, 27.0
DRAINED = "s-0"
LIMIT = 90.0
START_WAIT = 20.0


def run(clients: int, stay: bool, settings: Path | None) -> int:
    """Play it; status 1 if a request went unanswered, a connection was lost or a drain was violated."""
    more = [] if settings is None else [f"--settings={settings}"]
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        with Neighbours(folder, HOSTS) as neighbours:
            address = ("127.0.0.1", free_port())
            value = proxy_config("demo", address, neighbours.discovery, SOCKETS, platform_settings())
            config = _at_control(folder, value)
            print(f"discovery and {HOSTS} emulated servers are up")
            with ProxyProcess(config, folder, more=more) as proxy:
                proxy.wait_ready()
                scheduler = Scheduler()
                demo = Demo(scheduler, neighbours, proxy, config, folder, clients, more, value)
                try:
                    good: bool = play(scheduler, demo.story, LIMIT)
                    if stay:
                        print(
                            f"the proxy stays at 127.0.0.1 port {address[1]}; connect with telnet, type\n"
                            "    OPEN 1 2 c=index-sync,d=2000\n"
                            "and then any line, which comes back; interrupt to end",
                            flush=True,
                        )
                        play(scheduler, lambda: scheduler.sleep(1e6), 1e6)
                except KeyboardInterrupt:
                    return 0
                finally:
                    demo.close()
    return 0 if good else 1


def _at_control(folder: Path, value: dict[str, Any]) -> Path:
    """The configuration's file, with a second address of its own for staff."""
    value["control"] = f"127.0.0.1:{free_port()}"
    return write_config(folder, value)


class Demo:
    """The story and what it prints."""

    def __init__(
        self,
        scheduler: Scheduler,
        neighbours: Neighbours,
        proxy: ProxyProcess,
        config: Path,
        folder: Path,
        clients: int,
        more: list[str],
        value: dict[str, Any],
    ) -> None:
        self._scheduler = scheduler
        self._neighbours = neighbours
        self._proxy = proxy
        self._config, self._folder = config, folder
        self._size = clients
        self._more = more
        self._value = value
        self._fleet = Fleet(scheduler, [proxy.address], 0)
        self._began = time.monotonic()

    def close(self) -> None:
        """End the proxy that runs now."""
        self._proxy.end(signal.SIGKILL)

    def story(self) -> bool:
        """The whole of it; True if nothing was lost."""
        self._began = time.monotonic()
        self._fleet = Fleet(self._scheduler, [self._proxy.address], self._size)
        self._say(f"{self._size} clients arrive")
        self._until(DRAIN_AT)
        told = self._neighbours.ask("drain", DRAINED)
        held = next(host["standing"] for host in told["hosts"] if host["uid"] == DRAINED)
        self._say(f"server {DRAINED} drains, {held} connections stand there")
        self._until(RESTART_AT)
        self._restart()
        self._until(UPGRADE_AT)
        self._upgrade()
        self._until(QUIESCE_AT)
        self._say(f"staff drain it: POST /admin/quiesce: {self._ask('POST', 'quiesce')}")
        self._until(RESUME_AT)
        self._say(f"and end that: POST /admin/resume: {self._ask('POST', 'resume')}")
        self._until(END_AT)
        self._fleet.end()
        self._scheduler.sleep(1.0)
        return self._sum_up(self._neighbours.ask("told"))

    def _until(self, at: float) -> None:
        while (left := self._began + at - time.monotonic()) > 0.0:
            self._scheduler.sleep(min(1.0, left))
            self._say("")

    def _say(self, what: str) -> None:
        counts = self._fleet.counts
        print(
            f"{time.monotonic() - self._began:5.1f} s  opened {counts.opened:4}  served {counts.served:4}  "
            f"refused {counts.refused:3}  moved {counts.moved:4}  lost {counts.lost:3}  "
            f"standing {len(self._fleet.standing):4}  {what}".rstrip(),
            flush=True,
        )

    def _upgrade(self) -> None:
        old = self._proxy
        self._config = _at_control(self._folder, self._value)
        self._proxy = ProxyProcess(self._config, self._folder, more=self._more)
        self._say("a new version is started beside it, at the same address")
        until = time.monotonic() + START_WAIT
        while time.monotonic() < until and not self._serves():
            self._scheduler.sleep(0.02)
        self._say(f"it serves: GET /admin/health: {self._ask('GET', 'health')}; the old one is told to end")
        old.popen.send_signal(signal.SIGTERM)
        while old.popen.poll() is None:
            self._scheduler.sleep(0.05)
        self._say(f"the old one has ended with status {old.end()}")

    def _serves(self) -> bool:
        try:
            return self._ask("GET", "health") == 200
        except (OSError, TimedOutError):
            return False  # it does not listen there yet

    def _ask(self, method: str, path: str) -> int:
        host, _, port = str(self._value["control"]).rpartition(":")
        return call(self._scheduler, (host, int(port)), method, f"/admin/{path}")[0]

    def _restart(self) -> None:
        self._say("the proxy is told to end (SIGTERM); it sends its clients away first")
        self._proxy.popen.send_signal(signal.SIGTERM)
        while self._proxy.popen.poll() is None:
            self._scheduler.sleep(0.05)
        self._say(f"it has ended with status {self._proxy.popen.returncode} and is started again")
        self._proxy.end()
        self._proxy = ProxyProcess(self._config, self._folder, more=self._more)
        until = time.monotonic() + START_WAIT
        while time.monotonic() < until and not self._answers():
            self._scheduler.sleep(0.02)
        self._say("it answers again")

    def _answers(self) -> bool:
        try:
            stream = Stream.connect(self._scheduler, self._proxy.address, 1.0)
        except (OSError, TimedOutError):
            return False
        try:
            stream.send(b"PING\r\n", 1.0)
            return stream.receive(1.0) == b"PONG\r\n"
        except (OSError, TimedOutError):
            return False
        finally:
            stream.close()

    def _sum_up(self, told: dict[str, Any]) -> bool:
        counts = self._fleet.counts
        late: int = sum(host["late"] for host in told["hosts"])
        print("\nin the end")
        for field, value in zip(fields(FleetCounts), astuple(counts), strict=True):
            print(f"  {field.name:<11} {value:>6}")
        print(f"  {'sent late':<11} {late:>6}   to the draining server, beyond 250 ms")
        for host in told["hosts"]:
            print(f"  {host['uid']}: took {host['opened']} connections, sent away {host['moved']} by itself")
        good = late + counts.unanswered + counts.lost + counts.failed == 0
        print("nothing was lost" if good else "something was lost: see above")
        sys.stdout.flush()
        return good
