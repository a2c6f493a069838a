"""A fleet of real processes on loopback: control machines, simulated proxies and real proxies."""

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
MEMORY_CHECK_INTERVAL_PER_PROCESS_S = 0.005  # added to the interval for each checked process


class SocketFleet:
    """A fleet of control machines, simulated proxies and real proxies.

    ``c00`` is the origin, ``c01`` and so on are relays, ``p00`` and so on are real proxies, and ``q00`` and
    so on are real proxies without distribution. Simulated proxies are ``h0000`` and so on, in the processes
    ``hollow00`` and so on.
    """

    def __init__(self, folder: Path, proxies: int, control: int, simulated_processes: int, real: int) -> None:
        """Creates the fleet without starting it.

        ``proxies`` is the number of simulated proxies, and ``control`` that of control machines. ``real`` is
        the number of real proxies with distribution, and also of those without it.
        """
        self.folder = folder
        self.proxies = proxies
        self.controls = [f"c{index:02d}" for index in range(control)]
        self.real_proxies = [f"p{index:02d}" for index in range(real)]
        self.plain_proxies = [f"q{index:02d}" for index in range(real)]
        self.processes: dict[str, Process] = {}
        self.simulated: list[CommandedProcess] = []
        self.peak_resident_bytes = 0  # highest resident bytes of all processes and this one together
        # Number of the first simulated proxy of each process, and at the end the number of all.
        self._boundaries = [
            proxies * index // simulated_processes for index in range(simulated_processes + 1)
        ]
        names = [*self.controls, *self.real_proxies, *self.plain_proxies]
        self._addresses = {name: ("127.0.0.1", free_port()) for name in names}
        self.admin_addresses = {name: ("127.0.0.1", free_port()) for name in names}
        self.client_addresses = {
            name: ("127.0.0.1", free_port()) for name in [*self.real_proxies, *self.plain_proxies]
        }
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
            for name in self.real_proxies:
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
        for process in self.all_processes():  # all before any is waited for, as each takes some time to end
            if process.popen.poll() is None:
                process.popen.kill()
        self._stack.close()

    # Files

    def _write(self, name: str, role: str) -> None:
        lines = ['<ironmill xmlns="urn:ironmill:settings:1">', '<log form="json"/>']
        if role:
            number = int(name[1:]) if name in self._addresses else 0
            listen = self._addresses.get(name, ("127.0.0.1", 9))  # simulated proxies bind free ports
            store = ' store="store"' if role == "origin" else ""
            lines += [
                f'<distribution cluster="fleet" listen="{format_address(listen)}" keys="members.keys" '
                f'zone="{zone(number)}" region="{region(number)}" role="{role}"{store}>',
                *(
                    f'<control name="{other}" address="{format_address(self._addresses[other])}" '
                    f'zone="{zone(index)}" region="{region(index)}"{self._origin_attribute(other)}/>'
                    for index, other in enumerate(self.controls)
                    if other != name
                ),
                "</distribution>",
            ]
        (self.folder / f"{name}.xml").write_text("\n".join([*lines, "</ironmill>"]))

    @staticmethod
    def _origin_attribute(name: str) -> str:
        return ' origin="true"' if name == ORIGIN else ""

    # Processes

    def start(self, *names: str) -> None:
        """Starts control machines and real proxies."""
        for name in names:
            self.processes[name] = self._stack.enter_context(self._process(name))

    def start_simulated(self) -> None:
        """Starts the processes of all simulated proxies."""
        settings = f"--settings={self.folder / 'simulated.xml'}"
        for index, (first, end) in enumerate(zip(self._boundaries, self._boundaries[1:], strict=False)):
            numbers = [f"--first={first}", f"--proxies={end - first}"]
            arguments = ["-m", "ironmill_testbed", "hollow", settings, *numbers]
            process = CommandedProcess(arguments, self.folder, f"hollow{index:02d}")
            self.simulated.append(self._stack.enter_context(process))

    def _process(self, name: str) -> Process:
        if name in self.controls:
            return start_control_machine(name, self.folder, self.admin_addresses[name])
        settings = (
            f"--settings={self.folder / ('plain.xml' if name in self.plain_proxies else f'{name}.xml')}"
        )
        config_object = proxy_config(
            name,
            self.client_addresses[name],
            self.dependencies.discovery,
            1024,
            platform_settings(len(self.real_proxies)),
        )
        config_object["control"] = format_address(self.admin_addresses[name])
        return ProxyProcess(write_config(self.folder, config_object), self.folder, options=[settings])

    def all_processes(self) -> list[Process]:
        """Returns all running processes."""
        return [*list(self.processes.values()), *self.simulated]

    def wait_ready(self, *names: str) -> None:
        """Waits until these real proxies are ready."""
        for name in names:
            process = self.processes[name]
            assert isinstance(process, ProxyProcess)
            process.wait_ready()

    def kill(self, name: str) -> float:
        """Kills a process with SIGKILL; returns the monotonic time before that."""
        process = self.processes.pop(name)
        killed_at = time.monotonic()
        process.end(signal.SIGKILL)
        return killed_at

    def end(self, name: str) -> int:
        """Shuts a process down gracefully; returns its exit status."""
        return self.processes.pop(name).end()

    def pause(self, name: str) -> float:
        """Sends SIGSTOP to a process; returns the monotonic time after that."""
        self._paused.add(name)
        self.processes[name].popen.send_signal(signal.SIGSTOP)
        return time.monotonic()

    def resume(self, name: str) -> float:
        """Sends SIGCONT to a process, if it runs; returns the monotonic time after that."""
        self._paused.discard(name)
        if name in self.processes:
            self.processes[name].popen.send_signal(signal.SIGCONT)
        return time.monotonic()

    # Observation

    def status(self, name: str) -> dict[str, Any]:
        """Returns a node's distribution status; empty if the node does not respond."""
        try:
            return config.fetch_status(self.admin_addresses[name])
        except config.ConfigError:
            return {}

    def push(self, changes: dict[str, str | None]) -> Position:
        """Pushes a revision to the origin's admin API. Raises ``ConfigError`` if it is not accepted."""
        return config.push(self.admin_addresses[ORIGIN], changes, config.Authorship("fleet"))

    def counted_proxies(self) -> int:
        """Returns the number of proxies that the origin knows; 0 until it knows all of its relays."""
        status = self.status(ORIGIN)
        return sum(zone_status["proxies"] for zone_status in status["zones"]) if status.get("settled") else 0

    def state(self) -> dict[str, Any]:
        """Returns the number of simulated proxies by applied position and by parent, and of stale ones."""
        reports = [process.execute("state") for process in self.simulated]
        return {
            "in_force": summed(report["in_force"] for report in reports),
            "parents": summed(report["parents"] for report in reports),
            "stale": sum(report["stale"] for report in reports),
        }

    def all_at(self, position: Position) -> bool:
        """Returns True if every simulated and real proxy has applied this position or a later one."""
        in_force = self.state()["in_force"]
        if sum(in_force.values()) < self.proxies:
            return False
        at_real_proxies = [self.status(name).get("in_force", "0.0") for name in self.real_proxies]
        return all(config.to_position(text) >= position for text in [*in_force, *at_real_proxies])

    def moved(self, parent: str, since: float) -> tuple[int, float | None]:
        """Returns how many simulated proxies have left a parent since a time, and the last such time."""
        reports = [process.execute("moved", parent, since) for process in self.simulated]
        last_times = [report["last"] for report in reports if report["last"] is not None]
        return sum(report["count"] for report in reports), max(last_times, default=None)

    def usage(self) -> dict[str, Usage]:
        """Returns the resources that each process has used so far, by its name."""
        by_name = self.processes | {
            f"hollow{index:02d}": process for index, process in enumerate(self.simulated)
        }
        return {name: process.usage() for name, process in by_name.items()}

    def logged_events(self) -> list[LoggedEvent]:
        """Returns the distribution events that control machines and real proxies have logged."""
        return read_logs(self.folder, [*self.controls, *self.real_proxies], "distribution")

    def wait_until(self, condition: Callable[[], bool], description: str, limit_s: float = 60.0) -> float:
        """Waits until a condition is true; returns the seconds. Raises ``RuntimeError`` after ``limit_s``."""
        start = time.monotonic()
        while not condition():
            if time.monotonic() - start > limit_s:
                raise RuntimeError(f"{description}: not true after {limit_s:g} s")
            time.sleep(CHECK_INTERVAL_S)
        return time.monotonic() - start

    def _watch_memory(self) -> None:
        own_process = psutil.Process()
        while True:
            total = own_process.memory_info().rss
            processes = self.all_processes()
            for process in processes:
                with suppress(psutil.Error):  # the process has ended in the meantime
                    total += psutil.Process(process.popen.pid).memory_info().rss
            self.peak_resident_bytes = max(self.peak_resident_bytes, total)
            if self._stopping.wait(
                MEMORY_CHECK_INTERVAL_S + MEMORY_CHECK_INTERVAL_PER_PROCESS_S * len(processes)
            ):
                return


def summed(counts: Iterable[Mapping[str, int]]) -> Counter[str]:
    """Returns the sum of several counts, key by key."""
    total: Counter[str] = Counter()
    for count in counts:
        total.update(count)
    return total
