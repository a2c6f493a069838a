"""The keyspace: a map with digests of ranges that can be read in pages."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from ironmill.distribution.changes import Changes, packed_size, unpack_entries
from ironmill.distribution.keyspace import LEAVES, LEVEL_BITS, Keyspace, children_of, leaf_digest, leaf_of
from ironmill.distribution.messages import (
    MAX_BODY_BYTES,
)
from tests.unit.distribution.keyspaces import CHANGES, KEYS, VALUES, applied, keyspace_of


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(CHANGES, max_size=8))
def test_a_keyspace_is_a_dictionary_with_digests(steps: list[Changes]) -> None:
    keyspace, model = Keyspace(), dict[str, bytes]()
    for changes in steps:
        expected_digest = keyspace.digest_after(changes)
        keyspace.apply(changes)
        model = applied(model, changes)
        assert keyspace.digest == expected_digest
    assert dict(keyspace.entries()) == model
    assert keyspace.count == len(model)
    assert keyspace.size == packed_size(dict(model))
    rebuilt = keyspace_of(dict(reversed(model.items())))  # the digest must not depend on the order of changes
    assert rebuilt.digest == keyspace.digest
    for level in range(len(LEVEL_BITS) - 1):
        for prefix in {leaf_of(key.encode()) >> (LEVEL_BITS[-1] - LEVEL_BITS[level]) for key in model}:
            part_digests = [keyspace.range_digest(level + 1, part) for part in children_of(level, prefix)]
            assert (
                keyspace.range_digest(level, prefix)
                == rebuilt.range_digest(level, prefix)
                == sum(part_digests) % (1 << 64)
            )
    for key in model:
        assert keyspace.get(key) == model[key]
        leaf = leaf_of(key.encode())
        assert keyspace.range_digest(len(LEVEL_BITS) - 1, leaf) == leaf_digest(keyspace.leaf(leaf))


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.dictionaries(KEYS, VALUES, max_size=60), st.integers(0, LEAVES - 1), st.integers(MAX_BODY_BYTES, 2000)
)
def test_pages_hold_each_entry_of_a_range_once(
    values: dict[str, bytes], first_leaf: int, max_bytes: int
) -> None:
    keyspace = keyspace_of(values)
    entries: list[tuple[str, bytes | None]] = []
    leaf, after_key = first_leaf, ""
    while leaf < LEAVES:
        body, leaf, after_key = keyspace.page(leaf, after_key, LEAVES, max_bytes)
        assert len(body) <= max_bytes
        assert body or leaf == LEAVES
        entries += unpack_entries(body)
    expected = {key: value for key, value in values.items() if leaf_of(key.encode()) >= first_leaf}
    assert len(entries) == len(expected)
    assert dict(entries) == expected
