"""Who takes revisions from a parent: finds one, polls it, puts deltas together, catches up, knows its age.

Fed datagrams and the time; gives back datagrams by its link. No I/O, no clock.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Sequence

from msgspec import Struct

from ironmill.distribution.catch_up import CatchUp
from ironmill.distribution.changes import Changes, packed_size, unpack_entries
from ironmill.distribution.link import Link
from ironmill.distribution.replica import Replica
from ironmill.distribution.revision import START, Delta, Position
from ironmill.distribution.timing import (
    ACK_EVERY,
    FAILED_FOR,
    FAILED_MOST,
    HOME_EVERY,
    OVERTAKEN,
    PARENT_STALE,
    PAUSED,
    POLL_EVERY,
    PROBE_EVERY,
    PROBES,
    RETRY,
    SETTLE_FOR,
    TRIES,
    Timing,
)
from ironmill.distribution.wire import (
    AGE_NEVER,
    MISSING_MOST,
    PREVIOUS_MOST,
    Ask,
    Digests,
    Fetch,
    Leave,
    Page,
    Part,
    Place,
    Poll,
    Summary,
    Word,
)
from ironmill.membership.contact_tokens import ContactTokens
from ironmill.membership.envelope import DroppedError

PREVIOUS_TOLD = 5.0  # seconds after a change of parent
POLLS_KEPT = 64  # that may be answered yet
FRESH_BY = 1.0  # seconds: another parent is taken for its fresher word only if it is that much fresher


class Contact(Struct):
    """What is known of one who may be a parent."""

    place: Place
    token: int = 0  # to be echoed to it
    asked_at: float = -math.inf
    unanswered: int = 0
    answered_at: float = -math.inf
    fresh_at: float = -math.inf  # when the origin spoke, as its last word tells
    head: Position = START
    pushed_at: float = -math.inf  # when a part came from it
    term: int = 0
    passed_over_until: float = -math.inf
    failures: int = 0


class Assembly(Struct):
    """A delta whose parts are coming in."""

    base: Position
    target: Position
    digest: int
    count: int
    bodies: dict[int, bytes]


def preferred(name: str, zone: str, region: str, places: Sequence[Place]) -> list[Place]:
    """Those of the own zone first, then of the region, then the others; each kind in an order of one's own.

    The order follows from the names alone (rendezvous hashing), so children spread evenly over parents, and
    those of a parent that has died spread over all that are left.
    """

    def rank(place: Place) -> tuple[int, bytes]:
        near = 0 if place.zone == zone else 1 if place.region == region else 2
        return near, hashlib.blake2b(f"{name}\n{place.name}".encode(), digest_size=8).digest()

    return sorted(places, key=rank)


class Subscriber:
    """One child's side."""

    def __init__(
        self,
        link: Link,
        replica: Replica,
        parents: Sequence[Place],
        timing: Timing,
        summary: Callable[[], Summary] | None = None,
    ) -> None:
        """``summary`` is what a relay tells of its own children."""
        self._link = link
        self.replica = replica
        self._timing = timing
        self._summary = summary
        card = link.card
        self._contacts = [Contact(place) for place in preferred(card.name, card.zone, card.region, parents)]
        self._by_name = {contact.place.name: contact for contact in self._contacts}
        self.parent: Contact | None = None
        self.term = 0
        self.fresh_at = -math.inf
        self.stale = False
        self.summed_at = -math.inf  # when the newest sum was made that the parent has
        self._polls: dict[int, float] = {}  # when the last ones were sent, by their count
        self.moved = False  # by a delta or a whole keyspace since the last look
        self._attached = 0
        self._previous: list[str] = []
        self._attached_at = -math.inf
        self._alone_since = link.now
        self._ticked = link.now
        self._poll_at = link.now
        self._polled_at = -math.inf
        self._probe_at = link.now
        self._probe_next = 0
        self._home_at = link.now + HOME_EVERY * (0.5 + link.rng.random())
        self._assembly: Assembly | None = None
        self._catch_up: CatchUp | None = None

    @property
    def age(self) -> int:
        """Milliseconds since the origin's word."""
        if self.fresh_at == -math.inf:
            return AGE_NEVER
        return max(0, int(1000.0 * (self._link.now - self.fresh_at)))

    @property
    def catching_up(self) -> CatchUp | None:
        """What is being caught up with, if anything."""
        return self._catch_up

    # Time

    def tick(self) -> None:
        """To be called every tenth of a second."""
        now = self._link.now
        gap, self._ticked = now - self._ticked, now
        if gap > PAUSED and self.parent is not None:
            self.parent.unanswered = 0  # it may well have answered meanwhile
        self._judge_age()
        if self.parent is None:
            self._look_for_parent()
        else:
            self._keep(self.parent)
        self._ask_on()

    def leave(self) -> None:
        """Tell the parent that this process ends."""
        if self.parent is not None:
            self._link.send(self.parent.place.name, self.parent.place.address, Leave(self.parent.token))

    def _judge_age(self) -> None:
        stale = self._link.now - self.fresh_at > self._timing.stale_after
        if stale is not self.stale:
            self.stale = stale
            age = self.age
            seconds = None if age == AGE_NEVER else age / 1000.0
            self._link.told("stale" if stale else "fresh", {"age": seconds, "held": str(self.replica.held)})

    def _keep(self, parent: Contact) -> None:
        now = self._link.now
        if now >= self._poll_at:
            if parent.unanswered >= TRIES:
                self._lose(parent)
                self._look_for_parent()
                return
            self._poll(parent)
        if not self._good(parent):
            if now >= self._probe_at:  # it answers, but is behind this one, or has heard nothing itself
                self._probe()
        elif now >= self._home_at:
            self._home_at = now + HOME_EVERY * (0.5 + self._link.rng.random())
            for contact in self._contacts:
                if contact is parent:
                    break
                if now >= contact.passed_over_until:
                    self._send_poll(contact, probe=True)
                    break

    def _lose(self, parent: Contact) -> None:
        now = self._link.now
        self._fail(parent)
        self._was_at(parent)
        self.parent = None
        self._alone_since = now
        self._probe_at = now
        self._probe_next = 0
        self._link.told("parent-lost", {"parent": parent.place.name})

    def _was_at(self, parent: Contact) -> None:
        """It is to forget this child, or would name it as unreachable."""
        self._previous = [parent.place.name, *self._previous][:PREVIOUS_MOST]

    def _fail(self, contact: Contact) -> None:
        wait = min(FAILED_MOST, FAILED_FOR * 2.0**contact.failures)
        contact.failures += 1
        contact.passed_over_until = self._link.now + wait * (0.75 + 0.5 * self._link.rng.random())

    def _look_for_parent(self) -> None:
        if self._link.now >= self._probe_at:
            self._probe()

    def _probe(self) -> None:
        """Ask some that may be parents: the first that has not failed lately, and the others in turns."""
        now = self._link.now
        self._probe_at = now + PROBE_EVERY * (0.8 + 0.4 * self._link.rng.random())
        others = [one for one in self._contacts if one is not self.parent]
        fit = [one for one in others if now >= one.passed_over_until] or others
        if not fit:
            return
        chosen = {id(one): one for one in fit[:1]}
        for _ in range(len(fit)):
            if len(chosen) >= PROBES:
                break
            one = fit[self._probe_next % len(fit)]
            self._probe_next += 1
            chosen[id(one)] = one
        for one in chosen.values():
            if one.asked_at > one.answered_at and now - one.asked_at > PROBE_EVERY:
                one.unanswered += 1
                if one.unanswered >= TRIES:
                    one.unanswered = 0
                    self._fail(one)
            self._send_poll(one, probe=True)

    # Polls

    def _poll(self, parent: Contact) -> None:
        parent.unanswered += 1
        self._poll_at = self._link.now + RETRY
        self._polled_at = self._link.now
        self._send_poll(parent, probe=False)

    def _send_poll(self, contact: Contact, probe: bool) -> None:
        replica, assembly, now = self.replica, self._assembly, self._link.now
        contact.asked_at = now
        held, target, missing = replica.held, START, list[int]()
        if self._catch_up is not None and self._catch_up.frontier is not None and contact is self.parent:
            held = self._catch_up.frontier
        if assembly is not None and contact is self.parent:
            target = assembly.target
            missing = [at for at in range(assembly.count) if at not in assembly.bodies][:MISSING_MOST]
        refusal = replica.refusal
        poll = Poll(
            contact.token,
            self._link.tokens.issue(contact.place.name, 0, now),
            probe,
            replica.lineage,
            held,
            replica.in_force,
            self.term,
            self._attached,
            self._previous if now - self._attached_at < PREVIOUS_TOLD else [],
            self._link.card.zone,
            self.age,
            target,
            missing,
            None if probe else refusal,
            None if probe or self._summary is None else self._summary(),
        )
        count = self._link.send(contact.place.name, contact.place.address, poll)
        self._polls[count] = now
        if len(self._polls) > POLLS_KEPT:
            del self._polls[next(iter(self._polls))]

    def _acknowledge(self) -> None:
        """Tell the parent what is held now, without waiting for the next poll."""
        self._poll_at = min(self._poll_at, max(self._link.now, self._polled_at + ACK_EVERY))
        if self.parent is not None and self._link.now >= self._poll_at:
            self._poll(self.parent)

    # Answers

    def contact(self, sender: str, echo: int) -> Contact:
        """Who this comes from; DroppedError if that is nobody who was asked lately."""
        contact = self._by_name.get(sender)
        if contact is None:
            raise DroppedError("stranger")
        if not self._link.tokens.verify(sender, 0, echo, self._link.now):
            raise DroppedError("unproven")
        return contact

    def word(self, contact: Contact, word: Word) -> None:
        """The answer to a poll."""
        now, replica = self._link.now, self.replica
        if self._foreign(word.lineage):
            raise DroppedError("lineage")
        # Its token of then proves nothing any more: the poll that it has answered did not count.
        revived = contact.token == 0 or now - contact.answered_at > ContactTokens.ROTATION_INTERVAL_S
        contact.token = word.token
        contact.answered_at, contact.unanswered = now, 0
        if word.head >= contact.head or now - contact.pushed_at > OVERTAKEN:
            contact.head = word.head
        contact.term = word.term
        # By when it was asked, not by when this came: it may have waited for long on the way or unread.
        asked_at = self._polls.get(word.answers, -math.inf)
        if word.age != AGE_NEVER and word.term >= self.term:
            contact.fresh_at = max(contact.fresh_at, asked_at - word.age / 1000.0)
        self.term = max(self.term, word.term)
        if contact is self.parent:
            if word.counted and asked_at >= self._attached_at:
                self.summed_at = max(self.summed_at, asked_at)
            self._poll_at = max(self._poll_at, self._polled_at + POLL_EVERY)
            contact.failures = 0
            if contact.fresh_at > self.fresh_at:
                self.fresh_at = contact.fresh_at
                self._judge_age()
            if word.head > replica.held:
                self._behind(word)
            if revived:
                self._acknowledge()
        elif self._better(contact):
            self._attach(contact)
        if replica.lineage == 0 and word.lineage and contact is self.parent:
            replica.lineage = word.lineage

    def _foreign(self, lineage: int) -> bool:
        mine = self.replica.lineage
        return mine != 0 and lineage not in (0, mine)

    def _good(self, contact: Contact) -> bool:
        return (
            contact.term >= self.term
            and contact.head >= self.replica.held
            and self._link.now - contact.fresh_at <= PARENT_STALE
        )

    def _better(self, contact: Contact) -> bool:
        """True if this one, who has just answered, is a better parent than the one there is."""
        parent, now = self.parent, self._link.now
        if parent is None:
            return self._good(contact) or now - self._alone_since > SETTLE_FOR
        if not self._good(contact):
            return False
        if not self._good(parent):
            return (
                contact.fresh_at > parent.fresh_at + FRESH_BY
                or contact.term > parent.term
                or parent.head < self.replica.held
            )
        if self._catch_up is not None:  # to go home now would be to ask for much of it again
            return False
        return self._contacts.index(contact) < self._contacts.index(parent)

    def _attach(self, contact: Contact) -> None:
        was = self.parent
        if was is not None:
            self._was_at(was)
        if contact.place.name in self._previous:
            self._previous.remove(contact.place.name)
        self.parent = contact
        self._attached += 1
        self._attached_at = self._link.now
        self._assembly = None
        self.summed_at = -math.inf
        if self._catch_up is not None:
            self._catch_up.restart()
        contact.unanswered = 0
        before = "" if was is None else was.place.name
        self._link.told("parent", {"parent": contact.place.name, "was": before})
        self._poll_at = self._link.now
        self._poll(contact)

    def _behind(self, word: Word) -> None:
        """The parent is further on: its push comes, or what differs is asked for by ranges."""
        if self._catch_up is not None:
            return
        if self.replica.let_go_due:
            self.replica.let_go()
        elif word.reaches:
            self._poll_at = min(self._poll_at, self._link.now + RETRY)
            return
        self._begin_catch_up()

    # Deltas

    def part(self, contact: Contact, part: Part) -> None:
        """A piece of a delta from the parent."""
        if contact is not self.parent:
            raise DroppedError("not the parent")
        if self._foreign(part.lineage):
            raise DroppedError("lineage")
        if part.term < self.term:
            raise DroppedError("old term")
        # It has what it sends, though its word of that is still to come: it is not behind its own child.
        contact.head, contact.pushed_at = max(contact.head, part.target), self._link.now
        expected = self.replica.held
        if self._catch_up is not None:
            if self._catch_up.frontier is None:
                raise DroppedError("out of order")
            expected = self._catch_up.frontier
        if part.base != expected or part.target <= expected:
            if part.target <= expected:
                self._acknowledge()  # it is sent again because the acknowledgement was lost
            raise DroppedError("out of order")
        assembly = self._assembly
        if assembly is None or (assembly.base, assembly.target, assembly.digest, assembly.count) != (
            part.base,
            part.target,
            part.digest,
            part.count,
        ):
            if assembly is not None and assembly.base == part.base and assembly.target > part.target:
                raise DroppedError("out of order")
            assembly = Assembly(part.base, part.target, part.digest, part.count, {})
            self._assembly = assembly
        assembly.bodies[part.index] = part.body
        if len(assembly.bodies) < assembly.count:
            return
        self._assembly = None
        self._whole(assembly)

    def _whole(self, assembly: Assembly) -> None:
        changes: Changes = {}
        try:
            for at in range(assembly.count):
                changes.update(unpack_entries(assembly.bodies[at]))
        except ValueError:
            raise DroppedError("malformed") from None
        delta = Delta(assembly.base, assembly.target, assembly.digest, changes, packed_size(changes))
        if self._catch_up is not None:
            self._catch_up.pushed(delta)
            self._finish_catch_up()
        elif self.replica.take(delta, self._link.told):
            self.moved = True
        else:
            # Not the state that the step was made for: another history, or a fault. What differs is found.
            self._link.drop("digest")
            self._begin_catch_up()
        self._acknowledge()

    # Catching up

    def _begin_catch_up(self) -> None:
        if self.replica.held != self.replica.in_force:
            self.replica.let_go()
        self._assembly = None
        self._catch_up = CatchUp(self.replica.keyspace, self._timing.catch_up_rate, self._link.now)
        self._link.told("catching-up", {"held": str(self.replica.held)})
        self._ask_on()

    def _ask_on(self) -> None:
        parent = self.parent
        if self._catch_up is None or parent is None or parent.token == 0:
            return
        token = self._link.tokens.issue(parent.place.name, 0, self._link.now)
        for question in self._catch_up.questions(self._link.now):
            if isinstance(question, Ask):
                message: Ask | Fetch = Ask(parent.token, token, question.level, question.prefix)
            else:
                message = Fetch(
                    parent.token, token, question.number, question.leaf, question.after, question.until
                )
            self._link.send(parent.place.name, parent.place.address, message)

    def answered(self, contact: Contact, answer: Digests | Page) -> None:
        """What was asked for while catching up."""
        if self._catch_up is None or contact is not self.parent:
            raise DroppedError("unasked")
        if self._foreign(answer.lineage):
            raise DroppedError("lineage")
        contact.head = max(contact.head, answer.at)
        if isinstance(answer, Digests):
            self._catch_up.digests(answer)
        else:
            try:
                self._catch_up.page(answer)
            except ValueError:
                self._catch_up.restart()
                raise DroppedError("malformed") from None
        self._finish_catch_up()
        self._ask_on()

    def _finish_catch_up(self) -> None:
        if self._catch_up is None:
            return
        result = self._catch_up.result()
        if result is None:
            return
        fetched, self._catch_up = self._catch_up.fetched, None
        self._assembly = None
        self._link.told("caught-up", {"bytes": fetched, "held": str(result[1])})
        self.replica.take_whole(*result, self._link.told)
        self.moved = True
        self._acknowledge()
