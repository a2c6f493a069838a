"""Parses durations, rates and byte rates with units. The caller must have checked the format of the text."""

from __future__ import annotations

_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_BYTES_BY_UNIT = {"B": 1.0, "KB": 1e3, "MB": 1e6, "KiB": 1024.0, "MiB": 1024.0 * 1024.0}


def parse_duration(text: str) -> float:
    """Returns the seconds of a number with the unit ms, s, m, h or d."""
    unit = text.lstrip("0123456789.")
    return float(text.removesuffix(unit)) * _SECONDS_BY_UNIT[unit]


def parse_rate(text: str) -> float:
    """Returns the events per second of a number with the unit /s, /m or /h."""
    number, _, unit = text.partition("/")
    return float(number) / _SECONDS_BY_UNIT[unit]


def parse_byte_rate(text: str) -> float:
    """Returns the bytes per second of a number with the unit B/s, KB/s, MB/s, KiB/s or MiB/s."""
    size = text.removesuffix("/s")
    unit = size.lstrip("0123456789.")
    return float(size.removesuffix(unit)) * _BYTES_BY_UNIT[unit]
