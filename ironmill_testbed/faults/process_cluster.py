"""Proxies as real processes that are members of one cluster, connected by a switch."""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Self

from ironmill.commands import members
from ironmill.membership.identity import Address, format_address
from ironmill_testbed.faults.checker import LoggedEvent, read_logs
from ironmill_testbed.faults.schedule import Fault, Links
from ironmill_testbed.faults.switch import Switch
from ironmill_testbed.processes import Dependencies, Process, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

SEED_MEMBERS = 2
ZONES = 3
POLL_INTERVAL_S = 0.05
DEFAULT_WAIT_LIMIT_S = 60.0
KEY = "0f" * 32
CLUSTER = "testbed"


class ProcessCluster:
    """A cluster of processes with names, which tests evaluate by their logs."""

    def __init__(
        self,
        folder: Path,
        count: int,
        hosts: int = 2,
        *,
        membership: bool = True,
        names: Sequence[str] | None = None,
    ) -> None:
        """Creates the cluster without starting it; its files are written to ``folder``.

        The processes are ``m00`` and so on, ``count`` of them, unless ``names`` lists them.
        """
        self.folder = folder
        self.names = [f"m{index:02d}" for index in range(count)] if names is None else list(names)
        self.switch = Switch(self.names)
        self.processes: dict[str, Process] = {}
        self.admin_addresses: dict[str, Address] = {}
        self.client_addresses: dict[str, Address] = {}
        self.member_addresses = {name: ("127.0.0.1", free_port()) for name in self.names}
        self._stack = ExitStack()
        self._hosts = hosts
        self._membership = membership
        self._paused: set[str] = set()
        (folder / "members.keys").write_text(KEY + "\n")

    def __enter__(self) -> Self:
        """Starts the emulated dependencies and the switch, and writes the settings of all processes."""
        self.dependencies = self._stack.enter_context(Dependencies(self.folder, self._hosts))
        for name in self.names:
            self.switch.set_address(name, self.member_addresses[name])
            self.admin_addresses[name] = ("127.0.0.1", free_port())
            self.client_addresses[name] = ("127.0.0.1", free_port())
            self._write(name)
        self.switch.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Ends all processes, paused ones included."""
        for name in list(self._paused):
            self.resume(name)
        self._stack.close()
        self.switch.stop()

    def _write_config(self, name: str, proxies: int) -> None:
        settings = platform_settings(proxies)
        address = self.client_addresses[name]
        config = proxy_config(name, address, self.dependencies.discovery, 1024, settings)
        config["control"] = format_address(self.admin_addresses[name])
        write_config(self.folder, config)

    def _write(self, name: str) -> None:
        self._write_config(name, len(self.names))
        lines = ['<ironmill xmlns="urn:ironmill:settings:1">', '<log form="json"/>']
        if self._membership:
            lines += self._membership_element(name)
        (self.folder / f"{name}.xml").write_text("\n".join([*lines, "</ironmill>"]))

    def _membership_element(self, name: str) -> list[str]:
        own_address = self.member_addresses[name]
        seeds = [
            own_address if seed == name else self.switch.address_for(name, seed)
            for seed in self.names[:SEED_MEMBERS]
        ]
        zone = f"z{self.names.index(name) % ZONES}"
        return [
            f'<membership cluster="{CLUSTER}" listen="{format_address(own_address)}" keys="members.keys"'
            f' zone="{zone}" region="r">',
            *(f'<seed address="{format_address(seed)}"/>' for seed in seeds),
            *(
                f'<peer name="{other}" address="{format_address(self.switch.address_for(name, other))}"/>'
                for other in self.names
                if other != name
            ),
            "</membership>",
        ]

    # Processes

    def proxy(self, name: str) -> ProxyProcess:
        """Returns the process of a proxy."""
        process = self.processes[name]
        assert isinstance(process, ProxyProcess)
        return process

    def start(self, *names: str) -> None:
        """Starts the named processes, by default all."""
        for name in names or self.names:
            self.processes[name] = self._stack.enter_context(self._process(name))

    def _process(self, name: str) -> Process:
        serve_options = [f"--settings={self.folder / f'{name}.xml'}"]
        return ProxyProcess(self.folder / f"{name}.json", self.folder, options=serve_options)

    def kill(self, *names: str) -> float:
        """Kills processes with SIGKILL; returns the monotonic time before that."""
        killed_at = time.monotonic()
        for name in names:
            self.processes[name].popen.kill()
            self.processes.pop(name).popen.wait()
        return killed_at

    def shut_down(self, name: str) -> int:
        """Shuts a process down gracefully; returns its exit status."""
        return self.processes.pop(name).end()

    def pause(self, name: str) -> float:
        """Sends SIGSTOP to a process; returns the monotonic time after that."""
        self._paused.add(name)
        os.kill(self.processes[name].popen.pid, signal.SIGSTOP)
        return time.monotonic()

    def resume(self, name: str) -> float:
        """Sends SIGCONT to a process, if it runs; returns the monotonic time after that."""
        self._paused.discard(name)
        if name in self.processes:
            os.kill(self.processes[name].popen.pid, signal.SIGCONT)
        return time.monotonic()

    def inject(self, faults: Sequence[Fault], seed: int = 1) -> float:
        """Replaces the faults of links; returns the monotonic time at which their schedule starts."""
        self.switch.inject(Links(list(faults), seed))
        return self.switch.schedule_start

    # Observations

    def fetch_view(self, name: str) -> members.ViewReport | None:
        """Returns the view of a process, or None if it cannot be fetched."""
        try:
            return members.fetch_view(*self.admin_addresses[name])
        except members.MembersError:
            return None

    def member_names(self, name: str) -> tuple[str, ...]:
        """Returns the names of the members in the view of a process."""
        report = self.fetch_view(name)
        return () if report is None else tuple(member.name for member in report.members)

    def agree(self, names: Sequence[str], on: Sequence[str] | None = None) -> bool:
        """Returns True if the view of each named process is exactly ``on``, by default the named ones."""
        expected = tuple(sorted(names if on is None else on))
        return all(self.member_names(name) == expected for name in names)

    def wait_until(self, condition: Callable[[], bool], limit_s: float = DEFAULT_WAIT_LIMIT_S) -> float:
        """Waits until a condition is true; returns the seconds. Raises ``RuntimeError`` after ``limit_s``."""
        start = time.monotonic()
        while not condition():
            if time.monotonic() - start > limit_s:
                views = {name: self.member_names(name) for name in self.processes}
                raise RuntimeError(f"the condition is not true after {limit_s:g} s; views: {views}")
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start

    def logged_events(self) -> list[LoggedEvent]:
        """Returns the membership events that the processes have logged so far."""
        return read_logs(self.folder, self.names)
