"""The order in which a group of connections prefers servers (rendezvous hashing)."""

from __future__ import annotations

_WORD = 0xFFFFFFFFFFFFFFFF  # 64 bits


def preference(group: int, backend: int) -> int:
    """How much a group prefers a backend: the same at every proxy, and unlike any other group's order."""
    value = ((group & _WORD) ^ (backend * 0x9E3779B97F4A7C15)) & _WORD
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _WORD
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _WORD
    return value ^ (value >> 31)
