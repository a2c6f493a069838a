"""Keyed changes: their limits and their packed form."""

from __future__ import annotations

import pytest
from hypothesis import given, settings

from ironmill.distribution.changes import Changes, check_changes, pack_entry, packed_size, unpack_entries
from ironmill.distribution.errors import RevisionError
from tests.unit.distribution.keyspaces import CHANGES


@settings(max_examples=60, derandomize=True, deadline=None)
@given(CHANGES)
def test_packed_entries_are_unpacked_and_truncated_ones_are_rejected(changes: Changes) -> None:
    data = b"".join(pack_entry(key, value) for key, value in changes.items())
    assert dict(unpack_entries(data)) == changes
    assert len(data) == packed_size(changes)
    entry_ends = {0}
    for key, value in changes.items():
        entry_ends.add(max(entry_ends) + len(pack_entry(key, value)))
    for length in range(0, len(data), 7):
        if length not in entry_ends:
            with pytest.raises(ValueError, match=r"truncated|exceeds a limit"):
                list(unpack_entries(data[:length]))


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"": b"1"},
        {"a" * 201: b""},
        {"a\n": b""},
        {"\ud800": b""},
        {"a": bytes(641)},
        {f"{number}": None for number in range(4097)},
        {f"{number}": bytes(640) for number in range(110)},
    ],
)
def test_rejects_changes_that_exceed_a_limit_of_revisions(changes: Changes) -> None:
    with pytest.raises(RevisionError):
        check_changes(changes)
