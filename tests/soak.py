"""A soak test: runs real proxies under random faults and checks the records of clients and servers.

``python -m tests.soak FIRST LAST [PARALLEL]`` runs the seeds from FIRST to LAST and prints a line for each.
"""

from __future__ import annotations

import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path

from ironmill.net.sockets import Stream, TimedOutError
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.admin_client import call
from ironmill_testbed.fleet import run_scenario
from ironmill_testbed.processes import Dependencies, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config
from tests.faults import FaultPlan
from tests.support.soak_clients import SoakClients
from tests.support.soak_records import CLASSES, SoakProxy, SoakRecords, check

REQUEST_SPAN_S = 9.0
REQUESTS_PER_S = 60.0
SERVER_COUNT = 5
PROXY_COUNT = 2
FAULT_COUNT = 7
IDLE_CONNECTIONS = 400
MAX_RUN_S = 90.0
READY_TIMEOUT_S = 10.0
KILL_GRACE_S = 0.7  # from the longest deadline, at most 3 s, to the earliest permitted SIGKILL
FRONT_DELAY_S = 0.3  # how long the load balancer sends new clients after SIGTERM
CROWD_CLIENTS = 120  # clients that connect at once
MAX_EXTRA_SIGNALS = 8  # signals sent after SIGTERM


class Soak:
    """The run of one seed: its processes, clients and faults."""

    def __init__(self, seed: int, folder: Path, stack: ExitStack) -> None:
        self.rng = random.Random(seed)
        self.folder, self.stack = folder, stack
        self.scheduler = Scheduler()
        self.dependencies = stack.enter_context(Dependencies(folder, SERVER_COUNT))
        self.longest_deadline_s = self.rng.choice((0.3, 1.0, 2.0, 4.0))
        self.clients = SoakClients(self.scheduler, self.rng, self.longest_deadline_s)
        self.violations: list[str] = []
        self.used_servers: set[str] = set()  # ids of the servers that drain or have crashed
        self.crashed: dict[str, float] = {}  # times of the crashes, by server id
        self.idle_connections: list[socket.socket] = []
        self.running_tasks = 0
        self.running_clients = 0
        self.has_crowds = self.rng.random() < 0.5  # many clients connect just before a proxy is shut down
        self.proxies = [self._create_proxy(index) for index in range(PROXY_COUNT)]

    def _create_proxy(self, index: int) -> SoakProxy:
        settings = platform_settings(PROXY_COUNT)
        template = settings["categories"][0]
        settings["categories"] = [
            template
            | {
                "name": name,
                "effect": effect,
                "hardLimitS": self.longest_deadline_s,
                "aimS": self.longest_deadline_s / 2.0,
            }
            for name, effect in CLASSES.items()
        ]
        settings["familyInfo"]["messageAimS"] = [0.25] * len(CLASSES)
        control = ("127.0.0.1", free_port())
        value = proxy_config(
            f"p{index}", ("127.0.0.1", free_port()), self.dependencies.discovery, 512, settings
        )
        value["control"] = f"{control[0]}:{control[1]}"
        rng = self.rng
        fractions = {name: rng.choice((0.0, 0.1, 0.3)) for name in ("accept", "connect", "socket")}
        fractions |= {name: rng.choice((0.0, 0.02)) for name in ("recv", "send")}
        plan = FaultPlan(
            rng.randrange(1 << 30),
            failing_fraction=fractions,
            delay_s=1.0,
            clock_step_s=rng.choice((0.0, 0.0, 5.0, -5.0, 3600.0, -3600.0)),
            has_short_io=rng.random() < 0.3,
        )
        return SoakProxy(value, self.folder, plan, control)

    # The scenario

    def scenario(self) -> None:
        for proxy in self.proxies:
            self.spawn(self._start, proxy)
        self._wait_for_tasks()
        end = time.monotonic() + REQUEST_SPAN_S
        for _ in range(FAULT_COUNT):
            cause_fault = self.rng.choice(self.faults())
            self.scheduler.call_later(self.rng.uniform(0.3, REQUEST_SPAN_S - 3.0), self.spawn, cause_fault)
        while time.monotonic() < end:
            self.scheduler.sleep(self.rng.expovariate(REQUESTS_PER_S))
            self._spawn_client()
        self._wait_for_tasks()
        for proxy in self.proxies:
            self.spawn(self._shut_down, proxy)
        self._wait_for_tasks()
        while self.running_clients:
            self.scheduler.sleep(0.01)

    def faults(self) -> list[Callable[[], None]]:
        """Returns the functions that cause a fault, which are drawn with equal probability."""
        return [
            self._drain_server, self._crash_server, self._change_mode, self._add_server, self._restart,
            self._kill, self._reload, self._open_idle_connections, self._drain_proxy, self._crowd,
        ]  # fmt: skip

    def spawn(self, function: Callable[..., object], *args: object) -> None:
        """Runs the function in a task; the scenario waits for it before it shuts down the proxies."""
        self.running_tasks += 1

        def run() -> None:
            self._run_recorded(function, *args)
            self.running_tasks -= 1

        self.scheduler.spawn(run)

    def _spawn_client(self, proxy: SoakProxy | None = None) -> None:
        """Runs a client in a task, which may run until all proxies have exited."""
        self.running_clients += 1

        def run() -> None:
            self._run_recorded(self.clients.run, self.proxies if proxy is None else [proxy])
            self.running_clients -= 1

        self.scheduler.spawn(run)

    def _run_recorded(self, function: Callable[..., object], *args: object) -> None:
        try:
            function(*args)
        except Exception as error:
            self.violations.append(f"{getattr(function, '__name__', function)}: {error!r}")

    def _wait_for_tasks(self) -> None:
        while self.running_tasks:
            self.scheduler.sleep(0.01)

    # Proxies

    def _start(self, proxy: SoakProxy) -> None:
        proxy.start(self.stack)
        host, _, port = str(proxy.value["listen"]).rpartition(":")
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if self._answers_ping((host, int(port))):
                proxy.accepts_clients = True
                return
            self.scheduler.sleep(0.02)
        self.violations.append(f"{proxy.value['name']} is not ready within 10 s")

    def _answers_ping(self, address: tuple[str, int]) -> bool:
        try:
            stream = Stream.connect(self.scheduler, address, 1.0)
        except (OSError, TimedOutError):
            return False
        try:
            stream.send(b"PING\r\n", 1.0)
            return stream.receive(1.0).startswith(b"PONG")
        except (OSError, TimedOutError):
            return False
        finally:
            stream.close()

    def _reserve_proxy(self) -> SoakProxy | None:
        """Reserves a proxy for one fault. Returns None unless all proxies serve and none is reserved."""
        if any(proxy.is_reserved or not proxy.accepts_clients for proxy in self.proxies):
            return None
        proxy = self.rng.choice(self.proxies)
        proxy.is_reserved = True
        return proxy

    def _shut_down(self, proxy: SoakProxy) -> None:
        """Sends SIGTERM, further signals, and SIGKILL at the earliest time at which it is permitted."""
        process = proxy.process
        assert process is not None
        if self.has_crowds:
            self._crowd(proxy)
        started_at = time.monotonic()
        process.popen.send_signal(signal.SIGTERM)
        self.spawn(self._send_signals, process, self.rng.choice((0.0, 0.02, 0.2)))
        self.scheduler.sleep(FRONT_DELAY_S)
        proxy.accepts_clients = False
        earliest_kill_at = started_at + min(3.0, self.longest_deadline_s) + KILL_GRACE_S
        while process.popen.poll() is None and time.monotonic() < earliest_kill_at:
            self.scheduler.sleep(0.01)
        if process.popen.poll() is None:
            self.violations.append(f"{proxy.value['name']} still runs at the earliest SIGKILL")
            process.popen.kill()
        if process.popen.wait() != 0:
            self.violations.append(f"{proxy.value['name']} ended with status {process.popen.returncode}")

    def _send_signals(self, process: ProxyProcess, interval_s: float) -> None:
        """Sends a random series of the signals that a proxy handles while it runs."""
        for _ in range(self.rng.randrange(1, MAX_EXTRA_SIGNALS + 1)):
            if process.popen.poll() is None:
                process.popen.send_signal(self.rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT)))
            if interval_s:
                self.scheduler.sleep(interval_s)

    def _restart(self) -> None:
        if (proxy := self._reserve_proxy()) is not None:
            self._shut_down(proxy)
            self._start(proxy)
            proxy.is_reserved = False

    def _kill(self) -> None:
        if (proxy := self._reserve_proxy()) is not None:
            assert proxy.process is not None
            proxy.accepts_clients = False
            proxy.killed[proxy.process] = time.monotonic()
            proxy.process.popen.kill()
            proxy.process.popen.wait()
            self.scheduler.sleep(0.3)
            self._start(proxy)
            proxy.is_reserved = False

    def _reload(self) -> None:
        """Reloads configurations in quick succession; the last one names the discovery that is running."""
        for proxy in self.proxies:
            if not proxy.accepts_clients or proxy.process is None:
                continue
            running_discovery = proxy.value["discovery"]
            for address in (f"127.0.0.1:{free_port()}", running_discovery):
                write_config(self.folder, proxy.value | {"discovery": address})
                if proxy.process.popen.poll() is None:
                    proxy.process.popen.send_signal(signal.SIGHUP)
                self.scheduler.sleep(0.05)

    def _drain_proxy(self) -> None:
        if (proxy := self._reserve_proxy()) is not None:
            proxy.accepts_clients = False  # keeps other tasks from reserving a proxy meanwhile
            try:
                call(self.scheduler, proxy.control, "POST", "/admin/quiesce")
                self.scheduler.sleep(self.rng.uniform(0.2, 3.5))
                call(self.scheduler, proxy.control, "POST", "/admin/resume")
            except (OSError, TimedOutError) as error:
                self.violations.append(f"the admin API gave no answer: {error!r}")
            self.scheduler.sleep(0.1)
            proxy.accepts_clients = True
            proxy.is_reserved = False

    def _open_idle_connections(self) -> None:
        """Opens about as many idle connections as a proxy has descriptors."""
        proxy = self.rng.choice(self.proxies)
        host, _, port = str(proxy.value["listen"]).rpartition(":")
        for _ in range(IDLE_CONNECTIONS):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))
            self.idle_connections.append(sock)
            if len(self.idle_connections) % 20 == 0:
                self.scheduler.sleep(0.0)

    # Servers

    def _unused_server(self) -> str | None:
        """Returns a server that had no fault so far, or None if at most two such servers are left."""
        names = [f"s-{index}" for index in range(SERVER_COUNT) if f"s-{index}" not in self.used_servers]
        return self.rng.choice(names) if len(names) > 2 else None

    def _drain_server(self) -> None:
        if (server_id := self._unused_server()) is not None:
            self.used_servers.add(server_id)
            self.dependencies.drain(server_id)

    def _crash_server(self) -> None:
        if (server_id := self._unused_server()) is not None:
            self.used_servers.add(server_id)
            self.crashed[server_id] = time.monotonic()
            self.dependencies.crash(server_id)

    def _change_mode(self) -> None:
        if (server_id := self._unused_server()) is not None:
            self.dependencies.set_mode(server_id, self.rng.choice(("hang", "error", "busy", "reset")))
            self.scheduler.sleep(self.rng.uniform(0.5, 3.0))
            self.dependencies.set_mode(server_id, "sound")

    def _add_server(self) -> None:
        self.dependencies.add(f"new-{self.rng.randrange(1 << 30):x}", time.time())

    # Clients

    def _crowd(self, proxy: SoakProxy | None = None) -> None:
        """Connects many clients to one proxy at once."""
        proxy = proxy or self.rng.choice(self.proxies)
        for _ in range(CROWD_CLIENTS):
            self._spawn_client(proxy)


def run(seed: int, folder: Path | None = None) -> tuple[list[str], Counter[str]]:
    """Runs a seed and returns the violations and the number of requests by outcome."""
    with tempfile.TemporaryDirectory() as temporary_folder, ExitStack() as stack:
        soak = Soak(seed, folder or Path(temporary_folder), stack)
        run_scenario(soak.scheduler, soak.scenario, MAX_RUN_S)
        for sock in soak.idle_connections:
            sock.close()
        records = SoakRecords(soak.clients.requests, soak.violations, soak.crashed, soak.dependencies)
        return check(records), Counter(request.outcome for request in soak.clients.requests)


def main(first: int, last: int, parallelism: int) -> int:
    """Runs each seed in a process of its own. Returns 1 if there was a violation, otherwise 0."""
    waiting = list(range(first, last + 1))
    running: dict[int, subprocess.Popen[str]] = {}
    status = 0
    while waiting or running:
        while waiting and len(running) < parallelism:
            seed = waiting.pop(0)
            command = [sys.executable, "-m", "tests.soak", str(seed)]
            running[seed] = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        for seed, process in list(running.items()):
            if process.poll() is not None:
                del running[seed]
                assert process.stdout is not None
                print(process.stdout.read(), end="", flush=True)
                status |= process.returncode
        time.sleep(0.1)
    return status


if __name__ == "__main__":
    numbers = [int(word) for word in sys.argv[1:]]
    if len(numbers) > 1:
        sys.exit(main(numbers[0], numbers[1], numbers[2] if len(numbers) > 2 else 4))
    violations, outcomes = run(numbers[0])
    verdict = f"broken: {'; '.join(violations)}" if violations else "kept"
    print(f"seed {numbers[0]}: {json.dumps(dict(outcomes))} {verdict}")
    sys.exit(1 if violations else 0)
