"""Limits of the datagram protocols, shared by membership and distribution."""

from __future__ import annotations

MAX_DATAGRAM_BYTES = 1200  # fits into one IP packet on every common link
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # blake2b takes no longer key
MAX_TEXT_BYTES = 64  # of a name, a zone, a region, a host or the cluster's name
INTEGER_LIMIT = 1 << 62  # every integer on the wire is below it, so that sums stay within 64 bits


def fits_text(text: str) -> bool:
    """Returns whether a text has at most ``MAX_TEXT_BYTES`` bytes in UTF-8."""
    return len(text) <= MAX_TEXT_BYTES and len(text.encode(errors="replace")) <= MAX_TEXT_BYTES


def is_name(text: str) -> bool:
    """Returns whether a text can name a process: it is not empty and fits."""
    return bool(text) and fits_text(text)
