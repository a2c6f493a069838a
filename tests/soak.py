"""A soak: real proxies under troubles drawn by seed, several at once, checked from both sides' records.

``python -m tests.soak FIRST LAST [AT_ONCE]`` plays these seeds and prints a line for each that broke a rule.
"""

from __future__ import annotations

import json
import math
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
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.lines import LineReader
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.admin_client import call
from ironmill_testbed.fleet import run_scenario
from ironmill_testbed.processes import Dependencies, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config
from tests.faults import Plan

SPAN = 9.0  # seconds in which requests come
RATE = 60.0  # requests a second
SERVERS = 5
PROXIES = 2
TROUBLES = 7
MOST_ATTEMPTS = 3
PATIENCE = 3.0  # of a client beyond its wait, seconds
LIMIT = 90.0
GRACE = 0.7  # from the longest deadline (3 s at most) to the earliest SIGKILL
FRONT = 0.3  # for so long after SIGTERM the front sends new clients
LEFT_MOST = 0.1  # an attempt may begin so long after its client has left
TURN = 0.15  # what a reading of the clock here may be late
CLASSES = {"index-sync": "pure", "archive-fetch": "pure", "order": "side_effect"}


@dataclass
class Request:
    """One client's connection and what became of it."""

    name: str
    class_name: str
    proxy: Proxy
    process: ProxyProcess
    outcome: str = ""
    written: bool = False
    left_at: float | None = None
    stood: bool = False
    server: str = ""
    ended_at: float = 0.0
    came: list[bytes] = field(default_factory=list)  # lines that were not looked at yet


@dataclass
class Proxy:
    """One address, and the process there."""

    value: dict[str, Any]
    folder: Path
    plan: Plan
    control: tuple[str, int]
    process: ProxyProcess | None = None
    open_to_front: bool = False
    in_hand: bool = False  # one trouble at a time
    killed: dict[ProxyProcess, float] = field(default_factory=dict)  # since when they owe nothing

    def start(self, stack: ExitStack) -> None:
        config = write_config(self.folder, self.value)
        self.process = stack.enter_context(ProxyProcess(config, self.folder, launcher=self.plan.launcher()))


class Soak:
    """One seed."""

    def __init__(self, seed: int, folder: Path, stack: ExitStack) -> None:
        self.rng = random.Random(seed)
        self.folder, self.stack = folder, stack
        self.scheduler = Scheduler()
        self.dependencies = stack.enter_context(Dependencies(folder, SERVERS))
        self.longest = self.rng.choice((0.3, 1.0, 2.0, 4.0))
        self.requests: list[Request] = []
        self.broken: list[str] = []
        self.troubled: set[str] = set()  # servers that drain or have crashed
        self.crashed: dict[str, float] = {}  # servers, and when
        self.idle: list[socket.socket] = []
        self.busy = 0
        self.proxies = [self._proxy(at) for at in range(PROXIES)]

    def _proxy(self, at: int) -> Proxy:
        settings = platform_settings(PROXIES)
        first = settings["categories"][0]
        settings["categories"] = [
            first | {"name": name, "effect": effect, "hardLimitS": self.longest, "aimS": self.longest / 2.0}
            for name, effect in CLASSES.items()
        ]
        settings["familyInfo"]["messageAimS"] = [0.25] * len(CLASSES)
        control = ("127.0.0.1", free_port())
        value = proxy_config(f"p{at}", ("127.0.0.1", free_port()), self.dependencies.discovery, 512, settings)
        value["control"] = f"{control[0]}:{control[1]}"
        rng = self.rng
        part = {name: rng.choice((0.0, 0.1, 0.3)) for name in ("accept", "connect", "socket")}
        part |= {name: rng.choice((0.0, 0.02)) for name in ("recv", "send")}
        plan = Plan(
            rng.randrange(1 << 30),
            part=part,
            after=1.0,
            wall_clock=rng.choice((0.0, 0.0, 5.0, -5.0, 3600.0, -3600.0)),
            short=rng.random() < 0.3,
        )
        return Proxy(value, self.folder, plan, control)

    # The story

    def story(self) -> None:
        for proxy in self.proxies:
            self.spawn(self._up, proxy)
        self._wait()
        end = time.monotonic() + SPAN
        for _ in range(TROUBLES):
            kind = self.rng.choice(self.troubles())
            self.scheduler.call_later(self.rng.uniform(0.3, SPAN - 3.0), self.spawn, kind)
        while time.monotonic() < end:
            self.scheduler.sleep(self.rng.expovariate(RATE))
            self.spawn(self._client)
        self._wait()
        for proxy in self.proxies:
            self.spawn(self._end, proxy)
        self._wait()

    def troubles(self) -> list[Callable[[], None]]:
        """What may happen, each as often as another."""
        return [
            self._drain, self._crash, self._misbehave, self._join, self._restart, self._kill, self._reload,
            self._crowd, self._quiesce,
        ]  # fmt: skip

    def spawn(self, function: Callable[..., object], *args: object) -> None:
        """Run it beside all else; the story waits for it."""
        self.busy += 1

        def run() -> None:
            try:
                function(*args)
            except Exception as error:
                self.broken.append(f"{getattr(function, '__name__', function)}: {error!r}")
            self.busy -= 1

        self.scheduler.spawn(run)

    def _wait(self) -> None:
        while self.busy:
            self.scheduler.sleep(0.01)

    # Proxies

    def _up(self, proxy: Proxy) -> None:
        proxy.start(self.stack)
        host, _, port = str(proxy.value["listen"]).rpartition(":")
        until = time.monotonic() + 10.0
        while time.monotonic() < until:
            if self._says_pong((host, int(port))):
                proxy.open_to_front = True
                return
            self.scheduler.sleep(0.02)
        self.broken.append(f"{proxy.value['name']} is not ready within 10 s")

    def _says_pong(self, address: tuple[str, int]) -> bool:
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

    def _one(self) -> Proxy | None:
        """A proxy that serves, if another one does, too; no other trouble comes to it until it is let go."""
        if any(proxy.in_hand or not proxy.open_to_front for proxy in self.proxies):
            return None
        proxy = self.rng.choice(self.proxies)
        proxy.in_hand = True
        return proxy

    def _end(self, proxy: Proxy) -> None:
        """SIGTERM, more signals behind it, and SIGKILL at the earliest."""
        process = proxy.process
        assert process is not None
        began = time.monotonic()
        process.popen.send_signal(signal.SIGTERM)
        self.scheduler.sleep(FRONT)
        proxy.open_to_front = False
        for number in self.rng.sample((signal.SIGTERM, signal.SIGHUP, signal.SIGINT), 2):
            if process.popen.poll() is None:
                process.popen.send_signal(number)
            self.scheduler.sleep(0.02)
        earliest = began + min(3.0, self.longest) + GRACE
        while process.popen.poll() is None and time.monotonic() < earliest:
            self.scheduler.sleep(0.01)
        if process.popen.poll() is None:
            self.broken.append(f"{proxy.value['name']} still runs at the earliest SIGKILL")
            process.popen.kill()
        if process.popen.wait() != 0:
            self.broken.append(f"{proxy.value['name']} ended with status {process.popen.returncode}")

    def _restart(self) -> None:
        if (proxy := self._one()) is not None:
            self._end(proxy)
            self._up(proxy)
            proxy.in_hand = False

    def _kill(self) -> None:
        if (proxy := self._one()) is not None:
            assert proxy.process is not None
            proxy.open_to_front = False
            proxy.killed[proxy.process] = time.monotonic()
            proxy.process.popen.kill()
            proxy.process.popen.wait()
            self.scheduler.sleep(0.3)
            self._up(proxy)
            proxy.in_hand = False

    def _reload(self) -> None:
        """Configurations in a row; the last one names the discovery that is up."""
        for proxy in self.proxies:
            if not proxy.open_to_front or proxy.process is None:
                continue
            here = proxy.value["discovery"]
            for address in (f"127.0.0.1:{free_port()}", here):
                write_config(self.folder, proxy.value | {"discovery": address})
                if proxy.process.popen.poll() is None:
                    proxy.process.popen.send_signal(signal.SIGHUP)
                self.scheduler.sleep(0.05)

    def _quiesce(self) -> None:
        if (proxy := self._one()) is not None:
            proxy.open_to_front = False  # nobody else may take it out meanwhile
            try:
                call(self.scheduler, proxy.control, "POST", "/admin/quiesce")
                self.scheduler.sleep(self.rng.uniform(0.2, 3.5))
                call(self.scheduler, proxy.control, "POST", "/admin/resume")
            except (OSError, TimedOutError) as error:
                self.broken.append(f"staff got no answer: {error!r}")
            self.scheduler.sleep(0.1)
            proxy.open_to_front = True
            proxy.in_hand = False

    def _crowd(self) -> None:
        """Idle clients, as many as one proxy has descriptors."""
        proxy = self.rng.choice(self.proxies)
        host, _, port = str(proxy.value["listen"]).rpartition(":")
        for _ in range(400):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))
            self.idle.append(sock)
            if len(self.idle) % 20 == 0:
                self.scheduler.sleep(0.0)

    # Servers

    def _server(self) -> str | None:
        """One that nothing has happened to, while there are some more."""
        names = [f"s-{at}" for at in range(SERVERS) if f"s-{at}" not in self.troubled]
        return self.rng.choice(names) if len(names) > 2 else None

    def _drain(self) -> None:
        if (uid := self._server()) is not None:
            self.troubled.add(uid)
            self.dependencies.drain(uid)

    def _crash(self) -> None:
        if (uid := self._server()) is not None:
            self.troubled.add(uid)
            self.crashed[uid] = time.monotonic()
            self.dependencies.crash(uid)

    def _misbehave(self) -> None:
        if (uid := self._server()) is not None:
            self.dependencies.set_mode(uid, self.rng.choice(("hang", "error", "busy", "reset")))
            self.scheduler.sleep(self.rng.uniform(0.5, 3.0))
            self.dependencies.set_mode(uid, "sound")

    def _join(self) -> None:
        self.dependencies.add(f"new-{self.rng.randrange(1 << 30):x}", time.time())

    # Clients

    def _client(self) -> None:
        serving = [proxy for proxy in self.proxies if proxy.open_to_front]
        if not serving:
            return
        proxy = self.rng.choice(serving)
        assert proxy.process is not None
        name = f"{self.rng.randrange(1 << 60):x}"
        request = Request(name, self.rng.choice(list(CLASSES)), proxy, proxy.process)
        try:
            stream = Stream.connect(self.scheduler, proxy.process.address, 2.0)
        except (OSError, TimedOutError):
            return  # nobody took it
        self.requests.append(request)
        try:
            self._ask(request, stream)
        except TimedOutError:
            request.outcome = "silent"
        except OSError as error:
            request.outcome = f"reset ({error.strerror})"
        finally:
            request.ended_at = time.monotonic()
            stream.close()

    def _ask(self, request: Request, stream: Stream) -> None:
        wait = self.longest * self.rng.choice((0.1, 0.5, 1.0, 1.0))
        line = f"OPEN {request.name} 5a c={request.class_name},d={wait * 1000:.0f},g=3\r\n".encode()
        cut = self.rng.choice((0, 0, 0, len(line) // 2))
        if cut:
            stream.send(line[:cut], 1.0)
            self.scheduler.sleep(self.rng.random())
        stream.send(line[cut:], 1.0)
        request.written = True
        if self.rng.random() < 0.1:
            self.scheduler.sleep(self.rng.random() * wait * 0.5)
            request.left_at, request.outcome = time.monotonic(), "left"
            return
        lines = LineReader()
        answer = self._line(request, stream, lines, wait + PATIENCE)
        request.outcome = answer.split(b" ")[0].decode() or "closed"
        if request.outcome == "UP":
            request.stood, request.server = True, answer[3:].decode()
            self._stay(request, stream, lines)

    def _stay(self, request: Request, stream: Stream, lines: LineReader) -> None:
        """Send lines until the end, whoever brings it."""
        until = time.monotonic() + self.rng.expovariate(1.0 / 2.0)
        while time.monotonic() < until:
            stream.send(b"line\r\n", 5.0)
            answer = self._line(request, stream, lines, 10.0)
            if answer != b"line":
                request.outcome = "MOVE" if answer == b"MOVE" else "cut off"
                return
            self.scheduler.sleep(0.1 + 0.3 * self.rng.random())
        request.outcome = "ended"

    @staticmethod
    def _line(request: Request, stream: Stream, lines: LineReader, timeout: float) -> bytes:
        """The next line; empty at the end."""
        while not request.came and (data := stream.receive(timeout)):
            request.came += lines.feed(data)
        return request.came.pop(0) if request.came else b""

    # What has to hold

    def check(self) -> list[str]:
        """The rules that were broken, a line each."""
        broken = list(self.broken)
        for request in self.requests:
            if request.ended_at >= request.proxy.killed.get(request.process, math.inf):
                continue
            if request.stood:
                crashed = request.ended_at >= self.crashed.get(request.server, math.inf)
                if request.outcome not in ("ended", "MOVE") and not crashed:
                    broken.append(f"{request.name}: stood at {request.server}, {request.outcome}")
            elif request.written and request.outcome not in ("BUSY", "ERR", "UP", "left"):
                broken.append(f"{request.name}: {request.outcome} at {request.process.log.name}")
        return broken + self._check_servers()

    def _check_servers(self) -> list[str]:
        history = self.dependencies.attempts()
        broken = [f"{name}: two attempts at once" for name in history.overlaps]
        by_name = {request.name: request for request in self.requests}
        counts = Counter(attempt.request_id for attempt in history.attempts)
        broken += [f"{name}: {count} attempts" for name, count in counts.items() if count > MOST_ATTEMPTS]
        runs = Counter(attempt.request_id for attempt in history.attempts if attempt.may_have_run)
        for name, count in runs.items():
            request = by_name.get(name)
            if request is not None and CLASSES[request.class_name] == "side_effect" and count > 1:
                broken.append(f"{name}: may have run {count} times")
        for attempt in history.attempts:
            request = by_name.get(attempt.request_id)
            if request is not None and request.left_at is not None:
                late = attempt.received_at - request.left_at
                if late > LEFT_MOST + TURN:
                    broken.append(f"{request.name}: an attempt {late:.3f} s after its client left")
        for server in self.dependencies.status().servers:
            counts_of_server = {"late": server.counts.late, "malformed": server.counts.malformed}
            broken += [f"{server.server_id}: {what} {n}" for what, n in counts_of_server.items() if n]
        return broken


def run(seed: int, keep: Path | None = None) -> tuple[list[str], Counter[str]]:
    """Play it: the rules that were broken, and how many requests came to what."""
    with tempfile.TemporaryDirectory() as name, ExitStack() as stack:
        soak = Soak(seed, keep or Path(name), stack)
        run_scenario(soak.scheduler, soak.story, LIMIT)
        for sock in soak.idle:
            sock.close()
        return soak.check(), Counter(request.outcome for request in soak.requests)


def main(first: int, last: int, at_once: int) -> int:
    """Play all seeds, so many side by side in processes of their own; status 1 if a rule was broken."""
    waiting, running, status = list(range(first, last + 1)), {}, 0
    while waiting or running:
        while waiting and len(running) < at_once:
            seed = waiting.pop(0)
            words = [sys.executable, "-m", "tests.soak", str(seed)]
            running[seed] = subprocess.Popen(words, stdout=subprocess.PIPE, text=True)
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
    found, outcomes = run(numbers[0])
    verdict = f"broken: {'; '.join(found)}" if found else "kept"
    print(f"seed {numbers[0]}: {json.dumps(dict(outcomes))} {verdict}")
    sys.exit(1 if found else 0)
