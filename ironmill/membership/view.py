"""The view of one member: the records of all members and the observers' opinions of them."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

from msgspec import Struct

from ironmill.membership.codec import encode_update
from ironmill.membership.messages import ALIVE, NEUTRAL, SUSPECT, GossipUpdate, MemberRecord, Opinion
from ironmill.membership.rings import RING_COUNT, Rings

# Fractions of a member's unsuspected observers that have to support its removal or admission.
REMOVAL_QUORUM_FRACTION, ADMISSION_QUORUM_FRACTION = 0.75, 0.6
MIN_REMOVAL_SUPPORTERS = 2
# A member counts as suspected if two observers suspect it. One observer is enough if at least this many
# members have a suspecting observer.
MASS_FAILURE_MEMBERS = 4
SMALL_CLUSTER_MEMBERS = 4  # one suspecting observer is also enough in clusters up to this size
MAX_OPINIONS_PER_SUBJECT = 2 * RING_COUNT  # those of its observers and of their replacements
_DIGEST_BYTES = 7


class StoredOpinion(Struct):
    """An opinion and the time at which it expires."""

    opinion: Opinion
    expires_at: float


def _record_digest(record: MemberRecord) -> int:
    text = f"{record.identity.name}\n{record.identity.incarnation}\n{record.transitions}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest())


def _quorum(count: int, fraction: float) -> int:
    return math.ceil(count * fraction)


class View:
    """The records of all members by name, the rings of those in the view, and the opinions by subject.

    A view does no I/O and reads no clock.
    """

    def __init__(self) -> None:
        """Creates a view without records."""
        self.records: dict[str, MemberRecord] = {}
        self.rings = Rings()
        self.digest = 0  # of all members in the view; equal digests mean equal views
        self.assignment_version = 0  # increases whenever the assignment of observers may have changed
        self._observers: dict[str, list[str]] = {}  # cached for the current assignment
        self._opinions: dict[str, dict[str, StoredOpinion]] = {}
        self._suspicion_counts: dict[str, int] = {}
        self._min_suspicions = 1

    def is_present(self, name: str) -> bool:
        """Returns whether the member is in the view."""
        return name in self.rings

    def members(self) -> list[MemberRecord]:
        """Returns the records of the members in the view, sorted by name."""
        return [self.records[name] for name in sorted(self.records) if self.is_present(name)]

    def removed_members(self) -> Iterable[MemberRecord]:
        """Returns the records of members that are out of the view and did not leave gracefully."""
        return [record for name, record in self.records.items() if name not in self.rings and not record.left]

    def apply(self, record: MemberRecord) -> None:
        """Stores the record of a member; discards the opinions about the member if its ``order`` changes."""
        name = record.identity.name
        old = self.records.get(name)
        if old is not None and old.is_present:
            self.digest ^= _record_digest(old)
        self.records[name] = record
        if record.is_present:
            self.digest ^= _record_digest(record)
            self.rings.add(name)
        else:
            self.rings.discard(name)
        if old is None or old.order != record.order:
            self._invalidate_assignment()
            self._discard_opinions(name)

    def forget(self, name: str) -> None:
        """Deletes the record of a member that is out of the view."""
        del self.records[name]
        self._discard_opinions(name)
        self._invalidate_assignment()

    def page(self, after: str, max_bytes: int) -> tuple[list[MemberRecord], bool]:
        """Returns a page of the records whose names sort after ``after``, and whether it is the last page.

        The records of a page have at most ``max_bytes`` bytes.
        """
        names = sorted(name for name in self.records if name > after)
        remaining_bytes = max_bytes
        page: list[MemberRecord] = []
        for name in names:
            remaining_bytes -= len(encode_update(self.records[name]))
            if remaining_bytes < 0:
                break
            page.append(self.records[name])
        return page, len(page) == len(names)

    # Opinions

    def add_opinion(self, opinion: Opinion, expires_at: float) -> bool:
        """Stores an opinion; returns False if it is outdated or not acceptable.

        It is not acceptable if its observer is not in the view or is the subject, or if too many are stored.
        """
        if not self.is_current(opinion):
            return False
        if opinion.observer not in self.rings or opinion.observer == opinion.subject:
            return False
        opinions = self._opinions.setdefault(opinion.subject, {})
        old = opinions.get(opinion.observer)
        if old is not None and old.opinion.stamp >= opinion.stamp:
            return False
        if old is None and len(opinions) >= MAX_OPINIONS_PER_SUBJECT:
            return False
        opinions[opinion.observer] = StoredOpinion(opinion, expires_at)
        self._recount_suspicions(opinion.subject)
        return True

    def is_current(self, update: GossipUpdate) -> bool:
        """Returns whether an update is a record, or an opinion of the current state of its subject."""
        if isinstance(update, MemberRecord):
            return True
        record = self.records.get(update.subject)
        return record is not None and record.order == (update.incarnation, False, update.transitions)

    def opinion_value(self, observer: str, subject: str) -> int:
        """Returns the value of the observer's opinion of the subject, or ``NEUTRAL`` if there is none."""
        stored = self._opinions.get(subject, {}).get(observer)
        return NEUTRAL if stored is None else stored.opinion.value

    def expire_opinions(self, now: float) -> None:
        """Deletes the opinions that have expired."""
        for subject in list(self._opinions):
            opinions = self._opinions[subject]
            for observer in [name for name, stored in opinions.items() if stored.expires_at <= now]:
                del opinions[observer]
            if opinions:
                self._recount_suspicions(subject)
            else:
                self._discard_opinions(subject)

    def subjects_of_opinions(self) -> list[str]:
        """Returns the members about which opinions are stored."""
        return list(self._opinions)

    def is_suspected(self, name: str) -> bool:
        """Returns whether enough observers suspect the member that others replace it as an observer."""
        return self._suspicion_counts.get(name, 0) >= self._min_suspicions

    @property
    def has_suspected_members(self) -> bool:
        """Whether any member is suspected."""
        return any(count >= self._min_suspicions for count in self._suspicion_counts.values())

    def suspecting_observers(self, name: str) -> list[str]:
        """Returns the observers that suspect a member."""
        opinions = self._opinions.get(name, {})
        return [observer for observer, stored in opinions.items() if stored.opinion.value == SUSPECT]

    def observers(self, name: str) -> list[str]:
        """Returns the observers of a member, which may be in the view or out of it."""
        observers = self._observers.get(name)
        if observers is None:
            observers = self._observers[name] = self.rings.observers(name, self.is_suspected)
        return observers

    def supporters_of_change(self, name: str) -> list[str]:
        """Returns the observers that support adding a member to the view, or removing one that is in it.

        The result is empty without a quorum. Only observers that are not suspected themselves count. A member
        that left gracefully stays out of the view.
        """
        record = self.records.get(name)
        if record is None or record.left:
            return []
        value = SUSPECT if record.is_present else ALIVE
        opinions = self._opinions.get(name)
        if not opinions or all(stored.opinion.value != value for stored in opinions.values()):
            return []
        observers = self.observers(name)
        supporters = [
            observer
            for observer in observers
            if observer in opinions and opinions[observer].opinion.value == value
        ]
        fraction = REMOVAL_QUORUM_FRACTION if record.is_present else ADMISSION_QUORUM_FRACTION
        minimum = min(MIN_REMOVAL_SUPPORTERS, len(observers)) if record.is_present else 1
        needed = max(_quorum(len(observers), fraction), minimum)
        return supporters if supporters and len(supporters) >= needed else []

    def _invalidate_assignment(self) -> None:
        self.assignment_version += 1
        self._observers.clear()

    def _recount_suspicions(self, name: str) -> None:
        was_suspected = self.is_suspected(name)
        self._set_suspicion_count(name, len(self.suspecting_observers(name)))
        if self.is_suspected(name) is not was_suspected:
            self._invalidate_assignment()

    def _set_suspicion_count(self, name: str, count: int) -> None:
        """Sets how many observers suspect a member, and updates how many make any member suspected.

        In a mass failure the observers of a dead member and their replacements may all be dead. One
        suspecting observer is then enough for a member to be replaced as an observer.
        """
        if count:
            self._suspicion_counts[name] = count
        else:
            self._suspicion_counts.pop(name, None)
        is_mass_failure = len(self._suspicion_counts) >= MASS_FAILURE_MEMBERS
        min_suspicions = 1 if is_mass_failure or len(self.rings) <= SMALL_CLUSTER_MEMBERS else 2
        if min_suspicions != self._min_suspicions:
            self._min_suspicions = min_suspicions
            self._invalidate_assignment()

    def _discard_opinions(self, name: str) -> None:
        if self._opinions.pop(name, None) is not None:
            self._invalidate_assignment()
        self._set_suspicion_count(name, 0)
