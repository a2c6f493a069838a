"""The three roles: a proxy's leaf, a relay, and the origin. Each is fed datagrams and the time.

``tick`` is to be called each ``TICK``; ``tick``, ``receive``, ``leave`` and ``flush`` give back what is to be
sent. No socket, no clock; the origin's store is the one thing that it waits for.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from ironmill.distribution.changes import Changes, check_changes, packed_size
from ironmill.distribution.errors import (
    FencedError,
    NotOriginError,
    PositionConflictError,
    RevisionRejectedError,
    StoreError,
)
from ironmill.distribution.interfaces import Consumer, RevisionStore
from ironmill.distribution.link import Link, OnEvent
from ironmill.distribution.log import RevisionLog
from ironmill.distribution.missing import MissingList
from ironmill.distribution.publisher import NO_LOWEST, Publisher, add_tally
from ironmill.distribution.replica import Replica
from ironmill.distribution.revision import START, Delta, Position, Rejection, RevisionMetadata, StoredRevision
from ironmill.distribution.subscriber import Subscriber
from ironmill.distribution.timing import STORE_CHECK, Timing
from ironmill.distribution.wire import (
    AGE_NEVER,
    UNREACHABLE,
    Ask,
    Codec,
    Digests,
    Fetch,
    Laggard,
    Leave,
    Message,
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
from ironmill.membership.identity import Address, Datagram, MemberIdentity

LAGGARDS_SHOWN = 1 << 16  # bytes of them, where staff ask
ChangeCheck = Callable[[Changes], Rejection | None]


class Node:
    """What all roles share: datagrams in and out."""

    role = ""

    def __init__(
        self, card: MemberIdentity, codec: Codec, rng: random.Random, now: float, told: OnEvent
    ) -> None:
        self.card = card
        self.link = Link(card, codec, rng, now, told)

    @property
    def dropped(self) -> dict[str, int]:
        """Datagrams that were not taken, by reason."""
        return self.link.dropped

    @property
    def sent_bytes(self) -> int:
        """Bytes of datagrams sent so far."""
        return self.link.sent_bytes

    def tick(self, now: float) -> list[Datagram]:
        """A tenth of a second is over."""
        self.link.now = now
        self._tick()
        return self.link.flush()

    def receive(self, data: bytes, source: Address, now: float) -> list[Datagram]:
        """A datagram came. Whatever is wrong with it, it is counted and dropped."""
        self.link.now = now
        try:
            envelope = self.link.codec.decode(data)
            if envelope.to not in ("", self.card.name) or envelope.sender == self.card.name:
                raise DroppedError("misdirected")
            self._take(envelope, source)
        except DroppedError as why:
            self.link.drop(str(why))
        return self.link.flush()

    def flush(self) -> list[Datagram]:
        """What a call has made to be sent."""
        return self.link.flush()

    def leave(self, now: float) -> list[Datagram]:
        """The process ends in an orderly way."""
        self.link.now = now
        return self.link.flush()

    def status(self, now: float) -> dict[str, Any]:
        """What staff are shown."""
        raise NotImplementedError

    def _tick(self) -> None:
        raise NotImplementedError

    def _take(self, envelope: Envelope[Message], source: Address) -> None:
        raise NotImplementedError


def _of_child(subscriber: Subscriber, envelope: Envelope[Message]) -> None:
    """What a parent has sent."""
    message = envelope.message
    match message:
        case Word():
            subscriber.word(subscriber.contact(envelope.sender, message.echo), message)
        case Part():
            subscriber.part(subscriber.contact(envelope.sender, message.echo), message)
        case Digests() | Page():
            subscriber.answered(subscriber.contact(envelope.sender, message.echo), message)
        case _:
            raise DroppedError("unasked")


def _of_parent(publisher: Publisher, envelope: Envelope[Message], source: Address) -> None:
    """What a child, or another relay, has sent."""
    message = envelope.message
    if publisher.stopped:
        raise DroppedError("stopped")
    match message:
        case Poll():
            publisher.poll(envelope, message, source)
        case Ask():
            publisher.ask(envelope, message, source)
        case Fetch():
            publisher.fetch(envelope, message, source)
        case Leave():
            publisher.leave(envelope, message)
        case Moved():
            publisher.moved(envelope, message, source)
        case Noted():
            publisher.noted(envelope, message)
        case Sought():
            publisher.sought(envelope, message, source)
        case _:
            raise DroppedError("unasked")


class Leaf(Node):
    """In a proxy: takes revisions and has them put into force."""

    role = "subscriber"

    def __init__(
        self,
        card: MemberIdentity,
        codec: Codec,
        timing: Timing,
        parents: Sequence[Place],
        consumer: Consumer,
        rng: random.Random,
        now: float,
        told: OnEvent,
    ) -> None:
        super().__init__(card, codec, rng, now, told)
        self.replica = Replica(consumer)
        self.subscriber = Subscriber(self.link, self.replica, parents, timing)

    def lookup(self, key: str) -> bytes | None:
        """The value in force of a key."""
        return self.replica.keyspace.get(key)

    def leave(self, now: float) -> list[Datagram]:
        """Tell the parent, so that nobody is looked for."""
        self.link.now = now
        self.subscriber.leave()
        return self.link.flush()

    def status(self, now: float) -> dict[str, Any]:
        """What staff are shown."""
        self.link.now = now
        return _shown(self, self.replica, self.subscriber)

    def _tick(self) -> None:
        self.subscriber.tick()

    def _take(self, envelope: Envelope[Message], source: Address) -> None:
        _of_child(self.subscriber, envelope)


class Relay(Node):
    """A control machine between the origin and proxies."""

    role = "relay"

    def __init__(
        self,
        card: MemberIdentity,
        codec: Codec,
        timing: Timing,
        origins: Sequence[Place],
        peers: Sequence[Place],
        rng: random.Random,
        now: float,
        told: OnEvent,
    ) -> None:
        """``origins`` may be the writer; ``peers`` are the other control machines."""
        super().__init__(card, codec, rng, now, told)
        self.replica = Replica(log=RevisionLog())
        self.publisher = Publisher(self.link, self.replica, timing, peers)
        self.subscriber = Subscriber(self.link, self.replica, origins, timing, self.publisher.summary)

    def leave(self, now: float) -> list[Datagram]:
        """Tell the origin. The children find others by themselves."""
        self.link.now = now
        self.subscriber.leave()
        self.publisher.stopped = True
        return self.link.flush()

    def status(self, now: float) -> dict[str, Any]:
        """What staff are shown."""
        self.link.now = now
        summary = self.publisher.summary(LAGGARDS_SHOWN)
        return _shown(self, self.replica, self.subscriber) | _summed(summary)

    def _tick(self) -> None:
        self.subscriber.tick()
        self._pass_on()
        self.publisher.tick()

    def _take(self, envelope: Envelope[Message], source: Address) -> None:
        if isinstance(envelope.message, Word | Part | Digests | Page):
            _of_child(self.subscriber, envelope)
            self._pass_on()
        else:
            self._pass_on()  # the word grows older with time alone
            _of_parent(self.publisher, envelope, source)

    def _pass_on(self) -> None:
        """What the subscriber knows, the publisher tells."""
        subscriber, publisher = self.subscriber, self.publisher
        publisher.term, publisher.age = subscriber.term, subscriber.age
        publisher.summed_at = subscriber.summed_at
        if subscriber.moved:
            subscriber.moved = False
            publisher.published()


class Origin(Node):
    """The control machine that holds the order of changes."""

    role = "origin"

    def __init__(
        self,
        card: MemberIdentity,
        codec: Codec,
        timing: Timing,
        store: RevisionStore,
        relays: Sequence[Place],
        check: ChangeCheck,
        rng: random.Random,
        now: float,
        told: OnEvent,
    ) -> None:
        """``relays`` are all there are, so that one that is away is known; ``check`` is of the changes."""
        super().__init__(card, codec, rng, now, told)
        self._store = store
        self._check = check
        self._relays = relays
        self._timing = timing
        self._look_at = now + STORE_CHECK
        self._ahead: Position | None = None  # where the fleet is, if that is further on than this store
        self.replica = Replica(log=RevisionLog())
        self.replica.lineage = store.lineage
        for key, value in store.entries():
            self.replica.keyspace.put(key, value)
        self.replica.held = self.replica.in_force = store.position
        self.replica.digest = self.replica.keyspace.digest
        self.publisher = Publisher(self.link, self.replica, timing, relays)
        self.publisher.term, self.publisher.age = store.epoch, 0
        self._unobserved = 0
        self._failing = False
        self._missing = MissingList(timing.forget_after)
        self._everywhere = START
        self._pushed_at: dict[Position, float] = {}

    def push(
        self, changes: Changes, metadata: RevisionMetadata, now: float, expect: Position | None = None
    ) -> Position:
        """Keep the changes as the next revision and send it out; its position.

        RevisionError, RefusedError, HeadError, NotOriginError, StoreError: then nothing was kept and nothing
        is in force anywhere. ``at`` is Unix time; ``expect`` is what the newest revision has to be.
        """
        self.link.now = now
        if self.publisher.stopped:
            raise NotOriginError(f"{self.card.name} is no origin any more: another writer has taken over")
        before = self._store.committed(metadata.ticket)
        if before is not None:
            return before
        if self._ahead is not None:
            raise StoreError(
                f"the fleet is at {self._ahead}, which this store does not have; start again to take a "
                "higher epoch, and what only the fleet has is undone"
            )
        if expect is not None and expect != self.replica.held:
            raise PositionConflictError(f"the newest revision is {self.replica.held}, not {expect}")
        check_changes(changes)
        refusal = self._check(changes)
        if refusal is not None:
            raise RevisionRejectedError(refusal)
        digest = self.replica.keyspace.digest_after(changes)
        try:
            position = self._store.commit(changes, metadata)
        except FencedError:
            self._stop()
            raise
        delta = Delta(self.replica.held, position, digest, dict(changes), packed_size(changes))
        if not self.replica.take(delta, self.link.told):  # cannot be: it follows on what is held here
            raise StoreError(f"revision {position} does not follow on {self.replica.held}")
        self._pushed_at[position] = now
        if len(self._pushed_at) > 1024:
            del self._pushed_at[next(iter(self._pushed_at))]
        self.publisher.published()
        return position

    def undo(self, number: int) -> Changes:
        """What brings every key back to its value as of that revision; StoreError."""
        return self._store.undo(number)

    def history(self, most: int) -> list[StoredRevision]:
        """The last revisions, the newest first; StoreError."""
        return self._store.history(most)

    def summary(self, room: int = LAGGARDS_SHOWN) -> Summary:
        """What is known of the whole fleet: a relay that is away is a laggard of its own."""
        summary = self.publisher.summary(room)
        tallies = {tally.zone: tally for tally in summary.tallies}
        alone = []
        for one in self._missing.alone():
            add_tally(tallies, Tally(one.zone, 0, NO_LOWEST, 0, 1, 0))
            alone.append(Laggard(one.name, one.zone, one.in_force, UNREACHABLE))
        away = [
            Laggard(place.name, place.zone, START, UNREACHABLE)
            for place in self._relays
            if place.name != self.card.name and place.name not in self.publisher.children
        ]
        settled = summary.settled and not away
        return Summary(settled, list(tallies.values()), away + alone + summary.laggards, summary.more)

    @property
    def everywhere(self) -> Position:
        """The newest revision that was seen in force at every proxy there was; never goes back."""
        return self._everywhere

    def status(self, now: float) -> dict[str, Any]:
        """What staff are shown."""
        self.link.now = now
        shown = {
            "name": self.card.name,
            "role": self.role,
            "lineage": self.replica.lineage,
            "term": self._store.epoch,
            "held": str(self.replica.held),
            "in_force": str(self.replica.in_force),
            "stale": False,
            "age_s": 0.0,
            "parent": "",
            "entries": self.replica.keyspace.count,
            "superseded": self.publisher.stopped,
            "dropped": dict(self.dropped),
            "sent_bytes": self.sent_bytes,
            "ahead": None if self._ahead is None else str(self._ahead),
            "confirmed": str(self._everywhere),
        }
        return shown | _summed(self.summary(), self.replica.held)

    def _stop(self) -> None:
        self.publisher.stopped = True
        self.link.told("superseded", {"epoch": self._store.epoch})

    def _tick(self) -> None:
        self.publisher.tick()
        if self.link.now >= self._look_at and not self.publisher.stopped:
            self._look_at = self.link.now + STORE_CHECK
            self._look_at_store()
        reachable = {
            child.name: child.incarnation for child in self.publisher.children.values() if child.reachable
        }
        self.publisher.seek(self._missing.look(reachable, self.link.now))
        self._look_everywhere()

    def _take(self, envelope: Envelope[Message], source: Address) -> None:
        message = envelope.message
        if isinstance(message, Poll):
            if message.lineage not in (0, self.replica.lineage):
                raise DroppedError("lineage")
            ahead = message.held > self.replica.held and message.held.epoch >= self._store.epoch
            if ahead and self._ahead != message.held:
                self._ahead = max(message.held, self._ahead or START)
                self._unobserved = self._ahead.epoch  # the store is told with the next look at it
                self.link.told("fleet-ahead", {"fleet": str(message.held), "store": str(self.replica.held)})
        _of_parent(self.publisher, envelope, source)
        if isinstance(message, Sought):
            self._missing.heard(envelope.sender, envelope.incarnation, message.children, self.link.now)
        elif isinstance(message, Moved):
            self._missing.found(message.name, message.incarnation, message.attached)

    def _look_at_store(self) -> None:
        """Whether another writer has it, and what it has to know; one that fails is told once."""
        try:
            if self._store.fenced():
                self._stop()
            elif self._unobserved:
                self._store.observe(self._unobserved)
                self._unobserved = 0
            self._failing = False
        except StoreError as why:
            if not self._failing:
                self._failing = True
                self.link.told("store-failing", {"reason": str(why)})

    def _look_everywhere(self) -> None:
        if self._everywhere >= self.replica.held:
            return  # there is nothing newer to be told of
        lowest = _everywhere(self.summary(0), self.replica.held)
        if lowest is not None and lowest > self._everywhere:
            self._look_at_store()
            if self.publisher.stopped or self._failing:
                return  # what is told here may be half of the story: relays may be another writer's already
            self._everywhere = lowest
            for position in [one for one in self._pushed_at if one <= lowest]:
                seconds = self.link.now - self._pushed_at.pop(position)
                self.link.told(
                    "everywhere",
                    {
                        "epoch": position.epoch,
                        "number": position.number,
                        "seconds": round(seconds, 3),
                    },
                )


def _everywhere(summary: Summary, head: Position) -> Position | None:
    """What is in force at all, none excepted; None where somebody is away, refuses or is not known yet."""
    if not summary.settled or not summary.tallies:
        return None
    if any(tally.refused or tally.unreachable for tally in summary.tallies):
        return None
    return min(min(tally.lowest for tally in summary.tallies), head)


def _summed(summary: Summary, head: Position | None = None) -> dict[str, Any]:
    zones = [
        {
            "zone": one.zone,
            "proxies": one.proxies,
            "lowest": str(min(one.lowest, head or one.lowest)),
            "refused": one.refused,
            "unreachable": one.unreachable,
            "stale": one.stale,
        }
        for one in sorted(summary.tallies, key=lambda one: one.zone)
    ]
    lowest = [one.lowest for one in summary.tallies if one.proxies > one.refused]
    everywhere = None if head is None else _everywhere(summary, head)
    return {
        "everywhere": everywhere is not None and everywhere == head,
        "lowest": str(min(lowest)) if lowest else None,
        "settled": summary.settled,
        "zones": zones,
        "laggards": [
            {
                "name": one.name,
                "zone": one.zone,
                "in_force": str(one.in_force),
                "why": one.why,
                "key": one.key,
                "reason": one.reason,
            }
            for one in summary.laggards
        ],
        "more_laggards": summary.more,
    }


def _shown(node: Node, replica: Replica, subscriber: Subscriber) -> dict[str, Any]:
    age = subscriber.age
    refusal = replica.refusal
    return {
        "name": node.card.name,
        "role": node.role,
        "lineage": replica.lineage,
        "term": subscriber.term,
        "held": str(replica.held),
        "in_force": str(replica.in_force),
        "stale": subscriber.stale,
        "age_s": None if age == AGE_NEVER else age / 1000.0,
        "parent": "" if subscriber.parent is None else subscriber.parent.place.name,
        "catching_up": subscriber.catching_up is not None,
        "entries": replica.keyspace.count,
        "refused": None if refusal is None else {"key": refusal.key, "reason": refusal.reason},
        "dropped": dict(node.dropped),
        "sent_bytes": node.sent_bytes,
    }
