"""Evaluation of a run from the logs of its processes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import orjson
from msgspec import Struct

VIEW_CHANGES = ("joined", "removed", "left")


class LoggedEvent(Struct, frozen=True):
    """One event that a process has logged."""

    at: float  # seconds of the monotonic clock, which all processes of a machine share
    name: str  # of the process
    what: str  # name of the event without its subject, such as "removed"
    fields: dict[str, Any]


def read_logs(folder: Path, names: Sequence[str], subject: str = "member") -> list[LoggedEvent]:
    """Returns the events about a subject that the named processes have logged, ordered by time.

    Lines that are not valid JSON are ignored, as the last line of a killed process may be truncated.
    """
    events: list[LoggedEvent] = []
    for name in names:
        path = folder / f"{name}.log"
        for line in path.read_bytes().splitlines() if path.exists() else ():
            try:
                fields = orjson.loads(line)
            except orjson.JSONDecodeError:
                continue
            text = str(fields.get("event", ""))
            if text.startswith(f"{subject} ") and "at" in fields:
                what = text.removeprefix(f"{subject} ")
                events.append(LoggedEvent(float(fields["at"]), name, what, fields))
    events.sort(key=lambda event: event.at)
    return events


def removals(events: Iterable[LoggedEvent], since: float, until: float = float("inf")) -> list[LoggedEvent]:
    """Returns the events in which a process removed another member from its view.

    A graceful shutdown is logged as ``left`` and is not among them.
    """
    return [
        event
        for event in events
        if event.what == "removed" and since <= event.at < until and event.fields["member"] != event.name
    ]


def detection_delays(
    events: Iterable[LoggedEvent], names: Sequence[str], dead: str, since: float
) -> list[float]:
    """Returns for each member the seconds until it first removed the dead one; infinite if it did not."""
    first_delays: dict[str, float] = {}
    for event in removals(events, since):
        if event.fields["member"] == dead and event.name in names:
            first_delays.setdefault(event.name, event.at - since)
    return [first_delays.get(name, float("inf")) for name in names]


def count_flaps(events: Iterable[LoggedEvent], since: float, until: float) -> int:
    """Counts the removals that follow another removal of the same member from the same view."""
    counts: dict[tuple[str, str], int] = {}
    for event in removals(events, since, until):
        key = (event.name, event.fields["member"])
        counts[key] = counts.get(key, 0) + 1
    return sum(count - 1 for count in counts.values())


def count_view_sequences(events: Iterable[LoggedEvent], names: Sequence[str], since: float) -> int:
    """Returns the number of different sequences of views; 1 if all members went through the same one."""
    views: dict[str, list[str]] = {name: [] for name in names}
    for event in events:
        if event.what in VIEW_CHANGES and event.at >= since and event.name in views:
            views[event.name].append(str(event.fields["view"]))
    return len({tuple(sequence) for sequence in views.values()})
