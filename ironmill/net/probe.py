"""The driver of probes: asks issuer hosts for their load reports, on one connection to each."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

from ironmill.net.issuer_host import Dial
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.issuer_host import ProbeSide, Report
from ironmill.routing_table import IssuerHost
from ironmill.scheduler import Scheduler
from stonegap.interface import Outcome

ANSWER_WAIT = 0.5


class ProbeDriver:
    """Keeps a connection to each issuer host that is asked; a broken one is made anew when next asked."""

    def __init__(
        self,
        scheduler: Scheduler,
        connect_timeout: float,
        tell: Callable[[IssuerHost, Outcome, Report], None],
        dial: Dial | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._dial = dial or partial(Stream.connect, scheduler)
        self._connect_timeout = connect_timeout
        self._tell = tell
        self._streams: dict[int, Stream] = {}
        self._asking: set[int] = set()

    def probe(self, host: IssuerHost) -> None:
        """Ask in a task of its own; while one question is out no second goes to the same issuer host."""
        if host.number not in self._asking:
            self._asking.add(host.number)
            self._scheduler.spawn(self._run, host)

    def _run(self, host: IssuerHost) -> None:
        report: Report = ()
        try:
            outcome, report = self._ask(host)
        except TimedOutError:
            outcome = Outcome.TIMEOUT
        except OSError:
            outcome = Outcome.CONNECT_FAILED
        finally:
            self._asking.discard(host.number)
        if outcome is not Outcome.OK or host.leaving_since is not None:
            self._hang_up(host)
        self._tell(host, outcome, report)

    def _ask(self, host: IssuerHost) -> tuple[Outcome, Report]:
        if host.number not in self._streams:
            stream = self._dial(host.address, self._connect_timeout)
            self._streams[host.number] = stream
            stream.shake(time.monotonic() + self._connect_timeout)
        stream, side = self._streams[host.number], ProbeSide()
        deadline = time.monotonic() + ANSWER_WAIT
        stream.send(side.QUESTION, ANSWER_WAIT)
        while data := stream.receive(deadline - time.monotonic()):
            answer = side.receive(data)
            if answer is not None:
                return answer
        return Outcome.RESET, ()

    def _hang_up(self, host: IssuerHost) -> None:
        stream = self._streams.pop(host.number, None)
        if stream is not None:
            stream.close()
