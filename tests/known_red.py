"""Reads ``KNOWN-RED.txt``: tests that fail for a real fault that is not mended yet, one line each.

A line is ``test | cause | issue``; the test is named as pytest names it, from the root. At most ``MOST``
lines. The file may be absent.
"""

from __future__ import annotations

from collections.abc import Iterable

MOST = 3


class KnownRedError(Exception):
    """The list is not as it should be; the text says in what."""


def parse(text: str) -> dict[str, str]:
    """What is known to fail, each with its cause and issue. KnownRedError if a line is not in form."""
    found: dict[str, str] = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"not 'test | cause | issue': {line!r}")
        if parts[0] in found:
            raise KnownRedError(f"named twice: {parts[0]}")
        found[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(found) > MOST:
        raise KnownRedError(f"{len(found)} lines, {MOST} at the most")
    return found


def missing(known: Iterable[str], collected: Iterable[str]) -> list[str]:
    """The names among the known ones that no test has."""
    names = set(collected)
    return [name for name in known if name not in names]
