"""Parses lines of the simulator's protocol into events for the balancer.

A line consists of a name and fields, separated by tabs; a field is ``name=value``. Unknown names and values
are skipped, because later versions of the protocol may add some.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ironmill.balancing.interface import (
    Abandoned,
    ConnectionSample,
    Ended,
    EndpointEntry,
    Established,
    Event,
    HealthChecked,
    Outcome,
    Request,
    Resumed,
    SampleKind,
    Stage,
    TimerFired,
    WatchEventKind,
)
from ironmill.protocol.json_object import MalformedError

Fields = dict[str, str]
Report = tuple[tuple[str, float], ...]

STAGES = {"on": Stage.READY, "fading": Stage.DRAINING, "off": Stage.GONE}
WATCH_EVENT_KINDS = {
    "D": WatchEventKind.DELTA,
    "F": WatchEventKind.FULL,
    "C": WatchEventKind.FULL,
    "X": WatchEventKind.FAILED,
}
SAMPLE_KINDS = {"1": SampleKind.LOAD, "2": SampleKind.DELAY}
OUTCOMES = {
    "pass": Outcome.OK,
    "fault": Outcome.ERROR,
    "no_room": Outcome.FULL,
    "too_slow": Outcome.TIMEOUT,
    "no_route": Outcome.CONNECT_FAILED,
    "cut": Outcome.RESET,
    "undone": Outcome.CANCELLED,
    "stale_send": Outcome.NOT_SENT,
}
NO_TENANT = "0"


# Lines and fields


def parse_line(line: str) -> tuple[str, Fields]:
    """Returns a line's name and fields. The field ``profileData`` is the last one and may contain tabs.

    Raises ``MalformedError`` for a field without ``=``.
    """
    head, profile_found, profile = line.partition("\tprofileData=")
    name, *parts = head.split("\t")
    fields: Fields = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if not equals:
            raise MalformedError(f"{name}: field {part!r} is not of the form name=value")
        fields[key] = value
    if profile_found:
        fields["profileData"] = profile
    return name, fields


def required(fields: Fields, key: str) -> str:
    """Returns the value of a field. Raises ``MalformedError`` if the field is missing."""
    value = fields.get(key)
    if value is None:
        raise MalformedError(f"required field {key} is missing")
    return value


def integer(fields: Fields, key: str) -> int:
    """Returns the value of a required integer field. Raises ``MalformedError`` for any other value."""
    value = required(fields, key)
    try:
        return int(value)
    except ValueError:
        raise MalformedError(f"field {key} is not an integer: {value!r}") from None


def optional_integer(fields: Fields, key: str) -> int | None:
    """Returns the value of an integer field, or None if the field is missing."""
    return integer(fields, key) if key in fields else None


def number(fields: Fields, key: str, default: float | None = None) -> float:
    """Returns the value of a field that holds a finite number, or ``default`` if the field is missing.

    Raises ``MalformedError`` for any other value, and if the field is missing and there is no default.
    """
    value = fields.get(key)
    if value is None and default is not None:
        return default
    try:
        result = float(required(fields, key))
    except ValueError:
        raise MalformedError(f"field {key} is not a number: {value!r}") from None
    if not math.isfinite(result):
        raise MalformedError(f"field {key} is not a finite number: {value!r}")
    return result


def parse_report(fields: Fields) -> Report:
    """Returns the load report of a line, which is empty if the line has none."""
    report = []
    for part in fields.get("telemetry", "").split(","):
        name, colon, value = part.partition(":")
        if colon:
            report.append((name, number({name: value}, name)))
        elif part:
            raise MalformedError(f"field telemetry: expected an item of the form name:value, got {part!r}")
    return tuple(report)


def parse_outcome(fields: Fields) -> Outcome:
    """Returns the outcome of an attempt or health check. An unknown outcome is ``Outcome.OTHER``."""
    return OUTCOMES.get(required(fields, "outcome"), Outcome.OTHER)


# Events


def parse_request(fields: Fields) -> Request:
    """Parses the request of REQ or CARRIED. The latter has no deadline, as it needs no answer."""
    tenant = fields.get("customer", "")
    return Request(
        id=required(fields, "msgId"),
        class_name=required(fields, "category"),
        deadline=number(fields, "giveUpAtS", 0.0 if fields.get("backend") else None),
        tenant="" if tenant == NO_TENANT else tenant,
        key=optional_integer(fields, "object"),
        group=optional_integer(fields, "channel"),
        load_hint=number(fields, "costS", 0.0),
        returning=fields.get("again") == "1" or fields.get("againByClient") == "1",
        rerouted=fields.get("rerouted") == "1",
    )


def parse_resumed(fields: Fields) -> Resumed:
    """Parses CARRIED, which reports a connection from before the proxy started."""
    return Resumed(parse_request(fields), integer(fields, "backend"))


def parse_established(fields: Fields) -> Established:
    """Parses HEADERS, which reports an established connection."""
    return Established(
        request_id=required(fields, "msgId"),
        attempt=integer(fields, "leg"),
        server_id=integer(fields, "backend"),
        delay=number(fields, "delaySeenS", 0.0),
    )


def parse_ended(fields: Fields) -> Ended:
    """Parses DONE, which reports the end of an attempt."""
    return Ended(
        request_id=required(fields, "msgId"),
        attempt=integer(fields, "leg"),
        server_id=integer(fields, "backend"),
        outcome=parse_outcome(fields),
        delay=number(fields, "delaySeenS", 0.0),
        final=fields.get("complete") == "1",
        report=parse_report(fields),
    )


def parse_sample(fields: Fields) -> ConnectionSample | None:
    """Parses HINT_UPDATE, a sample of load or delay. Returns None for an unknown kind of sample."""
    kind = SAMPLE_KINDS.get(required(fields, "sort"))
    if kind is None:
        return None
    return ConnectionSample(
        request_id=required(fields, "msgId"),
        attempt=integer(fields, "leg"),
        server_id=integer(fields, "backend"),
        kind=kind,
        value=number(fields, "value"),
    )


def parse_health_checked(fields: Fields) -> HealthChecked:
    """Parses STATUS_BACK, which reports the outcome of a health check."""
    return HealthChecked(integer(fields, "backend"), parse_outcome(fields), parse_report(fields))


def parse_abandoned(fields: Fields) -> Abandoned:
    """Parses LAPSED, which reports a request that its client abandoned."""
    return Abandoned(required(fields, "msgId"))


def parse_timer_fired(fields: Fields) -> TimerFired:
    """Parses TIMEOUT_FIRED, which reports that a timer expired."""
    return TimerFired(required(fields, "name"))


EVENT_PARSERS: dict[str, Callable[[Fields], Event | None]] = {
    "REQ": parse_request,
    "CARRIED": parse_resumed,
    "HEADERS": parse_established,
    "HINT_UPDATE": parse_sample,
    "DONE": parse_ended,
    "STATUS_BACK": parse_health_checked,
    "LAPSED": parse_abandoned,
    "TIMEOUT_FIRED": parse_timer_fired,
}


def parse_endpoint(line: str) -> EndpointEntry | None:
    """Parses one entry of a registered endpoint list. Returns None for an unknown stage."""
    name, fields = parse_line(line)
    if name != "M":
        raise MalformedError(f"expected an entry of the endpoint list, got {name!r}")
    stage = STAGES.get(required(fields, "stageState"))
    if stage is None:
        return None
    return EndpointEntry(
        server_id=integer(fields, "backend"),
        stage=stage,
        zone=fields.get("campus", ""),
        cell=int(number(fields, "pod", 0.0)),
        started_at=number(fields, "startedAtS", 0.0),
        weight=number(fields, "share", 1.0),
    )
