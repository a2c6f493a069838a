"""The driver of one attempt: connects, sends the request line, and reads what the server sends."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from ironmill.balancing.interface import Outcome
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.server import (
    AttemptEstablished,
    AttemptEvent,
    AttemptProtocol,
    AttemptRejected,
    LoadReport,
    ServerDataReceived,
)
from ironmill.runtime.scheduler import Task
from ironmill.runtime.system_calls import RESOURCE_EXHAUSTED_ERRNOS, UnsentError

# Connects to an address within so many seconds. ``Stream.handshake`` follows before the first byte.
Dial = Callable[[tuple[str, int], float], Stream]


class AttemptPlan(Struct, frozen=True):
    """Where an attempt goes, what it writes and how long it may take."""

    request_line: bytes
    address: tuple[str, int]
    connect_timeout_s: float  # for the connection, and again for the handshake
    timeout_s: float  # until the answer


class AttemptEnd(Struct, frozen=True):
    """How an attempt ended."""

    outcome: Outcome
    report: LoadReport
    line: bytes  # the answer other than UP, if there was one
    was_established: bool
    was_reset: bool


class AttemptOwner(Protocol):
    """The client's side of an attempt."""

    def run_guarded(self, function: Callable[..., object], *args: object) -> None:
        """Runs a task of the connection, whose exception ends that connection only."""

    def may_start(self) -> bool:
        """Returns False if the attempt must not send its first byte any more."""

    def on_request_sent(self) -> None:
        """Is called once the request line is completely written."""

    def on_established(self, driver: AttemptDriver, line: bytes) -> bool:
        """Takes the server's acceptance; returns False if the owner has closed the attempt."""

    def on_server_data(self, event: ServerDataReceived) -> bool:
        """Takes bytes for the client. Parks until they are written; returns False if the client is gone."""

    def on_ended(self, driver: AttemptDriver, end: AttemptEnd) -> None:
        """Takes the end of the attempt by the server, or before it was established."""


class AttemptDriver:
    """Runs one attempt: in the task that calls ``run`` until it is established, then in one task per read.

    It holds no reference to its owner, who holds one to it: a cycle would be freed late.
    """

    __slots__ = ("_dial", "_plan", "protocol", "stream", "task")

    def __init__(self, dial: Dial, plan: AttemptPlan) -> None:
        """Does nothing until ``run``."""
        self._dial = dial
        self._plan = plan
        self.protocol = AttemptProtocol(plan.request_line)
        self.stream: Stream | None = None
        self.task: Task | None = None  # relays, or waits for data to relay

    def run(self, owner: AttemptOwner) -> None:
        """Runs the attempt until it is established or over.

        The connection of one that was never established is closed before ``on_ended``, because attempts of a
        request must not overlap.
        """
        deadline = time.monotonic() + self._plan.timeout_s
        line = b""
        was_reset = False
        try:
            answer = self._open(owner, deadline)
            if isinstance(answer, AttemptEstablished):
                if owner.on_established(self, answer.line):
                    assert self.stream is not None
                    self._relay(owner, self.stream, answer.following)
                return
            if isinstance(answer, AttemptRejected):
                outcome = answer.outcome
                line = answer.line
            else:
                outcome = self.protocol.end_of_stream()
        except TimedOutError:
            outcome = self.protocol.time_out()
        except UnsentError as error:
            outcome = self.protocol.end_of_stream()
            if error.errno in RESOURCE_EXHAUSTED_ERRNOS:
                outcome = Outcome.NOT_SENT  # this machine lacks resources, which is not the server's fault
        except OSError:
            outcome = self.protocol.end_of_stream()
            was_reset = True
        self.close()
        owner.on_ended(self, AttemptEnd(outcome, self.protocol.report, line, False, was_reset))

    def close(self, *, reset: bool = False) -> None:
        """Closes the attempt's connection. Its task must be the current one or have ended."""
        if self.stream is None or self.stream.closed:
            return
        if reset:
            self.stream.abort()
        else:
            self.stream.shutdown_write()
            self.stream.close()

    def _open(self, owner: AttemptOwner, deadline: float) -> AttemptEvent | None:
        """Connects and requests; None if the connection ended, or may not be used, before an answer."""
        connect_timeout_s = self._plan.connect_timeout_s
        stream = self.stream = self._connect(owner, deadline)
        # The grace period of a draining server counts at the first byte sent, not at the order; with TLS the
        # handshake sends the first byte, and the request line goes later.
        if not owner.may_start():
            return None
        stream.handshake(min(deadline, time.monotonic() + connect_timeout_s))
        return self._request(owner, stream, deadline) if owner.may_start() else None

    def _connect(self, owner: AttemptOwner, deadline: float) -> Stream:
        """Connects; retries until the deadline while this machine lacks resources."""
        plan = self._plan
        while True:
            try:
                return self._dial(plan.address, min(plan.connect_timeout_s, deadline - time.monotonic()))
            except UnsentError as error:
                if (
                    error.errno not in RESOURCE_EXHAUSTED_ERRNOS
                    or time.monotonic() >= deadline
                    or not owner.may_start()
                ):
                    raise

    def _request(self, owner: AttemptOwner, stream: Stream, deadline: float) -> AttemptEvent | None:
        """Writes the request line and waits for the answer; None if the connection ended without one."""
        unwritten = self.protocol.connected()
        while unwritten:
            unwritten = self.protocol.wrote(stream.send_some(unwritten, deadline - time.monotonic()))
        owner.on_request_sent()
        while data := stream.receive(deadline - time.monotonic()):
            for event in self.protocol.receive(data):
                return event
        return None

    def _relay(self, owner: AttemptOwner, stream: Stream, data: bytes = b"") -> None:
        """Relays what the server has sent, then leaves a task that starts when there is more."""
        was_reset = False
        try:
            while True:
                for event in self.protocol.receive(data) if data else ():
                    if isinstance(event, ServerDataReceived) and not owner.on_server_data(event):
                        return  # the owner has closed the attempt
                if stream.drained:
                    self.task = stream.spawn_when_readable(owner.run_guarded, self._relay, owner, stream)
                    return
                data = stream.receive()
                if not data:
                    break
        except OSError:
            was_reset = True
        outcome = self.protocol.end_of_stream()
        owner.on_ended(self, AttemptEnd(outcome, self.protocol.report, b"", True, was_reset))
