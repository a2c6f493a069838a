"""Clients of a proxy, which run as tasks of ironmill's scheduler in one process."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, TypeVar

from ironmill.errors import IronmillError
from ironmill.membership.identity import Address
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.lines import LINE_END, LineReader
from ironmill.runtime.scheduler import Scheduler

CONNECT_TIMEOUT_S = 5.0
ANSWER_GRACE_S = 3.0  # how long a client waits for its answer after the request's deadline
LINE_TIMEOUT_S = 5.0
JOIN_CHECK_INTERVAL_S = 0.002
MIN_RECONNECT_DELAY_S, RECONNECT_JITTER_S = 0.05, 0.15
STICKY_GROUP_SIZE = 4  # number of clients whose requests name the same connection group
CLASS_NAMES = ("index-sync", "archive-fetch")
# Knuth's multiplicative hash, which spreads the second id of a request line over 32 bits.
NUMBER_MULTIPLIER = 2654435761

Item = TypeVar("Item")
_request_numbers = itertools.count(1)


class NotServedError(IronmillError):
    """An answer other than UP. The text is the answer, or empty if the connection was closed without one."""


class Client:
    """A client with one connection through a proxy."""

    def __init__(self, scheduler: Scheduler, address: Address, class_name: str = "index-sync") -> None:
        self._scheduler = scheduler
        self._address = address
        self._class_name = class_name
        self._reader = LineReader()
        self._received: list[bytes] = []  # lines that ``receive_line`` has not returned yet
        self.stream: Stream | None = None
        self.server_id = ""  # id of the server that accepted the request, from the UP line

    def open(
        self,
        deadline_s: float = 2.0,
        fields: Mapping[str, object] = MappingProxyType({}),
        token: bytes = b"",
    ) -> None:
        """Sends a request and waits for UP. Connects first, unless ``stream`` is set. Parks.

        Raises ``NotServedError`` for any other answer, and ``OSError`` or ``TimedOutError`` if there is none.
        """
        if self.stream is None:
            self.stream = Stream.connect(self._scheduler, self._address, CONNECT_TIMEOUT_S)
        credential = b"AUTH " + token + LINE_END if token else b""
        request = self._request_line(deadline_s, fields)
        self.stream.send(credential + request.encode() + LINE_END, CONNECT_TIMEOUT_S)
        answer = self.receive_line(deadline_s + ANSWER_GRACE_S)
        if not answer.startswith(b"UP"):
            self.close()
            raise NotServedError(answer.decode("ascii", "replace"))
        self.server_id = answer[3:].decode()

    def _request_line(self, deadline_s: float, fields: Mapping[str, object]) -> str:
        number = next(_request_numbers)
        ids = f"{number:x} {number * NUMBER_MULTIPLIER % 2**32:x}"
        more_fields = "".join(f",{name}={value}" for name, value in fields.items())
        return f"OPEN {ids} c={self._class_name},d={deadline_s * 1000:.0f}{more_fields}"

    def receive_line(self, timeout_s: float | None = None) -> bytes:
        """Returns the next line, or an empty one if the connection has ended. Parks."""
        while not self._received:
            assert self.stream is not None
            data = self.stream.receive(timeout_s)
            if not data:
                return b""
            self._received = self._reader.feed(data)
        return self._received.pop(0)

    def exchange(self, line: bytes, timeout_s: float = LINE_TIMEOUT_S) -> bytes:
        """Sends a line and returns the next received line, or an empty one if the connection ends. Parks."""
        assert self.stream is not None
        self.stream.send(line + LINE_END, timeout_s)
        return self.receive_line(timeout_s)

    def close(self) -> None:
        """Closes the connection."""
        if self.stream is not None and not self.stream.closed:
            self.stream.close()


def in_parallel(
    scheduler: Scheduler, parallelism: int, items: Iterable[Item], action: Callable[[Item], object]
) -> None:
    """Calls the action for each item in parallel tasks and waits for all. Parks; raises the first error."""
    remaining = iter(items)
    failed: list[Exception] = []
    running = parallelism

    def work() -> None:
        nonlocal running
        try:
            for item in remaining:
                if failed:
                    break
                action(item)
        except Exception as error:
            failed.append(error)
        running -= 1

    for _ in range(parallelism):
        scheduler.spawn(work)
    while running:
        scheduler.sleep(JOIN_CHECK_INTERVAL_S)
    if failed:
        raise failed[0]


def run_scenario(scheduler: Scheduler, scenario: Callable[[], Any], timeout_s: float) -> Any:
    """Runs a scenario as a task of the scheduler and returns the scenario's result.

    Raises what the scenario raises, and ``TimedOutError`` if the scenario does not end in time.
    """
    result: list[Any] = []
    failed: list[BaseException] = []

    def run() -> None:
        try:
            result.append(scenario())
        except Exception as error:
            failed.append(error)
        scheduler.stop()

    scheduler.spawn(run)
    timer = scheduler.call_later(timeout_s, scheduler.stop)
    scheduler.run()
    scheduler.cancel(timer)
    if failed:
        raise failed[0]
    if not result:
        raise TimedOutError
    return result[0]


@dataclass(slots=True)
class FleetCounts:
    """Outcomes of a fleet's requests. Every opened request is served, rejected, failed or unanswered."""

    opened: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    unanswered: int = 0
    unreachable: int = 0  # failed connection attempts to a proxy, which are not counted as opened
    migrated: int = 0  # served connections that ended with MOVE
    lost: int = 0  # served connections that ended without MOVE, failed, or did not echo a line in time
    lines: int = 0  # echoed lines that the clients received


class Fleet:
    """Clients that stay connected. Each sends lines with pauses, and reconnects after a migration."""

    def __init__(
        self,
        scheduler: Scheduler,
        addresses: list[Address],
        size: int,
        pause: float = 0.5,
        seed: int = 1,
    ) -> None:
        """Starts the clients. ``pause`` is the mean time in seconds between two lines of a client."""
        self._scheduler = scheduler
        self._addresses = addresses
        self._pause_s = pause
        self._rng = random.Random(seed)
        self._is_ending = False
        self.counts = FleetCounts()
        self.established: dict[Client, None] = {}
        for number in range(size):
            scheduler.spawn(self._run_client, number)

    def end(self) -> None:
        """Stops opening connections. Each client closes its established one after its current pause."""
        self._is_ending = True

    def _run_client(self, number: int) -> None:
        self._scheduler.sleep(self._rng.random() * self._pause_s)
        fields: dict[str, object] = {"g": f"{number // STICKY_GROUP_SIZE:x}"}
        while not self._is_ending:
            class_name = CLASS_NAMES[number % len(CLASS_NAMES)]
            client = Client(self._scheduler, self._rng.choice(self._addresses), class_name)
            delay_s = MIN_RECONNECT_DELAY_S + RECONNECT_JITTER_S * self._rng.random()
            try:
                self._open(client, fields)
                self._exchange_lines(client)
                fields["again"] = 1
            except NotServedError as error:
                retry_after_s = self._count_answer(str(error))
                delay_s = delay_s if retry_after_s is None else retry_after_s
                fields["r"] = 1
            except (OSError, TimedOutError):
                pass
            finally:
                client.close()
            self._scheduler.sleep(delay_s)

    def _count_answer(self, answer: str) -> float | None:
        """Counts an answer other than UP; returns its Retry-After in seconds, or None if it has none."""
        word, _, retry_after_ms = answer.partition(" ")
        self.counts.rejected += word == "BUSY"
        self.counts.failed += word not in ("BUSY", "")
        self.counts.unanswered += word == ""
        return int(retry_after_ms) / 1000.0 if retry_after_ms.isdigit() else None

    def _open(self, client: Client, fields: dict[str, object]) -> None:
        try:
            client.open(fields=fields)
        except (OSError, TimedOutError):
            if client.stream is None:
                self.counts.unreachable += 1
            else:
                self.counts.opened += 1
                self.counts.unanswered += 1
            raise
        except NotServedError:
            self.counts.opened += 1
            raise
        self.counts.opened += 1
        self.counts.served += 1

    def _exchange_lines(self, client: Client) -> None:
        self.established[client] = None
        try:
            while not self._is_ending:
                answer = client.exchange(b"line")
                if answer == b"MOVE":
                    self.counts.migrated += 1
                    return
                if not answer:
                    self.counts.lost += 1
                    return
                self.counts.lines += 1
                self._scheduler.sleep(self._pause_s * (0.5 + self._rng.random()))
        except (OSError, TimedOutError):
            self.counts.lost += 1
        finally:
            del self.established[client]
