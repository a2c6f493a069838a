"""Catching up by ranges: who is further behind than its parent's log reaches gets what differs, no more.

The parent goes on changing meanwhile, so pages are of different positions. What makes one state of them: from
the first answer on, at position F0, the parent's changes are pushed as ever and kept in an overlay. A page of
a position between F0 and the overlay's end, with the overlay's values put over it, is the leaf as of the
overlay's end, for a key that did not change since F0 is the same in all of them. The digest that came with
the last push proves the whole before anything of it is in force.

Resumable: what has been fetched stays, and at another parent, or after a gap, only what differs from that is
asked for. No I/O, no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from msgspec import Struct

from ironmill.distribution.changes import Changes, pack_entry, packed_size, unpack_entries
from ironmill.distribution.keyspace import (
    LEAVES,
    LEVEL_BITS,
    Keyspace,
    children_of,
    leaf_of,
    leaves_of,
)
from ironmill.distribution.revision import START, Delta, Position
from ironmill.distribution.wire import Ask, Digests, Fetch, Page

WINDOW = 16  # questions that are out
RUN_MOST = LEAVES // WINDOW  # leaves of one run, so that several are fetched side by side
QUESTION_BYTES = 1100.0  # what an answer is reckoned as, before it has come
RETRY, RETRY_MOST = 0.3, 1.2  # beyond the time there and back between two regions, 0.16 s
OVERLAY_BYTES_MOST = 1 << 20
MISMATCHES_MOST = 3  # then what has been fetched is thrown away

Question = Ask | Fetch


class Asked(Struct):
    """A question that is out."""

    question: Question
    run: Run | None
    at: float
    wait: float


class Run(Struct):
    """Leaves that are fetched one after the other."""

    leaf: int
    until: int
    after: str = ""
    blob: bytes = b""  # of the leaf that is not whole yet


class CatchUp:
    """One catching up, from the first question to the whole keyspace."""

    def __init__(self, old: Keyspace, rate: float, now: float) -> None:
        """``rate`` is bytes a second."""
        self.frontier: Position | None = None  # the overlay's end; None before the first answer
        self.staged = old.copy()
        self.fetched = 0  # bytes of answers
        self.mismatches = 0
        self._rate = rate
        self._credit = WINDOW * QUESTION_BYTES
        self._credit_at = now
        self._digest = 0
        self._first = START  # position of the first answer
        self._reached: Position | None = None  # the newest position of any answer
        self._overlay: Changes = {}
        self._overlay_size = 0
        self._queue: deque[tuple[Question, Run | None]] = deque()
        self._asked: dict[tuple[int, int, int], Asked] = {}
        self._number = 0
        self.restart()

    def restart(self) -> None:
        """Begin again from what has been fetched: at another parent, or after a gap."""
        self.frontier = self._reached = None
        self._overlay, self._overlay_size = {}, 0
        self._asked.clear()
        self._queue.clear()
        self._queue.append((Ask(0, 0, -1, 0), None))

    # Questions

    def questions(self, now: float) -> Iterator[Question]:
        """What is to be asked now, within the rate and the window."""
        self._credit = min(self._rate, self._credit + (now - self._credit_at) * self._rate)
        self._credit_at = now
        for asked in self._asked.values():
            if now - asked.at >= asked.wait and self._credit >= QUESTION_BYTES:
                asked.at, asked.wait = now, min(RETRY_MOST, 2.0 * asked.wait)
                self._credit -= QUESTION_BYTES
                yield asked.question
        while self._queue and len(self._asked) < WINDOW and self._credit >= QUESTION_BYTES:
            question, run = self._queue.popleft()
            if isinstance(question, Fetch):
                self._number += 1
                question = Fetch(0, 0, self._number, question.leaf, question.after, question.until)
            self._asked[_key(question)] = Asked(question, run, now, RETRY)
            self._credit -= QUESTION_BYTES
            yield question

    # Answers

    def digests(self, answer: Digests) -> None:
        """The digests of a range's parts: those that differ are looked into, or fetched."""
        if self._asked.pop((0, answer.level, answer.prefix), None) is None:
            return
        self._spent(9 * len(answer.sums) + 100)
        if answer.level < 0 and self.frontier is None:
            self.frontier = self._first = answer.at
            self._digest = answer.digest
        if not self._seen(answer.at):
            return
        level = answer.level + 1
        prefixes = children_of(answer.level, answer.prefix) if level else range(1 << LEVEL_BITS[0])
        wanted: list[range] = []  # leaves, in order
        for prefix, digest in zip(prefixes, answer.sums, strict=True):
            mine = self.staged.sum(level, prefix)
            if mine == digest:
                continue
            if level == len(LEVEL_BITS) - 1:
                wanted.append(range(prefix, prefix + 1))
            elif mine == 0 or digest == 0:  # one of the two is empty: all of it differs
                span = leaves_of(level, prefix)
                if digest == 0:
                    for leaf in span:
                        self.staged.replace(leaf, b"")
                else:
                    wanted.append(span)
            else:
                self._queue.append((Ask(0, 0, level, prefix), None))
        joined: list[range] = []  # neighbours are fetched as one: of few entries many leaves fill one page
        for span in wanted:
            if joined and joined[-1].stop == span.start:
                joined[-1] = range(joined[-1].start, span.stop)
            else:
                joined.append(span)
        for span in joined:
            self._want(span.start, span.stop)

    def page(self, answer: Page) -> bool:
        """Entries came; ValueError if they are not in form. False for an answer to nothing that was asked."""
        asked = self._asked.pop((1, answer.number, 0), None)
        if asked is None or asked.run is None:
            return False
        run = asked.run
        self._spent(len(answer.body) + 100)
        if not self._seen(answer.at):
            return True
        least = run.leaf if answer.partial else run.leaf + 1
        if not least <= answer.next_leaf <= run.until:
            raise ValueError("a page that does not go on")
        by_leaf: dict[int, bytes] = {run.leaf: run.blob}
        key = ""
        for key, value in unpack_entries(answer.body):
            if value is None:
                raise ValueError("a page with a key that has no value")
            leaf = leaf_of(key.encode())
            if not run.leaf <= leaf < run.until:
                raise ValueError("a page with a key of another leaf")
            by_leaf[leaf] = by_leaf.get(leaf, b"") + pack_entry(key, value)
        for leaf in range(run.leaf, answer.next_leaf):
            self.staged.replace(leaf, by_leaf.get(leaf, b""))
        run.leaf, run.after, run.blob = answer.next_leaf, "", b""
        if answer.partial:
            run.after, run.blob = key, by_leaf.get(answer.next_leaf, b"")
        if run.leaf < run.until:
            self._queue.appendleft((Fetch(0, 0, 0, run.leaf, run.after, run.until), run))
        return True

    def pushed(self, delta: Delta) -> None:
        """The parent's next step, from the frontier on."""
        if delta.base != self.frontier:
            return
        self.frontier, self._digest = delta.target, delta.digest
        self._overlay.update(delta.changes)
        self._overlay_size += delta.size
        if self._overlay_size > OVERLAY_BYTES_MOST:
            self._overlay_size = packed_size(self._overlay)
            if self._overlay_size > OVERLAY_BYTES_MOST:
                self.restart()

    def result(self) -> tuple[Keyspace, Position] | None:
        """The whole keyspace once it is there and proven by its digest; None before.

        Where the digest shows that it is not right, it begins again.
        """
        if self._queue or self._asked or self.frontier is None:
            return None
        assert self._reached is not None
        if self._reached > self.frontier:
            return None  # the push that leads there is on its way
        whole = self.staged
        if self._overlay:
            whole = whole.copy()
            whole.apply(self._overlay)
        if whole.digest == self._digest:
            return whole, self.frontier
        self.mismatches += 1
        if self.mismatches >= MISMATCHES_MOST:
            self.staged, self.mismatches = Keyspace(), 0
        self.restart()
        return None

    def _want(self, start: int, stop: int) -> None:
        for leaf in range(start, stop, RUN_MOST):
            run = Run(leaf, min(stop, leaf + RUN_MOST))
            self._queue.append((Fetch(0, 0, 0, run.leaf, "", run.until), run))

    def _seen(self, at: Position) -> bool:
        """False, and all over again, where the parent is at an older position than at first."""
        if self.frontier is None or at < self._first:
            self.restart()
            return False
        if self._reached is None or at > self._reached:
            self._reached = at
        return True

    def _spent(self, size: int) -> None:
        self.fetched += size
        self._credit += QUESTION_BYTES - size


def _key(question: Question) -> tuple[int, int, int]:
    if isinstance(question, Ask):
        return 0, question.level, question.prefix
    return 1, question.number, 0


assert LEAVES % RUN_MOST == 0
