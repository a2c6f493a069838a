"""Driver of health checks: requests servers' load reports, over one cached connection to each server."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

from ironmill.balancing.interface import Outcome
from ironmill.net.attempt import Dial
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.server import HealthCheckProtocol, LoadReport
from ironmill.requests.routing_table import Server
from ironmill.runtime.scheduler import Scheduler
from ironmill.runtime.system_calls import RESOURCE_EXHAUSTED_ERRNOS

REPLY_TIMEOUT_S = 0.5
# Limit of cached connections, whose descriptors are part of ``connection_limiter.RESERVED_DESCRIPTORS``. At
# the limit, the least recently used connection is closed before another is opened.
MAX_CONNECTIONS = 20


class HealthCheckDriver:
    """Checks servers, each on a cached connection; a broken connection is replaced at the next check."""

    def __init__(
        self,
        scheduler: Scheduler,
        connect_timeout_s: float,
        on_result: Callable[[Server, Outcome, LoadReport], None],
        dial: Dial | None = None,
    ) -> None:
        """Creates a driver that reports to ``on_result`` and connects with ``dial``, or plain TCP if None."""
        self._scheduler = scheduler
        self._dial = dial or partial(Stream.connect, scheduler)
        self._connect_timeout_s = connect_timeout_s
        self._on_result = on_result
        self._streams: dict[int, Stream] = {}  # by server number, the least recently used first
        self._checking: set[int] = set()

    def check(self, server: Server) -> None:
        """Starts a check of the server in a task of its own, unless one is already running."""
        if server.number not in self._checking:
            self._checking.add(server.number)
            self._scheduler.spawn(self._run, server)

    def _run(self, server: Server) -> None:
        report: LoadReport = ()
        try:
            outcome, report = self._check(server)
        except TimedOutError:
            outcome = Outcome.TIMEOUT
        except OSError as error:
            outcome = Outcome.NOT_SENT if error.errno in RESOURCE_EXHAUSTED_ERRNOS else Outcome.CONNECT_FAILED
        finally:
            self._checking.discard(server.number)
        if outcome is not Outcome.OK or server.leaving_since is not None:
            self._disconnect(server)
        self._on_result(server, outcome, report)

    def _check(self, server: Server) -> tuple[Outcome, LoadReport]:
        stream = self._cached_stream(server)
        if stream is None:
            # Each server that is being checked has a connection or is about to open one.
            if len(self._streams.keys() | self._checking) > MAX_CONNECTIONS and not self._make_room():
                return Outcome.NOT_SENT, ()
            stream = self._streams[server.number] = self._dial(server.address, self._connect_timeout_s)
            stream.handshake(time.monotonic() + self._connect_timeout_s)
        return self._request_report(stream)

    def _cached_stream(self, server: Server) -> Stream | None:
        """Returns the cached connection and marks it as the most recently used; None if none is usable.

        A server may close an idle connection without being at fault, and bytes that arrived after the last
        reply must not be taken for the next reply.
        """
        stream = self._streams.pop(server.number, None)
        if stream is None:
            return None
        if stream.is_stale():
            stream.close()
            return None
        self._streams[server.number] = stream
        return stream

    def _make_room(self) -> bool:
        """Closes the least recently used idle connection; returns False if every connection is in use."""
        number = next((number for number in self._streams if number not in self._checking), None)
        if number is None:
            return False
        self._streams.pop(number).close()
        return True

    @staticmethod
    def _request_report(stream: Stream) -> tuple[Outcome, LoadReport]:
        protocol = HealthCheckProtocol()
        deadline = time.monotonic() + REPLY_TIMEOUT_S
        stream.send(protocol.REQUEST, REPLY_TIMEOUT_S)
        while data := stream.receive(deadline - time.monotonic()):
            reply = protocol.receive(data)
            if reply is not None:
                return reply
        return Outcome.RESET, ()

    def _disconnect(self, server: Server) -> None:
        stream = self._streams.pop(server.number, None)
        if stream is not None:
            stream.close()
