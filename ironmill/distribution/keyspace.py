"""All keys and values of one position, in compact form, with digests of ranges that find differences.

A key's hash assigns it to one of 65,536 leaves. A leaf is one byte string of packed entries in the order of
their keys, so that the number of objects does not grow with the number of entries. The digest of a range is
the sum of its entries' hashes modulo 2**64: the cost of a change does not depend on the size of the keyspace,
and an empty range needs no memory.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping

from ironmill.distribution.changes import pack_entry, unpack_entries

# Hash bits of a range's prefix, by level: 64 ranges of the whole, 64 of each of those, 16 leaves of each.
LEVEL_BITS = (6, 12, 16)
LEAVES = 1 << LEVEL_BITS[-1]
_MASK = (1 << 64) - 1


def leaf_of(name: bytes) -> int:
    """Returns the leaf of a key, given in UTF-8."""
    return int.from_bytes(hashlib.blake2b(name, digest_size=2).digest())


def entry_hash(entry: bytes) -> int:
    """Returns what a packed entry adds to the digests of its ranges."""
    return int.from_bytes(hashlib.blake2b(entry, digest_size=8).digest())


def leaf_digest(blob: bytes) -> int:
    """Returns the digest of a leaf's entries."""
    return sum(entry_hash(blob[start:stop]) for start, stop in _spans(blob)) & _MASK


def children_of(level: int, prefix: int) -> range:
    """Returns the prefixes of a range's parts, one level down."""
    bits = LEVEL_BITS[level + 1] - LEVEL_BITS[level]
    return range(prefix << bits, (prefix + 1) << bits)


def leaves_of(level: int, prefix: int) -> range:
    """Returns the leaves of a range."""
    bits = LEVEL_BITS[-1] - LEVEL_BITS[level]
    return range(prefix << bits, (prefix + 1) << bits)


def _spans(blob: bytes) -> Iterator[tuple[int, int]]:
    """Yields where each entry of a leaf begins and ends."""
    at, end = 0, len(blob)
    while at < end:
        size = at + 1 + blob[at]
        stop = size + 2 + max(0, int.from_bytes(blob[size : size + 2]) - 1)
        yield at, stop
        at = stop


def _find(blob: bytes, name: bytes) -> tuple[int, int]:
    """Returns where a key's entry begins and ends; an empty span, where it belongs, if there is none."""
    for start, stop in _spans(blob):
        other = blob[start + 1 : start + 1 + blob[start]]
        if other >= name:
            return (start, stop) if other == name else (start, start)
    return len(blob), len(blob)


class Keyspace:
    """Keys and values, with digests of their ranges."""

    __slots__ = ("_digests", "_leaves", "count", "digest", "size")

    def __init__(self) -> None:
        """Makes an empty keyspace."""
        self._leaves: dict[int, bytes] = {}
        self._digests: tuple[dict[int, int], ...] = tuple({} for _ in LEVEL_BITS)
        self.digest = 0
        self.count = 0
        self.size = 0  # bytes, in packed form

    def copy(self) -> Keyspace:
        """Returns an independent copy."""
        other = Keyspace()
        other._leaves = dict(self._leaves)
        other._digests = tuple(dict(digests) for digests in self._digests)
        other.digest, other.count, other.size = self.digest, self.count, self.size
        return other

    def get(self, key: str) -> bytes | None:
        """Returns a key's value, or None if it has none."""
        name = key.encode()
        blob = self._leaves.get(leaf_of(name), b"")
        start, stop = _find(blob, name)
        return blob[start + 3 + len(name) : stop] if stop > start else None

    def put(self, key: str, value: bytes | None) -> None:
        """Sets a key's value; None deletes the key."""
        name = key.encode()
        leaf = leaf_of(name)
        blob = self._leaves.get(leaf, b"")
        start, stop = _find(blob, name)
        entry = b"" if value is None else pack_entry(key, value)
        if blob[start:stop] == entry:
            return
        change = (entry_hash(entry) if entry else 0) - (entry_hash(blob[start:stop]) if stop > start else 0)
        self.count += bool(entry) - (stop > start)
        self._set(leaf, blob[:start] + entry + blob[stop:], change)

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Makes all of the changes."""
        for key, value in changes.items():
            self.put(key, value)

    def digest_after(self, changes: Mapping[str, bytes | None]) -> int:
        """Returns what the digest would be after the changes."""
        digest = self.digest
        for key, value in changes.items():
            old = self.get(key)
            if old is not None:
                digest -= entry_hash(pack_entry(key, old))
            if value is not None:
                digest += entry_hash(pack_entry(key, value))
        return digest & _MASK

    def leaf(self, index: int) -> bytes:
        """Returns the packed entries of a leaf."""
        return self._leaves.get(index, b"")

    def replace(self, index: int, blob: bytes) -> None:
        """Replaces a leaf. The entries must belong to it and be in the order of their keys."""
        old = self._leaves.get(index, b"")
        if blob == old:
            return
        self.count += sum(1 for _ in _spans(blob)) - sum(1 for _ in _spans(old))
        self._set(index, blob, leaf_digest(blob) - leaf_digest(old))

    def range_digest(self, level: int, prefix: int) -> int:
        """Returns the digest of one range; 0 if it is empty."""
        return self._digests[level].get(prefix, 0)

    def entries(self) -> Iterator[tuple[str, bytes]]:
        """Yields all keys and values."""
        for blob in self._leaves.values():
            for key, value in unpack_entries(blob):
                if value is not None:
                    yield key, value

    def page(self, leaf: int, after: str, end_leaf: int, max_bytes: int) -> tuple[bytes, int, str]:
        """Returns as many packed entries as fit, from ``leaf`` to before ``end_leaf``, and where to go on.

        ``after`` is the last key of ``leaf`` that an earlier page has; empty to begin with its first. The
        result ends with the leaf and the key after which the next page begins.
        """
        found = bytearray()
        name = after.encode()
        while leaf < end_leaf:
            blob = self._leaves.get(leaf, b"")
            for start, stop in _spans(blob):
                key = blob[start + 1 : start + 1 + blob[start]]
                if key <= name:
                    continue
                if len(found) + stop - start > max_bytes:
                    return bytes(found), leaf, name.decode()
                found += blob[start:stop]
                name = key
            leaf, name = leaf + 1, b""
        return bytes(found), end_leaf, ""

    def _set(self, leaf: int, blob: bytes, change: int) -> None:
        self.size += len(blob) - len(self._leaves.get(leaf, b""))
        if blob:
            self._leaves[leaf] = blob
        else:
            self._leaves.pop(leaf, None)
        self.digest = (self.digest + change) & _MASK
        for bits, digests in zip(LEVEL_BITS, self._digests, strict=True):
            prefix = leaf >> (LEVEL_BITS[-1] - bits)
            if digest := (digests.get(prefix, 0) + change) & _MASK:
                digests[prefix] = digest
            else:
                digests.pop(prefix, None)
