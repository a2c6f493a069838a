"""Helpers that build keyspaces, and Hypothesis strategies for keys, values and changes."""

from __future__ import annotations

from collections.abc import Mapping

from hypothesis import strategies as st

from ironmill.distribution.changes import Changes
from ironmill.distribution.keyspace import Keyspace

KEYS = st.text("abß/", min_size=1, max_size=6) | st.integers(0, 400).map(lambda number: f"shard/{number}")
VALUES = st.binary(max_size=30) | st.integers(0, 640).map(bytes)
CHANGES = st.dictionaries(KEYS, st.none() | VALUES, min_size=1, max_size=30)


def keyspace_of(values: Mapping[str, bytes]) -> Keyspace:
    keyspace = Keyspace()
    for key, value in values.items():
        keyspace.put(key, value)
    return keyspace


def applied(values: Mapping[str, bytes], changes: Changes) -> dict[str, bytes]:
    return {key: value for key, value in {**values, **changes}.items() if value is not None}
