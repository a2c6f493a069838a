"""Helpers for tests of requests: timers on a fake clock, a configuration and a request handler."""

from __future__ import annotations

import math
import time
from typing import Any

import pytest

from ironmill.balancing.interface import Stage
from ironmill.configuration.proxy_config import Config
from ironmill.protocol.discovery import EndpointUpdate, ListedServer
from ironmill.requests.client_request import Attempt
from ironmill.runtime.timers import TimerQueue
from tests.support.balancing import SETTINGS


class FakeTimers:
    """The runtime's timers on a fake clock, which replaces ``time.monotonic``. Only ``run`` advances it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1000.0
        self._timers = TimerQueue(lambda: self.now)
        self.call_later, self.cancel = self._timers.call_later, self._timers.cancel
        monkeypatch.setattr(time, "monotonic", lambda: self.now)

    def run(self, duration_s: float) -> None:
        """Advances the clock by ``duration_s`` and runs the timers that are due."""
        end = self.now + duration_s
        while (remaining_s := self._timers.run()) is not None and self.now + remaining_s <= end:
            self.now = max(math.nextafter(self.now, math.inf), self.now + remaining_s)
        self.now = end


def listed(uid: str, stage: Stage = Stage.READY, started_at: float = 0.0) -> ListedServer:
    """Returns a server as discovery lists it."""
    return ListedServer(uid, "127.0.0.1", 9, stage, "a", 0, 1.0, started_at)


KNOWN = EndpointUpdate(1, True, (listed("s-1"), listed("s-2"), listed("s-3")))


def config(known: EndpointUpdate = KNOWN, **changes: Any) -> Config:
    """Returns a proxy's configuration with these fields changed."""
    fields: dict[str, Any] = {
        "name": "n0",
        "listen": ("127.0.0.1", 0),
        "discovery": ("127.0.0.1", 9),
        "seed": 1,
        "sockets": 1024,
        "initial_endpoints": known,
        "settings": SETTINGS,
        "connect_timeout_s": 0.2,
        "drain_grace_s": 0.25,
        "packets_pass_through": True,
        "default_deadlines_s": {"read": 2.0},
        "shortest_latency_objective_s": 0.15,
        "raw_values": {},
    }
    return Config(**(fields | changes))


class RecordingHandler:
    """A request handler that records the calls of the gateway."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.answers: list[str] = []
        self.migrations = 0

    def start_attempt(self, attempt: Attempt) -> None:
        assert all(previous.ended for previous in self.attempts), "attempts overlap"
        self.attempts.append(attempt)

    def cancel_attempt(self) -> bool:
        raise AssertionError("cancel_attempt is not expected in this test")

    def reject(self, retry_after_s: float) -> None:
        self.answers.append(f"BUSY {retry_after_s:.3f}")

    def fail(self) -> None:
        self.answers.append("ERR")

    def migrate(self, timeout_s: float | None = None) -> None:
        self.migrations += 1
