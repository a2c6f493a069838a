"""The driver of probes: asks servers for their load reports, on one connection to each."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

from ironmill.balancing.interface import Outcome
from ironmill.net.server import Dial
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.server import ProbeSide, Report
from ironmill.requests.routing_table import Server
from ironmill.runtime.scheduler import Scheduler
from ironmill.runtime.system_calls import RESOURCE_EXHAUSTED_ERRNOS

ANSWER_WAIT = 0.5
# Connections kept for probes. Guards the descriptors, of which ``admission.OWN`` sets so many aside: one to
# each of 90 servers was more than all of those. The one that was used longest ago gives way.
KEPT_MOST = 20


class ProbeDriver:
    """Keeps a connection to each server that is asked; a broken one is made anew when next asked."""

    def __init__(
        self,
        scheduler: Scheduler,
        connect_timeout: float,
        tell: Callable[[Server, Outcome, Report], None],
        dial: Dial | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._dial = dial or partial(Stream.connect, scheduler)
        self._connect_timeout = connect_timeout
        self._tell = tell
        self._streams: dict[int, Stream] = {}  # by server, the one used longest ago first
        self._asking: set[int] = set()

    def probe(self, server: Server) -> None:
        """Ask in a task of its own; while one question is out no second goes to the same server."""
        if server.number not in self._asking:
            self._asking.add(server.number)
            self._scheduler.spawn(self._run, server)

    def _run(self, server: Server) -> None:
        report: Report = ()
        try:
            outcome, report = self._ask(server)
        except TimedOutError:
            outcome = Outcome.TIMEOUT
        except OSError as error:
            outcome = Outcome.NOT_SENT if error.errno in RESOURCE_EXHAUSTED_ERRNOS else Outcome.CONNECT_FAILED
        finally:
            self._asking.discard(server.number)
        if outcome is not Outcome.OK or server.leaving_since is not None:
            self._hang_up(server)
        self._tell(server, outcome, report)

    def _ask(self, server: Server) -> tuple[Outcome, Report]:
        stream = self._streams.pop(server.number, None)
        if stream is not None and stream.stale():
            # Guards a sound server against blame for a connection that it closed as idle, and the report
            # against a second answer to an earlier question.
            stream.close()
            stream = None
        if stream is not None:
            self._streams[server.number] = stream
        else:
            # Whoever is asked holds a connection, or is about to.
            if len(self._streams.keys() | self._asking) > KEPT_MOST and not self._make_room():
                return Outcome.NOT_SENT, ()
            stream = self._streams[server.number] = self._dial(server.address, self._connect_timeout)
            stream.shake(time.monotonic() + self._connect_timeout)
        return self._put(stream)

    def _make_room(self) -> bool:
        """Close the connection that was used longest ago; False if questions are out on all of them."""
        number = next((number for number in self._streams if number not in self._asking), None)
        if number is None:
            return False
        self._streams.pop(number).close()
        return True

    @staticmethod
    def _put(stream: Stream) -> tuple[Outcome, Report]:
        side, deadline = ProbeSide(), time.monotonic() + ANSWER_WAIT
        stream.send(side.QUESTION, ANSWER_WAIT)
        while data := stream.receive(deadline - time.monotonic()):
            answer = side.receive(data)
            if answer is not None:
                return answer
        return Outcome.RESET, ()

    def _hang_up(self, server: Server) -> None:
        stream = self._streams.pop(server.number, None)
        if stream is not None:
            stream.close()
