"""What one process holds: the keyspace as of a position, the log, and what waits for its check."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ironmill.distribution.changes import Changes, packed_size, unpack_entries
from ironmill.distribution.interfaces import Consumer
from ironmill.distribution.keyspace import LEAVES, Keyspace
from ironmill.distribution.link import OnEvent
from ironmill.distribution.log import RevisionLog
from ironmill.distribution.revision import START, Delta, Position, Rejection
from ironmill.distribution.wire import REASON_MOST

PENDING_BYTES_MOST = 1 << 18  # of changes that are held and refused; beyond it they are asked for again


class Replica:
    """Takes steps of one history, whole or not at all, and never an older one after a newer one.

    Where there is a consumer a step is in force only once the consumer's check has passed. One that is
    refused waits, folded with those that come after it, until what they are together passes.
    """

    def __init__(self, consumer: Consumer | None = None, log: RevisionLog | None = None) -> None:
        self.keyspace = Keyspace()  # as of ``in_force``
        self.lineage = 0  # 0: none yet
        self.held = START
        self.in_force = START
        self.digest = 0  # as of ``held``
        self.refusal: Rejection | None = None
        self.log = log
        self._consumer = consumer
        self._pending: Changes = {}

    def take(self, delta: Delta, told: OnEvent) -> bool:
        """The next step. False if it is not: then nothing has changed."""
        if delta.base != self.held or delta.target <= self.held or self.let_go_due:
            return False
        pending = {**self._pending, **delta.changes} if self._pending else delta.changes
        if self.keyspace.digest_after(pending) != delta.digest:
            return False
        if self._consumer is not None:
            refusal = self._ask(pending)
            if refusal is not None:
                self._refuse(delta.target, delta.digest, pending, refusal, told)
                return True
        self.keyspace.apply(pending)
        self._in_force(delta.target, delta.digest, told, len(pending))
        if self.log is not None:
            self.log.append(delta)
        return True

    def take_whole(self, whole: Keyspace, position: Position, told: OnEvent) -> None:
        """A keyspace that was caught up with takes the place of the one held."""
        if position < self.held or position == START:
            return  # START: of a parent that has just started and holds nothing itself
        if self._consumer is not None:
            changes = self._difference(whole, self._consumer.looked_up)
            refusal = self._ask(changes)
            if refusal is not None:
                # Everything that differs has to wait; it is asked for again once there is something newer.
                self._refuse(position, whole.digest, {}, refusal, told)
                return
        self.keyspace = whole
        self._in_force(position, whole.digest, told, whole.count)
        if self.log is not None:
            self.log.clear()

    @property
    def let_go_due(self) -> bool:
        """True if what is held beyond what is in force was too much to keep: no step can follow on it."""
        return self.held != self.in_force and not self._pending

    def let_go(self) -> None:
        """Forget what is held and not in force."""
        self.held, self.digest = self.in_force, self.keyspace.digest
        self._pending = {}

    def _refuse(
        self, position: Position, digest: int, pending: Changes, refusal: Rejection, told: OnEvent
    ) -> None:
        self.refusal = refusal
        self.held, self.digest = position, digest
        self._pending = pending if packed_size(pending) <= PENDING_BYTES_MOST else {}
        told("refused", self._fields(position) | {"key": refusal.key, "reason": refusal.reason})

    def _in_force(self, position: Position, digest: int, told: OnEvent, count: int) -> None:
        self._pending = {}
        self.refusal = None
        self.held = self.in_force = position
        self.digest = digest
        told("in-force", self._fields(position) | {"changes": count, "digest": f"{digest:x}"})

    @staticmethod
    def _fields(position: Position) -> dict[str, Any]:
        return {"epoch": position.epoch, "number": position.number}

    def _ask(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """The consumer's check, and the change itself if that passes. What fails there is a refusal."""
        consumer = self._consumer
        assert consumer is not None
        try:
            refusal = consumer.check(changes)
            if refusal is None:
                consumer.apply(changes)
                return None
        except Exception as error:  # guards service: the old configuration is still fit for use
            refusal = Rejection("", f"{type(error).__name__}: {error}")
        return Rejection(refusal.key, refusal.reason[:REASON_MOST])

    def _difference(self, whole: Keyspace, looked_up: tuple[str, ...]) -> Changes:
        """What changes for the consumer between the keyspace in force and this one."""
        changes: Changes = {}
        for leaf in range(LEAVES):
            old, new = self.keyspace.leaf(leaf), whole.leaf(leaf)
            if old == new:
                continue
            before, after = dict(unpack_entries(old)), dict(unpack_entries(new))
            for key in before.keys() | after.keys():
                if before.get(key) != after.get(key) and not key.startswith(looked_up):
                    changes[key] = after.get(key)
        return changes
