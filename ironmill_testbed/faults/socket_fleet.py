"""Control machines, simulated proxies and real proxies as processes on loopback."""

from __future__ import annotations

import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from contextlib import ExitStack, suppress
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import psutil

from ironmill.commands import config
from ironmill.distribution.revision import Position
from ironmill.membership.identity import format_address
from ironmill_testbed.faults.checker import LoggedEvent, read_logs
from ironmill_testbed.faults.simulated_proxies import region, zone
from ironmill_testbed.processes import (
    CommandedProcess,
    Dependencies,
    Process,
    ProxyProcess,
    Usage,
    free_port,
    start_control_machine,
)
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

ORIGIN = "c00"
KEY = "0f" * 32
CHECK_INTERVAL_S = 0.1
MEMORY_CHECK_INTERVAL_S = 0.2
MEMORY_CHECK_INTERVAL_PER_PROCESS_S = 0.005  # added for each process


class SocketFleet:
    """``c00`` is the origin, other ``c`` are relays, ``p`` real proxies, ``q`` those without distribution.

    Simulated proxies are ``h0000`` and on, in the processes ``hollow00`` and on.
    """

    def __init__(self, folder: Path, proxies: int, control: int, simulated_processes: int, real: int) -> None:
        """``real`` is the number of proxies with, and of those without distribution."""
        self.folder = folder
        self.proxies = proxies
        self.controls = [f"c{at:02d}" for at in range(control)]
        self.real = [f"p{at:02d}" for at in range(real)]
        self.plain = [f"q{at:02d}" for at in range(real)]
        self.processes: dict[str, Process] = {}
        self.simulated: list[CommandedProcess] = []
        self.peak = 0  # bytes resident, all processes together and this one
        self._shares = [proxies * at // simulated_processes for at in range(simulated_processes + 1)]
        names = [*self.controls, *self.real, *self.plain]
        self._addresses = {name: ("127.0.0.1", free_port()) for name in names}
        self.admin_addresses = {name: ("127.0.0.1", free_port()) for name in names}
        self.clients = {name: ("127.0.0.1", free_port()) for name in [*self.real, *self.plain]}
        self._stack = ExitStack()
        self._paused: set[str] = set()
        self._stopping = threading.Event()
        self._memory_thread = threading.Thread(target=self._watch_memory, daemon=True)

    def __enter__(self) -> Self:
        try:
            (self.folder / "members.keys").write_text(KEY + "\n")
            self.dependencies = self._stack.enter_context(Dependencies(self.folder, 2))
            for name in self.controls:
                self._write(name, "origin" if name == ORIGIN else "relay")
            for name in self.real:
                self._write(name, "subscriber")
            self._write("simulated", "subscriber")
            self._write("plain", "")
            self._memory_thread.start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._stopping.set()
        if self._memory_thread.is_alive():
            self._memory_thread.join()
        for name in list(self._paused):
            self.resume(name)
        for process in self.all():  # all at once, as each takes some time to end
            if process.popen.poll() is None:
                process.popen.kill()
        self._stack.close()

    # Files

    def _write(self, name: str, role: str) -> None:
        lines = ['<ironmill xmlns="urn:ironmill:settings:1">', '<log form="json"/>']
        if role:
            at = int(name[1:]) if name in self._addresses else 0
            listen = self._addresses.get(name, ("127.0.0.1", 9))  # each simulated proxy binds its own
            store = ' store="store"' if role == "origin" else ""
            lines += [
                f'<distribution cluster="fleet" listen="{format_address(listen)}" keys="members.keys" '
                f'zone="{zone(at)}" region="{region(at)}" role="{role}"{store}>',
                *(
                    f'<control name="{one}" address="{format_address(self._addresses[one])}" '
                    f'zone="{zone(place)}" region="{region(place)}"{self._origin(one)}/>'
                    for place, one in enumerate(self.controls)
                    if one != name
                ),
                "</distribution>",
            ]
        (self.folder / f"{name}.xml").write_text("\n".join([*lines, "</ironmill>"]))

    @staticmethod
    def _origin(name: str) -> str:
        return ' origin="true"' if name == ORIGIN else ""

    # Processes

    def start(self, *names: str) -> None:
        """Starts control machines and real proxies."""
        for name in names:
            self.processes[name] = self._stack.enter_context(self._process(name))

    def start_simulated(self) -> None:
        """Starts all simulated proxies."""
        settings = f"--settings={self.folder / 'simulated.xml'}"
        for at, (first, after) in enumerate(zip(self._shares, self._shares[1:], strict=False)):
            numbers = [f"--first={first}", f"--proxies={after - first}"]
            words = ["-m", "ironmill_testbed", "hollow", settings, *numbers]
            process = CommandedProcess(words, self.folder, f"hollow{at:02d}")
            self.simulated.append(self._stack.enter_context(process))

    def _process(self, name: str) -> Process:
        if name in self.controls:
            return start_control_machine(name, self.folder, self.admin_addresses[name])
        settings = f"--settings={self.folder / ('plain.xml' if name in self.plain else f'{name}.xml')}"
        value = proxy_config(
            name, self.clients[name], self.dependencies.discovery, 1024, platform_settings(len(self.real))
        )
        value["control"] = format_address(self.admin_addresses[name])
        return ProxyProcess(write_config(self.folder, value), self.folder, options=[settings])

    def all(self) -> list[Process]:
        """Returns all processes."""
        return [*list(self.processes.values()), *self.simulated]

    def wait_ready(self, *names: str) -> None:
        """Waits until these real proxies answer."""
        for name in names:
            process = self.processes[name]
            assert isinstance(process, ProxyProcess)
            process.wait_ready()

    def kill(self, name: str) -> float:
        """Kills a process; returns when."""
        process = self.processes.pop(name)
        at = time.monotonic()
        process.end(signal.SIGKILL)
        return at

    def end(self, name: str) -> int:
        """Shuts a process down gracefully; returns its exit status."""
        return self.processes.pop(name).end()

    def pause(self, name: str) -> float:
        """Sends SIGSTOP; returns when."""
        self._paused.add(name)
        self.processes[name].popen.send_signal(signal.SIGSTOP)
        return time.monotonic()

    def resume(self, name: str) -> float:
        """Sends SIGCONT; returns when."""
        self._paused.discard(name)
        if name in self.processes:
            self.processes[name].popen.send_signal(signal.SIGCONT)
        return time.monotonic()

    # Observation

    def status(self, name: str) -> dict[str, Any]:
        """Returns a node's status; empty if it does not answer."""
        try:
            return config.fetch_status(self.admin_addresses[name])
        except config.ConfigError:
            return {}

    def push(self, changes: dict[str, str | None]) -> Position:
        """Pushes a revision by the origin's admin API. Raises ``ConfigError`` if it is not accepted."""
        return config.push(self.admin_addresses[ORIGIN], changes, config.Authorship("fleet"))

    def counted(self) -> int:
        """Returns how many proxies the origin knows; 0 while it does not know all of its relays."""
        reports = self.status(ORIGIN)
        return sum(one["proxies"] for one in reports["zones"]) if reports.get("settled") else 0

    def state(self) -> dict[str, Any]:
        """Returns the counts of positions, parents and stale ones of all simulated proxies."""
        reports = [process.execute("state") for process in self.simulated]
        return {
            "in_force": summed(one["in_force"] for one in reports),
            "parents": summed(one["parents"] for one in reports),
            "stale": sum(one["stale"] for one in reports),
        }

    def all_at(self, position: Position) -> bool:
        """Returns True if every proxy has applied that position or a later one."""
        in_force = self.state()["in_force"]
        if sum(in_force.values()) < self.proxies:
            return False
        whole = [self.status(name).get("in_force", "0.0") for name in self.real]
        return all(config.to_position(one) >= position for one in [*in_force, *whole])

    def moved(self, parent: str, since: float) -> tuple[int, float | None]:
        """Returns how many simulated proxies have left a parent since then, and when the last one did."""
        reports = [process.execute("moved", parent, since) for process in self.simulated]
        moments = [one["last"] for one in reports if one["last"] is not None]
        return sum(one["count"] for one in reports), max(moments, default=None)

    def usage(self) -> dict[str, Usage]:
        """Returns what each process has used so far."""
        named = self.processes | {f"hollow{at:02d}": process for at, process in enumerate(self.simulated)}
        return {name: process.usage() for name, process in named.items()}

    def logged(self) -> list[LoggedEvent]:
        """Returns what control machines and real proxies have logged of distribution."""
        return read_logs(self.folder, [*self.controls, *self.real], "distribution")

    def until(self, true: Callable[[], bool], what: str, limit: float = 60.0) -> float:
        """Waits until it is true; returns the seconds. Raises ``RuntimeError``, naming it, at the limit."""
        began = time.monotonic()
        while not true():
            if time.monotonic() - began > limit:
                raise RuntimeError(f"{what}: not within {limit:g} s")
            time.sleep(CHECK_INTERVAL_S)
        return time.monotonic() - began

    def _watch_memory(self) -> None:
        own = psutil.Process()
        while True:
            total = own.memory_info().rss
            processes = self.all()
            for process in processes:
                with suppress(psutil.Error):  # it has ended meanwhile
                    total += psutil.Process(process.popen.pid).memory_info().rss
            self.peak = max(self.peak, total)
            if self._stopping.wait(
                MEMORY_CHECK_INTERVAL_S + MEMORY_CHECK_INTERVAL_PER_PROCESS_S * len(processes)
            ):
                return


def summed(counts: Iterable[Mapping[str, int]]) -> Counter[str]:
    """Returns the sum of counts."""
    total: Counter[str] = Counter()
    for one in counts:
        total.update(one)
    return total
