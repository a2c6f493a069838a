"""Control machines, hollow proxies and whole proxies as processes on loopback, with nothing between them."""

from __future__ import annotations

import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
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
from ironmill_testbed.processes import CommandedProcess, Neighbours, Process, ProxyProcess, Usage, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

ORIGIN = "c00"
KEY = "0f" * 32
LOOK = 0.1
HELD_OFF = 0.05  # seconds between two looks at memory, for each ten processes


class Fleet:
    """``c00`` is the origin, the other ``c`` relays, ``p`` whole proxies, ``q`` such without distribution.

    Hollow proxies are ``h0000`` and on, in the processes ``hollow00`` and on.
    """

    def __init__(self, folder: Path, proxies: int, control: int, hollow_processes: int, real: int) -> None:
        self.folder = folder
        self.proxies = proxies
        self.controls = [f"c{at:02d}" for at in range(control)]
        self.real = [f"p{at:02d}" for at in range(real)]
        self.plain = [f"q{at:02d}" for at in range(real)]
        self.processes: dict[str, Process] = {}
        self.hollow: list[CommandedProcess] = []
        self.peak = 0  # bytes resident, all processes together and this one
        self._shares = [proxies * at // hollow_processes for at in range(hollow_processes + 1)]
        names = [*self.controls, *self.real, *self.plain]
        self._homes = {name: ("127.0.0.1", free_port()) for name in names}
        self.staff = {name: ("127.0.0.1", free_port()) for name in names}
        self.clients = {name: ("127.0.0.1", free_port()) for name in [*self.real, *self.plain]}
        self._stack = ExitStack()
        self._paused: set[str] = set()
        self._looking = threading.Event()
        self._looker = threading.Thread(target=self._look_at_memory, daemon=True)

    def __enter__(self) -> Self:
        try:
            (self.folder / "members.keys").write_text(KEY + "\n")
            self.neighbours = self._stack.enter_context(Neighbours(self.folder, 2))
            for name in self.controls:
                self._write(name, "origin" if name == ORIGIN else "relay")
            for name in self.real:
                self._write(name, "subscriber")
            self._write("hollow", "subscriber")
            self._write("plain", "")
            self._looker.start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._looking.set()
        if self._looker.is_alive():
            self._looker.join()
        for name in list(self._paused):
            self.resume(name)
        for process in self.all():  # all at once first, for each takes its time to end
            if process.popen.poll() is None:
                process.popen.kill()
        self._stack.close()

    # Files

    def _write(self, name: str, role: str) -> None:
        lines = ['<ironmill xmlns="urn:ironmill:settings:1">', '<log form="json"/>']
        if role:
            at = int(name[1:]) if name in self._homes else 0
            listen = self._homes.get(name, ("127.0.0.1", 9))  # each hollow proxy has one of its own
            store = ' store="store"' if role == "origin" else ""
            lines += [
                f'<distribution cluster="fleet" listen="{format_address(listen)}" keys="members.keys" '
                f'zone="{zone(at)}" region="{region(at)}" role="{role}"{store}>',
                *(
                    f'<control name="{one}" address="{format_address(self._homes[one])}" '
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
        """Start these control machines and whole proxies."""
        for name in names:
            self.processes[name] = self._stack.enter_context(self._process(name))

    def start_hollow(self) -> None:
        """Start all hollow proxies."""
        settings = f"--settings={self.folder / 'hollow.xml'}"
        for at, (first, after) in enumerate(zip(self._shares, self._shares[1:], strict=False)):
            numbers = [f"--first={first}", f"--proxies={after - first}"]
            words = ["-m", "ironmill_testbed", "hollow", settings, *numbers]
            process = CommandedProcess(words, self.folder, f"hollow{at:02d}")
            self.hollow.append(self._stack.enter_context(process))

    def _process(self, name: str) -> Process:
        if name in self.controls:
            settings = f"--settings={self.folder / f'{name}.xml'}"
            words = [
                "-m",
                "ironmill",
                "control",
                name,
                settings,
                f"--staff={format_address(self.staff[name])}",
            ]
            return Process(words, self.folder, name)
        settings = f"--settings={self.folder / ('plain.xml' if name in self.plain else f'{name}.xml')}"
        value = proxy_config(
            name, self.clients[name], self.neighbours.discovery, 1024, platform_settings(len(self.real))
        )
        value["control"] = format_address(self.staff[name])
        return ProxyProcess(write_config(self.folder, value), self.folder, more=[settings])

    def all(self) -> list[Process]:
        """All processes there are."""
        return [*list(self.processes.values()), *self.hollow]

    def wait_ready(self, *names: str) -> None:
        """Wait until these whole proxies answer."""
        for name in names:
            process = self.processes[name]
            assert isinstance(process, ProxyProcess)
            process.wait_ready()

    def kill(self, name: str) -> float:
        """End it without a word; when."""
        process = self.processes.pop(name)
        at = time.monotonic()
        process.end(signal.SIGKILL)
        return at

    def end(self, name: str) -> int:
        """End it in an orderly way; its exit status."""
        return self.processes.pop(name).end()

    def pause(self, name: str) -> float:
        """SIGSTOP; when."""
        self._paused.add(name)
        self.processes[name].popen.send_signal(signal.SIGSTOP)
        return time.monotonic()

    def resume(self, name: str) -> float:
        """SIGCONT; when."""
        self._paused.discard(name)
        if name in self.processes:
            self.processes[name].popen.send_signal(signal.SIGCONT)
        return time.monotonic()

    # What is seen

    def status(self, name: str) -> dict[str, Any]:
        """What it tells of distribution; empty where it does not answer."""
        try:
            return config.fetch_status(self.staff[name])
        except config.ConfigError:
            return {}

    def push(self, changes: dict[str, str | None]) -> Position:
        """One more revision by the origin's staff call; its position. ConfigError where it is not taken."""
        return config.push(self.staff[ORIGIN], changes, config.Authorship("fleet"))

    def counted(self) -> int:
        """The proxies that the origin knows of, 0 while it does not know all of its relays."""
        told = self.status(ORIGIN)
        return sum(one["proxies"] for one in told["zones"]) if told.get("settled") else 0

    def state(self) -> dict[str, Any]:
        """Of all hollow proxies: what is in force, by count; parents, by count; how many are stale."""
        told = [process.ask("state") for process in self.hollow]
        return {
            "in_force": summed(one["in_force"] for one in told),
            "parents": summed(one["parents"] for one in told),
            "stale": sum(one["stale"] for one in told),
        }

    def all_at(self, position: Position) -> bool:
        """True if that, or something newer, is in force at every hollow and every whole proxy."""
        in_force = self.state()["in_force"]
        if sum(in_force.values()) < self.proxies:
            return False
        whole = [self.status(name).get("in_force", "0.0") for name in self.real]
        return all(config.to_position(one) >= position for one in [*in_force, *whole])

    def moved(self, parent: str, since: float) -> tuple[int, float | None]:
        """How many hollow proxies have left that parent for another since then, and when the last one has."""
        told = [process.ask("moved", parent, since) for process in self.hollow]
        moments = [one["last"] for one in told if one["last"] is not None]
        return sum(one["count"] for one in told), max(moments, default=None)

    def usage(self) -> dict[str, Usage]:
        """What each process has used so far."""
        named = self.processes | {f"hollow{at:02d}": process for at, process in enumerate(self.hollow)}
        return {name: process.usage() for name, process in named.items()}

    def seen(self) -> list[LoggedEvent]:
        """What control machines and whole proxies have logged of distribution."""
        return read_logs(self.folder, [*self.controls, *self.real], "distribution")

    def until(self, true: Callable[[], bool], what: str, limit: float = 60.0) -> float:
        """Wait until it is true; the seconds that took. RuntimeError, which names it, if not in time."""
        began = time.monotonic()
        while not true():
            if time.monotonic() - began > limit:
                raise RuntimeError(f"{what}: not within {limit:g} s")
            time.sleep(LOOK)
        return time.monotonic() - began

    def _look_at_memory(self) -> None:
        own = psutil.Process()
        while True:
            total = own.memory_info().rss
            processes = self.all()
            for process in processes:
                with suppress(psutil.Error):  # it has ended meanwhile
                    total += psutil.Process(process.popen.pid).memory_info().rss
            self.peak = max(self.peak, total)
            if self._looking.wait(0.2 + HELD_OFF * len(processes) / 10.0):
                return


def summed(counts: Any) -> Counter[str]:
    """All of these counts together."""
    total: Counter[str] = Counter()
    for one in counts:
        total.update(one)
    return total
