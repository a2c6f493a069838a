"""Spans, rates and sizes as operators write them, with their units."""

from __future__ import annotations

_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_BYTES = {"B": 1.0, "KB": 1e3, "MB": 1e6, "KiB": 1024.0, "MiB": 1024.0 * 1024.0}


def duration(text: str) -> float:
    """Seconds, from a number and its unit: ms, s, m, h or d."""
    unit = text.lstrip("0123456789.")
    return float(text.removesuffix(unit)) * _SECONDS[unit]


def rate(text: str) -> float:
    """Events a second, from a number and the span it is for: /s, /m or /h."""
    number, _, unit = text.partition("/")
    return float(number) / _SECONDS[unit]


def size_rate(text: str) -> float:
    """Bytes a second, from a number and its unit: B/s, KB/s, MB/s, KiB/s or MiB/s."""
    size = text.removesuffix("/s")
    unit = size.lstrip("0123456789.")
    return float(size.removesuffix(unit)) * _BYTES[unit]
