"""The driver of one leg: connects, asks, and reads what the issuer host sends until the end."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.issuer_host import Declined, IssuerHostSide, LegEvent, Relayed, Report, Up
from ironmill.scheduler import Scheduler
from stonegap.interface import Outcome


@dataclass(frozen=True, slots=True)
class LegEnd:
    """How a leg ended."""

    outcome: Outcome
    report: Report
    line: bytes  # the answer other than UP, if there was one
    stood: bool
    broke: bool  # by a reset


class LegOwner(Protocol):
    """The client's driver, as its leg sees it."""

    def leg_up(self, driver: LegDriver, data: bytes) -> bool:
        """UP came; False if nobody waits for the connection any more."""

    def leg_data(self, relayed: Relayed) -> bool:
        """Bytes for the client. Parks until they are written; False if the client is gone."""

    def leg_over(self, driver: LegDriver, end: LegEnd) -> None:
        """The issuer host has ended the leg, or it never stood."""


class LegDriver:
    """Runs one leg in the task that calls ``run``."""

    def __init__(self, scheduler: Scheduler, owner: LegOwner, first_line: bytes) -> None:
        self._scheduler = scheduler
        self._owner = owner
        self.side = IssuerHostSide(first_line)
        self.stream: Stream | None = None

    def run(
        self, address: tuple[str, int], connect_timeout: float, timeout: float, may_start: Callable[[], bool]
    ) -> None:
        """The whole leg. One that never stood is closed before its end is told: legs must not overlap."""
        deadline = time.monotonic() + timeout
        line, broke = b"", False
        try:
            self.stream = Stream.connect(self._scheduler, address, min(connect_timeout, timeout))
            # Guards the rule on draining: its time counts at the leg's first byte, not at the order.
            answer = self._ask(self.stream, deadline) if may_start() else None
            if isinstance(answer, Up) and not self._stand(self.stream, answer):
                return  # the owner has ended it all
            if isinstance(answer, Declined):
                outcome, line = answer.outcome, answer.line
            else:
                outcome = self.side.end()
        except TimedOutError:
            outcome = self.side.time_out()
        except OSError:
            outcome, broke = self.side.end(), True
        if not self.side.stood:
            self.close()
        self._owner.leg_over(self, LegEnd(outcome, self.side.report, line, self.side.stood, broke))

    def close(self, reset: bool = False) -> None:
        """End the leg's connection. Its task must be this one or have ended."""
        if self.stream is None or self.stream.closed:
            return
        if reset:
            self.stream.abort()
        else:
            self.stream.finish()
            self.stream.close()

    def _ask(self, stream: Stream, deadline: float) -> LegEvent | None:
        """Write the first line and wait for its answer; None if the connection ended without one."""
        unwritten = self.side.connected()
        while unwritten:
            unwritten = self.side.wrote(stream.send_some(unwritten, deadline - time.monotonic()))
        while data := stream.receive(deadline - time.monotonic()):
            for event in self.side.receive(data):
                return event
        return None

    def _stand(self, stream: Stream, up: Up) -> bool:
        """Relay to the client until the issuer host ends; False if nobody was there to relay to."""
        if not self._owner.leg_up(self, up.data):
            return False
        data = up.later
        while True:
            for event in self.side.receive(data) if data else ():
                if isinstance(event, Relayed) and not self._owner.leg_data(event):
                    return False
            data = stream.receive()
            if not data:
                return True
