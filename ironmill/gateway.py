"""The gateway: between the decisions and whatever protocol carries them out.

It owns the ``Balancer``, the authorisations and their legs. Protocol drivers tell it what happened in
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

from ironmill.config import Config
from ironmill.delay import DelayMeter
from ironmill.figures import Count, Figures
from ironmill.lifecycle import Lifecycle, State
from ironmill.routing_table import Routing, RoutingTable, Server
from ironmill.scheduler import Timers
from ironmill.timers import Timer
from stonegap.balance import Balancer
from stonegap.interface import (
    Abandoned,
    Action,
    Carried,
    CutShort,
    Ended,
    Established,
    Event,
    Fail,
    Move,
    Note,
    NoteKind,
    Outcome,
    Probe,
    Probed,
    Refuse,
    Request,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)

# The final answer is due this long before the client stops waiting, so that it still gets there.
ANSWER_LEAD = 0.01
# If the decisions have said nothing by then the gateway answers for them.
ANSWER_OVERDUE = 0.02
# A leg begins this much sooner than the rule on draining servers would let it.
DRAIN_LEAD = 0.05

log = logging.getLogger("ironmill.gateway")


class Holder(Protocol):
    """The driver of a client's connection: what the gateway orders of it. None of these may park."""

    def start_leg(self, leg: Leg) -> None:
        """Open a connection to the leg's server and ask there."""

    def stop_leg(self) -> bool:
        """End the leg that is out, at once. True if its first line was written whole, so it may have run."""

    def decline(self, retry_after: float) -> None:
        """Give the final answer that trying again is harmless, and when."""

    def fail(self) -> None:
        """Give the final answer that it failed."""

    def move(self) -> None:
        """Send the client of a standing connection away politely."""


class _Nobody:
    """The holder of an authorisation that is over: the one it had must not be kept alive by it."""

    def start_leg(self, leg: Leg) -> None:
        """Nobody asks."""

    def stop_leg(self) -> bool:
        """Nothing is out."""
        return False

    def decline(self, retry_after: float) -> None:
        """Nobody waits."""

    def fail(self) -> None:
        """Nobody waits."""

    def move(self) -> None:
        """Nobody stands."""


NOBODY = _Nobody()


class Prober(Protocol):
    """The driver of probes."""

    def probe(self, host: Server) -> None:
        """Ask the server for its load report; ``Gateway.probed`` is then told. Must not park."""


class Authorisation(Struct, eq=False):
    """A client's request, from its arrival until its connection is over."""

    id: str
    give_up_at: float
    holder: Holder
    count: Count
    legs: int = 0
    leg: Leg | None = None  # the one that is out or stands; there is never a second
    standing: bool = False
    silent: bool = False  # nothing came back for long
    over: bool = False  # no answer is owed any more
    deadline: Timer | None = None


class Leg(Struct, eq=False):
    """One attempt of an authorisation at one server."""

    authorisation: Authorisation
    number: int
    host: Server
    started_at: float
    timeout: float
    start_by: float = math.inf  # on the decisions' clock: begun later it could take effect a second time
    ended: bool = False


class Gateway:
    """Feeds the decisions of one proxy and carries them out."""

    def __init__(self, config: Config, timers: Timers, lifecycle: Lifecycle | None = None) -> None:
        self._config = config
        self.lifecycle = lifecycle or Lifecycle(State.SERVING)
        self.figures = Figures(config.wait_limits)
        self._timers = timers
        # One clock for all: Unix time as it was at the start, from then on as steady as the monotonic.
        self._offset = time.time() - time.monotonic()
        self._balancer = Balancer(config.settings, config.seed, self.now())
        self._table = RoutingTable()
        self._authorisations: dict[str, Authorisation] = {}
        self._meters: dict[int, DelayMeter] = {}
        self._events: deque[Event] = deque()
        self._feeding = False
        self._serial = itertools.count()
        self.counts: dict[str, int] = {}
        self.prober: Prober | None = None
        self.routing(config.known)

    def now(self) -> float:
        """The clock that the decisions are given."""
        return time.monotonic() + self._offset

    @property
    def revision(self) -> int:
        """The version of the routing table."""
        return self._table.revision

    def pending(self) -> int:
        """How many authorisations are owed an answer."""
        return sum(1 for authorisation in self._authorisations.values() if not authorisation.over)

    def standing(self) -> list[Authorisation]:
        """Those whose connections stand."""
        return [authorisation for authorisation in self._authorisations.values() if authorisation.standing]

    def known_servers(self) -> int:
        """How many servers are in the list, the draining ones among them."""
        return len(self._table.listed())

    def skipped_servers(self) -> int:
        """How many of those get nothing new now: they drain, or too much has failed there."""
        left_out = self._balancer.left_out()
        return sum(
            1 for host in self._table.listed() if host.leaving_since is not None or host.number in left_out
        )

    def held(self) -> int:
        """How many authorisations there are, those whose connections stand among them."""
        return len(self._authorisations)

    def busy(self) -> bool:
        """True while an answer is owed or a connection stands."""
        return bool(self._authorisations)

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

    def authorise(
        self, holder: Holder, class_name: str, wait: float | None, came_at: float,
        count: Count | None = None, **fields: Any,
    ) -> Authorisation:
        """A client asks for a connection. What is known of the request beyond its class goes in fields.

        ``count`` is where it is counted, if its driver has counted it already.
        """
        if wait is None:
            wait = self._config.wait_limits.get(class_name, 10.0)
        count = count or self.figures.take(class_name)
        authorisation = self._admit(holder, came_at + wait - ANSWER_LEAD, count)
        authorisation.deadline = self._timers.call_later(
            authorisation.give_up_at - self.now() + ANSWER_OVERDUE, self._overdue, authorisation
        )
        self._feed(Request(authorisation.id, class_name, authorisation.give_up_at, **fields))
        return authorisation

    def carry(
        self, holder: Holder, host: Server, class_name: str, count: Count | None = None, **fields: Any
    ) -> Leg:
        """A connection that was open before the proxy began is up again at its server."""
        authorisation = self._admit(holder, 0.0, count or self.figures.take(class_name))
        authorisation.count.passed()
        authorisation.over = authorisation.standing = True
        leg = Leg(authorisation, 0, host, self.now(), 0.0)
        authorisation.leg, authorisation.legs = leg, 1
        self._meter(host).add(authorisation.id)
        self._count("carried")
        self._feed(Carried(Request(authorisation.id, class_name, 0.0, **fields), host.number))
        return leg

    def may_start(self, leg: Leg) -> bool:
        """False once it is too late for a leg's first byte: for a repeat that could take effect a second
        time, and at a server that was told to be leaving."""
        if self.now() >= leg.start_by:
            return False
        since = leg.host.leaving_since
        return since is None or self.now() - since < self._config.drain_grace - DRAIN_LEAD

    def up(self, leg: Leg) -> bool:
        """The server took the connection; False if nobody waits for it any more."""
        authorisation = leg.authorisation
        if authorisation.over or leg.ended:
            return False
        authorisation.standing = True
        authorisation.count.passed()
        self._settle(authorisation)
        self._meter(leg.host).add(authorisation.id)
        self._feed(Established(authorisation.id, leg.number, leg.host.number, self.now() - leg.started_at))
        return True

    def ended(self, leg: Leg, outcome: Outcome, report: tuple[tuple[str, float], ...] = ()) -> None:
        """The leg is over and its connection closed. Tells the decisions once, however often it is called."""
        if leg.ended:
            return
        leg.ended = True
        authorisation = leg.authorisation
        authorisation.leg = None
        if outcome is Outcome.CONNECT_FAILED and self.now() >= leg.start_by:
            outcome = Outcome.MOOT  # it came too late, and its server is not to blame
        if authorisation.silent and outcome is Outcome.CANCELLED:
            outcome = Outcome.RESET  # it was the server that was lost, not the client that left
        if authorisation.standing:
            self._meter(leg.host).drop(authorisation.id)
        if outcome is Outcome.OK:
            authorisation.count.failed()  # unless it stood: to its client any other line than UP is a failure
            self._settle(authorisation)
        final = authorisation.over
        if final:
            self._forget(authorisation)
        self._count(f"{'standing' if authorisation.standing else 'leg'} {outcome.name}")
        delay = self.now() - leg.started_at
        self._feed(Ended(authorisation.id, leg.number, leg.host.number, outcome, delay, final, report))

    def left(self, authorisation: Authorisation) -> None:
        """The client went before it had its answer. Its leg, if one is out, is then to be ended."""
        if authorisation.over:
            return
        authorisation.count.abandoned()
        self._drop(authorisation)

    def lines_sent(self, leg: Leg, count: int) -> None:
        """So many of the client's lines were written to the server."""
        self._meter(leg.host).sent(leg.authorisation.id, count)

    def lines_back(self, leg: Leg, count: int) -> None:
        """So many lines answered."""
        self._meter(leg.host).answered(leg.authorisation.id, count)

    def client_slow(self, leg: Leg) -> None:
        """The client does not read, so what its server answers cannot be seen.

        Guards a sound server against being taken for slow or silent.
        """
        self._meter(leg.host).drop(leg.authorisation.id)

    def client_reads(self, leg: Leg) -> None:
        """The client took what was held for it."""
        if not leg.ended:
            self._meter(leg.host).add(leg.authorisation.id)

    def load(self, leg: Leg, value: float) -> None:
        """The server told the connection's load."""
        self._feed(Note(leg.authorisation.id, leg.number, leg.host.number, NoteKind.LOAD, value))

    def probed(self, host: Server, outcome: Outcome, report: tuple[tuple[str, float], ...] = ()) -> None:
        """A probe's answer came, or none did."""
        self._count(f"probe {outcome.name}")
        self._feed(Probed(host.number, outcome, report))

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
            case Refuse():
                self._answer(action.id, Count.dropped, lambda holder: holder.decline(action.retry_after))
            case Fail():
                self._answer(action.id, Count.failed, lambda holder: holder.fail())
            case Move():
                authorisation = self._authorisations.get(action.id)
                if authorisation is not None and authorisation.standing:
                    self._count("moved")
                    authorisation.holder.move()
            case Probe():
                host = self._table.by_number(action.backend)
                if host is not None and self.prober is not None:
                    self.prober.probe(host)
            case Subscribe():
                pass  # the watch on discovery always stands

    def _send(self, send: Send) -> None:
        authorisation = self._authorisations.get(send.id)
        host = self._table.by_number(send.backend)
        left = 0.0 if authorisation is None else authorisation.give_up_at - self.now()
        moot = (
            authorisation is None
            or authorisation.over
            or authorisation.leg is not None  # legs never overlap
            or authorisation.legs >= self._config.settings.max_attempts
            or left <= 0.0
        )
        if authorisation is None or host is None or moot:
            number = 0 if authorisation is None else authorisation.legs
            self._feed(Ended(send.id, number, send.backend, Outcome.MOOT, 0.0, authorisation is None))
            return
        timeout = min(left, send.timeout) if send.timeout > 0.0 else left
        leg = Leg(authorisation, authorisation.legs, host, self.now(), timeout, send.start_by)
        authorisation.legs += 1
        authorisation.leg = leg
        self._count("legs")
        authorisation.holder.start_leg(leg)

    def _answer(self, id_: str, count: Callable[[Count], None], order: Callable[[Holder], None]) -> None:
        authorisation = self._authorisations.get(id_)
        if authorisation is None or authorisation.over:
            return
        count(authorisation.count)
        self._settle(authorisation)
        holder = authorisation.holder
        if authorisation.leg is None:
            self._forget(authorisation)
        order(holder)

    def _overdue(self, authorisation: Authorisation) -> None:
        """Guards the promise of an answer against decisions that fell silent."""
        if authorisation.over:
            return
        log.warning("no answer for %s in time", authorisation.id)
        self._count("overdue")
        authorisation.count.failed()
        holder = authorisation.holder
        self._drop(authorisation)
        holder.fail()

    def settle_all(self) -> None:
        """The proxy ends: whoever is owed an answer gets it now, for nothing else will answer.

        Which one the decisions say, for an attempt that is out may have run: a request that may not simply be
        repeated has failed then. Not to be called from a task of a connection.
        """
        for authorisation in list(self._authorisations.values()):
            if authorisation.over:
                continue
            self._count("settled at the end")
            self._feed(CutShort(authorisation.id))
            leg = authorisation.leg
            if leg is not None:
                may_have_run = authorisation.holder.stop_leg()
                self.ended(leg, Outcome.CANCELLED if may_have_run else Outcome.MOOT)
            self._overdue(authorisation)  # guards against decisions that fail; else it is over

    # Book-keeping

    def _admit(self, holder: Holder, give_up_at: float, count: Count) -> Authorisation:
        # A number of our own: a client's id that came twice must not mix up two authorisations.
        authorisation = Authorisation(f"a{next(self._serial)}", give_up_at, holder, count)
        self._authorisations[authorisation.id] = authorisation
        return authorisation

    def _drop(self, authorisation: Authorisation) -> None:
        """Nothing is owed any more, and the decisions are not the ones who said so."""
        self._settle(authorisation)
        if authorisation.leg is None:
            self._forget(authorisation)
        self._feed(Abandoned(authorisation.id))

    def _forget(self, authorisation: Authorisation) -> None:
        self._authorisations.pop(authorisation.id, None)
        authorisation.count.ended()
        authorisation.holder = NOBODY

    def _settle(self, authorisation: Authorisation) -> None:
        authorisation.over = True
        self._timers.cancel(authorisation.deadline)
        authorisation.deadline = None

    def _meter(self, host: Server) -> DelayMeter:
        meter = self._meters.get(host.number)
        if meter is None:
            meter = self._meters[host.number] = DelayMeter(
                self._timers,
                self._config.shortest_aim / 3.0,
                lambda id_, delay: self._delayed(id_, host, delay),
                self._silent,
            )
        return meter

    def _delayed(self, id_: str, host: Server, delay: float) -> None:
        authorisation = self._authorisations.get(id_)
        if authorisation is not None and authorisation.leg is not None:
            number = authorisation.leg.number
            self._feed(Note(id_, number, host.number, NoteKind.DELAY, delay * 1000.0))

    def _silent(self, id_: str) -> None:
        """Nothing has come back for long: the server's machine may have vanished without a word."""
        authorisation = self._authorisations.get(id_)
        if authorisation is not None and authorisation.standing:
            self._count("silent")
            authorisation.silent = True
            authorisation.holder.move()

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
