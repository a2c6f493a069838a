"""Tests of signals while a process starts or exits, on real processes of the deploy file's ``run``.

Waits have time limits, but no measured time is checked.
"""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest

from ironmill_testbed.processes import free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

ROOT = Path(__file__).parents[2]
WAIT_S = 30.0
STORM_INTERVAL_S = 0.001


class StartedProcess:
    """A process that a shell command starts."""

    def __init__(self, command: str, config: Path, log: Path) -> None:
        self.log = log
        with self.log.open("wb") as output:
            self.popen = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=os.environ | {"PROXY_CONFIG": str(config)},
                stdout=output,
                stderr=output,
            )

    def has_set(self, field: str, number: int) -> bool:
        """Returns whether a field of the process's status, such as ``SigIgn``, contains the signal."""
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        mask = next(line.split()[1] for line in status.splitlines() if line.startswith(f"{field}:"))
        return bool(int(mask, 16) >> (number - 1) & 1)

    def has_begun(self) -> bool:
        """Returns whether the shell has reached ``exec`` or ignores SIGHUP. Before that, nothing can."""
        executable = Path(f"/proc/{self.popen.pid}/exe").resolve()
        return executable == Path(sys.executable).resolve() or self.has_set("SigIgn", signal.SIGHUP)

    def has_loaded_scheduler(self) -> bool:
        """Returns whether the program is in the middle of loading its modules, or further."""
        return "greenlet" in Path(f"/proc/{self.popen.pid}/maps").read_text()

    def answers(self, address: tuple[str, int]) -> bool:
        """Returns whether ``PING`` is answered with ``PONG``."""
        try:
            with socket.create_connection(address, 1.0) as client:
                client.sendall(b"PING\r\n")
                return client.recv(64) == b"PONG\r\n"
        except OSError:
            return False

    def signal_until(self, numbers: tuple[int, ...], condition: Callable[[], bool]) -> None:
        """Sends the signals again and again until the condition holds or the process has ended."""
        deadline = time.monotonic() + WAIT_S
        while self.popen.poll() is None and not condition():
            assert time.monotonic() < deadline, self.log.read_text()
            for number in numbers:
                self.popen.send_signal(number)
            time.sleep(STORM_INTERVAL_S)


def run_command() -> str:
    """Returns the deploy file's ``run`` with this interpreter in place of the deployed one."""
    run: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return run.replace(".venv/bin/python", sys.executable)


class Setting:
    """A configuration file that names one of two addresses of discovery, which accept and never answer."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.started = 0
        self.listen = ("127.0.0.1", free_port())
        self.old, self.new = (self._listener() for _ in range(2))
        self.path = self.write(self.old)

    def _listener(self) -> socket.socket:
        listener = self.stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        listener.settimeout(WAIT_S)
        return listener

    def write(self, discovery: socket.socket) -> Path:
        """Writes the configuration file whole, as operators do."""
        value = proxy_config("n1", self.listen, discovery.getsockname(), 512, platform_settings())
        (self.folder / "next").mkdir(exist_ok=True)
        path = self.folder / "n1.json"
        write_config(self.folder / "next", value).replace(path)
        return path

    def start(self, command: str | None = None) -> StartedProcess:
        log = self.folder / f"log-{self.started}.txt"
        process = StartedProcess(command or run_command(), self.path, log)
        self.started += 1
        self.stack.callback(process.popen.wait)
        self.stack.callback(process.popen.kill)
        wait_until(process.has_begun)
        return process


@pytest.fixture
def setting(tmp_path: Path) -> Iterator[Setting]:
    with ExitStack() as stack:
        yield Setting(tmp_path, stack)


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(STORM_INTERVAL_S)


@pytest.mark.parametrize("beside_predecessor", [False, True])
def test_sighup_at_any_moment_of_a_start_leaves_the_process_alive(
    setting: Setting, beside_predecessor: bool
) -> None:
    """Guards against a start that SIGHUP ends, as no handler is installed yet."""
    predecessor = setting.start() if beside_predecessor else None
    if predecessor is not None:
        wait_until(lambda: predecessor.answers(setting.listen))
    process = setting.start()
    process.signal_until((signal.SIGHUP,), lambda: "listening on" in process.log.read_text())
    wait_until(lambda: process.popen.poll() is not None or process.answers(setting.listen))
    assert process.popen.poll() is None, process.log.read_text()


@pytest.mark.parametrize("seed", range(12))
def test_sighup_during_a_start_applies_the_newest_configuration(setting: Setting, seed: int) -> None:
    """Guards against a SIGHUP that is ignored although the file was read before it."""
    process = setting.start()
    time.sleep(random.Random(seed).uniform(0.0, 0.3))
    setting.write(setting.new)
    process.popen.send_signal(signal.SIGHUP)
    setting.new.accept()[0].close()
    assert process.popen.poll() is None


@pytest.mark.parametrize("seed", range(3))
def test_sigterm_during_a_start_is_an_ordinary_shutdown(setting: Setting, seed: int) -> None:
    """Guards against a status that looks like a crash, if a process is ended before it serves."""
    process = setting.start()
    wait_until(process.has_loaded_scheduler)
    time.sleep(random.Random(seed).uniform(0.0, 0.1))
    process.popen.send_signal(signal.SIGTERM)
    assert process.popen.wait(WAIT_S) == 0, process.log.read_text()


def test_signals_at_any_moment_of_an_exit_do_not_change_its_status(setting: Setting) -> None:
    """Guards against a signal between the removal of the handlers and the exit."""
    process = setting.start()
    wait_until(lambda: process.answers(setting.listen))
    process.signal_until((signal.SIGTERM, signal.SIGHUP), lambda: False)
    assert process.popen.wait(WAIT_S) == 0, process.log.read_text()


def test_signals_do_not_end_a_control_machine_that_starts_or_exits(setting: Setting) -> None:
    """Guards against a control machine that SIGHUP ends before it has a handler for it."""
    (setting.folder / "members.keys").write_text("0f" * 32 + "\n")
    settings = setting.folder / "c00.xml"
    settings.write_text(
        f'<ironmill xmlns="urn:ironmill:settings:1"><distribution cluster="town" '
        f'listen="127.0.0.1:{free_port()}" keys="members.keys" role="origin" store="store">'
        '<control name="c00" address="127.0.0.1:9" origin="true"/></distribution></ironmill>'
    )
    command = (
        f"{sys.executable} -m ironmill control c00 --settings={settings} --staff=127.0.0.1:{free_port()}"
    )
    process = setting.start(f"trap '' HUP; exec {command}")
    process.signal_until((signal.SIGHUP,), lambda: "started after" in process.log.read_text())
    process.signal_until((signal.SIGTERM, signal.SIGHUP), lambda: False)
    assert process.popen.wait(WAIT_S) == 0, process.log.read_text()
