"""Several processes of ``ironmill serve`` that are members of one cluster, behind a switch."""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from ironmill.commands import members
from ironmill.membership.identity import Address, format_address
from ironmill_testbed.faults.checker import LoggedEvent, read_logs
from ironmill_testbed.faults.schedule import Fault, Links
from ironmill_testbed.faults.switch import Switch
from ironmill_testbed.processes import Neighbours, Process, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

SEEDS = 2
LOOK = 0.05
KEY = "0f" * 32


class ProcessCluster:
    """The processes, by name. Their logs are the story."""

    def __init__(
        self,
        folder: Path,
        count: int,
        hosts: int = 2,
        membership: bool = True,
        names: Sequence[str] | None = None,
    ) -> None:
        self.folder = folder
        self.names = [f"m{at:02d}" for at in range(count)] if names is None else list(names)
        self.switch = Switch(self.names)
        self.processes: dict[str, Process] = {}
        self.controls: dict[str, Address] = {}
        self.clients: dict[str, Address] = {}
        self._homes = {name: ("127.0.0.1", free_port()) for name in self.names}
        self._stack = ExitStack()
        self._hosts = hosts
        self._membership = membership
        self._paused: set[str] = set()
        (folder / "members.keys").write_text(KEY + "\n")

    def __enter__(self) -> Self:
        self.neighbours = self._stack.enter_context(Neighbours(self.folder, self._hosts))
        for name in self.names:
            self.switch.home(name, self._homes[name])
            self.controls[name] = ("127.0.0.1", free_port())
            self.clients[name] = ("127.0.0.1", free_port())
            self._write(name)
        self.switch.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for name in list(self._paused):
            self.resume(name)
        self._stack.close()
        self.switch.stop()

    def _write_config(self, name: str, proxies: int) -> None:
        settings = platform_settings(proxies)
        value = proxy_config(name, self.clients[name], self.neighbours.discovery, 1024, settings)
        value["control"] = format_address(self.controls[name])
        write_config(self.folder, value)

    def _write(self, name: str) -> None:
        self._write_config(name, len(self.names))
        seeds = [
            self._homes[seed] if seed == name else self.switch.door(name, seed) for seed in self.names[:SEEDS]
        ]
        zone = f"z{self.names.index(name) % 3}"
        lines = ['<ironmill xmlns="urn:ironmill:settings:1">', '<log form="json"/>']
        if self._membership:
            lines += [
                f'<membership cluster="town" listen="{format_address(self._homes[name])}" keys="members.keys"'
                f' zone="{zone}" region="r">',
                *(f'<seed address="{format_address(seed)}"/>' for seed in seeds),
                *(
                    f'<peer name="{other}" address="{format_address(self.switch.door(name, other))}"/>'
                    for other in self.names
                    if other != name
                ),
                "</membership>",
            ]
        (self.folder / f"{name}.xml").write_text("\n".join([*lines, "</ironmill>"]))

    # Processes

    def proxy(self, name: str) -> ProxyProcess:
        """One that serves clients."""
        process = self.processes[name]
        assert isinstance(process, ProxyProcess)
        return process

    def start(self, *names: str) -> None:
        """Start these, or all."""
        for name in names or self.names:
            self.processes[name] = self._stack.enter_context(self._process(name))

    def _process(self, name: str) -> Process:
        more = [f"--settings={self.folder / f'{name}.xml'}"]
        return ProxyProcess(self.folder / f"{name}.json", self.folder, more=more)

    def kill(self, *names: str) -> float:
        """End these without a word; when."""
        at = time.monotonic()
        for name in names:
            self.processes[name].popen.kill()
            self.processes.pop(name).popen.wait()
        return at

    def end(self, name: str) -> int:
        """End it in an orderly way; its exit status."""
        return self.processes.pop(name).end()

    def pause(self, name: str) -> float:
        """SIGSTOP; when."""
        self._paused.add(name)
        os.kill(self.processes[name].popen.pid, signal.SIGSTOP)
        return time.monotonic()

    def resume(self, name: str) -> float:
        """SIGCONT; when."""
        self._paused.discard(name)
        if name in self.processes:
            os.kill(self.processes[name].popen.pid, signal.SIGCONT)
        return time.monotonic()

    def play(self, faults: Sequence[Fault], seed: int = 1) -> float:
        """These faults of links, from now on; when."""
        self.switch.play(Links(list(faults), seed))
        return self.switch.began

    # What is seen

    def ask(self, name: str) -> dict[str, Any] | None:
        """What the process tells of its view; None if it does not answer."""
        try:
            return members.ask(*self.controls[name])
        except members.MembersError:
            return None

    def view(self, name: str) -> tuple[str, ...]:
        """Whom it sees."""
        told = self.ask(name)
        return () if told is None else tuple(one["name"] for one in told["members"])

    def agree(self, names: Sequence[str], on: Sequence[str] | None = None) -> bool:
        """True if these all see exactly those, by default themselves."""
        wanted = tuple(sorted(names if on is None else on))
        return all(self.view(name) == wanted for name in names)

    def until(self, true: Callable[[], bool], limit: float = 60.0) -> float:
        """Wait until it is true; the seconds that took. RuntimeError if it does not come true in time."""
        began = time.monotonic()
        while not true():
            if time.monotonic() - began > limit:
                views = {name: self.view(name) for name in self.processes}
                raise RuntimeError(f"it does not come true; views: {views}")
            time.sleep(LOOK)
        return time.monotonic() - began

    def seen(self) -> list[LoggedEvent]:
        """What all have logged so far."""
        return read_logs(self.folder, self.names)
