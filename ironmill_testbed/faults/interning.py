"""Members of a simulated cluster that share equal values, for clusters of a thousand members and more.

Each member has a view of all others, so every record would exist once per member. Here, equal records,
opinions and ring positions are one shared object. The behavior of the members is that of ironmill's own.
"""

from __future__ import annotations

import random
from bisect import insort

from msgspec import Struct

from ironmill.membership.codec import Codec
from ironmill.membership.config import MemberConfig
from ironmill.membership.events import EventListener
from ironmill.membership.member import Member
from ironmill.membership.messages import GossipUpdate, MemberRecord, Opinion
from ironmill.membership.rings import Rings, ring_positions
from ironmill.membership.view import View


class InternedPositions(Struct, frozen=True):
    """The ring positions of one name, and its entries in the rings."""

    positions: list[int]
    entries: list[tuple[int, str]]


class MemberInterner:
    """A ``MemberFactory`` whose members, all of one simulated cluster, share equal values."""

    def __init__(self) -> None:
        """Creates an interner without values."""
        # Newest record of each name, and newest opinion of each observer on each subject. Members that have
        # not received these yet keep older ones, which are not interned.
        self._records: dict[str, MemberRecord] = {}
        self._opinions: dict[tuple[str, str], Opinion] = {}
        self._positions: dict[str, InternedPositions] = {}

    def __call__(
        self, config: MemberConfig, codec: Codec, rng: random.Random, now: float, on_event: EventListener
    ) -> Member:
        """Creates a member whose values are interned."""
        return _InterningMember(self, config, codec, rng, now, on_event)

    def intern_record(self, record: MemberRecord) -> MemberRecord:
        """Returns the interned record if it is equal, and otherwise the record itself."""
        name = record.identity.name
        interned = self._records.get(name)
        if interned is None or record.order > interned.order:
            self._records[name] = interned = record
        return interned if interned == record else record

    def intern_opinion(self, opinion: Opinion) -> Opinion:
        """Returns the interned opinion if it is equal, and otherwise the opinion itself."""
        key = opinion.observer, opinion.subject
        interned = self._opinions.get(key)
        if interned is None or opinion.stamp > interned.stamp:
            self._opinions[key] = interned = opinion
        return interned if interned == opinion else opinion

    def intern_update(self, update: GossipUpdate) -> GossipUpdate:
        """Returns the interned record or opinion if it is equal, and otherwise the update itself."""
        return self.intern_record(update) if isinstance(update, MemberRecord) else self.intern_opinion(update)

    def intern_positions(self, name: str) -> InternedPositions:
        """Returns the shared ring positions of a name, which callers must not modify."""
        interned = self._positions.get(name)
        if interned is None:
            positions = ring_positions(name)
            entries = [(position, name) for position in positions]
            interned = self._positions[name] = InternedPositions(positions, entries)
        return interned


class _InterningRings(Rings):
    """Rings whose positions are interned."""

    def __init__(self, interner: MemberInterner) -> None:
        super().__init__()
        self._interner = interner

    def add(self, name: str) -> None:
        if name not in self._positions:
            interned = self._interner.intern_positions(name)
            self._positions[name] = interned.positions
            for ring, entry in zip(self._rings, interned.entries, strict=True):
                insort(ring, entry)


class _InterningView(View):
    """A view whose records and opinions are interned."""

    def __init__(self, interner: MemberInterner) -> None:
        super().__init__()
        self.rings = _InterningRings(interner)
        self._interner = interner

    def apply(self, record: MemberRecord) -> None:
        super().apply(self._interner.intern_record(record))

    def add_opinion(self, opinion: Opinion, expires_at: float) -> bool:
        return super().add_opinion(self._interner.intern_opinion(opinion), expires_at)


class _InterningMember(Member):
    """A member whose view and received updates are interned."""

    def __init__(
        self,
        interner: MemberInterner,
        config: MemberConfig,
        codec: Codec,
        rng: random.Random,
        now: float,
        on_event: EventListener,
    ) -> None:
        self._interner = interner  # set first, as the constructor of the base class creates the view
        super().__init__(config, codec, rng, now, on_event)

    def _create_view(self) -> View:
        return _InterningView(self._interner)

    def _apply_update(self, update: GossipUpdate) -> None:
        super()._apply_update(self._interner.intern_update(update))
