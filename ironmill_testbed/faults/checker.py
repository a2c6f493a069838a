"""Evaluates a run by the logs of its processes alone."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import orjson
from msgspec import Struct

VIEW_CHANGES = ("joined", "removed", "left")


class LoggedEvent(Struct, frozen=True):
    """One event of one process."""

    at: float  # by the monotonic clock, which all processes of a machine share
    name: str  # of the process
    what: str
    fields: dict[str, Any]


def read_logs(folder: Path, names: Sequence[str], about: str = "member") -> list[LoggedEvent]:
    """Returns the events of some processes in order of time. A line that a kill truncated is ignored."""
    events: list[LoggedEvent] = []
    for name in names:
        path = folder / f"{name}.log"
        for line in path.read_bytes().splitlines() if path.exists() else ():
            try:
                fields = orjson.loads(line)
            except orjson.JSONDecodeError:
                continue
            text = str(fields.get("event", ""))
            if text.startswith(f"{about} ") and "at" in fields:
                what = text.removeprefix(f"{about} ")
                events.append(LoggedEvent(float(fields["at"]), name, what, fields))
    events.sort(key=lambda event: event.at)
    return events


def removals(events: Iterable[LoggedEvent], since: float, until: float = float("inf")) -> list[LoggedEvent]:
    """Returns the removals of members from the views of others; a graceful shutdown is none."""
    return [
        event
        for event in events
        if event.what == "removed" and since <= event.at < until and event.fields["member"] != event.name
    ]


def detection_delays(
    events: Iterable[LoggedEvent], names: Sequence[str], dead: str, since: float
) -> list[float]:
    """Returns, for each of the members, after how many seconds it removed the dead one first."""
    first: dict[str, float] = {}
    for event in removals(events, since):
        if event.fields["member"] == dead and event.name in names:
            first.setdefault(event.name, event.at - since)
    return [first.get(name, float("inf")) for name in names]


def count_flaps(events: Iterable[LoggedEvent], since: float, until: float) -> int:
    """Returns how many removals within the span were repeated ones of the same member from the same view."""
    counts: dict[tuple[str, str], int] = {}
    for event in removals(events, since, until):
        key = (event.name, event.fields["member"])
        counts[key] = counts.get(key, 0) + 1
    return sum(count - 1 for count in counts.values())


def count_view_sequences(events: Iterable[LoggedEvent], names: Sequence[str], since: float) -> int:
    """Returns the number of different sequences of views; 1 if all members had the same one."""
    views: dict[str, list[str]] = {name: [] for name in names}
    for event in events:
        if event.what in VIEW_CHANGES and event.at >= since and event.name in views:
            views[event.name].append(str(event.fields["view"]))
    return len({tuple(sequence) for sequence in views.values()})
