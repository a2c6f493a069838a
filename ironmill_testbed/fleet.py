"""Clients of a proxy, many in one process, on the project's own scheduler."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.lines import LINE_END, LineReader
from ironmill.runtime.scheduler import Scheduler

CONNECT_WAIT = 5.0
ANSWER_MORE = 3.0  # beyond what the client has said it would wait
_serial = itertools.count(1)


class NotServedError(Exception):
    """The first line was answered by something other than UP, which is the text."""


class Client:
    """One connection through a proxy."""

    def __init__(
        self, scheduler: Scheduler, address: tuple[str, int], class_name: str = "index-sync"
    ) -> None:
        self._scheduler = scheduler
        self._address = address
        self._class = class_name
        self._lines = LineReader()
        self._came: list[bytes] = []
        self.stream: Stream | None = None
        self.host = ""  # the server that took it, as its UP line told

    def open(
        self, wait: float = 2.0, fields: Mapping[str, object] = MappingProxyType({}), token: bytes = b""
    ) -> None:
        """Ask and wait for UP. NotServedError for another answer, OSError or TimedOutError for none."""
        number = next(_serial)
        listed = "".join(f",{name}={value}" for name, value in fields.items())
        if self.stream is None:  # else it was connected, and made secure, before
            self.stream = Stream.connect(self._scheduler, self._address, CONNECT_WAIT)
        first = f"OPEN {number:x} {number * 2654435761 % 2**32:x} c={self._class},d={wait * 1000:.0f}{listed}"
        shown = b"AUTH " + token + LINE_END if token else b""
        self.stream.send(shown + first.encode() + LINE_END, CONNECT_WAIT)
        answer = self.line(wait + ANSWER_MORE)
        if not answer.startswith(b"UP"):
            self.close()
            raise NotServedError(answer.decode("ascii", "replace"))
        self.host = answer[3:].decode()

    def line(self, timeout: float | None = None) -> bytes:
        """The next line; empty at the end of the connection."""
        while not self._came:
            assert self.stream is not None
            data = self.stream.receive(timeout)
            if not data:
                return b""
            self._came = self._lines.feed(data)
        return self._came.pop(0)

    def ask(self, line: bytes, timeout: float = 5.0) -> bytes:
        """Send a line and wait for the one that comes back."""
        assert self.stream is not None
        self.stream.send(line + LINE_END, timeout)
        return self.line(timeout)

    def close(self) -> None:
        """End the connection."""
        if self.stream is not None and not self.stream.closed:
            self.stream.close()


def in_parallel(
    scheduler: Scheduler, at_once: int, items: Iterable[Any], action: Callable[[Any], object]
) -> None:
    """Call the action for each item, so many at once, and wait for the last. Parks; raises the first."""
    left = iter(items)
    failed: list[Exception] = []
    running = at_once

    def work() -> None:
        nonlocal running
        try:
            for item in left:
                if failed:
                    break
                action(item)
        except Exception as error:
            failed.append(error)
        running -= 1

    for _ in range(at_once):
        scheduler.spawn(work)
    while running:
        scheduler.sleep(0.002)
    if failed:
        raise failed[0]


def play(scheduler: Scheduler, story: Callable[[], Any], limit: float) -> Any:
    """Run the story as a task until it ends; what it returned. TimedOutError past the limit, in seconds."""
    result: list[Any] = []
    failed: list[BaseException] = []

    def told() -> None:
        try:
            result.append(story())
        except Exception as error:
            failed.append(error)
        scheduler.stop()

    scheduler.spawn(told)
    guard = scheduler.call_later(limit, scheduler.stop)
    scheduler.run()
    scheduler.cancel(guard)
    if failed:
        raise failed[0]
    if not result:
        raise TimedOutError
    return result[0]


@dataclass(slots=True)
class FleetCounts:
    """What happened to a fleet's requests: each one opened is served, refused, failed or unanswered."""

    opened: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    unreached: int = 0  # connections that no proxy took; not counted as opened
    moved: int = 0  # of the served ones: sent away with MOVE
    lost: int = 0  # of the served ones: cut off without a word
    lines: int = 0


class Fleet:
    """Clients that stay: each opens, sends a line now and then, and comes again when it is sent away."""

    def __init__(
        self,
        scheduler: Scheduler,
        addresses: list[tuple[str, int]],
        size: int,
        pause: float = 0.5,
        seed: int = 1,
    ) -> None:
        self._scheduler = scheduler
        self._addresses = addresses
        self._pause = pause
        self._rng = random.Random(seed)
        self._ending = False
        self.counts = FleetCounts()
        self.standing: dict[Client, None] = {}
        for number in range(size):
            scheduler.spawn(self._live, number)

    def end(self) -> None:
        """Open nothing more; what stands is closed by its client."""
        self._ending = True

    def _live(self, number: int) -> None:
        self._scheduler.sleep(self._rng.random() * self._pause)
        fields: dict[str, object] = {"g": f"{number // 4:x}"}
        while not self._ending:
            class_name = ("index-sync", "archive-fetch")[number % 2]
            client = Client(self._scheduler, self._rng.choice(self._addresses), class_name)
            pause = 0.05 + 0.15 * self._rng.random()
            try:
                self._open(client, fields)
                self._stay(client)
                fields["again"] = 1
            except NotServedError as error:
                word, _, more = str(error).partition(" ")
                self.counts.refused += word == "BUSY"
                self.counts.failed += word not in ("BUSY", "")
                self.counts.unanswered += word == ""
                pause = int(more) / 1000.0 if more.isdigit() else pause
                fields["r"] = 1
            except (OSError, TimedOutError):
                pass
            finally:
                client.close()
            self._scheduler.sleep(pause)

    def _open(self, client: Client, fields: dict[str, object]) -> None:
        try:
            client.open(fields=fields)
        except (OSError, TimedOutError):
            if client.stream is None:
                self.counts.unreached += 1
            else:
                self.counts.opened += 1
                self.counts.unanswered += 1
            raise
        except NotServedError:
            self.counts.opened += 1
            raise
        self.counts.opened += 1
        self.counts.served += 1

    def _stay(self, client: Client) -> None:
        self.standing[client] = None
        try:
            while not self._ending:
                answer = client.ask(b"line")
                if answer == b"MOVE":
                    self.counts.moved += 1
                    return
                if not answer:
                    self.counts.lost += 1
                    return
                self.counts.lines += 1
                self._scheduler.sleep(self._pause * (0.5 + self._rng.random()))
        except (OSError, TimedOutError):
            self.counts.lost += 1
        finally:
            del self.standing[client]
