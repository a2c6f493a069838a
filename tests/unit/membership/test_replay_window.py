"""Tests of the replay window of received sequence numbers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ironmill.membership.replay_window import ReplayWindow


@given(st.lists(st.integers(0, 2 * ReplayWindow.SIZE)))
def test_each_sequence_number_is_accepted_once(counts: list[int]) -> None:
    window, accepted, highest = ReplayWindow(), set[int](), -1
    for count in counts:
        is_recent = count > highest - ReplayWindow.SIZE
        assert window.accept(count) is (is_recent and count not in accepted)
        if is_recent:
            accepted.add(count)
        highest = max(highest, count)
