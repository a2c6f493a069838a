"""The figures of one process: each request counted once, at the moment its outcome is final.

At any instant ``taken = passed + dropped + bad_gateway + abandoned + pending``, in each class.
Whatever shows figures takes them from here.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct


class ClassFigures(Struct):
    """Requests of one class since the start of the process."""

    taken: int = 0
    passed: int = 0  # brought up
    dropped: int = 0  # refused: trying again is harmless
    bad_gateway: int = 0  # failed
    abandoned: int = 0  # the client went before it had its answer
    upstream_tries: int = 0  # attempts whose first line was written whole to a server

    @property
    def pending(self) -> int:
        """Requests that are owed an answer."""
        return self.taken - self.passed - self.dropped - self.bad_gateway - self.abandoned


class Count:
    """One request in the count. Its first outcome stands; one that passed ends later."""

    __slots__ = ("_class", "_figures", "_open", "_owed")

    def __init__(self, figures: Figures, class_figures: ClassFigures) -> None:
        self._figures = figures
        self._class = class_figures
        self._owed = self._open = True

    def passed(self) -> None:
        """It is up."""
        if self._owed:
            self._owed = False
            self._class.passed += 1

    def dropped(self) -> None:
        """It was refused."""
        if self._owed:
            self._class.dropped += 1
            self._settle()

    def failed(self) -> None:
        """It failed."""
        if self._owed:
            self._class.bad_gateway += 1
            self._settle()

    def abandoned(self) -> None:
        """Its client went before it had an answer."""
        if self._owed:
            self._class.abandoned += 1
            self._settle()

    def tried(self) -> None:
        """An attempt was written whole to a server."""
        self._class.upstream_tries += 1

    def ended(self) -> None:
        """Its connection is over."""
        if self._owed:
            self.abandoned()
        elif self._open:
            self._open = False
            self._figures.in_progress -= 1

    def _settle(self) -> None:
        self._owed = False
        self.ended()


class Figures:
    """All requests of the process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = {name: ClassFigures() for name in classes}
        self.in_progress = 0  # taken and not yet ended

    def take(self, class_name: str) -> Count:
        """A request came."""
        class_figures = self.classes.setdefault(class_name, ClassFigures())
        class_figures.taken += 1
        self.in_progress += 1
        return Count(self, class_figures)

    @property
    def upstream_tries(self) -> int:
        """Attempts of all classes."""
        return sum(one.upstream_tries for one in self.classes.values())

    def by_outcome(self) -> dict[str, dict[str, int]]:
        """What became of the requests, by outcome and class."""
        return {
            field: {name: getattr(one, field) for name, one in self.classes.items()}
            for field in ClassFigures.__struct_fields__
            if field != "upstream_tries"
        }
