"""Emulated servers of the line protocol, which echo lines, answer health checks, drain and count.

They respond without delay, so that a measurement contains only the time that the proxy takes.
"""

from __future__ import annotations

import random
import time
from enum import Enum

from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.lines import LINE_END, LineReader, LineTooLongError
from ironmill.runtime.scheduler import Scheduler, Task
from ironmill_testbed.dependency_status import (
    AttemptHistory,
    AttemptRecord,
    ServerConnectionCounts,
    ServerStatus,
)

REQUEST_LINE_TIMEOUT_S = 10.0
SEND_TIMEOUT_S = 1.0
GRACEFUL_CLOSE_TIMEOUT_S = 1.0
BASE_LOAD = 0.05
LOAD_PER_CONNECTION = 0.0005
LOAD_NOISE = 0.02
MAX_LOAD = 0.8
# Seconds after the announcement of a drain in which requests are not late: 250 ms of the protocol, and 50 ms
# for the delay of the scheduler on a busy machine.
DRAIN_GRACE_S = 0.25 + 0.05


class Mode(Enum):
    """How a server answers request lines."""

    NORMAL = "sound"
    HANG = "hang"  # does not answer
    ERROR = "error"
    BUSY = "busy"
    RESET = "reset"  # reads the line and resets the connection


ANSWERS = {Mode.ERROR: b"ERR", Mode.BUSY: b"BUSY"}


class AttemptRecorder:
    """A recorder of the attempts of all requests at the servers of one process."""

    def __init__(self) -> None:
        self.history = AttemptHistory([], [])
        self._open: dict[str, Stream] = {}  # connection of the latest attempt, by request id

    def record(self, request_id: str, stream: Stream, *, may_have_run: bool) -> None:
        """Records an attempt, once its request line is complete."""
        previous = self._open.get(request_id)
        if previous is not None and not previous.closed and not previous.is_closed_by_peer():
            self.history.overlaps.append(request_id)
        self._open[request_id] = stream
        self.history.attempts.append(AttemptRecord(request_id, time.monotonic(), may_have_run))

    def end(self, stream: Stream) -> None:
        """Marks the attempts on a connection as ended."""
        for request_id in [request_id for request_id, other in self._open.items() if other is stream]:
            del self._open[request_id]


class EmulatedServer:
    """An emulated server that listens on a free port of 127.0.0.1."""

    def __init__(
        self,
        scheduler: Scheduler,
        server_id: str,
        zone: str,
        seed: int = 1,
        recorder: AttemptRecorder | None = None,
    ) -> None:
        """Starts to listen. ``recorder`` may be shared with other servers."""
        self._scheduler = scheduler
        self._rng = random.Random(f"{server_id}-{seed}")
        self.server_id, self.zone = server_id, zone
        self.counts = ServerConnectionCounts()
        self.draining_since: float | None = None
        self.mode = Mode.NORMAL
        self._recorder = recorder
        self._tasks: dict[Stream, Task] = {}
        self._established: dict[Stream, None] = {}
        self._listener = Listener(scheduler, ("127.0.0.1", 0), self._accept)
        self._listener.start()
        self.address = self._listener.address

    @property
    def established(self) -> int:
        """The number of established connections."""
        return len(self._established)

    def status(self) -> ServerStatus:
        """Returns the server's counters and the number of its established connections."""
        return ServerStatus(self.server_id, self.address, self.established, self.counts)

    def drain(self) -> None:
        """Starts to reject requests. Established connections stay open until ``migrate_all``."""
        self.draining_since = time.monotonic()

    def migrate_all(self, duration_s: float) -> None:
        """Ends the established connections with MOVE, evenly spread over the duration. Parks."""
        streams = list(self._established)
        for stream in streams:
            if stream in self._established:
                self.counts.migrated += 1
                del self._established[stream]
                self._scheduler.kill(self._tasks.pop(stream))
                self._scheduler.spawn(self._migrate, stream)
            self._scheduler.sleep(duration_s / len(streams))

    def crash(self) -> None:
        """Resets all connections and stops listening, as if the server's process had been killed."""
        self._listener.close()
        for stream, task in list(self._tasks.items()):
            self._scheduler.kill(task)
            stream.abort()

    def close(self) -> None:
        """Stops listening. Open connections stay until the process exits."""
        self._listener.close()

    def _accept(self, stream: Stream) -> None:
        self._tasks[stream] = self._scheduler.spawn(self._serve, stream)

    def _migrate(self, stream: Stream) -> None:
        try:
            stream.send(b"MOVE" + LINE_END, SEND_TIMEOUT_S)
            stream.close_gracefully(GRACEFUL_CLOSE_TIMEOUT_S)
        except (OSError, TimedOutError):
            stream.close()

    def _serve(self, stream: Stream) -> None:
        lines = LineReader()
        try:
            while data := stream.receive(REQUEST_LINE_TIMEOUT_S):
                for line in lines.feed(data):
                    if self._answer(stream, line):
                        self._echo(stream, lines)
                        return
        except (OSError, TimedOutError):
            self.counts.reset += 1
        except LineTooLongError:
            self.counts.malformed += 1
        finally:
            self._established.pop(stream, None)
            if self._recorder is not None:
                self._recorder.end(stream)
            if self._tasks.pop(stream, None) is not None:  # otherwise ``_migrate`` closes the connection
                stream.shutdown_write()
                stream.close()

    def _answer(self, stream: Stream, line: bytes) -> bool:
        """Answers a line before the connection is established. Returns True if the answer establishes it."""
        if line in (b"PING", b"STATS"):
            self.counts.health_checks += 1
            report = b" " + self._load_report() if line == b"STATS" else b""
            stream.send(b"PONG" + report + LINE_END, SEND_TIMEOUT_S)
        elif not line.startswith(b"OPEN ") or line.count(b" ") != 3:
            self.counts.malformed += 1
            stream.send(b"SYNTAX" + LINE_END, SEND_TIMEOUT_S)
        elif self.draining_since is not None:
            self._record(stream, line, may_have_run=False)
            self.counts.rejected += 1
            self.counts.late += time.monotonic() - self.draining_since > DRAIN_GRACE_S
            stream.send(b"BUSY" + LINE_END, SEND_TIMEOUT_S)
        elif self.mode is not Mode.NORMAL:
            self._record(stream, line, may_have_run=self.mode is not Mode.BUSY)
            self._fail(stream)
        else:
            self._record(stream, line, may_have_run=True)
            self.counts.opened += 1
            self._established[stream] = None
            stream.send(b"UP " + self.server_id.encode() + LINE_END, SEND_TIMEOUT_S)
            return True
        return False

    def _record(self, stream: Stream, line: bytes, *, may_have_run: bool) -> None:
        if self._recorder is not None:
            self._recorder.record(line.split(b" ")[1].decode(), stream, may_have_run=may_have_run)

    def _fail(self, stream: Stream) -> None:
        """Answers a request line according to a mode other than ``NORMAL``."""
        if self.mode is Mode.RESET:
            stream.abort()
        elif self.mode in ANSWERS:
            stream.send(ANSWERS[self.mode] + LINE_END, SEND_TIMEOUT_S)
            stream.shutdown_write()

    def _echo(self, stream: Stream, lines: LineReader) -> None:
        """Echoes each complete line until the proxy ends the connection."""
        while data := stream.receive():
            complete = lines.feed(data)
            self.counts.lines += len(complete)
            if complete:
                stream.send(LINE_END.join(complete) + LINE_END)
        self.counts.closed_by_proxy += 1

    def _load_report(self) -> bytes:
        """Returns a load report, with random noise."""
        load = self.established * LOAD_PER_CONNECTION
        return b"x0=%.4f" % min(MAX_LOAD, BASE_LOAD + load + self._rng.random() * LOAD_NOISE)
