"""All keys and values at one position in compact form, with digests of ranges that show differences.

The hash of a key assigns it to one of 65,536 leaves. A leaf is one byte string of packed entries, sorted by
key, so that the number of Python objects does not grow with the number of entries. The digest of a range is
the sum of its entries' hashes modulo 2**64, so the cost of a change does not depend on the size of the
keyspace, and an empty range needs no memory.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping

from ironmill.distribution.changes import pack_entry, unpack_entries

# Number of hash bits in a range's prefix, by level: the keyspace has 64 ranges, each of them has 64 smaller
# ranges, and each of those has 16 leaves.
LEVEL_BITS = (6, 12, 16)
LEAVES = 1 << LEVEL_BITS[-1]
_DIGEST_MASK = (1 << 64) - 1


def leaf_of(key_bytes: bytes) -> int:
    """Returns the index of the leaf that a key belongs to; the key is given in UTF-8."""
    return int.from_bytes(hashlib.blake2b(key_bytes, digest_size=2).digest())


def entry_hash(entry: bytes) -> int:
    """Returns the hash of a packed entry, which the digests of its ranges sum up."""
    return int.from_bytes(hashlib.blake2b(entry, digest_size=8).digest())


def leaf_digest(blob: bytes) -> int:
    """Returns the digest of the packed entries of a leaf."""
    return sum(entry_hash(blob[start:stop]) for start, stop in _entry_spans(blob)) & _DIGEST_MASK


def children_of(level: int, prefix: int) -> range:
    """Returns the prefixes of a range's parts at the next lower level."""
    bits = LEVEL_BITS[level + 1] - LEVEL_BITS[level]
    return range(prefix << bits, (prefix + 1) << bits)


def leaves_of(level: int, prefix: int) -> range:
    """Returns the indices of the leaves in a range."""
    bits = LEVEL_BITS[-1] - LEVEL_BITS[level]
    return range(prefix << bits, (prefix + 1) << bits)


def _entry_spans(blob: bytes) -> Iterator[tuple[int, int]]:
    """Yields the start and end offsets of each entry of a leaf."""
    start, end = 0, len(blob)
    while start < end:
        size_offset = start + 1 + blob[start]
        stop = size_offset + 2 + max(0, int.from_bytes(blob[size_offset : size_offset + 2]) - 1)
        yield start, stop
        start = stop


def _find_entry(blob: bytes, key_bytes: bytes) -> tuple[int, int]:
    """Returns the start and end offsets of a key's entry.

    Both are the offset at which the entry would be inserted if there is none.
    """
    for start, stop in _entry_spans(blob):
        entry_key = blob[start + 1 : start + 1 + blob[start]]
        if entry_key >= key_bytes:
            return (start, stop) if entry_key == key_bytes else (start, start)
    return len(blob), len(blob)


class Keyspace:
    """A map from keys to values, with digests of its ranges."""

    __slots__ = ("_digests", "_leaves", "count", "digest", "size")

    def __init__(self) -> None:
        """Creates an empty keyspace."""
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
        """Returns the value of a key, or None if there is none."""
        key_bytes = key.encode()
        blob = self._leaves.get(leaf_of(key_bytes), b"")
        start, stop = _find_entry(blob, key_bytes)
        return blob[start + 3 + len(key_bytes) : stop] if stop > start else None

    def put(self, key: str, value: bytes | None) -> None:
        """Sets the value of a key; None deletes the key."""
        key_bytes = key.encode()
        leaf = leaf_of(key_bytes)
        blob = self._leaves.get(leaf, b"")
        start, stop = _find_entry(blob, key_bytes)
        entry = b"" if value is None else pack_entry(key, value)
        if blob[start:stop] == entry:
            return
        digest_change = (entry_hash(entry) if entry else 0) - (
            entry_hash(blob[start:stop]) if stop > start else 0
        )
        self.count += bool(entry) - (stop > start)
        self._set_leaf(leaf, blob[:start] + entry + blob[stop:], digest_change)

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Makes all of the changes."""
        for key, value in changes.items():
            self.put(key, value)

    def digest_after(self, changes: Mapping[str, bytes | None]) -> int:
        """Returns the digest that the keyspace would have after the changes."""
        digest = self.digest
        for key, value in changes.items():
            old = self.get(key)
            if old is not None:
                digest -= entry_hash(pack_entry(key, old))
            if value is not None:
                digest += entry_hash(pack_entry(key, value))
        return digest & _DIGEST_MASK

    def leaf(self, index: int) -> bytes:
        """Returns the packed entries of a leaf."""
        return self._leaves.get(index, b"")

    def replace_leaf(self, index: int, blob: bytes) -> None:
        """Replaces the packed entries of a leaf. They must belong to this leaf and be sorted by key."""
        old = self._leaves.get(index, b"")
        if blob == old:
            return
        self.count += sum(1 for _ in _entry_spans(blob)) - sum(1 for _ in _entry_spans(old))
        self._set_leaf(index, blob, leaf_digest(blob) - leaf_digest(old))

    def range_digest(self, level: int, prefix: int) -> int:
        """Returns the digest of a range; 0 if the range is empty."""
        return self._digests[level].get(prefix, 0)

    def entries(self) -> Iterator[tuple[str, bytes]]:
        """Yields all keys and values."""
        for blob in self._leaves.values():
            for key, value in unpack_entries(blob):
                if value is not None:
                    yield key, value

    def page(self, leaf: int, after_key: str, end_leaf: int, max_bytes: int) -> tuple[bytes, int, str]:
        """Returns packed entries of the leaves from ``leaf`` to before ``end_leaf``, and where to continue.

        The page has ``max_bytes`` at most. ``after_key`` is the last key of ``leaf`` that was on an earlier
        page; if it is empty, the page starts with the first key of ``leaf``. The last two results are the
        ``leaf`` and ``after_key`` of the next page.
        """
        body = bytearray()
        last_key = after_key.encode()
        while leaf < end_leaf:
            blob = self._leaves.get(leaf, b"")
            for start, stop in _entry_spans(blob):
                entry_key = blob[start + 1 : start + 1 + blob[start]]
                if entry_key <= last_key:
                    continue
                if len(body) + stop - start > max_bytes:
                    return bytes(body), leaf, last_key.decode()
                body += blob[start:stop]
                last_key = entry_key
            leaf, last_key = leaf + 1, b""
        return bytes(body), end_leaf, ""

    def _set_leaf(self, leaf: int, blob: bytes, digest_change: int) -> None:
        self.size += len(blob) - len(self._leaves.get(leaf, b""))
        if blob:
            self._leaves[leaf] = blob
        else:
            self._leaves.pop(leaf, None)
        self.digest = (self.digest + digest_change) & _DIGEST_MASK
        for bits, digests in zip(LEVEL_BITS, self._digests, strict=True):
            prefix = leaf >> (LEVEL_BITS[-1] - bits)
            if digest := (digests.get(prefix, 0) + digest_change) & _DIGEST_MASK:
                digests[prefix] = digest
            else:
                digests.pop(prefix, None)
