"""Tests of the assignment of observers by rings."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ironmill.membership.rings import RING_COUNT, Rings


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 20))), st.sets(st.integers(0, 20)))
def test_observers_and_subjects_are_inverse_relations(
    changes: list[tuple[bool, int]], suspected_numbers: set[int]
) -> None:
    rings, present = Rings(), set[str]()
    for is_added, number in changes:
        name = f"m{number}"
        if is_added:
            rings.add(name)
            present.add(name)
        else:
            rings.discard(name)
            present.discard(name)
    suspected = {f"m{number}" for number in suspected_numbers}
    assert len(rings) == len(present)
    observers = {name: rings.observers(name, suspected.__contains__) for name in present}
    for name in present:
        assert len(observers[name]) <= RING_COUNT
        assert set(observers[name]) <= present - suspected - {name}
        if present - suspected - {name}:
            assert observers[name]
    for name in present - suspected:
        subjects = rings.subjects(name, suspected.__contains__)
        assert set(subjects) == {other for other in present if name in observers[other]}
