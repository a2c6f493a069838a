"""The clients of a soak test."""

from __future__ import annotations

import math
import random
import time

from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.lines import LineReader
from ironmill.runtime.scheduler import Scheduler
from tests.support.soak_records import CLASSES, SoakProxy, SoakRequest

ANSWER_GRACE_S = 3.0  # how long a client waits for its answer after the deadline
PERSISTENT_FRACTION = 0.4  # fraction of the clients that use their connection until the proxy ends it


class SoakClients:
    """Sends requests and records their outcomes."""

    def __init__(self, scheduler: Scheduler, rng: random.Random, longest_deadline_s: float) -> None:
        self.scheduler = scheduler
        self.rng = rng
        self.longest_deadline_s = longest_deadline_s
        self.requests: list[SoakRequest] = []

    def run(self, proxies: list[SoakProxy]) -> None:
        """Runs a client of one of the proxies that accept clients, until its outcome is known."""
        serving = [proxy for proxy in proxies if proxy.accepts_clients]
        if not serving:
            return
        proxy = self.rng.choice(serving)
        assert proxy.process is not None
        name = f"{self.rng.randrange(1 << 60):x}"
        request = SoakRequest(name, self.rng.choice(list(CLASSES)), proxy, proxy.process)
        try:
            stream = Stream.connect(self.scheduler, proxy.process.address, 2.0)
        except (OSError, TimedOutError):
            return  # the proxy did not accept the connection, so there is no request to record
        self.requests.append(request)
        try:
            self._send_request(request, stream)
        except TimedOutError:
            request.outcome = "silent"
        except OSError as error:
            request.outcome = f"reset ({error.strerror})"
        finally:
            request.ended_at = time.monotonic()
            stream.close()

    def _send_request(self, request: SoakRequest, stream: Stream) -> None:
        deadline_s = self.longest_deadline_s * self.rng.choice((0.1, 0.5, 1.0, 1.0))
        line = f"OPEN {request.name} 5a c={request.class_name},d={deadline_s * 1000:.0f},g=3\r\n".encode()
        split_at = self.rng.choice((0, 0, 0, len(line) // 2))
        if split_at:
            stream.send(line[:split_at], 1.0)
            self.scheduler.sleep(self.rng.random())
        stream.send(line[split_at:], 1.0)
        request.written = True
        if self.rng.random() < 0.1:
            self.scheduler.sleep(self.rng.random() * deadline_s * 0.5)
            request.left_at, request.outcome = time.monotonic(), "left"
            return
        line_reader = LineReader()
        answer = self._receive_line(request, stream, line_reader, deadline_s + ANSWER_GRACE_S)
        request.outcome = answer.split(b" ")[0].decode() or "closed"
        if request.outcome == "UP":
            request.is_established, request.server_id = True, answer[3:].decode()
            self._exchange_lines(request, stream, line_reader)

    def _exchange_lines(self, request: SoakRequest, stream: Stream, line_reader: LineReader) -> None:
        """Sends lines until the client or the proxy ends the connection."""
        is_persistent = self.rng.random() < PERSISTENT_FRACTION
        until = math.inf if is_persistent else time.monotonic() + self.rng.expovariate(1.0 / 2.0)
        while time.monotonic() < until:
            stream.send(b"line\r\n", 5.0)
            answer = self._receive_line(request, stream, line_reader, 10.0)
            if answer != b"line":
                request.outcome = "MOVE" if answer == b"MOVE" else "cut off"
                return
            self.scheduler.sleep(0.1 + 0.3 * self.rng.random())
        request.outcome = "ended"

    @staticmethod
    def _receive_line(request: SoakRequest, stream: Stream, line_reader: LineReader, timeout: float) -> bytes:
        """Returns the next line, or an empty one at the end of the connection."""
        while not request.received and (data := stream.receive(timeout)):
            request.received += line_reader.feed(data)
        return request.received.pop(0) if request.received else b""
