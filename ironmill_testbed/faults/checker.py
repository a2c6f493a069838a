"""Judges a story by the logs of its processes alone."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import orjson
from msgspec import Struct


class LoggedEvent(Struct, frozen=True):
    """One event of one process."""

    at: float  # by the clock that all processes of a machine share
    name: str
    what: str
    fields: dict[str, Any]


def read_logs(folder: Path, names: Sequence[str], about: str = "member") -> list[LoggedEvent]:
    """What these have told of it, in the order of time. A line that is cut off by a kill is passed over."""
    seen: list[LoggedEvent] = []
    for name in names:
        path = folder / f"{name}.log"
        for line in path.read_bytes().splitlines() if path.exists() else ():
            try:
                event = orjson.loads(line)
            except orjson.JSONDecodeError:
                continue
            text = str(event.get("event", ""))
            if text.startswith(f"{about} ") and "at" in event:
                seen.append(LoggedEvent(float(event["at"]), name, text.removeprefix(f"{about} "), event))
    seen.sort(key=lambda one: one.at)
    return seen


def removals(seen: Iterable[LoggedEvent], since: float, until: float = float("inf")) -> list[LoggedEvent]:
    """Whom members put out of their views, but for themselves and for those that told that they leave."""
    return [
        one
        for one in seen
        if one.what == "removed" and since <= one.at < until and one.fields["member"] != one.name
    ]


def gone_after(seen: Iterable[LoggedEvent], names: Sequence[str], dead: str, since: float) -> list[float]:
    """For each of the members, how many seconds after that moment it had the dead one out of its view."""
    first: dict[str, float] = {}
    for one in removals(seen, since):
        if one.fields["member"] == dead and one.name in names:
            first.setdefault(one.name, one.at - since)
    return [first.get(name, float("inf")) for name in names]


def flaps(seen: Iterable[LoggedEvent], since: float, until: float) -> int:
    """How often a member was put out of one view more than once within the span."""
    counts: dict[tuple[str, str], int] = {}
    for one in removals(seen, since, until):
        key = (one.name, one.fields["member"])
        counts[key] = counts.get(key, 0) + 1
    return sum(count - 1 for count in counts.values())


def sequences(seen: Iterable[LoggedEvent], names: Sequence[str], since: float) -> int:
    """Through how many different sequences of views these members went: 1 where all went through the same."""
    steps: dict[str, list[str]] = {name: [] for name in names}
    for one in seen:
        if one.what in ("joined", "removed", "left") and one.at >= since and one.name in steps:
            steps[one.name].append(str(one.fields["view"]))
    return len({tuple(step) for step in steps.values()})
