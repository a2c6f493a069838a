"""A process's copy of the configuration: the keyspace at a position, and changes not applied yet."""

from __future__ import annotations

from collections.abc import Mapping

from ironmill.distribution.changes import Changes, packed_size, unpack_entries
from ironmill.distribution.events import EventListener, RevisionApplied, RevisionRejected
from ironmill.distribution.interfaces import Consumer
from ironmill.distribution.keyspace import LEAVES, Keyspace
from ironmill.distribution.messages import MAX_REASON_LENGTH
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.revision import START, Delta, Position
from ironmill.distribution.revision_log import RevisionLog

MAX_PENDING_BYTES = 1 << 18  # limit of changes not applied yet; larger ones are dropped and fetched again


class Replica:
    """A keyspace to which the deltas of one history are applied in order, each completely or not at all.

    If there is a consumer, a delta is applied only if it passes the consumer's check. A rejected delta stays
    pending and is merged with those that follow until the merged changes pass the check.
    """

    def __init__(
        self, on_event: EventListener, consumer: Consumer | None = None, log: RevisionLog | None = None
    ) -> None:
        """Creates an empty replica.

        Without a consumer every delta is applied. With a log, applied deltas are appended to it.
        """
        self.keyspace = Keyspace()  # as of ``applied_position``
        self.lineage = 0  # 0 until a parent has reported it
        self.received_position = START
        self.applied_position = START
        self.digest = 0  # as of ``received_position``
        self.rejection: Rejection | None = None
        self.log = log
        self._on_event = on_event
        self._consumer = consumer
        self._pending: Changes = {}

    def apply_delta(self, delta: Delta) -> bool:
        """Applies the next delta, or keeps it pending if the consumer rejects it.

        Returns False and changes nothing if the delta does not continue from the received position, or if the
        resulting keyspace would not have the delta's digest.
        """
        if delta.base != self.received_position or delta.target <= self.received_position:
            return False
        if self.has_lost_pending:
            return False
        pending = {**self._pending, **delta.changes} if self._pending else delta.changes
        if self.keyspace.digest_after(pending) != delta.digest:
            return False
        rejection = self._apply_to_consumer(pending)
        if rejection is not None:
            self._reject(delta.target, delta.digest, pending, rejection)
            return True
        self.keyspace.apply(pending)
        self._mark_applied(delta.target, delta.digest, len(pending))
        if self.log is not None:
            self.log.append(delta)
        return True

    def replace_keyspace(self, keyspace: Keyspace, position: Position) -> None:
        """Replaces the keyspace by one that a catch-up has fetched.

        Ignores a keyspace that is older than the received position or that is already applied: a catch-up may
        start with a parent that is ahead of this process and end with another parent that is not.
        """
        if position < self.received_position or position == START:
            return  # a parent whose position is START has no configuration yet
        if position == self.applied_position and keyspace.digest == self.keyspace.digest:
            return
        if self._consumer is not None:
            rejection = self._apply_to_consumer(self._difference(keyspace, self._consumer.lookup_prefixes))
            if rejection is not None:
                # The whole difference may be too large to keep: it is fetched again with the next revision.
                self._reject(position, keyspace.digest, {}, rejection)
                return
        self.keyspace = keyspace
        self._mark_applied(position, keyspace.digest, keyspace.count)
        if self.log is not None:
            self.log.clear()

    @property
    def has_lost_pending(self) -> bool:
        """True if received changes were neither applied nor kept, so that no delta can be applied on top."""
        return self.received_position != self.applied_position and not self._pending

    def discard_pending(self) -> None:
        """Resets the received position to the applied one and drops the changes received after it."""
        self.received_position = self.applied_position
        self.digest = self.keyspace.digest
        self._pending = {}

    def _reject(self, position: Position, digest: int, pending: Changes, rejection: Rejection) -> None:
        self.rejection = rejection
        self.received_position = position
        self.digest = digest
        self._pending = pending if packed_size(pending) <= MAX_PENDING_BYTES else {}
        self._on_event(RevisionRejected(position, rejection))

    def _mark_applied(self, position: Position, digest: int, change_count: int) -> None:
        self._pending = {}
        self.rejection = None
        self.received_position = position
        self.applied_position = position
        self.digest = digest
        self._on_event(RevisionApplied(position, change_count, digest))

    def _apply_to_consumer(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """Has the consumer check and apply the changes. Returns its rejection, or None if it applied them."""
        consumer = self._consumer
        if consumer is None:
            return None
        try:
            rejection = consumer.check(changes)
            if rejection is None:
                consumer.apply(changes)
                return None
        except Exception as error:  # noqa: BLE001 (a bug in the consumer must not end the process)
            rejection = Rejection("", f"{type(error).__name__}: {error}")
        return Rejection(rejection.key, rejection.reason[:MAX_REASON_LENGTH])

    def _difference(self, keyspace: Keyspace, lookup_prefixes: tuple[str, ...]) -> Changes:
        """Returns the changes from the applied keyspace to another one, except keys read on demand.

        ``lookup_prefixes`` are the prefixes of these keys.
        """
        changes: Changes = {}
        for leaf in range(LEAVES):
            old_leaf, new_leaf = self.keyspace.leaf(leaf), keyspace.leaf(leaf)
            if old_leaf == new_leaf:
                continue
            old, new = dict(unpack_entries(old_leaf)), dict(unpack_entries(new_leaf))
            for key in old.keys() | new.keys():
                if old.get(key) != new.get(key) and not key.startswith(lookup_prefixes):
                    changes[key] = new.get(key)
        return changes
