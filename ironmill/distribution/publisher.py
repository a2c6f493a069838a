"""A parent's side: children, what is pushed to them, and the sum of what they tell.

A child is a position, not a queue. One delta is out to each at a time, cut from the log when it goes, so a
child that reads slowly costs memory for nobody and time for itself alone; what changed meanwhile is folded.
Fed datagrams and the time. No I/O, no clock.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from msgspec import Struct

from ironmill.distribution.changes import pack_entry
from ironmill.distribution.keyspace import LEVEL_BITS, children_of
from ironmill.distribution.link import Link
from ironmill.distribution.replica import Replica
from ironmill.distribution.revision import START, Position, Rejection
from ironmill.distribution.timing import (
    BEHIND_AFTER,
    LEASE,
    MOVED_EVERY,
    MOVED_TRIES,
    PAUSED,
    RESEND,
    SEEK_EVERY,
    SEEK_MOST,
    SETTLED_AFTER,
    Timing,
)
from ironmill.distribution.wire import (
    AGE_NEVER,
    BEHIND,
    BODY_MOST,
    LAGGARD_BYTES,
    PARTS_MOST,
    REFUSED,
    SOUGHT_BYTES,
    SOUGHT_MOST,
    TALLIES_MOST,
    UNREACHABLE,
    Ask,
    Digests,
    Fetch,
    Laggard,
    Leave,
    Message,
    Missed,
    Moved,
    Noted,
    Page,
    Part,
    Place,
    Poll,
    Sought,
    Summary,
    Tally,
    Word,
)
from ironmill.membership.envelope import DroppedError, Envelope
from ironmill.membership.identity import Address
from ironmill.membership.limits import MAX_DATAGRAM_BYTES

CHILDREN_MOST = 4096  # guards memory; a machine of the plan has 104, three times that when others are down
PARTS_A_TICK = 1024  # datagrams of pushes in a tenth of a second; what is left goes with the next
CUTS_KEPT = 16  # deltas kept in pieces, for children at the same position
GONE_KEPT = 10.0  # seconds; no datagram is on its way for so long
SOUGHT_WAIT_MOST = 1024  # children that wait to be asked for; the others are asked for another time
SERVE_BURST = 0.25  # seconds of the rate that may be answered at once


class Child(Struct):
    """One that polls this process."""

    name: str
    incarnation: int
    address: Address
    zone: str
    count: int = -1  # of its last poll: an older one is a replay
    token: int = 0  # to be echoed to it
    held: Position = START
    in_force: Position = START
    refusal: Rejection | None = None
    summary: Summary | None = None
    stale: bool = False
    attached: int = 0
    since: float = 0.0  # when it came here
    seen_at: float = 0.0
    at_newest: float = 0.0  # when it was last known to have the newest in force
    pushed: Position | None = None  # a delta that is out, by its target
    pushed_at: float = -math.inf
    reachable: bool = True
    seek_at: float = 0.0  # while it is not: when the others are asked for it next
    seek_wait: float = SEEK_EVERY


class Cut(Struct, frozen=True):
    """A delta in pieces."""

    target: Position
    digest: int
    bodies: list[bytes]


class Publisher:
    """Children and what they get."""

    def __init__(self, link: Link, replica: Replica, timing: Timing, peers: Sequence[Place]) -> None:
        """``peers`` are the other control machines, who may have had a child before."""
        self._link = link
        self._replica = replica
        self._timing = timing
        self._peers = {place.name: place for place in peers}
        self.children: dict[str, Child] = {}
        self.term = 0  # of the writer, as far as this process has heard
        self.age = AGE_NEVER  # milliseconds since the origin's word
        self.stopped = False  # another writer has taken over: nobody is answered any more
        self._waiting: dict[str, None] = {}  # whom the next push goes to, in order
        self._budget = PARTS_A_TICK
        self._cuts: dict[Position, Cut] = {}
        self._cuts_head = START
        # When the newest sum was made that the own parent is known to have. Another relay may forget a child
        # only once it is counted here: else the origin would miss it in both sums for a moment.
        self.summed_at = math.inf
        self._moved: dict[tuple[str, str], tuple[Moved, float, int]] = {}  # by peer and child
        self._gone: dict[str, tuple[int, int, float]] = {}  # children that are elsewhere now, and since when
        self._sought: list[Missed] = []  # one datagram of them goes with a tick
        self._ticked = link.now
        self._settled_at = link.now + SETTLED_AFTER
        self._serve_credit = timing.serve_rate * SERVE_BURST
        self._serve_at = link.now

    # Time

    def tick(self) -> None:
        """To be called every tenth of a second."""
        now = self._link.now
        gap, self._ticked = now - self._ticked, now
        if gap > PAUSED:
            for child in self.children.values():
                child.seen_at += gap  # what was not read meanwhile is not its fault
            self._settled_at = max(self._settled_at, now + SETTLED_AFTER)
        self._budget = PARTS_A_TICK
        for child in list(self.children.values()):
            if child.reachable and now - child.seen_at > LEASE:
                child.reachable = False
                child.seek_at, child.seek_wait = now, SEEK_EVERY
                child.pushed = None
                self._waiting.pop(child.name, None)
                self._link.told("child-unreachable", {"child": child.name, "in_force": str(child.in_force)})
            elif not child.reachable and now - child.seen_at > self._timing.forget_after:
                del self.children[child.name]
            if child.in_force >= self._replica.held:
                child.at_newest = now
        while self._gone and now - next(iter(self._gone.values()))[2] > GONE_KEPT:
            del self._gone[next(iter(self._gone))]
        self._tell_moved()
        self._seek()
        self.pump()

    def _seek(self) -> None:
        """Ask the others for children that do not answer here."""
        now, missed = self._link.now, list[Missed]()
        for child in self.children.values():
            if child.reachable or child.summary is not None or now < child.seek_at:
                continue
            child.seek_at = now + child.seek_wait
            child.seek_wait = min(SEEK_MOST, 2.0 * child.seek_wait)
            missed.append(Missed(child.name, child.zone, child.in_force, child.incarnation, child.attached))
        self.seek(missed)

    def seek(self, missed: Sequence[Missed]) -> None:
        """Ask all other control machines who has these."""
        self._sought += missed[: SOUGHT_WAIT_MOST - len(self._sought)]
        size, batch = 0, list[Missed]()
        for one in self._sought[:SOUGHT_MOST]:
            size += 40 + len(one.name.encode()) + len(one.zone.encode())
            if size > SOUGHT_BYTES:
                break
            batch.append(one)
        del self._sought[: len(batch)]
        if batch and not self.stopped:
            for place in self._peers.values():
                if place.name != self._link.card.name:
                    self._link.send(place.name, place.address, Sought(batch))

    def _tell_moved(self) -> None:
        for key, (moved, at, tries) in list(self._moved.items()):
            child = self.children.get(key[1])
            if self._link.now - at < MOVED_EVERY or (child is not None and not self._summed(child)):
                continue
            if tries >= MOVED_TRIES:
                del self._moved[key]
                continue
            self._moved[key] = moved, self._link.now, tries + 1
            place = self._peers[key[0]]
            self._link.send(place.name, place.address, moved)

    def _summed(self, child: Child) -> bool:
        return child.since < self.summed_at

    # Polls

    def poll(self, envelope: Envelope[Message], poll: Poll, source: Address) -> None:
        """A child's poll."""
        link, now, name = self._link, self._link.now, envelope.sender
        proven = link.tokens.verify(name, envelope.incarnation, poll.echo, now)
        if not proven or poll.probe:
            # Nothing is kept of whom nothing is proven of, and it is told no more than it has sent.
            self._word(envelope, source, poll, counted=False)
            return
        child = self._child(envelope, poll, source)
        child.count = envelope.count
        child.address, child.token, child.zone = source, poll.token, poll.zone
        child.seen_at = now
        child.held, child.in_force, child.refusal = poll.held, poll.in_force, poll.refusal
        child.stale = poll.age == AGE_NEVER or poll.age > 1000.0 * self._timing.stale_after
        child.summary = poll.summary
        child.attached = poll.attached
        if not child.reachable:
            child.reachable = True
            link.told("child-reachable", {"child": name})
        if child.in_force >= self._replica.held:
            child.at_newest = now
        self._word(envelope, source, poll, counted=True)
        if child.pushed is not None and child.held >= child.pushed:
            child.pushed = None
        if child.pushed is None:
            self._waiting[name] = None
        elif now - child.pushed_at > RESEND:
            self._resend(child, poll)
        self.pump()

    def _child(self, envelope: Envelope[Message], poll: Poll, source: Address) -> Child:
        name = envelope.sender
        child = self.children.get(name)
        if (envelope.incarnation, poll.attached) < self._gone.get(name, (0, 0, 0.0))[:2]:
            raise DroppedError("moved")  # it was on its way when the child was elsewhere already
        if child is not None and envelope.incarnation < child.incarnation and child.reachable:
            # Not for ever: its wall clock, which the incarnation is, may have been stepped back before it
            # started again. That it lives now is proven by the echo.
            raise DroppedError("stale")
        if child is not None and envelope.incarnation == child.incarnation:
            if envelope.count <= child.count:
                raise DroppedError("replayed")
            if poll.attached > child.attached:
                child.since = self._link.now
                self._tell_previous(envelope, poll)
            return child
        if child is None and len(self.children) >= CHILDREN_MOST:
            lost = next((one.name for one in self.children.values() if not one.reachable), None)
            if lost is None:
                raise DroppedError("full")
            del self.children[lost]
        child = Child(name, envelope.incarnation, source, poll.zone, at_newest=self._link.now)
        child.since = self._link.now
        self.children[name] = child
        self._tell_previous(envelope, poll)
        self._link.told("child", {"child": name, "held": str(poll.held)})
        return child

    def _tell_previous(self, envelope: Envelope[Message], poll: Poll) -> None:
        for peer in poll.previous:
            if peer in self._peers and peer != self._link.card.name:
                moved = Moved(envelope.sender, envelope.incarnation, poll.attached)
                self._moved[peer, envelope.sender] = moved, -math.inf, 0

    def _word(self, envelope: Envelope[Message], source: Address, poll: Poll, counted: bool) -> None:
        replica, name, incarnation = self._replica, envelope.sender, envelope.incarnation
        assert replica.log is not None
        token = self._link.tokens.issue(name, incarnation, self._link.now)
        reaches = replica.log.reaches(poll.held)
        word = Word(
            poll.token,
            token,
            replica.lineage,
            self.term,
            replica.held,
            self.age,
            reaches,
            envelope.count,
            counted,
        )
        self._link.send(name, source, word)

    def leave(self, envelope: Envelope[Message], leave: Leave) -> None:
        """A child ends in an orderly way."""
        child = self.children.get(envelope.sender)
        if child is None or child.incarnation != envelope.incarnation:
            raise DroppedError("stale")
        if not self._link.tokens.verify(envelope.sender, envelope.incarnation, leave.echo, self._link.now):
            raise DroppedError("unproven")
        self._forget(child)

    def moved(self, envelope: Envelope[Message], moved: Moved, source: Address) -> None:
        """Another relay has a child of this one."""
        if envelope.sender not in self._peers:
            raise DroppedError("stranger")
        child = self.children.get(moved.name)
        self._gone.pop(moved.name, None)
        self._gone[moved.name] = moved.incarnation, moved.attached, self._link.now
        if len(self._gone) > CHILDREN_MOST:
            del self._gone[next(iter(self._gone))]
        if child is not None and (child.incarnation, child.attached) < (moved.incarnation, moved.attached):
            self._forget(child)
        self._link.send(envelope.sender, source, Noted(moved.name, moved.attached))

    def sought(self, envelope: Envelope[Message], sought: Sought, source: Address) -> None:
        """Another relay asks for children that do not answer there. What it is not told it asks again."""
        if envelope.sender not in self._peers:
            raise DroppedError("stranger")
        for missed in sought.children:
            child = self.children.get(missed.name)
            if child is None or child.incarnation < missed.incarnation:
                continue
            if child.reachable and self._summed(child):
                moved = Moved(child.name, child.incarnation, child.attached)
                self._link.send(envelope.sender, source, moved)

    def noted(self, envelope: Envelope[Message], noted: Noted) -> None:
        """The other relay knows."""
        waiting = self._moved.get((envelope.sender, noted.name))
        if waiting is not None and waiting[0].attached == noted.attached:
            del self._moved[envelope.sender, noted.name]

    def _forget(self, child: Child) -> None:
        del self.children[child.name]
        self._waiting.pop(child.name, None)

    # Pushes

    def published(self) -> None:
        """There is something newer than before: all that wait for nothing get it."""
        for child in self.children.values():
            if child.reachable and child.pushed is None:
                self._waiting[child.name] = None
        self.pump()

    def pump(self) -> None:
        """Push to those that wait, as many datagrams as this tenth of a second has left."""
        while self._waiting and self._budget > 0 and not self.stopped:
            name = next(iter(self._waiting))
            del self._waiting[name]
            child = self.children.get(name)
            if child is None or not child.reachable or child.held >= self._replica.held:
                continue
            cut = self._cut(child.held)
            if cut is None:
                continue  # its next poll tells it that it has to ask by ranges
            child.pushed, child.pushed_at = cut.target, self._link.now
            for at in range(len(cut.bodies)):
                self._part(child, cut, at)

    def _resend(self, child: Child, poll: Poll) -> None:
        """It polls and does not hold what was pushed: what it lacks of it goes again, or all that is new."""
        cut = self._cut(child.held)
        if cut is None or cut.target != child.pushed or poll.target != child.pushed:
            child.pushed = None
            self._waiting[child.name] = None
            return
        child.pushed_at = self._link.now
        for at in poll.missing:
            if 0 <= at < len(cut.bodies):
                self._part(child, cut, at)

    def _part(self, child: Child, cut: Cut, at: int) -> None:
        self._budget -= 1
        replica = self._replica
        part = Part(
            child.token,
            replica.lineage,
            self.term,
            child.held,
            cut.target,
            cut.digest,
            at,
            len(cut.bodies),
            cut.bodies[at],
        )
        self._link.send(child.name, child.address, part)

    def _cut(self, base: Position) -> Cut | None:
        replica = self._replica
        assert replica.log is not None
        if self._cuts_head != replica.held:
            self._cuts.clear()
            self._cuts_head = replica.held
        cut = self._cuts.get(base)
        if cut is None:
            delta = replica.log.since(base)
            if delta is None:
                return None
            bodies, body = [], bytearray()
            for key, value in delta.changes.items():
                entry = pack_entry(key, value)
                if len(body) + len(entry) > BODY_MOST:
                    bodies.append(bytes(body))
                    body = bytearray()
                body += entry
            bodies.append(bytes(body))
            if len(bodies) > PARTS_MOST:
                return None
            cut = Cut(delta.target, delta.digest, bodies)
            if len(self._cuts) >= CUTS_KEPT:
                del self._cuts[next(iter(self._cuts))]
            self._cuts[base] = cut
        return cut

    # Ranges

    def ask(self, envelope: Envelope[Message], ask: Ask, source: Address) -> None:
        """The digests of a range's parts."""
        self._serve(envelope, ask.echo)
        replica = self._replica
        level = ask.level + 1
        prefixes = children_of(ask.level, ask.prefix) if level else range(1 << LEVEL_BITS[0])
        sums = [replica.keyspace.sum(level, prefix) for prefix in prefixes]
        answer = Digests(
            ask.token, replica.lineage, replica.held, replica.keyspace.digest, ask.level, ask.prefix, sums
        )
        self._answer(envelope, source, answer)

    def fetch(self, envelope: Envelope[Message], fetch: Fetch, source: Address) -> None:
        """Entries of leaves."""
        self._serve(envelope, fetch.echo)
        replica = self._replica
        body, leaf, after = replica.keyspace.page(fetch.leaf, fetch.after, fetch.until, BODY_MOST)
        page = Page(fetch.token, replica.lineage, fetch.number, replica.held, leaf, after != "", body)
        self._answer(envelope, source, page)

    def _answer(self, envelope: Envelope[Message], source: Address, answer: Digests | Page) -> None:
        before = self._link.sent_bytes
        self._link.send(envelope.sender, source, answer)
        self._serve_credit -= self._link.sent_bytes - before

    def _serve(self, envelope: Envelope[Message], echo: int) -> None:
        """DroppedError where nothing is proven, or the rate of answers is used up: it is asked again."""
        now, rate = self._link.now, self._timing.serve_rate
        if not self._link.tokens.verify(envelope.sender, envelope.incarnation, echo, now):
            raise DroppedError("unproven")
        self._serve_credit = min(rate * SERVE_BURST, self._serve_credit + (now - self._serve_at) * rate)
        self._serve_at = now
        if self._serve_credit < MAX_DATAGRAM_BYTES:
            raise DroppedError("busy")

    # The sum

    @property
    def settled(self) -> bool:
        """False for the first seconds, when children may not have found this process yet."""
        return self._link.now >= self._settled_at

    def summary(self, room: int = LAGGARD_BYTES) -> Summary:
        """What is known of the proxies below, by zone, and who is not at the newest revision."""
        tallies: dict[str, Tally] = {}
        laggards: list[Laggard] = []
        more = 0
        settled = self.settled
        for child in self.children.values():
            if child.summary is not None:
                settled = settled and child.reachable and child.summary.settled
                if not child.reachable:  # its proxies have found other relays, or are away with it
                    laggards.append(self._laggard(child))
                    continue
                more += child.summary.more
                laggards += child.summary.laggards
                for tally in child.summary.tallies:
                    add_tally(tallies, tally)
                continue
            refused = child.reachable and child.refusal is not None
            well = child.reachable and not refused
            lowest = child.in_force if well else NO_LOWEST
            add_tally(
                tallies,
                Tally(
                    child.zone,
                    int(child.reachable),
                    lowest,
                    int(refused),
                    int(not child.reachable),
                    int(child.reachable and child.stale),
                ),
            )
            late = child.in_force < self._replica.held and self._link.now - child.at_newest > BEHIND_AFTER
            if not well or late:
                laggards.append(self._laggard(child))
        named, size = [], 0
        laggards.sort(key=lambda one: (_WORST.index(one.why) if one.why in _WORST else 9, one.in_force))
        for one in laggards:
            size += 40 + len(one.name) + len(one.zone) + len(one.key.encode()) + len(one.reason.encode())
            if size > room:
                break
            named.append(one)
        found = sorted(tallies.values(), key=lambda one: one.lowest)
        while len(found) > TALLIES_MOST:  # more zones than there is room for: those best off are one
            last = found.pop()
            rest = {"": _renamed(found.pop(), "")}
            add_tally(rest, _renamed(last, ""))
            found.append(rest[""])
        return Summary(settled, found, named, more + len(laggards) - len(named))

    def _laggard(self, child: Child) -> Laggard:
        why = UNREACHABLE if not child.reachable else REFUSED if child.refusal is not None else BEHIND
        refusal = child.refusal or Rejection("", "")
        if child.summary is not None:
            below = sum(tally.proxies for tally in child.summary.tallies)
            refusal = Rejection("", f"a relay; {below} proxies were behind it")
        return Laggard(child.name, child.zone, child.in_force, why, refusal.key, refusal.reason)


_WORST = (REFUSED, UNREACHABLE, BEHIND)
NO_LOWEST = Position((1 << 62) - 1, (1 << 62) - 1)  # none of them counts


def _renamed(tally: Tally, zone: str) -> Tally:
    """The same proxies under another zone's name."""
    return Tally(zone, tally.proxies, tally.lowest, tally.refused, tally.unreachable, tally.stale)


def add_tally(tallies: dict[str, Tally], one: Tally) -> None:
    """Add some proxies to those of their zone."""
    old = tallies.get(one.zone)
    if old is not None:
        one = Tally(
            one.zone,
            old.proxies + one.proxies,
            min(old.lowest, one.lowest),
            old.refused + one.refused,
            old.unreachable + one.unreachable,
            old.stale + one.stale,
        )
    tallies[one.zone] = one
