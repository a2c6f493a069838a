"""Members of a world that keep equal values once for all of them; for worlds of a thousand members and more.

Each member has a view of all others, so what a view holds of one member is held as often as there are
members. Here equal facts and opinions are one object, and so are places in the rings. Nothing is decided
otherwise: the members are the program's own, and what they hold is equal to what they would hold alone.
"""

from __future__ import annotations

import random
from bisect import insort
from collections.abc import Callable, Sequence
from typing import Any

from ironmill.membership.identity import Address, MemberIdentity
from ironmill.membership.member import Member
from ironmill.membership.rings import Rings, _places
from ironmill.membership.timing import Timing
from ironmill.membership.view import View
from ironmill.membership.wire import Codec, Fact, Opinion, Rumour


class Shared:
    """Makes members of one world, and keeps what they share; hand it to the world as ``make``."""

    def __init__(self) -> None:
        # The newest of each name, and of each observer on each subject: members that lag hold their own.
        self._facts: dict[str, Fact] = {}
        self._opinions: dict[tuple[str, str], Opinion] = {}
        self._places: dict[str, tuple[list[int], list[tuple[int, str]]]] = {}

    def __call__(
        self,
        card: MemberIdentity,
        codec: Codec,
        timing: Timing,
        seeds: Sequence[Address],
        rng: random.Random,
        now: float,
        told: Callable[[str, dict[str, Any]], object],
    ) -> Member:
        """A member as the world makes one."""
        return _SharingMember(self, card, codec, timing, seeds, rng, now, told)

    def fact(self, fact: Fact) -> Fact:
        """The one that is equal to this one, if it is the newest of its name."""
        name = fact.card.name
        held = self._facts.get(name)
        if held is None or fact.order > held.order:
            self._facts[name] = held = fact
        return held if held == fact else fact

    def rumour(self, rumour: Rumour) -> Rumour:
        """The same for a fact or an opinion."""
        if isinstance(rumour, Fact):
            return self.fact(rumour)
        key = rumour.observer, rumour.subject
        held = self._opinions.get(key)
        if held is None or rumour.stamp > held.stamp:
            self._opinions[key] = held = rumour
        return held if held == rumour else rumour

    def places(self, name: str) -> tuple[list[int], list[tuple[int, str]]]:
        """Where the name stands in each ring, and what the rings hold of it. Nobody changes either."""
        found = self._places.get(name)
        if found is None:
            places = _places(name)
            found = self._places[name] = places, [(place, name) for place in places]
        return found


class _SharingRings(Rings):
    """Rings that hold shared places."""

    def __init__(self, shared: Shared) -> None:
        super().__init__()
        self._shared = shared

    def add(self, name: str) -> None:
        if name not in self._places:
            places, entries = self._shared.places(name)
            self._places[name] = places
            for ring, entry in zip(self._rings, entries, strict=True):
                insort(ring, entry)


class _SharingView(View):
    """A view that holds shared facts and opinions."""

    def __init__(self, shared: Shared) -> None:
        super().__init__()
        self.rings = _SharingRings(shared)
        self._shared = shared

    def put(self, fact: Fact) -> None:
        super().put(self._shared.fact(fact))

    def hear(self, opinion: Opinion, until: float) -> bool:
        held = self._shared.rumour(opinion)
        assert isinstance(held, Opinion)
        return super().hear(held, until)


class _SharingMember(Member):
    """A member with such a view."""

    def __init__(self, shared: Shared, *args: Any) -> None:
        super().__init__(*args)
        view = _SharingView(shared)
        view.put(self.fact)
        self.view = view
        self._shared = shared

    def _hear(self, rumour: Rumour) -> None:
        super()._hear(self._shared.rumour(rumour))
