"""The gateway: between the decisions and whatever protocol carries them out.

It owns the ``Balancer``, the requests and their attempts. Protocol drivers tell it what happened in
terms of these; it feeds the decisions and turns their actions into orders to the drivers. It knows no
socket and no line, so a second protocol is one more kind of ``Holder``.
"""

from __future__ import annotations

import itertools
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from msgspec import Struct

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import (
    Abandoned,
    Action,
    AnswerDue,
    CheckHealth,
    ConnectionSample,
    Ended,
    Established,
    Event,
    Fail,
    HandoverStarted,
    HealthChecked,
    Migrate,
    Outcome,
    Reject,
    Request,
    Resumed,
    SampleKind,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)
from ironmill.configuration.proxy_config import Config
from ironmill.protocol.discovery import Routing
from ironmill.requests.metrics import Count, Figures
from ironmill.requests.response_delay import DelayMeter
from ironmill.requests.routing_table import RoutingTable, Server
from ironmill.runtime.lifecycle import Lifecycle, ProcessState
from ironmill.runtime.scheduler import Timers
from ironmill.runtime.timers import Timer

# The final answer is due this long before the client stops waiting, so that it still gets there.
ANSWER_LEAD = 0.01
# If the decisions have said nothing by then the gateway answers for them.
ANSWER_OVERDUE = 0.02
# An attempt begins this much sooner than the rule on draining servers would let it. A process may be held up
# for as long between reading its clock and writing, and the grace has to cover that (STANDING).
DRAIN_LEAD = 0.15

log = logging.getLogger("ironmill.requests.gateway")


class Holder(Protocol):
    """The driver of a client's connection: what the gateway orders of it. None of these may park."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Open a connection to the attempt's server and ask there."""

    def stop_attempt(self) -> bool:
        """End the attempt that is out, at once. True if its first line was written whole: it may have run."""

    def refuse(self, retry_after: float) -> None:
        """Give the final answer that trying again is harmless, and when."""

    def fail(self) -> None:
        """Give the final answer that it failed."""

    def move(self) -> None:
        """Send the client of a standing connection away politely."""


class _Nobody:
    """The holder of a request that is over: the one it had must not be kept alive by it."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Nobody asks."""

    def stop_attempt(self) -> bool:
        """Nothing is out."""
        return False

    def refuse(self, retry_after: float) -> None:
        """Nobody waits."""

    def fail(self) -> None:
        """Nobody waits."""

    def move(self) -> None:
        """Nobody stands."""


NOBODY = _Nobody()


class Prober(Protocol):
    """The driver of probes."""

    def probe(self, server: Server) -> None:
        """Ask the server for its load report; ``Gateway.probed`` is then told. Must not park."""


class ClientRequest(Struct, eq=False):
    """A client's request, from its arrival until its connection is over."""

    id: str
    give_up_at: float
    holder: Holder
    count: Count
    attempts: int = 0
    attempt: Attempt | None = None  # the one that is out or stands; there is never a second
    standing: bool = False
    silent: bool = False  # nothing came back for long
    over: bool = False  # no answer is owed any more
    deadline: Timer | None = None


class Attempt(Struct, eq=False):
    """One attempt of a request at one server."""

    request: ClientRequest
    number: int
    server: Server
    started_at: float
    timeout: float
    start_by: float = math.inf  # on the decisions' clock: begun later it could take effect a second time
    ended: bool = False


class Gateway:
    """Feeds the decisions of one proxy and carries them out."""

    def __init__(self, config: Config, timers: Timers, lifecycle: Lifecycle | None = None) -> None:
        self._config = config
        self.lifecycle = lifecycle or Lifecycle(ProcessState.SERVING)
        self.figures = Figures(config.wait_limits)
        self._timers = timers
        # One clock for all: Unix time as it was at the start, from then on as steady as the monotonic.
        self._offset = time.time() - time.monotonic()
        self._balancer = Balancer(config.settings, config.seed, self.now())
        self._table = RoutingTable()
        self._requests: dict[str, ClientRequest] = {}
        self._meters: dict[int, DelayMeter] = {}
        self._events: deque[Event] = deque()
        self._feeding = False
        self._serial = itertools.count()
        self.counts: dict[str, int] = {}
        self.prober: Prober | None = None
        self.carrying: set[Holder] = set()  # whose connections, open before the run, are not up again yet
        self._feed(self._table.apply(config.known, self.now(), answered=False))

    def now(self) -> float:
        """The clock that the decisions are given."""
        return time.monotonic() + self._offset

    @property
    def revision(self) -> int:
        """The version of the routing table."""
        return self._table.revision

    def succeed(self, within: float) -> None:
        """Another process of this proxy, which is about to end, serves beside it for so long at the most."""
        self._feed(HandoverStarted(self.now() + within))

    def pending(self) -> int:
        """How many requests are owed an answer."""
        return sum(1 for request in self._requests.values() if not request.over)

    def standing(self) -> list[ClientRequest]:
        """Those whose connections stand."""
        return [request for request in self._requests.values() if request.standing]

    def known_servers(self) -> int:
        """How many servers are in the list, the draining ones among them."""
        return len(self._table.listed())

    def skipped_servers(self) -> int:
        """How many of those get nothing new now: they drain, or too much has failed there."""
        left_out = self._balancer.left_out()
        return sum(
            1
            for server in self._table.listed()
            if server.leaving_since is not None or server.number in left_out
        )

    def held(self) -> int:
        """How many requests there are, those whose connections stand among them."""
        return len(self._requests)

    def busy(self) -> bool:
        """True while an answer is owed or a connection stands."""
        return bool(self._requests)

    # What drivers tell

    def routing(self, routing: Routing) -> None:
        """Discovery answered."""
        self._feed(self._table.apply(routing, self.now()))

    def server(self, uid: str) -> Server | None:
        """The server of that uid, if discovery has ever told of it."""
        return self._table.by_uid(uid)

    def knows(self, class_name: str) -> bool:
        """True if the settings name the class."""
        return class_name in self._config.wait_limits

    def take_request(
        self,
        holder: Holder,
        class_name: str,
        wait: float | None,
        came_at: float,
        count: Count | None = None,
        **fields: Any,
    ) -> ClientRequest:
        """A client asks for a connection. What is known of the request beyond its class goes in fields.

        ``count`` is where it is counted, if its driver has counted it already.
        """
        if wait is None:
            wait = self._config.wait_limits.get(class_name, 10.0)
        count = count or self.figures.take(class_name)
        request = self._admit(holder, came_at + wait - ANSWER_LEAD, count)
        request.deadline = self._timers.call_later(
            request.give_up_at - self.now() + ANSWER_OVERDUE, self._overdue, request
        )
        self._feed(Request(request.id, class_name, request.give_up_at, **fields))
        return request

    def carry(
        self, holder: Holder, server: Server, class_name: str, count: Count | None = None, **fields: Any
    ) -> Attempt:
        """A connection that was open before the proxy began is up again at its server."""
        self.carrying.discard(holder)
        request = self._admit(holder, 0.0, count or self.figures.take(class_name))
        request.count.passed()
        request.over = request.standing = True
        attempt = Attempt(request, 0, server, self.now(), 0.0)
        request.attempt, request.attempts = attempt, 1
        self._meter(server).add(request.id)
        self._count("carried")
        self._feed(Resumed(Request(request.id, class_name, 0.0, **fields), server.number))
        return attempt

    def may_start(self, attempt: Attempt) -> bool:
        """False once it is too late for an attempt's first byte: for a repeat that could take effect a second
        time, and at a server that was told to be leaving."""
        if self.now() >= attempt.start_by:
            return False
        since = attempt.server.leaving_since
        return since is None or self.now() - since < self._config.drain_grace - DRAIN_LEAD

    def up(self, attempt: Attempt) -> bool:
        """The server took the connection; False if nobody waits for it any more."""
        request = attempt.request
        if request.over or attempt.ended:
            return False
        request.standing = True
        request.count.passed()
        self._settle(request)
        self._meter(attempt.server).add(request.id)
        delay = self.now() - attempt.started_at
        self._feed(Established(request.id, attempt.number, attempt.server.number, delay))
        return True

    def ended(self, attempt: Attempt, outcome: Outcome, report: tuple[tuple[str, float], ...] = ()) -> None:
        """The attempt is over and its connection closed. Tells the decisions once."""
        if attempt.ended:
            return
        attempt.ended = True
        request = attempt.request
        request.attempt = None
        if outcome is Outcome.CONNECT_FAILED and self.now() >= attempt.start_by:
            outcome = Outcome.NOT_SENT  # it came too late, and its server is not to blame
        if request.silent and outcome is Outcome.CANCELLED:
            outcome = Outcome.RESET  # it was the server that was lost, not the client that left
        if request.standing:
            self._meter(attempt.server).drop(request.id)
        if outcome is Outcome.OK:
            request.count.failed()  # unless it stood: to its client any other line than UP is a failure
            self._settle(request)
        final = request.over
        if final:
            self._forget(request)
        self._count(f"{'standing' if request.standing else 'attempt'} {outcome.name}")
        delay = self.now() - attempt.started_at
        self._feed(Ended(request.id, attempt.number, attempt.server.number, outcome, delay, final, report))

    def left(self, request: ClientRequest) -> None:
        """The client went before it had its answer. Its attempt, if one is out, is then to be ended."""
        if request.over:
            return
        request.count.abandoned()
        self._drop(request)

    def lines_sent(self, attempt: Attempt, count: int) -> None:
        """So many of the client's lines were written to the server."""
        self._meter(attempt.server).sent(attempt.request.id, count)

    def lines_back(self, attempt: Attempt, count: int) -> None:
        """So many lines answered."""
        self._meter(attempt.server).answered(attempt.request.id, count)

    def client_slow(self, attempt: Attempt) -> None:
        """The client does not read, so what its server answers cannot be seen.

        Guards a sound server against being taken for slow or silent.
        """
        self._meter(attempt.server).drop(attempt.request.id)

    def client_reads(self, attempt: Attempt) -> None:
        """The client took what was held for it."""
        if not attempt.ended:
            self._meter(attempt.server).add(attempt.request.id)

    def load(self, attempt: Attempt, value: float) -> None:
        """The server told the connection's load."""
        self._feed(
            ConnectionSample(
                attempt.request.id, attempt.number, attempt.server.number, SampleKind.LOAD, value
            )
        )

    def probed(self, server: Server, outcome: Outcome, report: tuple[tuple[str, float], ...] = ()) -> None:
        """A probe's answer came, or none did."""
        self._count(f"probe {outcome.name}")
        self._feed(HealthChecked(server.number, outcome, report))

    # The decisions

    def _feed(self, event: Event) -> None:
        """Hand an event to the decisions. Events that their orders bring about wait their turn."""
        self._events.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._events:
                for action in self._handle(self._events.popleft()):
                    try:
                        self._order(action)
                    except Exception:  # guards the other orders, and whom they would answer
                        log.exception("an order failed: %r", action)
        finally:
            self._feeding = False

    def _handle(self, event: Event) -> list[Action]:
        try:
            return self._balancer.handle(event, self.now())
        except Exception:  # guards the process: what is owed is answered by the deadline's timer
            log.exception("the decisions failed at %r", event)
            return []

    def _order(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                self._timers.call_later(action.delay, self._feed, TimerFired(action.name))
            case Reject():
                self._answer(
                    action.request_id, Count.dropped, lambda holder: holder.refuse(action.retry_after)
                )
            case Fail():
                self._answer(action.request_id, Count.failed, lambda holder: holder.fail())
            case Migrate():
                request = self._requests.get(action.request_id)
                if request is not None and request.standing:
                    self._count("moved")
                    request.holder.move()
            case CheckHealth():
                server = self._table.by_number(action.server_id)
                if server is not None and self.prober is not None:
                    self.prober.probe(server)
            case Subscribe():
                pass  # the watch on discovery always stands

    def _send(self, send: Send) -> None:
        request = self._requests.get(send.request_id)
        server = self._table.by_number(send.server_id)
        left = 0.0 if request is None else request.give_up_at - self.now()
        moot = (
            request is None
            or request.over
            or request.attempt is not None  # attempts never overlap
            or request.attempts >= self._config.settings.max_attempts
            or left <= 0.0
        )
        if request is None or server is None or moot:
            number = 0 if request is None else request.attempts
            self._feed(Ended(send.request_id, number, send.server_id, Outcome.NOT_SENT, 0.0, request is None))
            return
        timeout = min(left, send.timeout) if send.timeout > 0.0 else left
        attempt = Attempt(request, request.attempts, server, self.now(), timeout, send.start_by)
        request.attempts += 1
        request.attempt = attempt
        self._count("attempts")
        request.holder.start_attempt(attempt)

    def _answer(self, id_: str, count: Callable[[Count], None], order: Callable[[Holder], None]) -> None:
        request = self._requests.get(id_)
        if request is None or request.over:
            return
        count(request.count)
        self._settle(request)
        holder = request.holder
        if request.attempt is None:
            self._forget(request)
        order(holder)

    def _overdue(self, request: ClientRequest) -> None:
        """Guards the promise of an answer against decisions that fell silent."""
        if request.over:
            return
        log.warning("no answer for %s in time", request.id)
        self._count("overdue")
        request.count.failed()
        holder = request.holder
        self._drop(request)
        holder.fail()

    def settle_all(self) -> None:
        """The proxy ends: whoever is owed an answer gets it now, for nothing else will answer.

        Which one the decisions say, for an attempt that is out may have run: a request that may not simply be
        repeated has failed then. Not to be called from a task of a connection.
        """
        for holder in list(self.carrying):
            holder.fail()
        for request in list(self._requests.values()):
            if request.over:
                continue
            self._count("settled at the end")
            self._feed(AnswerDue(request.id))
            attempt = request.attempt
            if attempt is not None:
                may_have_run = request.holder.stop_attempt()
                self.ended(attempt, Outcome.CANCELLED if may_have_run else Outcome.NOT_SENT)
            self._overdue(request)  # guards against decisions that fail; else it is over

    # Book-keeping

    def _admit(self, holder: Holder, give_up_at: float, count: Count) -> ClientRequest:
        # A number of our own: a client's id that came twice must not mix up two requests.
        request = ClientRequest(f"a{next(self._serial)}", give_up_at, holder, count)
        self._requests[request.id] = request
        return request

    def _drop(self, request: ClientRequest) -> None:
        """Nothing is owed any more, and the decisions are not the ones who said so."""
        self._settle(request)
        if request.attempt is None:
            self._forget(request)
        self._feed(Abandoned(request.id))

    def _forget(self, request: ClientRequest) -> None:
        self._requests.pop(request.id, None)
        request.count.ended()
        request.holder = NOBODY

    def _settle(self, request: ClientRequest) -> None:
        request.over = True
        self._timers.cancel(request.deadline)
        request.deadline = None

    def _meter(self, server: Server) -> DelayMeter:
        meter = self._meters.get(server.number)
        if meter is None:
            meter = self._meters[server.number] = DelayMeter(
                self._timers,
                self._config.shortest_latency_objective_s / 3.0,
                lambda id_, delay: self._delayed(id_, server, delay),
                self._silent,
            )
        return meter

    def _delayed(self, id_: str, server: Server, delay: float) -> None:
        request = self._requests.get(id_)
        if request is not None and request.attempt is not None:
            number = request.attempt.number
            self._feed(ConnectionSample(id_, number, server.number, SampleKind.DELAY, delay * 1000.0))

    def _silent(self, id_: str) -> None:
        """Nothing has come back for long: the server's machine may have vanished without a word."""
        request = self._requests.get(id_)
        if request is not None and request.standing:
            self._count("silent")
            request.silent = True
            request.holder.move()

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
