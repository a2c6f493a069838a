"""Keyed changes: their limits, and their packed form in datagrams and in the leaves of a keyspace.

A packed entry is one byte with the key's length, the key in UTF-8, two bytes with the value's length plus one
(0 for a deleted key), and the value. The limits ensure that any single entry fits into one datagram.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from ironmill.distribution.errors import RevisionError

MAX_KEY_BYTES = 200  # of UTF-8
MAX_VALUE_BYTES = 640
MAX_REVISION_BYTES = 1 << 16  # in packed form
MAX_REVISION_CHANGES = 4096

Changes = dict[str, bytes | None]  # None deletes the key


def check_changes(changes: Mapping[str, bytes | None]) -> None:
    """Raises ``RevisionError`` if the changes exceed a limit on their number, size, keys or values."""
    if not changes:
        raise RevisionError("a revision has one change at least")
    if len(changes) > MAX_REVISION_CHANGES:
        raise RevisionError(f"{len(changes)} changes; a revision has {MAX_REVISION_CHANGES} at most")
    for key, value in changes.items():
        if reason := invalid_change_reason(key, value):
            raise RevisionError(f"{key[:MAX_KEY_BYTES]}: {reason}")
    if (size := packed_size(changes)) > MAX_REVISION_BYTES:
        raise RevisionError(f"{size} bytes; a revision has {MAX_REVISION_BYTES} at most")


def invalid_change_reason(key: str, value: bytes | None) -> str:
    """Returns a message about the limit that a key or its value exceeds; empty if both are valid."""
    try:
        length = len(key.encode())
    except UnicodeEncodeError:
        return "the key cannot be encoded as UTF-8"
    if not 0 < length <= MAX_KEY_BYTES:
        return f"a key has 1 to {MAX_KEY_BYTES} bytes"
    if not key.isprintable():
        return "a key has printable characters only"
    if value is not None and len(value) > MAX_VALUE_BYTES:
        return f"a value has {MAX_VALUE_BYTES} bytes at most"
    return ""


def pack_entry(key: str, value: bytes | None) -> bytes:
    """Returns one change in packed form."""
    key_bytes = key.encode()
    if value is None:
        return bytes((len(key_bytes),)) + key_bytes + b"\0\0"
    return bytes((len(key_bytes),)) + key_bytes + (len(value) + 1).to_bytes(2) + value


def packed_size(changes: Mapping[str, bytes | None]) -> int:
    """Returns the size of the changes in packed form, in bytes."""
    return sum(3 + len(key.encode()) + len(value or b"") for key, value in changes.items())


def unpack_entries(data: bytes) -> Iterator[tuple[str, bytes | None]]:
    """Yields the changes in packed data. Raises ``ValueError`` if one is truncated or exceeds a limit."""
    offset, end = 0, len(data)
    while offset < end:
        key_start = offset + 1
        offset = key_start + data[offset]
        size_field = int.from_bytes(data[offset : offset + 2])
        stop = offset + 2 + max(0, size_field - 1)
        if key_start == offset or stop > end or offset + 2 > end:
            raise ValueError("packed entry is truncated")
        key = data[key_start:offset].decode()
        value = data[offset + 2 : stop] if size_field else None
        if invalid_change_reason(key, value):
            raise ValueError("packed entry exceeds a limit")
        yield key, value
        offset = stop


def merge_changes(steps: Iterable[Mapping[str, bytes | None]]) -> Changes:
    """Returns the steps merged into one, which has the last value of each key."""
    merged: Changes = {}
    for step in steps:
        merged.update(step)
    return merged
