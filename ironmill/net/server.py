"""The driver of one attempt: connects, asks, and reads what the server sends until the end."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from ironmill.balancing.interface import Outcome
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.server import AttemptEvent, Refused, Relayed, Report, ServerSide, Up
from ironmill.runtime.scheduler import Task
from ironmill.runtime.system_calls import RESOURCE_EXHAUSTED_ERRNOS, UnsentError


class AttemptEnd(Struct, frozen=True):
    """How an attempt ended."""

    outcome: Outcome
    report: Report
    line: bytes  # the answer other than UP, if there was one
    stood: bool
    broke: bool  # by a reset


class AttemptOwner(Protocol):
    """The client's driver, as its attempt sees it."""

    def guarded(self, function: Callable[..., object], *args: object) -> None:
        """Run a task of this connection: its exception ends that connection alone."""

    def attempt_asked(self) -> None:
        """The first line was written whole."""

    def attempt_up(self, driver: AttemptDriver, data: bytes) -> bool:
        """UP came; False if nobody waits for the connection any more."""

    def attempt_data(self, relayed: Relayed) -> bool:
        """Bytes for the client. Parks until they are written; False if the client is gone."""

    def attempt_over(self, driver: AttemptDriver, end: AttemptEnd) -> None:
        """The server has ended the attempt, or it never stood."""


# Connects to an address within so many seconds. What comes before the first byte is the stream's ``shake``.
Dial = Callable[[tuple[str, int], float], Stream]


class AttemptDriver:
    """Runs one attempt: in the task that calls ``run`` until it stands, then in one whenever bytes come.

    It does not keep its owner, who keeps it: two that know each other are freed late.
    """

    __slots__ = ("_dial", "side", "stream", "task")

    def __init__(self, dial: Dial, first_line: bytes) -> None:
        self._dial = dial
        self.side = ServerSide(first_line)
        self.stream: Stream | None = None
        self.task: Task | None = None  # relays, or waits for what there is to relay

    def run(
        self,
        owner: AttemptOwner,
        address: tuple[str, int],
        connect_timeout: float,
        timeout: float,
        may_start: Callable[[], bool],
    ) -> None:
        """The attempt until it stands or is over.

        One that never stood is closed before its end is told: attempts must not overlap.
        """
        deadline = time.monotonic() + timeout
        line, broke = b"", False
        try:
            self.stream = self._connect(address, connect_timeout, deadline, may_start)
            # Guards the rule on draining: its time counts at the attempt's first byte, not at the order. With
            # TLS a handshake comes first, and is asked for as well.
            answer = None
            if may_start():
                self.stream.shake(min(deadline, time.monotonic() + connect_timeout))
                answer = self._ask(owner, self.stream, deadline) if may_start() else None
            if isinstance(answer, Up):
                if owner.attempt_up(self, answer.data):  # else the owner has ended it all
                    self._relay(owner, self.stream, answer.later)
                return
            if isinstance(answer, Refused):
                outcome, line = answer.outcome, answer.line
            else:
                outcome = self.side.end()
        except TimedOutError:
            outcome = self.side.time_out()
        except UnsentError as error:
            outcome = self.side.end()
            if error.errno in RESOURCE_EXHAUSTED_ERRNOS:  # else it is this address that cannot be had
                outcome = Outcome.NOT_SENT  # the server was not asked, and is not to blame
        except OSError:
            outcome, broke = self.side.end(), True
        self.close()
        owner.attempt_over(self, AttemptEnd(outcome, self.side.report, line, False, broke))

    def _connect(
        self,
        address: tuple[str, int],
        connect_timeout: float,
        deadline: float,
        may_start: Callable[[], bool],
    ) -> Stream:
        """A connection to the server. What this machine has run out of, it may have again by the deadline."""
        while True:
            try:
                return self._dial(address, min(connect_timeout, deadline - time.monotonic()))
            except UnsentError as error:
                if (
                    error.errno not in RESOURCE_EXHAUSTED_ERRNOS
                    or time.monotonic() >= deadline
                    or not may_start()
                ):
                    raise

    def close(self, reset: bool = False) -> None:
        """End the attempt's connection. Its task must be this one or have ended."""
        if self.stream is None or self.stream.closed:
            return
        if reset:
            self.stream.abort()
        else:
            self.stream.finish()
            self.stream.close()

    def _ask(self, owner: AttemptOwner, stream: Stream, deadline: float) -> AttemptEvent | None:
        """Write the first line and wait for its answer; None if the connection ended without one."""
        unwritten = self.side.connected()
        while unwritten:
            unwritten = self.side.wrote(stream.send_some(unwritten, deadline - time.monotonic()))
        owner.attempt_asked()
        while data := stream.receive(deadline - time.monotonic()):
            for event in self.side.receive(data):
                return event
        return None

    def _relay(self, owner: AttemptOwner, stream: Stream, data: bytes = b"") -> None:
        """Relay to the client what has come, then leave a task behind that begins when more does."""
        broke = False
        try:
            while True:
                for event in self.side.receive(data) if data else ():
                    if isinstance(event, Relayed) and not owner.attempt_data(event):
                        return  # the owner has ended it all
                if stream.drained:
                    self.task = stream.when_readable(owner.guarded, self._relay, owner, stream)
                    return
                data = stream.receive()
                if not data:
                    break
        except OSError:
            broke = True
        outcome = self.side.end()
        owner.attempt_over(self, AttemptEnd(outcome, self.side.report, b"", True, broke))
