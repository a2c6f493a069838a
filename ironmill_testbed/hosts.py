"""Emulated servers that speak the line protocol.

One class, ``EmulatedHost``: it takes connections, echoes their lines, answers probes, drains with ``MOVE``
and counts what it saw. It is fast rather than true to life: nothing it does takes time of its own.
"""

from __future__ import annotations

import random
import time
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.lines import LINE_END, LineReader, LineTooLongError
from ironmill.runtime.scheduler import Scheduler, Task

FIRST_WAIT = 10.0  # for a first line, seconds
LOAD_A_CONNECTION = 0.0005  # of the reported load
# From the news of a drain to the last first byte, and what a scheduler's turn may take on a busy machine.
DRAIN_GRACE = 0.25 + 0.05


class Mode(Enum):
    """How a server treats first lines."""

    SOUND = "sound"
    HANG = "hang"  # never answers
    ERROR = "error"
    BUSY = "busy"
    RESET = "reset"  # reads the line and resets the connection


ANSWERS = {Mode.ERROR: b"ERR", Mode.BUSY: b"BUSY"}


@dataclass(slots=True)
class HostCounts:
    """What an emulated server has seen."""

    opened: int = 0  # connections that were given UP
    turned_away: int = 0
    malformed: int = 0
    lines: int = 0  # echoed
    moved: int = 0  # sent away by the host itself
    left: int = 0  # ended by the proxy
    reset: int = 0
    probes: int = 0
    late: int = 0  # an OPEN that came after the drain was told and the grace was over


class Attempts:
    """What all servers of a process have seen of each request, by its id."""

    def __init__(self) -> None:
        self.began: list[tuple[str, float, bool]] = []  # id, monotonic time, whether it may have run
        self.overlaps: list[str] = []  # ids of which a second attempt came while one was out
        self._out: dict[str, Stream] = {}

    def begin(self, name: str, stream: Stream, may_run: bool) -> None:
        """The whole first line of an attempt has come."""
        before = self._out.get(name)
        if before is not None and not before.closed and not before.is_closed_by_peer():
            self.overlaps.append(name)
        self._out[name] = stream
        self.began.append((name, time.monotonic(), may_run))

    def end(self, stream: Stream) -> None:
        """The attempt's connection is over."""
        for name in [name for name, one in self._out.items() if one is stream]:
            del self._out[name]


class EmulatedHost:
    """One server on a port of its own."""

    def __init__(
        self,
        scheduler: Scheduler,
        uid: str,
        zone: str,
        seed: int = 1,
        attempts: Attempts | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._rng = random.Random(f"{uid}-{seed}")
        self.uid, self.zone = uid, zone
        self.counts = HostCounts()
        self.draining_since: float | None = None
        self.mode = Mode.SOUND
        self._attempts = attempts
        self._tasks: dict[Stream, Task] = {}
        self._standing: dict[Stream, None] = {}
        self._listener = Listener(scheduler, ("127.0.0.1", 0), self._take)
        self._listener.start()
        self.address = self._listener.address

    @property
    def standing(self) -> int:
        """How many connections stand."""
        return len(self._standing)

    def told(self) -> dict[str, Any]:
        """Its counts and what stands, by name."""
        return {"uid": self.uid, "address": self.address, "standing": self.standing, **asdict(self.counts)}

    def drain(self) -> None:
        """Take nothing new from now on. What stands stays until ``send_away``."""
        self.draining_since = time.monotonic()

    def send_away(self, over: float) -> None:
        """Send what stands away with MOVE, evenly over so many seconds. Parks."""
        streams = list(self._standing)
        for stream in streams:
            if stream in self._standing:
                self.counts.moved += 1
                del self._standing[stream]
                self._scheduler.kill(self._tasks.pop(stream))
                self._scheduler.spawn(self._part, stream)
            self._scheduler.sleep(over / len(streams))

    def crash(self) -> None:
        """Its process dies: what stands is reset, and nobody listens any more."""
        self._listener.close()
        for stream, task in list(self._tasks.items()):
            self._scheduler.kill(task)
            stream.abort()

    def close(self) -> None:
        """Stop listening. What stands is left to the end of the process."""
        self._listener.close()

    def _take(self, stream: Stream) -> None:
        self._tasks[stream] = self._scheduler.spawn(self._serve, stream)

    def _part(self, stream: Stream) -> None:
        try:
            stream.send(b"MOVE" + LINE_END, 1.0)
            stream.close_gracefully(1.0)
        except (OSError, TimedOutError):
            stream.close()

    def _serve(self, stream: Stream) -> None:
        lines = LineReader()
        try:
            while data := stream.receive(FIRST_WAIT):
                for line in lines.feed(data):
                    if self._first(stream, line):
                        self._echo(stream, lines)
                        return
        except (OSError, TimedOutError):
            self.counts.reset += 1
        except LineTooLongError:
            self.counts.malformed += 1
        finally:
            self._standing.pop(stream, None)
            if self._attempts is not None:
                self._attempts.end(stream)
            if self._tasks.pop(stream, None) is not None:  # else it is being sent away
                stream.shutdown_write()
                stream.close()

    def _first(self, stream: Stream, line: bytes) -> bool:
        """Answer what may open a connection; True if the connection stands from now on."""
        if line in (b"PING", b"STATS"):
            self.counts.probes += 1
            stream.send(b"PONG" + (b" " + self._report() if line == b"STATS" else b"") + LINE_END, 1.0)
        elif not line.startswith(b"OPEN ") or line.count(b" ") != 3:
            self.counts.malformed += 1
            stream.send(b"SYNTAX" + LINE_END, 1.0)
        elif self.draining_since is not None:
            self._seen(stream, line, False)
            self.counts.turned_away += 1
            self.counts.late += time.monotonic() - self.draining_since > DRAIN_GRACE
            stream.send(b"BUSY" + LINE_END, 1.0)
        elif self.mode is not Mode.SOUND:
            self._seen(stream, line, self.mode is not Mode.BUSY)
            self._fail(stream)
        else:
            self._seen(stream, line, True)
            self.counts.opened += 1
            self._standing[stream] = None
            stream.send(b"UP " + self.uid.encode() + LINE_END, 1.0)
            return True
        return False

    def _seen(self, stream: Stream, line: bytes, may_run: bool) -> None:
        if self._attempts is not None:
            self._attempts.begin(line.split(b" ")[1].decode(), stream, may_run)

    def _fail(self, stream: Stream) -> None:
        """Answer a first line as the mode says."""
        if self.mode is Mode.RESET:
            stream.abort()
        elif self.mode in ANSWERS:
            stream.send(ANSWERS[self.mode] + LINE_END, 1.0)
            stream.shutdown_write()

    def _echo(self, stream: Stream, lines: LineReader) -> None:
        """Send each whole line back, unchanged, until the other side ends."""
        while data := stream.receive():
            whole = lines.feed(data)
            self.counts.lines += len(whole)
            if whole:
                stream.send(LINE_END.join(whole) + LINE_END)
        self.counts.left += 1

    def _report(self) -> bytes:
        """A load report, a little noisy as true ones are."""
        load = self.standing * LOAD_A_CONNECTION
        return b"x0=%.4f" % min(0.8, 0.05 + load + self._rng.random() * 0.02)
