"""All keys and values, held compactly, with digests of ranges that tell two keyspaces' differences.

A key belongs to one of 65,536 leaves by its hash. A leaf is one string of packed entries in the order of
their keys, so 640,000 entries are 65,536 objects and not 1,280,000. A range's digest is the sum of its
entries' hashes, so a change costs the same however much is held, and a range that is empty costs nothing.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping

from ironmill.distribution.changes import pack_entry, unpack_entries

# Ranges by level: 64 of the whole, 64 of each of those, 16 leaves of each. One answer has 64 digests.
LEVEL_BITS = (6, 12, 16)
LEAVES = 1 << LEVEL_BITS[-1]
_MASK = (1 << 64) - 1


def leaf_of(name: bytes) -> int:
    """The leaf of the key with these bytes."""
    return int.from_bytes(hashlib.blake2b(name, digest_size=2).digest())


def hash_of(entry: bytes) -> int:
    """What a packed entry adds to the digests."""
    return int.from_bytes(hashlib.blake2b(entry, digest_size=8).digest())


def leaf_sum(blob: bytes) -> int:
    """The digest of a leaf's entries."""
    return sum(hash_of(blob[start:stop]) for start, stop in _spans(blob)) & _MASK


def children_of(level: int, prefix: int) -> range:
    """The prefixes one level further down."""
    bits = LEVEL_BITS[level + 1] - LEVEL_BITS[level]
    return range(prefix << bits, (prefix + 1) << bits)


def leaves_of(level: int, prefix: int) -> range:
    """The leaves of a range."""
    bits = LEVEL_BITS[-1] - LEVEL_BITS[level]
    return range(prefix << bits, (prefix + 1) << bits)


def _spans(blob: bytes) -> Iterator[tuple[int, int]]:
    """Where each entry of a leaf begins and stops."""
    at, end = 0, len(blob)
    while at < end:
        size = at + 1 + blob[at]
        stop = size + 2 + max(0, int.from_bytes(blob[size : size + 2]) - 1)
        yield at, stop
        at = stop


def _find(blob: bytes, name: bytes) -> tuple[int, int]:
    """Where the entry of this key is, or an empty span where it belongs."""
    for start, stop in _spans(blob):
        other = blob[start + 1 : start + 1 + blob[start]]
        if other >= name:
            return (start, stop) if other == name else (start, start)
    return len(blob), len(blob)


class Keyspace:
    """Keys and values as of one position."""

    __slots__ = ("_leaves", "_sums", "count", "digest", "size")

    def __init__(self) -> None:
        self._leaves: dict[int, bytes] = {}
        self._sums: tuple[dict[int, int], ...] = tuple({} for _ in LEVEL_BITS)
        self.digest = 0
        self.count = 0
        self.size = 0  # bytes, packed

    def copy(self) -> Keyspace:
        """The same keys and values; what changes in one does not change in the other."""
        other = Keyspace()
        other._leaves = dict(self._leaves)
        other._sums = tuple(dict(sums) for sums in self._sums)
        other.digest, other.count, other.size = self.digest, self.count, self.size
        return other

    def get(self, key: str) -> bytes | None:
        """The key's value; None if it has none."""
        name = key.encode()
        blob = self._leaves.get(leaf_of(name), b"")
        start, stop = _find(blob, name)
        return blob[start + 3 + len(name) : stop] if stop > start else None

    def put(self, key: str, value: bytes | None) -> None:
        """Give the key a value, or none."""
        name = key.encode()
        leaf = leaf_of(name)
        blob = self._leaves.get(leaf, b"")
        start, stop = _find(blob, name)
        entry = b"" if value is None else pack_entry(key, value)
        if blob[start:stop] == entry:
            return
        change = (hash_of(entry) if entry else 0) - (hash_of(blob[start:stop]) if stop > start else 0)
        self.count += bool(entry) - (stop > start)
        self._set(leaf, blob[:start] + entry + blob[stop:], change)

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Put all of these."""
        for key, value in changes.items():
            self.put(key, value)

    def digest_after(self, changes: Mapping[str, bytes | None]) -> int:
        """What the digest would be with these changes."""
        digest = self.digest
        for key, value in changes.items():
            old = self.get(key)
            if old is not None:
                digest -= hash_of(pack_entry(key, old))
            if value is not None:
                digest += hash_of(pack_entry(key, value))
        return digest & _MASK

    def leaf(self, index: int) -> bytes:
        """The packed entries of a leaf."""
        return self._leaves.get(index, b"")

    def replace(self, index: int, blob: bytes) -> None:
        """Put another leaf in a leaf's place. Its entries are in order and belong there."""
        old = self._leaves.get(index, b"")
        if blob == old:
            return
        self.count += sum(1 for _ in _spans(blob)) - sum(1 for _ in _spans(old))
        self._set(index, blob, leaf_sum(blob) - leaf_sum(old))

    def sum(self, level: int, prefix: int) -> int:
        """The digest of one range; 0 where it is empty."""
        return self._sums[level].get(prefix, 0)

    def entries(self) -> Iterator[tuple[str, bytes]]:
        """All keys that have a value."""
        for blob in self._leaves.values():
            for key, value in unpack_entries(blob):
                if value is not None:
                    yield key, value

    def page(self, leaf: int, after: str, until: int, room: int) -> tuple[bytes, int, str]:
        """Entries from there on, as many as fit, and where the next page begins.

        ``after`` is a key of the leaf ``leaf`` that was told already, empty for its beginning. A page that
        reaches ``until`` ends there.
        """
        found = bytearray()
        name = after.encode()
        while leaf < until:
            blob = self._leaves.get(leaf, b"")
            for start, stop in _spans(blob):
                key = blob[start + 1 : start + 1 + blob[start]]
                if key <= name:
                    continue
                if len(found) + stop - start > room:
                    return bytes(found), leaf, name.decode()
                found += blob[start:stop]
                name = key
            leaf, name = leaf + 1, b""
        return bytes(found), until, ""

    def _set(self, leaf: int, blob: bytes, change: int) -> None:
        self.size += len(blob) - len(self._leaves.get(leaf, b""))
        if blob:
            self._leaves[leaf] = blob
        else:
            self._leaves.pop(leaf, None)
        self.digest = (self.digest + change) & _MASK
        for bits, sums in zip(LEVEL_BITS, self._sums, strict=True):
            prefix = leaf >> (LEVEL_BITS[-1] - bits)
            if total := (sums.get(prefix, 0) + change) & _MASK:
                sums[prefix] = total
            else:
                sums.pop(prefix, None)
