"""Processes of a deployment on loopback: emulated neighbours, and proxies as ``ironmill serve`` runs them."""

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

import orjson
import psutil

READY_WAIT = 30.0  # for a process to answer for the first time, seconds
END_WAIT = 10.0
PORTS = (10240, 32768)  # below those that Linux hands out by itself
PORT_TRIES = 1000

_given: set[int] = set()


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used so far: CPU in seconds, memory in bytes."""

    cpu: float
    system: float  # the kernel's part; counted in ticks of 10 ms
    resident: int


class Process:
    """One child process; ended for certain at the end of a ``with`` block."""

    def __init__(
        self,
        words: list[str],
        folder: Path,
        name: str,
        env: dict[str, str] | None = None,
        program: Path | None = None,
    ) -> None:
        self.log = folder / f"{name}.log"
        full = dict(os.environ) | (env or {})
        if program is not None:
            full["PYTHONPATH"] = str(program)
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, *words],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                env=full,
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
        """What it has used."""
        times = self._ps.cpu_times()
        try:
            # In nanoseconds; a tick of the other clock is as much as a hundred lines.
            cpu = int(Path(f"/proc/{self.popen.pid}/schedstat").read_text().split()[0]) / 1e9
        except (OSError, IndexError):
            cpu = times.user + times.system
        return Usage(cpu, times.system, self._ps.memory_info().rss)

    def end(self, number: int = signal.SIGTERM) -> int:
        """Signal it and wait for its end; the exit status."""
        for pipe in (self.popen.stdin, self.popen.stdout):
            if pipe is not None:
                with suppress(BrokenPipeError):  # what was written to one that has ended is still there
                    pipe.close()
        if self.popen.poll() is None:
            self.popen.send_signal(number)
        try:
            return self.popen.wait(END_WAIT)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


class CommandedProcess(Process):
    """A process of the laboratory that reads commands (``emulate.answer_commands``)."""

    def ask(self, word: str, *args: object) -> dict[str, Any]:
        """Give a command and wait for the answer. RuntimeError if the process has ended."""
        assert self.popen.stdin is not None
        assert self.popen.stdout is not None
        try:
            self.popen.stdin.write(orjson.dumps([word, *args]) + b"\n")
            self.popen.stdin.flush()
            line = self.popen.stdout.readline()
        except BrokenPipeError:
            line = b""
        if not line:
            raise RuntimeError(f"{self.log.stem} has ended: {self.log.read_text()[-500:]}")
        found: dict[str, Any] = orjson.loads(line)
        return found


class Neighbours(CommandedProcess):
    """The process of ``ironmill_testbed.emulate``; each answer tells what all servers have seen."""

    def __init__(self, folder: Path, hosts: int) -> None:
        super().__init__(["-m", "ironmill_testbed", "emulate", f"--hosts={hosts}"], folder, "neighbours")
        self.discovery: tuple[str, int] = tuple(self.ask("told")["discovery"])


class ProxyProcess(Process):
    """One proxy, started; up once ``wait_ready`` returns."""

    def __init__(
        self,
        config: Path,
        folder: Path,
        program: Path | None = None,
        more: Sequence[str] = (),
        launcher: Sequence[str] = ("-m", "ironmill"),
    ) -> None:
        """``launcher``: the interpreter's words before those of the command line."""
        value = orjson.loads(config.read_bytes())
        host, _, port = value["listen"].rpartition(":")
        self.address = (host, int(port))
        words = [*launcher, "serve", f"--config={config}", *more]
        super().__init__(words, folder, value["name"], program=program)

    def wait_ready(self) -> None:
        """Wait until it answers PING."""
        wait_for_answer(self, self.address, b"PING\r\n")


def wait_for_answer(process: Process, address: tuple[str, int], question: bytes) -> None:
    """Wait until something at the address answers; RuntimeError if the process ends or says nothing."""
    until = time.monotonic() + READY_WAIT
    while time.monotonic() < until and process.popen.poll() is None:
        try:
            with socket.create_connection(address, 1.0) as sock:
                sock.sendall(question)
                if sock.recv(64):
                    return
        except OSError:
            time.sleep(0.02)
    raise RuntimeError(f"not ready: {process.log.read_text()[-500:]}")


def free_port() -> int:
    """A port of 127.0.0.1 that neither TCP nor UDP uses just now, and that was not given before.

    The system hands it to nobody who does not ask for it, so that it is still free a little later, and at a
    restart, however many sockets others open. RuntimeError where none is found.
    """
    for _ in range(PORT_TRIES):
        port = random.randrange(*PORTS)
        if port in _given:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        _given.add(port)
        return port
    raise RuntimeError(f"no free port from {PORTS[0]} to {PORTS[1] - 1}")
