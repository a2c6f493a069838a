"""Runs ``ironmill`` with system calls and clocks that fail as Linux documents, seeded.

``python -m tests.faults PLAN serve --config=FILE``, where PLAN is a ``FaultPlan`` as JSON. Functions of the
standard library are replaced before the program is imported, which needs no change for it.
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
    """Which calls fail, and how the clock and the input and output of a process deviate."""

    seed: int = 1
    initial_failures: dict[str, int] = field(default_factory=dict)  # the first calls, by name
    failing_fraction: dict[str, float] = field(default_factory=dict)  # of later calls, by name
    delay_s: float = 0.0  # from the start to ``failing_fraction`` and the step of the clock
    clock_step_s: float = 0.0  # of the wall clock
    stall_s: float = 0.0  # for which the process is suspended before it sends a request line
    has_short_io: bool = False  # reads and writes transfer a random part
    has_read_only_files: bool = False  # a file can be written in the folder for temporary files alone

    def launcher(self) -> list[str]:
        """Returns the interpreter's arguments for a process with these faults."""
        return ["-m", "tests.faults", json.dumps(asdict(self))]


class Faults:
    """Decides for each call whether it fails."""

    def __init__(self, plan: FaultPlan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self._initial_failures = dict(plan.initial_failures)
        self._starts_at = time.monotonic() + plan.delay_s

    def error_of(self, call: str, errors: tuple[str, ...]) -> int:
        """Returns the error number of this call, 0 if it does not fail."""
        if self._initial_failures.get(call, 0) > 0:
            self._initial_failures[call] -= 1
        elif time.monotonic() < self._starts_at or self.rng.random() >= self.plan.failing_fraction.get(
            call, 0.0
        ):
            return 0
        code: int = getattr(errno, self.rng.choice(errors))
        return code

    def check(self, call: str, errors: tuple[str, ...]) -> None:
        """Raises ``OSError`` if this call fails."""
        code = self.error_of(call, errors)
        if code:
            raise OSError(code, os.strerror(code))


def faulty_socket(faults: Faults) -> type[socket.socket]:
    """Returns the class that replaces ``socket.socket``."""
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
    """Returns the function wrapped so that it may fail before it does anything."""

    def function(*args: Any, **named: Any) -> Any:
        faults.check(call, errors)
        return real(*args, **named)

    return function


# Audit events of the interpreter at which files are changed; that of open depends on its flags.
CHANGING_EVENTS = frozenset(
    {"os.mkdir", "os.rename", "os.remove", "os.rmdir", "os.truncate", "os.link", "os.symlink", "os.chmod"}
)


def refuse_writes(writable: str) -> None:
    """Makes all changes of files outside of a folder fail with EROFS."""

    def check(event: str, arguments: tuple[Any, ...]) -> None:
        changes = event in CHANGING_EVENTS
        if event == "open":
            flags = arguments[2] or 0
            changes = bool(flags & (os.O_WRONLY | os.O_RDWR | os.O_CREAT)) and isinstance(arguments[0], str)
        if changes and not str(arguments[0]).startswith(writable):
            print(f"write refused: {arguments[0]}", file=sys.stderr)
            raise OSError(errno.EROFS, os.strerror(errno.EROFS), str(arguments[0]))

    sys.addaudithook(check)


def install(plan: FaultPlan) -> None:
    """Replaces the functions and classes that may fail."""
    if plan.has_read_only_files:
        refuse_writes(tempfile.gettempdir())
    faults = Faults(plan)
    replaced: Any = socket
    replaced.socketpair = failing(faults, "socketpair", SOCKET_ERRORS, socket.socketpair)
    replaced.socket = faulty_socket(faults)
    replaced = select
    replaced.epoll = failing(faults, "epoll", ("EMFILE", "ENFILE", "ENOMEM"), select.epoll)
    real_open, real_time = builtins.open, time.time
    faulty_open = failing(faults, "open", ("ENFILE", "EMFILE", "ENOMEM"), real_open)

    def open_(file: Any, *args: Any, **named: Any) -> Any:
        return (faulty_open if str(file).endswith(".json") else real_open)(file, *args, **named)

    replaced = builtins
    replaced.open = open_
    stepped_at = time.monotonic() + plan.delay_s
    replaced = time
    replaced.time = lambda: real_time() + (plan.clock_step_s if time.monotonic() >= stepped_at else 0.0)


if __name__ == "__main__":
    install(FaultPlan(**json.loads(sys.argv[1])))
    from ironmill.cli import main

    sys.exit(main(sys.argv[2:]))
