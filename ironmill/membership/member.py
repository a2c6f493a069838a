"""One member: fed datagrams and the time, it gives back datagrams. No socket, no clock, no thread.

Whoever hears is believed only where both ways are proven: an ack to the own ping, or a ping that echoes the
token of the own ack. So one that can only hear, or only be heard, changes nobody's view.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from msgspec import Raw, Struct, structs

from ironmill.membership.contact_tokens import ContactTokens
from ironmill.membership.envelope import DroppedError, Envelope
from ironmill.membership.identity import Address, Datagram, MemberIdentity
from ironmill.membership.limits import MAX_DATAGRAM_BYTES
from ironmill.membership.timing import (
    BOOT,
    DISPUTE,
    HOLD,
    LOST_EVERY,
    OPINION_LASTS,
    PAUSED,
    QUICK,
    RENEW,
    SEED_EVERY,
    SEEK_AFTER,
    SETTLE,
    TICK,
    Timing,
)
from ironmill.membership.view import View
from ironmill.membership.wire import (
    ACCUSES,
    NOTHING,
    VOUCHES,
    Ack,
    Codec,
    Fact,
    Message,
    Opinion,
    Page,
    Ping,
    Replays,
    Rumour,
    Seek,
    Want,
    pack,
    unpack,
)

OnEvent = Callable[[str, dict[str, Any]], object]

HELPERS = 3  # asked to try one that is silent
RUMOUR_BYTES = 850  # in one datagram; with all else it stays under what a datagram may hold
RUMOUR_TIMES = 2.0  # each is passed on so many times the logarithm of the members
RUMOURS_MOST = 4096
PAGE_BYTES = 900
FETCH_EVERY = 1.0  # the whole is fetched so often at the most, a page after the other
ASKED_MOST = 1024  # pings that may still be answered
HELPED_MOST = 64  # of those, for others
REACH_EVERY = 0.2
REACH_MORE, REACH_MOST = 20, 4  # one more for so many rumours, up to so many
DISPUTES_A_TICK = 8  # members asked whether they are there


class Peer(Struct):
    """What one member keeps of another beside its place in the view."""

    incarnation: int = 0
    replays: Replays | None = None
    heard: float = -math.inf  # last ack to a ping, directly or by a helper
    both: float = -math.inf  # last ack to an own ping
    near: float = -math.inf  # last proof that it hears this one and this one hears it, however old the echo
    token: int = 0  # to be echoed to it
    ping_at: float = 0.0
    sought_at: float = -math.inf
    since: float = -math.inf  # observed since then
    said_at: float = -math.inf  # when the own opinion was last told
    settled: float = -math.inf  # since when enough speak for a change of its place
    changed_at: float = 0.0  # when its place last changed
    source: Address | None = None  # where its last proven datagram came from


class Asked(Struct):
    """A ping that is out."""

    name: str  # empty: a seed whose name is not known
    at: float
    behalf: tuple[str, int] | None = None  # of the one who asked for it, and that one's number


class Dispute(Struct):
    """A change that is told but not borne out by what is seen here."""

    fact: Fact
    asked_at: float = math.inf  # the member itself, whether it is there


class Spread(Struct):
    """A rumour on its way."""

    rumour: Rumour
    data: bytes
    times: int = 0


class Member:
    """One process among the others."""

    def __init__(
        self,
        card: MemberIdentity,
        codec: Codec,
        timing: Timing,
        seeds: Sequence[Address],
        rng: random.Random,
        now: float,
        told: OnEvent,
        peers: Mapping[str, Address] | None = None,
    ) -> None:
        """``seeds`` are where it joins; ``peers`` are addresses by name where they are not what cards say.

        ``told`` is told of each change, with the evidence for it.
        """
        self.card = card
        self.view = View()
        self.dropped: dict[str, int] = {}
        self._was_in = False  # it has been in the view since it started
        self.superseded = False  # another process has taken the name with a higher incarnation
        self.cut_off = False  # hears nobody who hears it
        self.sent_bytes = 0
        self._codec = codec
        self._timing = timing
        self._seeds = [seed for seed in seeds if seed != card.address]
        self._rank = seeds.index(card.address) if card.address in seeds else -1
        self._rng = rng
        self._told = told
        self._where = peers or {}
        self._peers: dict[str, Peer] = {}
        self._tokens = ContactTokens(rng.randbytes(16))
        self._count = 0
        self._stamp = card.incarnation
        self._number = 0
        self._asked: dict[int, Asked] = {}
        self._helping = 0
        self._spread: dict[tuple[str, str], Spread] = {}
        self._disputes: dict[str, Dispute] = {}
        self._subjects: list[str] = []
        self._lost: list[str] = []
        self._seen_changes = -1
        self._started = self._ticked = self._alone_since = now
        self._hold_until = now
        self._sound_since = now
        self._both = -math.inf  # last proof of contact with anybody
        self._reach_at = now
        self._seed_at = now
        self._want_at = -math.inf
        self._differs: tuple[str, float] | None = None  # a member of another view, and since when
        self._sweep_at = now
        self._back_at = -math.inf
        self._out: list[Datagram] = []
        self._now = now
        self._set(Fact(card, flips=1), "start")

    # What others ask

    @property
    def fact(self) -> Fact:
        """The own place."""
        return self.view.facts[self.card.name]

    @property
    def joined(self) -> bool:
        """True while it is in the view that it sees."""
        return self.fact.present

    def members(self) -> list[Fact]:
        """The view, by name."""
        return self.view.members()

    # What the driver calls

    def tick(self, now: float) -> list[Datagram]:
        """To be called every ``TICK``. A call that is late shows that this process did not run."""
        gap = now - self._ticked
        self._now = self._ticked = now
        if self.superseded:
            return []
        if gap > PAUSED:
            self._paused(gap)
        self._judge_itself()
        self.view.expire(now)
        self._decide()
        self._observe()
        self._reach_out()
        self._join()
        self._sweep()
        return self._flush()

    def receive(self, data: bytes, source: Address, now: float) -> list[Datagram]:
        """A datagram came. Whatever is wrong with it, it is counted and dropped."""
        self._now = now
        try:
            if self.superseded:
                raise DroppedError("superseded")
            self._take(self._codec.decode(data), source)
        except DroppedError as why:
            self.dropped[str(why)] = self.dropped.get(str(why), 0) + 1
        return self._flush()

    def leave(self, now: float) -> list[Datagram]:
        """Tell some of the others that it goes, so that nobody has to find out."""
        self._now = now
        if self.superseded:
            return []
        self._set(structs.replace(self.fact, left=True), "leave")
        others = [fact for fact in self.view.members() if fact.card.name != self.card.name]
        for fact in self._rng.sample(others, min(len(others), 2 * HELPERS)):
            self._ping(fact.card.name)
        return self._flush()

    def adopt(self, facts: Sequence[Fact], now: float) -> None:
        """Begin with a view that is known to hold, as when state was kept."""
        self._now = now
        for fact in facts:
            self._set(fact, "adopted")
        self._spread.clear()

    # Itself

    def _paused(self, gap: float) -> None:
        """What was not heard meanwhile is nobody's fault but its own."""
        for peer in self._peers.values():
            peer.heard += gap
            peer.since += gap
        self._hold_until = self._now + HOLD
        if gap > self._timing.alone_after:
            self._sound_since = self._now
        self._told("paused", {"seconds": round(gap, 3)})

    def _judge_itself(self) -> None:
        self._was_in = self._was_in or self.joined
        others = len(self.view.rings) - self.joined
        cut_off = others > 0 and self._now - max(self._both, self._alone_since) > self._timing.alone_after
        if not others:
            self._alone_since = self._now
        if cut_off is not self.cut_off:
            self.cut_off = cut_off
            self._told("cut-off" if cut_off else "in-contact", {"others": others})
        if cut_off:
            self._sound_since = self._now

    def _holds_back(self) -> bool:
        """True where its own word is worth nothing: it would accuse others of what it lacks itself."""
        return self.cut_off or self._now < self._hold_until or not self.joined

    def _refute(self, fact: Fact) -> None:
        """It is told that it is out. Who was in contact all along is in again; who was not joins anew."""
        sound = not self.cut_off and self._now - self._sound_since > self._timing.gone_within
        if sound and not fact.left:
            self._set(structs.replace(self.fact, flips=fact.flips + 1), "refuted")
            return
        self._told("was-removed", {"incarnation": self.card.incarnation})
        self._rejoin(self.card.incarnation + 1)

    def _rejoin(self, incarnation: int) -> None:
        self.card = structs.replace(self.card, incarnation=incarnation)
        self._set(Fact(self.card, flips=1), "rejoin")

    # Datagrams in

    def _take(self, envelope: Envelope[Message], source: Address) -> None:
        name, message = envelope.sender, envelope.message
        if name == self.card.name:
            self._namesake(envelope)
        if envelope.to not in ("", self.card.name):
            raise DroppedError("misdirected")
        known = self.view.facts.get(name)
        stale = known is not None and envelope.incarnation < known.card.incarnation
        peer = self._peers.get(name)
        window = peer.replays if peer is not None and peer.incarnation == envelope.incarnation else None
        if window is not None and not window.take(envelope.count):
            raise DroppedError("replayed")
        if isinstance(message, Ping):
            both = not stale and self._echoes(envelope, message.echo)
            if both:
                self._proven(envelope, source, message.rumours)
            at_home = known is not None and source == self._address(name)
            self._ack(envelope, source, both or at_home)
            if both:
                self._compare(name, message.digest)
            elif message.digest and not self.joined and not stale:
                self._answer_back(name, source)
        elif isinstance(message, Ack):
            self._acked(envelope, source, message, stale)
        elif stale or not self._echoes(envelope, message.echo):
            raise DroppedError("unproven")
        elif isinstance(message, Seek):
            self._help(name, message)
        elif isinstance(message, Want):
            facts, last = self.view.page(message.after, PAGE_BYTES)
            self._send(name, source, Page(message.token, facts, last))
        else:
            self._paged(name, message)

    def _namesake(self, envelope: Envelope[Message]) -> None:
        """Of two processes with one name the newer one stays."""
        if envelope.incarnation > self.card.incarnation:
            self._supersede(envelope.incarnation)
        raise DroppedError("own name")

    def _supersede(self, incarnation: int) -> None:
        self.superseded = True
        self._told("superseded", {"incarnation": self.card.incarnation, "by": incarnation})

    def _echoes(self, envelope: Envelope[Message], echo: int) -> bool:
        return self._tokens.verify(envelope.sender, envelope.incarnation, echo, self._now)

    def _proven(self, envelope: Envelope[Message], source: Address, rumours: Sequence[Raw]) -> None:
        """Both ways work. Only now anything of the sender is kept."""
        peer = self._peer(envelope.sender)
        if peer.incarnation != envelope.incarnation:
            peer.incarnation, peer.replays = envelope.incarnation, Replays()
            peer.replays.take(envelope.count)
        peer.near = self._now
        peer.source = source
        for raw in rumours:
            self._hear(unpack(raw))

    def _acked(self, envelope: Envelope[Message], source: Address, message: Ack, stale: bool) -> None:
        asked = self._asked.get(message.number)
        name = envelope.sender
        if asked is None or (message.of or name) != (asked.name or name):
            raise DroppedError("unasked")
        if message.of:  # a helper passes it on
            if name not in self.view.facts:
                raise DroppedError("unasked")
            self._peer(message.of).heard = self._now
            return
        self._answered(message.number)
        if stale:
            raise DroppedError("stale")
        peer = self._peer(name)
        peer.token = message.token
        peer.heard = peer.both = self._both = self._now
        self._proven(envelope, source, message.rumours)
        self._compare(name, message.digest)
        if not asked.name and not self.superseded:
            self._ping(name)  # a seed that has told its name, and the token that it wants to see
        if asked.behalf is not None:
            asker, number = asked.behalf
            if asker in self.view.facts:
                ack = Ack(number, 0, self.view.digest, [], of=name)
                self._send(asker, self._address(asker), ack)

    def _ack(self, envelope: Envelope[Message], source: Address, news: bool) -> None:
        message = envelope.message
        assert isinstance(message, Ping)
        token = self._tokens.issue(envelope.sender, envelope.incarnation, self._now)
        first: list[Raw] = []
        fact = self.view.facts.get(envelope.sender)
        # Who is out of the view, or an older process, has to hear so from whomever it asks.
        if fact is not None and (not fact.present or fact.card.incarnation > envelope.incarnation):
            first.append(Raw(pack(fact)))
        # Not to where nobody is known to be: an old datagram with a false source would be answered tenfold.
        rumours = self._rumours(first) if news else first
        self._send(envelope.sender, source, Ack(message.number, token, self.view.digest, rumours))

    def _answer_back(self, name: str, source: Address) -> None:
        """A member of a view asks this one, which has none: join there, and begin none of its own.

        Guards a cluster whose seeds were all killed: started again they heard each other before they heard
        the others, and were a second cluster for seconds.
        """
        self._started = self._now
        if self._now - self._back_at >= 2.0 * TICK:
            self._back_at = self._now
            self._send(name, source, self._new_ping("", None, 0))

    def _help(self, asker: str, message: Seek) -> None:
        if message.subject not in self.view.facts or message.subject == self.card.name:
            raise DroppedError("unknown")
        if self._helping >= HELPED_MOST:
            raise DroppedError("busy")
        self._helping += 1
        self._ping(message.subject, (asker, message.number))

    def _paged(self, name: str, page: Page) -> None:
        for fact in page.facts:
            self._hear(fact)
        if not page.last and page.facts and not self.superseded:
            self._want(name, page.facts[-1].card.name)

    # What is heard

    def _hear(self, rumour: Rumour) -> None:
        if isinstance(rumour, Opinion):
            if rumour.observer != self.card.name and self.view.hear(rumour, self._now + OPINION_LASTS):
                self._pass_on(rumour)
            return
        name = rumour.card.name
        old = self.view.facts.get(name)
        if name == self.card.name:
            self._hear_of_itself(rumour)
        elif old is None or rumour.order > old.order:
            self._told_of(rumour, old)

    def _hear_of_itself(self, fact: Fact) -> None:
        mine = self.fact
        if fact.card.incarnation > self.card.incarnation:
            if self._was_in:
                self._supersede(fact.card.incarnation)
            else:
                # Its own life before this one, by a wall clock that was stepped back since. Whoever comes in
                # is the newer process: one that is in already hears of it, and steps back.
                self._rejoin(fact.card.incarnation + 1)
        elif fact.order > mine.order and not mine.left:
            if fact.present:
                self._set(structs.replace(mine, flips=fact.flips), "admitted")
            elif mine.present or fact.left:
                self._refute(fact)
            else:
                self._set(structs.replace(mine, flips=fact.flips), "told")

    def _told_of(self, fact: Fact, old: Fact | None) -> None:
        """A change that is told is made at once where nothing here speaks against it."""
        name = fact.card.name
        moves = fact.present is not (old is not None and old.present)
        newer = old is not None and fact.card.incarnation > old.card.incarnation
        mine = self.view.opinion(self.card.name, name)
        speak = self.view.speaks_for_change(name)
        agrees = bool(speak) or (mine == ACCUSES and not fact.present)
        if not moves or fact.left or newer or agrees or not self.joined:
            self._disputes.pop(name, None)
            self._set(fact, "told", speak)
            return
        # Guards against the other side of a cut that has just healed: each side takes the other for gone.
        dispute = self._disputes.get(name)
        if dispute is None:
            self._disputes[name] = Dispute(fact)
        elif fact.order > dispute.fact.order:
            dispute.fact = fact

    def _compare(self, name: str, digest: int) -> None:
        """Another view than this one's, for longer than rumours need: fetch what this one lacks."""
        if digest == self.view.digest:
            if self._differs is not None and self._differs[0] == name:
                self._differs = None
            return
        if self._differs is None:
            self._differs = (name, self._now)
        patience = 0.0 if not self.joined else 2.0 * self._timing.ping_every
        if self._now - self._differs[1] >= patience and self._now - self._want_at >= FETCH_EVERY:
            self._differs = None
            self._want(name, "")

    def _want(self, name: str, after: str) -> None:
        self._want_at = self._now
        peer = self._peer(name)
        token = self._tokens.issue(name, peer.incarnation, self._now)
        self._send(name, self._address(name), Want(peer.token, token, after))

    # Decisions

    def _decide(self) -> None:
        """Change the place of whom enough speak against, or for."""
        if not self._holds_back():
            for name in self.view.spoken_of():
                speak = self.view.speaks_for_change(name)
                peer = self._peer(name)
                if not speak or name == self.card.name:
                    peer.settled = -math.inf
                elif peer.settled == -math.inf:
                    peer.settled = self._now
                elif self._now - peer.settled >= SETTLE:
                    peer.settled = -math.inf
                    fact = self.view.facts[name]
                    self._set(structs.replace(fact, flips=fact.flips + 1), "decided", speak)
        asked = 0
        for name, dispute in list(self._disputes.items()):
            old, peer = self.view.facts.get(name), self._peer(name)
            if old is not None and dispute.fact.order <= old.order:
                del self._disputes[name]
                continue
            speak = self.view.speaks_for_change(name)
            answered = peer.both >= dispute.asked_at
            if dispute.fact.present:
                holds = answered or bool(speak)
            else:
                holds = not answered and (bool(speak) or self._now >= dispute.asked_at + DISPUTE)
            if holds:
                del self._disputes[name]
                self._set(dispute.fact, "told", speak)
            elif self._now >= dispute.asked_at + DISPUTE:
                del self._disputes[name]  # it is there, or it is not; who tells otherwise will hear of it
            elif dispute.asked_at == math.inf and asked < DISPUTES_A_TICK:
                asked += 1
                dispute.asked_at = self._now
                self._ping(name, told=dispute.fact)

    def _set(self, fact: Fact, why: str, speak: Sequence[str] = ()) -> None:
        name = fact.card.name
        old = self.view.facts.get(name)
        before = old is not None and old.present
        self.view.put(fact)
        self._pass_on(fact)
        if name != self.card.name:
            peer = self._peer(name)
            peer.since = peer.settled = -math.inf
            peer.changed_at = self._now
        if fact.present is not before or why in ("start", "rejoin"):
            what = "in" if fact.present else "left" if fact.left else "out"
            self._told(
                what,
                {
                    "member": name,
                    "incarnation": fact.card.incarnation,
                    "why": why,
                    "by": list(speak),
                    "view": f"{self.view.digest:x}",
                    "size": len(self.view.rings),
                },
            )

    def _say(self, subject: str, value: int) -> None:
        """Tell the own opinion, if it is another one or has to be renewed."""
        mine, peer = self.view.opinion(self.card.name, subject), self._peer(subject)
        if value == mine and (value == NOTHING or self._now - peer.said_at < RENEW):
            return
        self._stamp += 1
        peer.said_at = self._now
        fact = self.view.facts[subject]
        opinion = Opinion(self.card.name, subject, fact.card.incarnation, fact.flips, self._stamp, value)
        if self.view.hear(opinion, self._now + OPINION_LASTS):
            self._pass_on(opinion)
            if value != mine:
                self._told("opinion", {"of": subject, "value": value})

    # Observing

    def _observe(self) -> None:
        if self.view.changes != self._seen_changes:
            self._look_again()
        for name in self._subjects:
            self._observe_present(name)
        for name in self._lost:
            self._observe_lost(name)

    def _look_again(self) -> None:
        """Whom it observes: those that its place in the rings gives it, in the view and out of it."""
        view, me = self.view, self.card.name
        self._seen_changes = view.changes
        self._subjects = view.rings.subjects(me, view.doubted) if self.joined else []
        for name in self._subjects:
            peer = self._peer(name)
            if peer.since == -math.inf:
                peer.since = self._now
                peer.ping_at = self._now + self._rng.random() * self._timing.ping_every * 0.5
        self._lost = []
        if self.joined:
            for fact in list(view.absent()):
                name = fact.card.name
                if me in view.observers(name):
                    self._lost.append(name)
                    peer = self._peer(name)
                    if peer.since == -math.inf:
                        peer.since = peer.ping_at = self._now

    def _observe_present(self, name: str) -> None:
        peer, now = self._peer(name), self._now
        silent = now - max(peer.heard, peer.since)
        # Who stands in for an observer that is in doubt need not be patient once more: others have been.
        limit, seek_after = self._timing.suspect_after, SEEK_AFTER
        if peer.heard < peer.since and (self.view.accusers(name) or self.view.doubts):
            limit, seek_after = QUICK, 2.0 * TICK
        if now >= peer.ping_at:
            pause = self._timing.ping_every * (0.5 if silent > seek_after else 1.0)
            if limit == QUICK:
                pause = 2.0 * TICK
            peer.ping_at = now + pause * (0.9 + 0.2 * self._rng.random())
            self._ping(name)
        if silent > seek_after and now - peer.sought_at >= 0.5 * self._timing.ping_every:
            peer.sought_at = now
            self._seek(name)
        if silent <= limit:
            self._say(name, NOTHING)
        elif not self._holds_back():
            self._say(name, ACCUSES)

    def _observe_lost(self, name: str) -> None:
        peer, now = self._peer(name), self._now
        if now >= peer.ping_at:
            fresh = now - peer.both <= self._timing.suspect_after
            pause = self._timing.ping_every if fresh else LOST_EVERY
            peer.ping_at = now + pause * (0.9 + 0.2 * self._rng.random())
            self._ping(name)
        vouches = max(peer.since, now - self._timing.suspect_after) < peer.both
        self._say(name, VOUCHES if vouches and not self._holds_back() else NOTHING)

    def _reach_out(self) -> None:
        """To members by chance: with rumours while there are any, and where those it observes are silent.

        Guards the spread of news where most of those whom it pings in turn are dead.
        """
        lonely = len(self.view.rings) > 1 and self._now - self._both > 2.0 * TICK + self._timing.ping_every
        if self._now >= self._reach_at and self.joined and (self._spread or lonely):
            self._reach_at = self._now + REACH_EVERY
            count = 2 * HELPERS if lonely else min(REACH_MOST, 1 + len(self._spread) // REACH_MORE)
            for name in self._helpers("")[:count]:
                self._ping(name)

    def _seek(self, subject: str) -> None:
        for helper in self._helpers(subject)[:HELPERS]:
            peer = self._peer(helper)
            if peer.token:
                number = self._ask(subject, None)
                self._send(helper, self._address(helper), Seek(number, peer.token, subject))
            else:
                self._ping(helper)  # to have its token the next time

    def _helpers(self, subject: str) -> list[str]:
        """Some members of the view by chance, those that it is in contact with before others."""
        names = [
            name
            for name in self.view.rings.some(self._rng, 4 * HELPERS)
            if name not in (subject, self.card.name) and not self.view.doubted(name)
        ]
        near = self._now - SEEK_AFTER
        names.sort(key=lambda name: self._peer(name).near < near)
        return names

    def _join(self) -> None:
        now = self._now
        first = not self.joined and self._rank >= 0 and len(self.view.rings) == 0
        if first and now - self._started >= BOOT * (1 + 2 * self._rank):
            self._set(structs.replace(self.fact, flips=self.fact.flips + 1), "first")
        if now < self._seed_at or not self._seeds:
            return
        alone = not self.joined or self.cut_off
        self._seed_at = now + (0.25 if alone else SEED_EVERY) * (0.75 + 0.5 * self._rng.random())
        known = {fact.card.address for fact in self.view.members()}
        seeds = [seed for seed in self._seeds if alone or seed not in known]
        if seeds:
            self._send("", self._rng.choice(seeds), self._new_ping("", None, 0))

    # Datagrams out

    def _ping(self, name: str, behalf: tuple[str, int] | None = None, told: Fact | None = None) -> None:
        """``told``: what is told of one that may not be known yet, or stands elsewhere now."""
        address = self._address(name, told)
        self._send(name, address, self._new_ping(name, behalf, self._peer(name).token))

    def _new_ping(self, name: str, behalf: tuple[str, int] | None, token: int) -> Ping:
        number = self._ask(name, behalf)
        own = [] if self.joined else [Raw(pack(self.fact))]
        # They would be lost on one that is dead.
        news = name and self._now - self._peer(name).near <= SEEK_AFTER
        return Ping(number, token, self.view.digest, self._rumours(own) if news else own)

    def _ask(self, name: str, behalf: tuple[str, int] | None) -> int:
        if len(self._asked) >= ASKED_MOST:
            self._answered(next(iter(self._asked)))
        self._number += 1
        self._asked[self._number] = Asked(name, self._now, behalf)
        return self._number

    def _answered(self, number: int) -> None:
        asked = self._asked.pop(number)
        self._helping -= asked.behalf is not None

    def _send(self, name: str, address: Address, message: Message) -> None:
        self._count += 1
        data = self._codec.encode(self.card, name, self._count, message)
        self.sent_bytes += len(data)
        self._out.append((address, data))

    def _flush(self) -> list[Datagram]:
        out, self._out = self._out, []
        return out

    def _address(self, name: str, told: Fact | None = None) -> Address:
        where = self._where.get(name)
        if where is None:
            fact, peer = told or self.view.facts.get(name), self._peers.get(name)
            where = fact.card.address if fact is not None else peer.source if peer is not None else None
        assert where is not None, name
        return where

    def _peer(self, name: str) -> Peer:
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = Peer()
        return peer

    # Rumours

    def _pass_on(self, rumour: Rumour) -> None:
        key = ("", rumour.card.name) if isinstance(rumour, Fact) else (rumour.observer, rumour.subject)
        self._spread.pop(key, None)
        if len(self._spread) >= RUMOURS_MOST:
            del self._spread[next(iter(self._spread))]
        self._spread[key] = Spread(rumour, pack(rumour))

    def _rumours(self, first: list[Raw]) -> list[Raw]:
        """These, and what has waited longest, as much as fits beside them."""
        enough = math.ceil(RUMOUR_TIMES * math.log2(len(self.view.facts) + 2))
        chosen = list(first)
        room = RUMOUR_BYTES - sum(len(bytes(raw)) for raw in first)
        for _ in range(len(self._spread)):  # each at the most once
            key = next(iter(self._spread))
            one = self._spread[key]
            if not self.view.current(one.rumour):
                del self._spread[key]
                continue
            room -= len(one.data)
            if room < 0:
                break
            del self._spread[key]
            chosen.append(Raw(one.data))
            one.times += 1
            if one.times < enough:
                self._spread[key] = one  # behind all others
        return chosen

    def _sweep(self) -> None:
        """Let go of what is over: unanswered pings, and members that have been out of the view for long."""
        now = self._now
        for number in [n for n, asked in self._asked.items() if now - asked.at > self._timing.suspect_after]:
            self._answered(number)
        if now < self._sweep_at:
            return
        self._sweep_at = now + 1.0
        for name, fact in list(self.view.facts.items()):
            if fact.present or name == self.card.name:
                continue
            if now - self._peer(name).changed_at > self._timing.forget_after:
                self.view.forget(name)
                self._peers.pop(name, None)
                self._told("forgotten", {"member": name})


assert RUMOUR_BYTES < MAX_DATAGRAM_BYTES
