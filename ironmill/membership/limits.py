"""Limits of the datagram protocols, shared by membership and distribution."""

from __future__ import annotations

MAX_DATAGRAM_BYTES = 1200  # fits into one IP packet on all common links
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # blake2b accepts at most 64 bytes
MAX_TEXT_BYTES = 64  # of the name of a member, a zone, a region, a host or a cluster, in UTF-8
INTEGER_LIMIT = 1 << 62  # integers on the wire are less than this, so that their sums fit in 64 bits


def fits_text(text: str) -> bool:
    """Returns whether a text has at most ``MAX_TEXT_BYTES`` bytes in UTF-8."""
    return len(text) <= MAX_TEXT_BYTES and len(text.encode(errors="replace")) <= MAX_TEXT_BYTES


def is_name(text: str) -> bool:
    """Returns whether a text is a valid name: it is not empty and has at most ``MAX_TEXT_BYTES`` bytes."""
    return bool(text) and fits_text(text)
