"""Driver of one attempt: connects to the server, sends the request line and reads what the server sends."""

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

# A function that connects to an address within a timeout in seconds. Its caller must call
# ``Stream.handshake`` before it sends or receives data.
Dial = Callable[[tuple[str, int], float], Stream]


class AttemptPlan(Struct, frozen=True):
    """The server's address, the request line and the timeouts of an attempt."""

    request_line: bytes
    address: tuple[str, int]
    connect_timeout_s: float  # for the TCP connection, and again for the TLS handshake
    timeout_s: float  # from the start of the attempt to the server's answer


class AttemptEnd(Struct, frozen=True):
    """The result of an attempt."""

    outcome: Outcome
    report: LoadReport
    answer_line: bytes  # the server's answer if it is not UP; else empty
    was_established: bool
    was_reset: bool


class AttemptOwner(Protocol):
    """The client's side of an attempt, which the driver calls back."""

    def run_guarded(self, function: Callable[..., object], *args: object) -> None:
        """Runs a task of the connection; an exception closes this connection only."""

    def may_start(self) -> bool:
        """Returns False if the attempt must no longer send its first byte."""

    def on_request_sent(self) -> None:
        """Handles that the request line has been written completely."""

    def on_established(self, driver: AttemptDriver, line: bytes) -> bool:
        """Handles the server's ``UP`` line; returns False if the owner has closed the attempt."""

    def on_server_data(self, event: ServerDataReceived) -> bool:
        """Writes bytes to the client, parking as needed; returns False if the attempt has been closed."""

    def on_ended(self, driver: AttemptDriver, end: AttemptEnd) -> None:
        """Handles the end of an attempt that the server closed or that was never established."""


class AttemptDriver:
    """Runs one attempt: in the task that calls ``run`` until it is established, then in one task per read.

    It keeps no reference to its owner, which refers to it: only the garbage collector would free the cycle.
    """

    __slots__ = ("_dial", "_plan", "protocol", "stream", "task")

    def __init__(self, dial: Dial, plan: AttemptPlan) -> None:
        """Creates a driver whose ``run`` connects with ``dial`` and follows ``plan``."""
        self._dial = dial
        self._plan = plan
        self.protocol = AttemptProtocol(plan.request_line)
        self.stream: Stream | None = None
        self.task: Task | None = None  # relays the server's data, or waits for it

    def run(self, owner: AttemptOwner) -> None:
        """Runs the attempt until it has ended, or until it is established and its first data is relayed.

        The connection of an attempt that was not established is closed before ``on_ended`` is called, because
        the attempts of a request must not overlap.
        """
        deadline = time.monotonic() + self._plan.timeout_s
        answer_line = b""
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
                answer_line = answer.line
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
        owner.on_ended(self, AttemptEnd(outcome, self.protocol.report, answer_line, False, was_reset))

    def close(self, *, reset: bool = False) -> None:
        """Closes the attempt's connection. ``task`` must be the current task or have ended."""
        if self.stream is None or self.stream.closed:
            return
        if reset:
            self.stream.abort()
        else:
            self.stream.shutdown_write()
            self.stream.close()

    def _open(self, owner: AttemptOwner, deadline: float) -> AttemptEvent | None:
        """Connects and sends the request; returns None without an answer or if the owner forbids it."""
        connect_timeout_s = self._plan.connect_timeout_s
        stream = self.stream = self._connect(owner, deadline)
        # The drain grace period of a server limits when the first byte is sent, not when the connect begins.
        # With TLS the handshake sends the first byte, so the owner is asked before and after the handshake.
        if not owner.may_start():
            return None
        stream.handshake(min(deadline, time.monotonic() + connect_timeout_s))
        return self._request(owner, stream, deadline) if owner.may_start() else None

    def _connect(self, owner: AttemptOwner, deadline: float) -> Stream:
        """Connects; retries until the deadline while this machine lacks descriptors or memory."""
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
        """Writes the request line and returns the answer; None if the connection ended without one."""
        unwritten = self.protocol.connected()
        while unwritten:
            unwritten = self.protocol.wrote(stream.send_some(unwritten, deadline - time.monotonic()))
        owner.on_request_sent()
        while data := stream.receive(deadline - time.monotonic()):
            for event in self.protocol.receive(data):
                return event
        return None

    def _relay(self, owner: AttemptOwner, stream: Stream, data: bytes = b"") -> None:
        """Relays what the server has sent, then schedules a task that runs once more data arrives."""
        was_reset = False
        try:
            while True:
                for event in self.protocol.receive(data) if data else ():
                    if isinstance(event, ServerDataReceived) and not owner.on_server_data(event):
                        return  # the owner has closed the attempt
                if stream.recv_buffer_empty:
                    self.task = stream.spawn_when_readable(owner.run_guarded, self._relay, owner, stream)
                    return
                data = stream.receive()
                if not data:
                    break
        except OSError:
            was_reset = True
        outcome = self.protocol.end_of_stream()
        owner.on_ended(self, AttemptEnd(outcome, self.protocol.report, b"", True, was_reset))
