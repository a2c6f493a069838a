"""Every decision of the balancer. Interface (settings, events, actions): ``ironmill/balancing/interface.py``.

A proxy hands each event to its ``Balancer`` with the time, and carries out the actions it gets
back. The ordinary path is the self-learning threshold rule of Goldsztajn, Borst and van Leeuwaarden:
a random green backend, else a random yellow one, else any ready one, and after each placement one
step of the threshold. All else changes what a backend's count reads, which backends are ready, or
when a placement happens; ``docs/design.md`` lists these departures and their conditions.

Its parts are modules of their own: ``token_table``, ``preference`` (of groups), ``health``, ``slow_start``,
``load_shedding`` and ``subscription``. Here is the life of a request, with placement, moves and probes.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from functools import partial

from ironmill.balancing.group_order import preference
from ironmill.balancing.health import (
    LOAD_OF_OUTCOME,
    LOAD_OF_SLOWNESS,
    OUT_AFTER,
    OUT_PART,
    SLOW_SHARE,
    Backend,
    Breaker,
    Health,
)
from ironmill.balancing.interface import (
    Abandoned,
    Action,
    AnswerDue,
    CheckHealth,
    ConnectionSample,
    DeduplicationScope,
    Ended,
    EndpointEntry,
    Established,
    Event,
    Fail,
    HandoverStarted,
    HealthChecked,
    Idempotency,
    Migrate,
    Outcome,
    Reject,
    Request,
    RequestClass,
    Resumed,
    SampleKind,
    Send,
    SetTimer,
    Settings,
    Stage,
    Subscribe,
    TimerFired,
    WatchEvent,
    WatchEventKind,
)
from ironmill.balancing.load_shedding import (
    SHARE_SLACK,
    SHED_ABOVE,
    SHED_ABOVE_REPORTED,
    SHED_BELOW,
    SHED_BELOW_REPORTED,
    SHED_LEAST,
    SHED_LEAST_JAMMED,
    SHED_MEAN,
    Gate,
)
from ironmill.balancing.slow_start import FULLEST, SlowStartBudget
from ironmill.balancing.subscription import Subscription
from ironmill.balancing.token_table import TokenTable

# --- tunables ------------------------------------------------------------------------------------

# Many constants below were found with four proxies. One of more proxies sees and does less of the whole, so
# what each does by itself (looks, moves) and what an own connection stands for go by its part of the fleet:
# 40 proxies that acted like four asked 160 probes a second and emptied a jammed backend in one round.
PROXIES_TRIED = 4

# Threshold: higher follows a rising load sooner and a falling one later.
ALPHA = 0.9
# Each backend that holds any of a group pays for the group once. One that holds some of it here therefore
# reads so much less for a connection of that group. On the simulator's four quick days 8, 4, 3, 2 and 1 score
# 0.804, 0.824, 0.825, 0.821 and 0.761 with live weights in the counts. Where those tell what all proxies
# hold, the first GROUP_TOP in the group's order read as much less: the others most likely hold it there,
# which one proxy of many cannot see. Guards against a group that is scattered: 94 connections of one stood
# on 12 of 12. With 40 proxies none, 3 and (reading 5 less) 3 score 0.33, 0.54 and 0.50 (nine days each).
GROUP_LESS = 3
GROUP_TOP = 3

# Ends after which the link to the backend stays open for another connection.
LEAVES_LINK = (Outcome.OK, Outcome.ERROR, Outcome.CANCELLED)

# Points of the result for each request from which a handshake counts, and what it then reads like.
PRICE_THAT_COUNTS = 0.02
LOAD_OF_NEW_LINK = 2

# Moves: chance that a connection on a jammed backend is moved at a note (one a second and proxy), and
# the largest part of the backends in use that may be jammed at once for a move to help.
MOVE_CHANCE = 0.35
MOVE_FLEET_PART = 0.4
# Messages that take this share of their aim begin to move connections; from 0.5 on moves do more harm.
MOVE_SHARE = 0.7

# Drains: a leaving backend's connections are moved one at a look, from the news on. While a ready backend
# is cold the looks are rarer: moved clients come again within 0.2 s and would crowd the warm ones. On 20
# days of deploys and shrinks the mean G is 0.79 without moves, 0.73 with one each 0.1 s, 0.78 with these.
DRAIN_LOOK = 0.2
DRAIN_LOOK_COLD = 1.0
DRAIN_TIMER = "drain:"

# Life of a request: first pause before a further attempt (doubled each time, with full jitter), how
# often a held request looks for a backend, and the least time that an attempt is worth.
BACKOFF = 0.03
HOLD_LOOK = 0.1
ATTEMPT_LEAST = 0.02

# A note of slowness holds this long, unless the next one (due after a second) comes first.
JAM_MEMORY = 2.5
# A backend counts as jammed from this share of the aim on: of messages that take half the aim on
# average a good part misses it. 0.4 to 0.6 score alike, 1.0 clearly less.
JAM_SHARE = 0.5

# Probes: one at each look goes to the backend that was asked longest ago. From PROBE_OVER on (load asked over
# what it can do) its messages are taken to miss their aim; 0.85 and 0.95 score less. A report counts for
# REPORT_MEMORY; one that comes back the same to the last digit this often is taken for a frozen one.
PROBE_LOOK = 0.25
PROBE_OVER = 0.9
PROBE_TIMER = "probe"
REPORT_MEMORY = 8.0
REPORT_SAME = 4
REPORT_MOST = 4.0  # a load beyond it says no more than that it is far too high
# Moves off a backend that reports a jam: at each report one, and this part of what is over MOVE_TO.
MOVE_PART = 0.5
MOVE_TO = 0.8

# Live weights tell of what was held a while before they come: against the true counts of 40 proxies, 230
# weights of one day fit best 1.3 s back, 303 of another 0.6 s. No weight holds an own send younger than this,
# seconds.
LIST_AGE = 1.2
# How far a report may change what a connection held costs, against the others' mean. On the four quick days
# of the simulator bounds of 0.5 and 2, 0.7 and 3, 1 and 3 score 0.839, 0.839 and 0.825; with 40 proxies one
# of 0.5 made what is empty look emptier still to all of them (six days: 0.34, and 0.42 with 1).
COST_LEAST, COST_MOST = 0.7, 3.0


# --- the balancer and the life of a request ------------------------------------------------------


class _Live:
    """A request that is owed an answer, or a connection that stands."""

    __slots__ = (
        "backend",
        "cls",
        "cut_short",
        "established",
        "maybe_ran",
        "moved",
        "out",
        "over",
        "request",
        "sent",
        "sent_at",
        "tried",
    )

    def __init__(self, request: Request, cls: RequestClass) -> None:
        self.request = request
        self.cls = cls
        self.sent = 0  # attempts so far
        self.sent_at = 0.0
        self.out = False  # an attempt is out, or its connection stands
        self.established = False
        self.moved = False  # told to come again elsewhere
        self.over = False  # no answer is owed any more
        self.cut_short = False  # it is answered as soon as nothing is out
        self.backend = -1
        self.tried: list[int] = []
        self.maybe_ran: tuple[Backend, float] | None = None  # first attempt that may have run


class Balancer:
    """The decisions of one proxy."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._now = now
        self._classes = {cls.name: cls for cls in settings.classes}
        self._quotas = {
            tenant.name: tenant.quota_connections / max(1, settings.proxies)
            for tenant in settings.tenants
            if tenant.quota_connections > 0.0
        }
        self._held: dict[str, int] = {}  # own connections and attempts out, by tenant
        self._backends: dict[int, Backend] = {}
        self._heaviest = self._mean_weight = 1.0  # of the listed weights
        self._largest = 0.0  # the largest weight ever listed: a size, where weights are live
        # How much more than one of PROXIES_TRIED an own connection stands for, and how much less often to
        # act.
        self._part = max(1.0, settings.proxies / PROXIES_TRIED)
        self._changing: dict[int, None] = {}  # backends whose reading changes with time
        self._table = TokenTable()
        self._budget = SlowStartBudget(settings, self._rng, now)
        self._gate = Gate(self._rng, now)
        self._breaker = Breaker(self._rng)
        self._groups: dict[int, dict[int, int]] = {}  # own standing connections, by group and backend
        # What an own connection adds to a reported load, over all that reported; with live weights what a
        # connection held does.
        self._unit = 0.0
        self._jammed: dict[int, None] = {}  # backends noted as jammed, in the order of the first note
        self._subscription = Subscription(settings, self._rng)
        self._live: dict[str, _Live] = {}
        self._threshold: int | None = None  # set at the first placement
        self._actions: list[Action] = self._subscription.start()
        if settings.health_checks:
            self._actions.append(SetTimer(PROBE_LOOK * self._part * self._rng.random(), PROBE_TIMER))

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in one event and return what to do, in order."""
        self._now = now
        match event:
            case Request():
                self._arrive(event)
            case Ended():
                self._end(event)
            case Established():
                self._establish(event)
            case ConnectionSample():
                self._note(event)
            case TimerFired():
                self._timer(event.name)
            case WatchEvent():
                self._list_changed(event)
            case Resumed():
                self._carry(event)
            case HealthChecked():
                self._probed(event)
            case Abandoned():
                self._abandon(event)
            case AnswerDue():
                self._cut_short(event)
            case HandoverStarted():
                self._budget.succeed(event.until)
        actions, self._actions = self._actions, []
        return actions

    # What a proxy may show on its status page

    @property
    def threshold(self) -> int:
        """The threshold, 0 before the first placement."""
        return self._threshold or 0

    def live_counts(self) -> dict[int, int]:
        """Own connections and attempts out, by backend."""
        return {backend.id: backend.live for backend in self._backends.values()}

    def token_counts(self) -> dict[int, int]:
        """What the count of each ready backend reads, symptoms included."""
        return {backend: self._table.count(backend) for backend in self._backends if backend in self._table}

    def left_out(self) -> set[int]:
        """The ready backends that get nothing new because one attempt there after another came to nothing."""
        if not self._may_leave_out():
            return set()
        now = self._now
        return {one.id for one in self._backends.values() if one.ready and self._breaker.out(one, now)}

    # The list of backends

    def _list_changed(self, event: WatchEvent) -> None:
        if event.kind is WatchEventKind.FAILED:
            self._actions += self._subscription.failed()
            return
        self._subscription.answered()
        if event.kind is WatchEventKind.FULL:
            listed = {entry.server_id for entry in event.entries}
            for backend in list(self._backends.values()):
                if backend.id not in listed:
                    self._retire(backend)
        for entry in event.entries:
            self._list(entry)
        weights = [backend.weight for backend in self._backends.values() if backend.ready]
        self._heaviest = max(weights, default=1.0)
        largest_before, self._largest = self._largest, max(self._largest, self._heaviest)
        self._mean_weight = sum(weights) / max(1, len(weights))
        if self._settings.live_weights and event.entries:
            all_change = self._largest != largest_before
            for backend in self._backends.values():
                if all_change or backend.unlisted or backend.id in self._changing:  # else it reads as it did
                    backend.unlisted = [at for at in backend.unlisted if self._now - at < LIST_AGE]
                    self._read(backend)
            warm = [
                b.weight
                for b in self._backends.values()
                if b.ready and not self._budget.is_cold(b, self._now)
            ]
            held = sorted(self._largest * (self._largest / weight - 1.0) for weight in warm)
            self._budget.held = sum(held) / max(1, len(held))
            self._budget.held_full = held[int(FULLEST * (len(held) - 1))] if held else 0.0
            self._follow()

    def _follow(self) -> None:
        """One step of the threshold towards the mean count: a list tells what the other proxies have placed.

        By the part of them. Guards the tokens against a threshold that stands still: one proxy of 200 places
        ten connections a day, stayed at 0 while the mean count rose to 3, and so all sent all groups to the
        same few backends, the emptiest of a late list. In a crowd own placements outnumber lists.
        """
        others = 1.0 - 1.0 / self._part
        if self._threshold is not None and len(self._table) and others and self._rng.random() < others:
            mean = self._table.mean()
            self._threshold += (mean > self._threshold) - (mean < self._threshold)

    def _list(self, entry: EndpointEntry) -> None:
        backend = self._backends.get(entry.server_id)
        if backend is None:
            if entry.stage is not Stage.READY:
                return
            backend = self._backends[entry.server_id] = Backend(entry.server_id)
        if entry.stage is not Stage.READY:
            if entry.stage is Stage.DRAINING and backend.ready and backend.live > 0:
                self._look_at_drain(backend.id)
            self._retire(backend)
            return
        backend.zone, backend.cell, backend.weight = entry.zone, entry.cell, max(entry.weight, 1e-6)
        if entry.started_at != backend.started_at:
            # A restarted process has nothing to do with the old one's troubles.
            backend.started_at = entry.started_at
            backend.standing = 0.0
            backend.load_at = -math.inf
            self._breaker.stood(backend)
        backend.ready = True
        self._read(backend)

    def _retire(self, backend: Backend) -> None:
        """Nothing new goes to it from now on; what it holds may end on its own."""
        backend.ready = False
        self._read(backend)
        if backend.live == 0:
            del self._backends[backend.id]

    # What a backend's count reads

    def _read(self, backend: Backend) -> None:
        """Bring the token table up to date for one backend: the only place that fills it."""
        idle = backend.idle_until
        while idle and idle[0] <= self._now:
            del idle[0]
        cold = self._budget.is_cold(backend, self._now)
        standing = Health.standing(backend, self._now)
        # A cold backend reads zero and would win every draw: it is ready only within its budget.
        out = self._breaker.out(backend, self._now) and self._may_leave_out()
        if backend.ready and not out and (not cold or self._budget.allows(backend, self._now)):
            held = int(self._held_by(backend) + 1e-9)
            self._table.put(backend.id, held + int(standing) + self._surcharge(backend))
        elif backend.id in self._table:
            self._table.drop(backend.id)
        reported = self._now - backend.load_at <= REPORT_MEMORY
        if backend.ready and (cold or standing > 0.0 or idle or backend.failures >= OUT_AFTER or reported):
            self._changing[backend.id] = None
        else:
            self._changing.pop(backend.id, None)

    def _held_by(self, backend: Backend) -> float:
        """What is held there, in steps of the count.

        Live weights tell what all proxies together hold on each core, a while back. Until they can tell of an
        own send it stands for one of each proxy, for the others place by the same news. A fresh report then
        tells whether a connection costs more there than elsewhere.

        Without them it is the own connections; where the backend has reported its load, in shares of what all
        reported. A proxy sees only its own slice, and nothing of a neighbour that takes half of the machine.
        So the report stands for what was held when it came, and own counts for all that has changed since.
        """
        if self._settings.live_weights:
            held = self._largest / backend.weight
            if self._unit > 0.0 and self._now - backend.load_at <= REPORT_MEMORY:
                held *= min(COST_MOST, max(COST_LEAST, backend.cost / self._unit))
            return max(0.0, held - 1.0) + self._part * len(backend.unlisted)
        if self._unit > 0.0 and self._now - backend.load_at <= REPORT_MEMORY:
            return max(0.0, backend.load / self._unit + backend.live - backend.load_live) * self._part
        return backend.live * self._part * self._mean_weight / backend.weight

    def _may_leave_out(self) -> bool:
        """False where so many fail that leaving them out would crowd the others."""
        ready = [backend for backend in self._backends.values() if backend.ready]
        failing = sum(1 for backend in ready if backend.failures >= OUT_AFTER)
        return failing <= OUT_PART * len(ready)

    def _surcharge(self, backend: Backend) -> int:
        """What a new connection there costs beyond its load, in connections.

        Only where that is priced: idle links hold a proxy to the backends it knows, and a grown fleet
        then fills more slowly. (Zones are not surcharged: full-size zones tipped over.)
        """
        prices = self._settings.costs
        missing = not backend.idle_until and prices.handshake >= PRICE_THAT_COUNTS
        return LOAD_OF_NEW_LINK if missing else 0

    # Placement

    def _place(self, live: _Live) -> bool:
        """Send the request to a backend by the tokens; False if none may have it now."""
        for backend_id in list(self._changing):
            self._read(self._backends[backend_id])
        table, ready = self._table, len(self._table)
        if self._threshold is None:
            # What is open at the start is the best guess at the settled threshold.
            self._threshold = table.mean()
        green, yellow = table.below(self._threshold), table.below(self._threshold + 1)
        heaviest, live_weights = self._heaviest, self._settings.live_weights

        def fits(backend: int) -> bool:
            # A backend of half the size is ready for half of the placements.
            if not live_weights and self._rng.random() * heaviest > self._backends[backend].weight:
                return False
            return backend not in live.tried and self._in_scope(live, backend)

        chosen: int | None = None
        colours = (
            (0, green, self._threshold),
            (green, yellow, self._threshold + 1),
            (yellow, ready, math.inf),
        )
        for start, end, under in colours:
            if live.request.group is None:
                chosen = table.draw(start, end, self._rng, fits)
            else:
                chosen = self._prefer(live, live.request.group, end, under, fits)
            if chosen is not None:
                break
        if chosen is None:
            # All were tried, or passed over for their size: any that may have it.
            chosen = table.draw(0, ready, self._rng, lambda backend: self._in_scope(live, backend))
        if chosen is None:
            return False
        self._send(live, self._backends[chosen])
        if yellow <= 1:
            self._threshold += 1
        elif green >= (1.0 - ALPHA) * ready and self._threshold > 0:
            self._threshold -= 1
        return True

    def _prefer(
        self, live: _Live, group: int, end: int, under: float, fits: Callable[[int], bool]
    ) -> int | None:
        """The backend that the group prefers among those placed before end, all counts under a bound.

        One that holds some of the group, here or most likely elsewhere, reads less, so it may be among them
        with a higher count.
        """
        table, holding = self._table, self._groups.get(group, {})
        likely = dict.fromkeys(holding)
        if self._settings.live_weights:
            first = heapq.nlargest(GROUP_TOP, table.members(len(table)), partial(preference, group))
            likely |= dict.fromkeys(first)
            if not live.request.rerouted and not self._cold_members():
                # The same as the search below, without looking at all of a large fleet.
                for backend in first:
                    if table.count(backend) < under + GROUP_LESS and fits(backend):
                        return backend
        among = [backend for backend in table.members(end) if fits(backend)]
        among += [
            backend
            for backend in likely
            if backend in table and under <= table.count(backend) < under + GROUP_LESS and fits(backend)
        ]
        if live.request.rerouted:
            # It stands somewhere already, most likely where most of its group does, tokens or not.
            held = [backend for backend in holding if backend in table and fits(backend)]
            if held:
                return max(held, key=lambda backend: (holding[backend], backend))
        else:
            # Guards a cold backend against standing empty: what it may have is soon lost.
            among = [b for b in among if self._budget.is_cold(self._backends[b], self._now)] or among
        return max(among, key=lambda backend: preference(group, backend), default=None)

    def _cold_members(self) -> bool:
        """True if a server in slow start may have a connection now. Such a server is always read anew."""
        now = self._now
        return any(
            id_ in self._table and self._budget.is_cold(self._backends[id_], now) for id_ in self._changing
        )

    def _stands(self, live: _Live, change: int, served: bool = False) -> None:
        """Count a connection that stands at its backend, or does no more; also in its group."""
        self._budget.stands(change, self._now, served)
        if live.request.group is None:
            return
        holding = self._groups.setdefault(live.request.group, {})
        holding[live.backend] = holding.get(live.backend, 0) + change
        if holding[live.backend] <= 0:
            del holding[live.backend]
        if not holding:
            del self._groups[live.request.group]

    def _in_scope(self, live: _Live, backend_id: int) -> bool:
        """False where a repeat of the request could take effect a second time."""
        if live.maybe_ran is None or live.cls.idempotency is Idempotency.ALWAYS:
            return True
        if not self._may_resend(live):
            return False
        first = live.maybe_ran[0]
        backend = self._backends[backend_id]
        if live.cls.deduplication_scope is DeduplicationScope.ZONE:
            return backend.zone == first.zone
        return live.cls.deduplication_scope is DeduplicationScope.ALL or (backend.zone, backend.cell) == (
            first.zone,
            first.cell,
        )

    def _send(self, live: _Live, backend: Backend) -> None:
        left = live.request.deadline - self._now
        last = live.sent + 1 >= self._settings.max_attempts
        timeout = left if last else min(left, live.cls.latency_objective)
        live.backend, live.sent_at, live.out = backend.id, self._now, True
        live.sent += 1
        live.tried.append(backend.id)
        backend.live += 1
        backend.trying += 1
        if self._settings.live_weights:
            backend.unlisted.append(self._now)
        self._hold_for(live, 1)
        if backend.idle_until:
            backend.idle_until.pop()
        if self._budget.is_cold(backend, self._now):
            backend.cold_tokens -= 1
        self._read(backend)
        # Guards the window for repeats against a connection that comes up late: it counts at the first byte.
        self._actions.append(Send(live.request.id, backend.id, timeout, self._repeat_by(live)))

    # The life of a request

    def _arrive(self, request: Request) -> None:
        if request.id in self._live:
            return
        live = _Live(request, self._class_of(request))
        self._live[request.id] = live
        if not request.returning:
            self._budget.arrived(len(self._table), self._now)
        self._update_gate()
        # In a jam common to most backends each further connection only adds to it.
        if request.rerouted or self._gate.admits(self._over_share(request.tenant)):
            self._place_or_hold(live)
        else:
            self._answer(live)

    def _over_share(self, tenant: str) -> bool:
        """True if the tenant holds more here than this proxy's part of its share.

        A proxy knows only its own slice, so a part below one connection still allows one.
        """
        quota = self._quotas.get(tenant)
        return quota is not None and self._held.get(tenant, 0) > 1.0 + SHARE_SLACK * quota

    def _hold_for(self, live: _Live, change: int) -> None:
        tenant = live.request.tenant
        self._held[tenant] = self._held.get(tenant, 0) + change

    def _update_gate(self) -> None:
        """By the reports where there are enough: a slow set-up may only be a crowd that came at once.

        Else by what the own connections show. Guards a large fleet: each of its proxies asks one backend in
        12 s, so they never had the two reports that close the gate: 36 attempts a request, and none refused.
        """
        loads = [
            backend.load
            for backend in self._backends.values()
            if backend.ready and self._now - backend.load_at <= REPORT_MEMORY
        ]
        if len(loads) >= SHED_LEAST_JAMMED:
            jammed = sum(1 for load in loads if load >= PROBE_OVER)
            # Guards arrivals against a gate that closes for a neighbour on some while others are half idle.
            common = jammed >= SHED_LEAST_JAMMED and sum(loads) >= SHED_MEAN * len(loads)
            part = jammed / len(loads) if common else 0.0
            self._gate.update(part, SHED_ABOVE_REPORTED, SHED_BELOW_REPORTED, self._now)
        else:
            part = self._jammed_connections() / max(SHED_LEAST, len(self._live))
            self._gate.update(part, SHED_ABOVE, SHED_BELOW, self._now)

    def _jammed_connections(self) -> int:
        """Own connections on backends where a message lately took longer than its aim."""
        jammed = 0
        for backend_id in list(self._jammed):
            backend = self._backends.get(backend_id)
            if backend is None or self._now - backend.jammed_at > JAM_MEMORY:
                del self._jammed[backend_id]
            else:
                jammed += backend.live
        return jammed

    def _class_of(self, request: Request) -> RequestClass:
        known = self._classes.get(request.class_name)
        if known is not None:
            return known
        # A class that the settings do not name: assume the worst of it.
        left = max(0.0, request.deadline - self._now)
        return RequestClass(request.class_name, left, 0.0, left, Idempotency.NONE)

    def _carry(self, event: Resumed) -> None:
        if event.request.id in self._live:
            return
        live = _Live(event.request, self._class_of(event.request))
        live.sent, live.out, live.established, live.over = 1, True, True, True
        live.backend = event.server_id
        self._stands(live, 1)
        self._live[event.request.id] = live
        backend = self._backends.get(event.server_id)
        if backend is None:
            backend = self._backends[event.server_id] = Backend(event.server_id)
        backend.live += 1
        self._hold_for(live, 1)
        self._read(backend)

    def _place_or_hold(self, live: _Live) -> None:
        """Send the request now or look again later; answer it when its time is nearly up."""
        left = live.request.deadline - self._now - self._margin()
        if left < ATTEMPT_LEAST or live.sent >= self._settings.max_attempts or not self._may_resend(live):
            self._answer(live)
        elif not self._place(live):
            self._hold(live, HOLD_LOOK * (0.5 + self._rng.random()))

    def _hold(self, live: _Live, pause: float) -> None:
        left = live.request.deadline - self._now - self._margin()
        self._actions.append(SetTimer(max(0.0, min(pause, left)), live.request.id))

    def _margin(self) -> float:
        """A proxy acts only once a round, so the last moment is a few rounds before the end."""
        return 0.005 + 3.0 * self._settings.min_round_interval

    def _may_resend(self, live: _Live) -> bool:
        return self._now < self._repeat_by(live)

    @staticmethod
    def _repeat_by(live: _Live) -> float:
        """Until when a further attempt may begin; infinite where a repeat is harmless, or would be none."""
        if live.maybe_ran is None or live.cls.idempotency is Idempotency.ALWAYS:
            return math.inf
        return (
            live.maybe_ran[1] + live.cls.deduplication_window
            if live.cls.idempotency is Idempotency.BY_KEY
            else -math.inf
        )

    def _answer(self, live: _Live) -> None:
        """Give the one final answer. A refusal says that trying again is harmless."""
        live.over = True
        del self._live[live.request.id]
        harmless = (
            live.maybe_ran is None
            or live.cls.idempotency is Idempotency.ALWAYS
            or (
                live.cls.idempotency is Idempotency.BY_KEY
                and live.cls.deduplication_scope is DeduplicationScope.ALL
            )
        )
        if harmless:
            advice = self._settings.max_retry_after * (0.1 + 0.2 * self._rng.random())
            self._actions.append(Reject(live.request.id, advice))
        else:
            self._actions.append(Fail(live.request.id))

    def _establish(self, event: Established) -> None:
        live = self._live.get(event.request_id)
        if live is None or not live.out or event.attempt != live.sent - 1:
            return
        live.established, live.over = True, True
        self._stands(live, 1)
        backend = self._backends.get(live.backend)
        if backend is not None:
            backend.trying -= 1
            self._breaker.stood(backend)
        if backend is not None and event.delay > live.cls.message_latency_objective * SLOW_SHARE:
            # A set-up waits behind the same work as a message, and shows a jam where no note tells one:
            # on real sockets standing connections bring their lines back at once all the same.
            share = event.delay / live.cls.message_latency_objective
            Health.set_slowness(backend, share, self._now)
            self._read(backend)
            if share >= JAM_SHARE:
                backend.jammed_at = self._now
                self._jammed[backend.id] = None

    def _end(self, event: Ended) -> None:
        live = self._live.get(event.request_id)
        if live is None or not live.out or event.attempt != live.sent - 1:
            return
        live.out = False
        backend = self._backends[live.backend]
        backend.live -= 1
        if live.sent_at in backend.unlisted:
            backend.unlisted.remove(live.sent_at)
        self._hold_for(live, -1)
        if event.outcome in LEAVES_LINK:
            backend.idle_until.append(self._now + self._settings.keepalive_timeout)
        load = LOAD_OF_OUTCOME.get(event.outcome, 0.0)
        Health.add(backend, load, self._now)
        if live.established:
            self._stands(live, -1, event.outcome is Outcome.OK)
        else:
            backend.trying -= 1
            if load > 0.0:
                self._breaker.failed(backend, self._now)
        self._read(backend)
        if not backend.ready and backend.live == 0:
            del self._backends[backend.id]
        if event.final or live.over:
            del self._live[event.request_id]
            return
        if live.maybe_ran is None and not event.outcome.never_ran:
            live.maybe_ran = (backend, live.sent_at)
        if event.outcome is Outcome.NOT_SENT or live.cut_short:
            self._answer(live)
        elif live.sent == 1 and event.outcome.never_ran:
            self._place_or_hold(live)
        else:
            self._hold(live, BACKOFF * 2.0**live.sent * self._rng.random())

    def _abandon(self, event: Abandoned) -> None:
        live = self._live.get(event.request_id)
        if live is None:
            return
        live.over = True
        if not live.out:
            del self._live[event.request_id]

    def _cut_short(self, event: AnswerDue) -> None:
        """What is out may have run, so its end is waited for: it says whether a repeat is harmless."""
        live = self._live.get(event.request_id)
        if live is None or live.over:
            return
        live.cut_short = True
        if not live.out:
            self._answer(live)

    def _timer(self, name: str) -> None:
        if name == Subscription.TIMER:
            self._actions.append(Subscribe())
            return
        if name == PROBE_TIMER:
            self._probe()
            return
        if name.startswith(DRAIN_TIMER):
            self._empty(int(name.removeprefix(DRAIN_TIMER)))
            return
        live = self._live.get(name)
        if live is not None and not live.out and not live.over:
            self._place_or_hold(live)

    # Moves

    def _note(self, event: ConnectionSample) -> None:
        live = self._live.get(event.request_id)
        if (
            event.kind is not SampleKind.DELAY
            or live is None
            or not live.out
            or event.attempt != live.sent - 1
        ):
            return
        backend = self._backends[live.backend]
        share = event.value / 1000.0 / live.cls.message_latency_objective
        Health.set_slowness(backend, share, self._now)
        self._read(backend)
        if share >= JAM_SHARE:
            backend.jammed_at = self._now
            self._jammed[backend.id] = None
        elif backend.id in self._jammed:
            del self._jammed[backend.id]
        if share < MOVE_SHARE or not live.established or not (self._gate.closing or self._jam_is_local()):
            return
        if self._rng.random() < MOVE_CHANCE / self._part:
            self._move(live)

    # Probes

    def _probe(self) -> None:
        """Ask the backend that was asked longest ago."""
        pause = PROBE_LOOK * self._part * (0.75 + 0.5 * self._rng.random())
        self._actions.append(SetTimer(pause, PROBE_TIMER))
        ready = [backend for backend in self._backends.values() if backend.ready]
        if ready:
            # By chance among those never asked: else all proxies of a fleet begin with the same one.
            backend = min(ready, key=lambda backend: (backend.probed_at, self._rng.random()))
            backend.probed_at = self._now
            self._actions.append(CheckHealth(backend.id))

    def _probed(self, event: HealthChecked) -> None:
        """Take in a load report. Over PROBE_OVER a backend answers its messages late, all of them."""
        backend = self._backends.get(event.server_id)
        if backend is None:
            return
        if event.outcome in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET):
            # Guards against a machine that vanished: nothing else may be sent there for long.
            self._breaker.failed(backend, self._now)
            backend.load_at = -math.inf
            self._read(backend)
            return
        load = dict(event.report).get("x0")
        if event.outcome is not Outcome.OK or load is None or not math.isfinite(load) or load < 0.0:
            return
        # Guards against a report that no longer follows what happens: each true one is a little noisy.
        backend.load_same = backend.load_same + 1 if event.report == backend.report else 0
        backend.report = event.report
        frozen = backend.load_same >= REPORT_SAME and backend.live > 0
        backend.load, backend.load_live = min(load, REPORT_MOST), backend.live
        backend.load_at = -math.inf if frozen else self._now
        backend.cost = backend.load * backend.weight / self._largest
        self._weigh()
        if frozen or load < PROBE_OVER:
            self._read(backend)
            return
        Health.set_slowness(backend, load, self._now)
        self._read(backend)
        backend.jammed_at = self._now
        self._jammed[backend.id] = None
        if self._gate.closing or self._jam_is_local():
            self._lighten(backend)

    def _weigh(self) -> None:
        """What an own connection stands for in the reported loads."""
        told = [
            backend
            for backend in self._backends.values()
            if backend.ready and self._now - backend.load_at <= REPORT_MEMORY
        ]
        if self._settings.live_weights:
            self._unit = sum(b.cost for b in told) / len(told) if told else 0.0
            return
        held = sum(backend.load_live for backend in told)
        self._unit = sum(backend.load for backend in told) / held if held > 0 else 0.0

    def _lighten(self, backend: Backend) -> None:
        """Move some connections off a jam: those first of whose group the fewest stand there."""
        here = [
            live
            for live in self._live.values()
            if live.out and live.established and not live.moved and live.backend == backend.id
        ]
        sizes: dict[int | None, int] = {}
        for live in here:
            sizes[live.request.group] = sizes.get(live.request.group, 0) + 1
        here.sort(key=lambda live: (sizes[live.request.group], self._rng.random()))
        count = 1 + int(max(0.0, 1.0 - MOVE_TO / backend.load) * len(here) * MOVE_PART)
        for live in here[:count]:
            self._move(live)

    def _move(self, live: _Live) -> None:
        if not live.moved:
            live.moved = True
            self._actions.append(Migrate(live.request.id))

    def _empty(self, backend_id: int) -> None:
        """Move on one of a draining backend's connections, those of most worth first.

        What is left there when it stops is cut off. An attempt that is still out may yet stand, so the
        looks go on until nothing is left. Where the gate turns arrivals away nobody is moved: the client
        would only be refused.
        """
        backend = self._backends.get(backend_id)
        if backend is None or backend.ready:
            return
        here = [live for live in self._live.values() if live.out and live.backend == backend_id]
        standing = [live for live in here if live.established and not live.moved]
        if standing and not self._gate.closing:
            self._move(max(standing, key=lambda live: live.cls.priority_weight))
        if here:
            self._look_at_drain(backend_id)

    def _look_at_drain(self, backend_id: int) -> None:
        ready = [backend for backend in self._backends.values() if backend.ready]
        cold = any(self._budget.is_cold(backend, self._now) for backend in ready)
        pause = (DRAIN_LOOK_COLD if cold else DRAIN_LOOK) * self._part * (0.5 + self._rng.random())
        self._actions.append(SetTimer(pause, f"{DRAIN_TIMER}{backend_id}"))

    def _jam_is_local(self) -> bool:
        """A move helps only while most backends in use are well; else the crowd just goes round."""
        used = jammed = 0
        for backend in self._backends.values():
            if backend.live > 0:
                used += 1
                jammed += Health.standing(backend, self._now) >= LOAD_OF_SLOWNESS / 2
        return jammed <= 1 or jammed <= MOVE_FLEET_PART * used
