"""Child processes on loopback: emulated dependencies, proxies and control machines."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import msgspec
import orjson
import psutil

from ironmill.errors import IronmillError
from ironmill.membership.identity import Address, format_address
from ironmill_testbed.dependency_status import AttemptHistory, DependenciesStatus, ServerStatus

READY_TIMEOUT_S = 30.0
READY_CHECK_INTERVAL_S = 0.02
CONNECT_TIMEOUT_S = 1.0
EXIT_TIMEOUT_S = 10.0
LOG_EXCERPT_LENGTH = 500  # length in characters of the end of a log in an error message
PORTS = (10240, 32768)  # first port and end of the range, below the ephemeral ports of Linux
MAX_PORT_ATTEMPTS = 1000

_reserved_ports: set[int] = set()


class ProcessFailedError(IronmillError, RuntimeError):
    """A child process has ended or was not ready in time."""

    def __init__(self, process: Process, problem: str) -> None:
        """The text is the name of the process, then ``problem`` (such as "has ended"), then the log's end."""
        excerpt = process.log.read_text()[-LOG_EXCERPT_LENGTH:]
        super().__init__(f"{process.log.stem} {problem}: {excerpt}")


class NoFreePortError(IronmillError, RuntimeError):
    """No free port was found in the range."""


@dataclass(frozen=True, slots=True)
class Usage:
    """The resources that a process has used so far."""

    cpu_s: float
    system_s: float  # part of ``cpu_s`` in the kernel; the resolution is 10 ms
    resident_bytes: int


class Process:
    """A child process, which is killed at the end of a ``with`` block."""

    def __init__(
        self,
        arguments: list[str],
        folder: Path,
        name: str,
        env: dict[str, str] | None = None,
        program: Path | None = None,
    ) -> None:
        """Starts a Python interpreter with these arguments; standard error is written to ``folder/name.log``.

        ``program`` is the folder of another checkout, which is run instead of this one.
        """
        self.log = folder / f"{name}.log"
        environment = dict(os.environ) | (env or {})
        if program is not None:
            environment["PYTHONPATH"] = str(program)
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                env=environment,
                cwd=program,
            )
        self._ps = psutil.Process(self.popen.pid)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.end(signal.SIGKILL)

    def usage(self) -> Usage:
        """Returns the resources that the process has used so far."""
        times = self._ps.cpu_times()
        try:
            # In nanoseconds; ``cpu_times`` is too coarse to measure a few thousand lines.
            cpu_s = int(Path(f"/proc/{self.popen.pid}/schedstat").read_text().split()[0]) / 1e9
        except (OSError, IndexError):
            cpu_s = times.user + times.system
        return Usage(cpu_s, times.system, self._ps.memory_info().rss)

    def end(self, number: int = signal.SIGTERM) -> int:
        """Sends a signal and returns the exit status. Kills the process after ``EXIT_TIMEOUT_S``."""
        for pipe in (self.popen.stdin, self.popen.stdout):
            if pipe is not None:
                with suppress(BrokenPipeError):  # raised if the process has ended with unread input
                    pipe.close()
        if self.popen.poll() is None:
            self.popen.send_signal(number)
        try:
            return self.popen.wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


class CommandedProcess(Process):
    """A process of the testbed that executes commands with ``emulate.answer_commands``."""

    def execute(self, command: str, *args: object) -> Any:
        """Executes a command and returns its response. Raises ``ProcessFailedError`` if the process ended."""
        assert self.popen.stdin is not None
        assert self.popen.stdout is not None
        try:
            self.popen.stdin.write(orjson.dumps([command, *args]) + b"\n")
            self.popen.stdin.flush()
            line = self.popen.stdout.readline()
        except BrokenPipeError:
            line = b""
        if not line:
            raise ProcessFailedError(self, "has ended")
        return orjson.loads(line)


class Dependencies(CommandedProcess):
    """The process of the emulated servers and discovery (``ironmill_testbed.emulate``)."""

    def __init__(self, folder: Path, server_count: int) -> None:
        """Starts ``server_count`` servers, ``s-0`` and so on, and waits until all of them listen."""
        arguments = ["-m", "ironmill_testbed", "emulate", f"--hosts={server_count}"]
        super().__init__(arguments, folder, "dependencies")
        self.discovery: Address = self.status().discovery

    def status(self) -> DependenciesStatus:
        """Returns counters of discovery and of all servers."""
        return msgspec.convert(self.execute("status"), DependenciesStatus)

    def attempts(self) -> AttemptHistory:
        """Returns the attempts that the servers have received."""
        return msgspec.convert(self.execute("attempts"), AttemptHistory)

    def add(self, server_id: str, boot: float) -> None:
        """Starts another server. ``boot`` is its start time as Unix time in seconds."""
        self.execute("add", server_id, boot)

    def drain(self, server_id: str, delay_s: float = 2.0, duration_s: float = 2.0) -> ServerStatus:
        """Announces the drain of a server, and returns the server's status at that time.

        After the delay, the connections are migrated evenly over the duration, and the server is removed.
        """
        return msgspec.convert(self.execute("drain", server_id, delay_s, duration_s), ServerStatus)

    def crash(self, server_id: str) -> None:
        """Crashes a server and removes it from the endpoint list."""
        self.execute("crash", server_id)

    def set_mode(self, server_id: str, mode: str) -> None:
        """Changes how a server answers request lines. ``mode`` is a value of ``emulated_servers.Mode``."""
        self.execute("set_mode", server_id, mode)


class ProxyProcess(Process):
    """A proxy process, which serves clients once ``wait_ready`` has returned."""

    def __init__(
        self,
        config: Path,
        folder: Path,
        program: Path | None = None,
        options: Sequence[str] = (),
        launcher: Sequence[str] = ("-m", "ironmill"),
    ) -> None:
        """Starts ``serve`` with these options. ``launcher`` is the arguments that precede ``serve``."""
        config_object = orjson.loads(config.read_bytes())
        host, _, port = config_object["listen"].rpartition(":")
        self.address = (host, int(port))
        arguments = [*launcher, "serve", f"--config={config}", *options]
        super().__init__(arguments, folder, config_object["name"], program=program)

    def wait_ready(self) -> None:
        """Waits until the proxy answers PING. Raises ``ProcessFailedError`` if it does not in time."""
        wait_for_answer(self, self.address, b"PING\r\n")


def start_control_machine(name: str, folder: Path, admin_address: Address) -> Process:
    """Starts a control machine with the settings in ``folder/name.xml``."""
    settings = f"--settings={folder / f'{name}.xml'}"
    arguments = ["-m", "ironmill", "control", name, settings, f"--staff={format_address(admin_address)}"]
    return Process(arguments, folder, name)


def wait_for_answer(process: Process, address: Address, probe: bytes) -> None:
    """Waits until a probe is answered at the address. Raises ``ProcessFailedError`` if it is not in time."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline and process.popen.poll() is None:
        try:
            with socket.create_connection(address, CONNECT_TIMEOUT_S) as sock:
                sock.sendall(probe)
                if sock.recv(64):
                    return
        except OSError:
            time.sleep(READY_CHECK_INTERVAL_S)
    raise ProcessFailedError(process, f"is not ready at {format_address(address)}")


def free_port() -> int:
    """Returns a port of 127.0.0.1 that is free for TCP and UDP and was not returned before.

    The port is below the ephemeral range, so the sockets of other processes do not take it before it is bound
    or between a shutdown and a restart. Raises ``NoFreePortError`` if no attempt finds one.
    """
    for _ in range(MAX_PORT_ATTEMPTS):
        port = random.randrange(*PORTS)
        if port in _reserved_ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        _reserved_ports.add(port)
        return port
    raise NoFreePortError(f"no free port in {MAX_PORT_ATTEMPTS} attempts from {PORTS[0]} to {PORTS[1] - 1}")
