"""Tests of the records, opinions and quorums of one view."""

from __future__ import annotations

import math
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from ironmill.membership.identity import MemberIdentity
from ironmill.membership.messages import ALIVE, SUSPECT, MemberRecord, Opinion
from ironmill.membership.view import View


def record_of(name: str, transitions: int, incarnation: int = 5, left: bool = False) -> MemberRecord:
    return MemberRecord(MemberIdentity(name, "127.0.0.1", 7000, "a", "r", incarnation), transitions, left)


RECORDS = st.builds(record_of, st.sampled_from("abcd"), st.integers(0, 5), st.integers(1, 3), st.booleans())


@given(st.lists(RECORDS), st.randoms(use_true_random=False))
@settings(max_examples=60)
def test_records_merge_to_the_same_view_in_any_order(records: list[MemberRecord], rng: random.Random) -> None:
    views = []
    for _ in range(2):
        view = View()
        for record in records:
            old = view.records.get(record.identity.name)
            if old is None or record.order > old.order:
                view.apply(record)
        views.append((view.digest, view.members()))
        records = [*records, *records]
        rng.shuffle(records)
    assert views[0] == views[1]


def test_opinion_of_an_earlier_transition_does_not_count() -> None:
    view = View()
    for name in "abcdefgh":
        view.apply(record_of(name, 2))
    opinions = [Opinion(name, "a", 5, 2, 9, SUSPECT) for name in view.observers("a")]
    for opinion in opinions:
        assert view.add_opinion(opinion, 10.0)
    assert view.supporters_of_change("a")
    view.apply(record_of("a", 4))
    assert not any(view.add_opinion(opinion, 10.0) for opinion in opinions)
    assert not view.supporters_of_change("a")


def test_quorum_of_unsuspected_observers_decides() -> None:
    view = View()
    for name in "abcdefghijkl":
        view.apply(record_of(name, 2))
    first_observers = view.observers("a")
    for stamp, name in enumerate(first_observers[:-2]):
        view.add_opinion(Opinion(name, "a", 5, 2, stamp, SUSPECT), 10.0)
    assert not view.supporters_of_change("a")
    for name in first_observers[-2:]:  # they become suspected themselves, so other observers replace them
        for observer in view.observers(name)[:2]:
            view.add_opinion(Opinion(observer, name, 5, 2, 1, SUSPECT), 10.0)
        assert view.is_suspected(name)
    replacements = [name for name in view.observers("a") if name not in first_observers]
    assert replacements
    for name in replacements:
        view.add_opinion(Opinion(name, "a", 5, 2, 1, SUSPECT), 10.0)
    assert view.supporters_of_change("a")
    view.apply(record_of("a", 3))
    observers = view.observers("a")
    quorum = math.ceil(0.6 * len(observers))
    for supporter_count, name in enumerate(observers[:quorum]):
        assert not view.supporters_of_change("a"), supporter_count
        view.add_opinion(Opinion(name, "a", 5, 3, 1, ALIVE), 10.0)
    assert view.supporters_of_change("a")
    view.expire_opinions(11.0)
    assert not view.supporters_of_change("a")
