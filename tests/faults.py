"""Runs ``ironmill`` with random faults of system calls and clocks, as Linux documents them, drawn by a seed.

The command is ``python -m tests.faults PLAN serve --config=FILE``, where PLAN is a ``FaultPlan`` as JSON. It
replaces functions of the standard library before it imports the program, which therefore runs unchanged.
"""

from __future__ import annotations

import builtins
import errno
import json
import os
import random
import select
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

# Transient errors of accept(2), socket(2) and connect(2).
ACCEPT_ERRORS = ("ENFILE", "ENOBUFS", "ECONNABORTED", "EPROTO", "ENETUNREACH")
SOCKET_ERRORS = ("ENFILE", "EMFILE", "ENOBUFS")
CONNECT_ERRORS = ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS")


@dataclass(frozen=True)
class FaultPlan:
    """Defines which calls of a process fail, and how its clock and its input and output deviate."""

    seed: int = 1
    initial_failures: dict[str, int] = field(
        default_factory=dict
    )  # how many of the first calls fail, by name of the call
    failing_fraction: dict[str, float] = field(
        default_factory=dict
    )  # fraction of the later calls that fail, by name of the call
    delay_s: float = 0.0  # time until ``failing_fraction`` applies and the clock is stepped
    clock_step_s: float = 0.0  # size of the step of the wall clock
    stall_s: float = 0.0  # pause of the process before it sends a request line
    has_short_io: bool = False  # each read and write transfers a random part of the data
    has_read_only_files: bool = False  # only the folder for temporary files is writable

    def launcher(self) -> list[str]:
        """Returns the arguments of the Python interpreter that start a process with these faults."""
        return ["-m", "tests.faults", json.dumps(asdict(self))]


class Faults:
    """Decides for each call whether it fails."""

    def __init__(self, plan: FaultPlan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self._initial_failures = dict(plan.initial_failures)
        self._starts_at = time.monotonic() + plan.delay_s

    def error_of(self, call: str, errors: tuple[str, ...]) -> int:
        """Returns the error number with which this call fails, or 0 if it succeeds."""
        if self._initial_failures.get(call, 0) > 0:
            self._initial_failures[call] -= 1
        elif time.monotonic() < self._starts_at or self.rng.random() >= self.plan.failing_fraction.get(
            call, 0.0
        ):
            return 0
        error_number: int = getattr(errno, self.rng.choice(errors))
        return error_number

    def check(self, call: str, errors: tuple[str, ...]) -> None:
        """Raises ``OSError`` if this call fails."""
        error_number = self.error_of(call, errors)
        if error_number:
            raise OSError(error_number, os.strerror(error_number))


def faulty_socket(faults: Faults) -> type[socket.socket]:
    """Returns the class that replaces ``socket.socket`` and whose calls fail at random."""
    plan = faults.plan

    class FaultySocket(socket.socket):
        def __init__(self, *args: Any, **named: Any) -> None:
            if not named.get("fileno"):
                faults.check("socket", SOCKET_ERRORS)
            super().__init__(*args, **named)

        def accept(self) -> Any:
            faults.check("accept", ACCEPT_ERRORS)
            return super().accept()

        def bind(self, address: Any) -> None:
            faults.check("bind", ("ENOBUFS", "ENOMEM"))
            super().bind(address)

        def listen(self, backlog: int = 128) -> None:
            faults.check("listen", ("ENOBUFS", "ENOMEM"))
            super().listen(backlog)

        def connect_ex(self, address: Any) -> int:
            return faults.error_of("connect", CONNECT_ERRORS) or super().connect_ex(address)

        def recv(self, size: int, flags: int = 0) -> bytes:
            faults.check("recv", ("ENOMEM",))
            return super().recv(
                faults.rng.randint(1, size) if plan.has_short_io and not flags else size, flags
            )

        def send(self, data: Any, flags: int = 0) -> int:
            faults.check("send", ("ENOBUFS", "ENOMEM"))
            if plan.stall_s and bytes(data[:5]) == b"OPEN ":
                time.sleep(plan.stall_s)
            size = faults.rng.randint(1, len(data)) if plan.has_short_io and len(data) else len(data)
            return super().send(data[:size], flags)

    return FaultySocket


def failing(faults: Faults, call: str, errors: tuple[str, ...], real: Callable[..., Any]) -> Any:
    """Returns a wrapper of the function that may fail before it calls the function."""

    def function(*args: Any, **named: Any) -> Any:
        faults.check(call, errors)
        return real(*args, **named)

    return function


# Audit events of the interpreter that report a change of a file. The event "open" does so with certain flags.
CHANGING_EVENTS = frozenset(
    {"os.mkdir", "os.rename", "os.remove", "os.rmdir", "os.truncate", "os.link", "os.symlink", "os.chmod"}
)


def refuse_writes(writable_folder: str) -> None:
    """Makes every change of a file outside the folder fail with EROFS."""

    def check(event: str, arguments: tuple[Any, ...]) -> None:
        changes = event in CHANGING_EVENTS
        if event == "open":
            flags = arguments[2] or 0
            changes = bool(flags & (os.O_WRONLY | os.O_RDWR | os.O_CREAT)) and isinstance(arguments[0], str)
        if changes and not str(arguments[0]).startswith(writable_folder):
            print(f"write refused: {arguments[0]}", file=sys.stderr)
            raise OSError(errno.EROFS, os.strerror(errno.EROFS), str(arguments[0]))

    sys.addaudithook(check)


def install(plan: FaultPlan) -> None:
    """Replaces the functions and classes of the standard library that the plan affects."""
    if plan.has_read_only_files:
        refuse_writes(tempfile.gettempdir())
    faults = Faults(plan)
    module: Any = socket
    module.socketpair = failing(faults, "socketpair", SOCKET_ERRORS, socket.socketpair)
    module.socket = faulty_socket(faults)
    module = select
    module.epoll = failing(faults, "epoll", ("EMFILE", "ENFILE", "ENOMEM"), select.epoll)
    real_open, real_time = builtins.open, time.time
    faulty_open = failing(faults, "open", ("ENFILE", "EMFILE", "ENOMEM"), real_open)

    def open_(file: Any, *args: Any, **named: Any) -> Any:
        return (faulty_open if str(file).endswith(".json") else real_open)(file, *args, **named)

    module = builtins
    module.open = open_
    stepped_at = time.monotonic() + plan.delay_s
    module = time
    module.time = lambda: real_time() + (plan.clock_step_s if time.monotonic() >= stepped_at else 0.0)


if __name__ == "__main__":
    install(FaultPlan(**json.loads(sys.argv[1])))
    from ironmill.cli import main

    sys.exit(main(sys.argv[2:]))
