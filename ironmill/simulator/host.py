"""The adapter between the operators' text wire and the decision module. It decides nothing.

``python -m ironmill.simulator`` reads batches of events on standard input and answers each with the
actions of the relays concerned. Every relay has a ``Balancer`` of its own; they share only the
parsed lists of backends, which are immutable.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from typing import IO, Any

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import (
    Abandoned,
    Action,
    CheckHealth,
    ConnectionSample,
    Ended,
    EndpointEntry,
    Established,
    Event,
    Fail,
    HealthChecked,
    Migrate,
    Outcome,
    Reject,
    Request,
    Resumed,
    SampleKind,
    Send,
    SetTimer,
    Stage,
    Subscribe,
    TimerFired,
    WatchEvent,
    WatchEventKind,
)
from ironmill.configuration.site_settings import parse_settings
from ironmill.protocol.json_object import MalformedError

Fields = dict[str, str]

STAGES = {"on": Stage.READY, "fading": Stage.DRAINING, "off": Stage.GONE}
LIST_KINDS = {
    "D": WatchEventKind.DELTA,
    "F": WatchEventKind.FULL,
    "C": WatchEventKind.FULL,
    "X": WatchEventKind.FAILED,
}
NOTE_KINDS = {"1": SampleKind.LOAD, "2": SampleKind.DELAY}
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


# --- events --------------------------------------------------------------------------------------


def split(line: str) -> tuple[str, Fields]:
    """A line's name and fields. A text field runs to the line's end, tabs and all."""
    head, found, text = line.partition("\tprofileData=")
    name, *parts = head.split("\t")
    fields: Fields = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if not equals:
            raise MalformedError(f"{name}: {part!r} is not name=value")
        fields[key] = value
    if found:
        fields["profileData"] = text
    return name, fields


def need(fields: Fields, key: str) -> str:
    """A field that must be there."""
    value = fields.get(key)
    if value is None:
        raise MalformedError(f"field {key} is missing")
    return value


def whole(fields: Fields, key: str) -> int:
    """A field that must be a whole number."""
    value = need(fields, key)
    try:
        return int(value)
    except ValueError:
        raise MalformedError(f"field {key} is not a whole number: {value!r}") from None


def number(fields: Fields, key: str, default: float | None = None) -> float:
    """A field that must be a finite number."""
    value = fields.get(key)
    if value is None and default is not None:
        return default
    try:
        result = float(need(fields, key))
    except ValueError:
        raise MalformedError(f"field {key} is not a number: {value!r}") from None
    if result - result != 0.0:
        raise MalformedError(f"field {key} is not a finite number: {value!r}")
    return result


def optional_whole(fields: Fields, key: str) -> int | None:
    """A whole number that may be absent."""
    return whole(fields, key) if key in fields else None


def report(fields: Fields) -> tuple[tuple[str, float], ...]:
    """The load report, as pairs."""
    pairs = []
    for part in fields.get("telemetry", "").split(","):
        name, colon, value = part.partition(":")
        if colon:
            pairs.append((name, number({name: value}, name)))
        elif part:
            raise MalformedError(f"field telemetry holds {part!r}")
    return tuple(pairs)


def parse_request(fields: Fields) -> Request:
    """The request that REQ and CARRIED describe."""
    tenant = fields.get("customer", "")
    return Request(
        id=need(fields, "msgId"),
        class_name=need(fields, "category"),
        deadline=number(fields, "giveUpAtS", 0.0 if fields.get("backend") else None),
        tenant="" if tenant == "0" else tenant,
        key=optional_whole(fields, "object"),
        group=optional_whole(fields, "channel"),
        load_hint=number(fields, "costS", 0.0),
        returning=fields.get("again") == "1" or fields.get("againByClient") == "1",
        rerouted=fields.get("rerouted") == "1",
    )


def parse_established(fields: Fields) -> Event:
    """The connection that HEADERS says stands."""
    return Established(
        request_id=need(fields, "msgId"),
        attempt=whole(fields, "leg"),
        server_id=whole(fields, "backend"),
        delay=number(fields, "delaySeenS", 0.0),
    )


def parse_ended(fields: Fields) -> Event:
    """The end of an attempt that DONE tells."""
    return Ended(
        request_id=need(fields, "msgId"),
        attempt=whole(fields, "leg"),
        server_id=whole(fields, "backend"),
        outcome=OUTCOMES.get(need(fields, "outcome"), Outcome.OTHER),
        delay=number(fields, "delaySeenS", 0.0),
        final=fields.get("complete") == "1",
        report=report(fields),
    )


def parse_note(fields: Fields) -> Event | None:
    """The note of HINT_UPDATE; None for a kind that this library does not know."""
    kind = NOTE_KINDS.get(need(fields, "sort"))
    if kind is None:
        return None
    return ConnectionSample(
        need(fields, "msgId"), whole(fields, "leg"), whole(fields, "backend"), kind, number(fields, "value")
    )


PARSERS: dict[str, Callable[[Fields], Event | None]] = {
    "REQ": parse_request,
    "CARRIED": lambda fields: Resumed(parse_request(fields), whole(fields, "backend")),
    "HEADERS": parse_established,
    "HINT_UPDATE": parse_note,
    "DONE": parse_ended,
    "STATUS_BACK": lambda fields: HealthChecked(
        whole(fields, "backend"), OUTCOMES.get(need(fields, "outcome"), Outcome.OTHER), report(fields)
    ),
    "LAPSED": lambda fields: Abandoned(need(fields, "msgId")),
    "TIMEOUT_FIRED": lambda fields: TimerFired(need(fields, "name")),
}


def parse_entry(line: str) -> EndpointEntry | None:
    """One entry of a numbered list; None for a stage that this library does not know."""
    name, fields = split(line)
    if name != "M":
        raise MalformedError(f"expected an entry of the list, got {name!r}")
    stage = STAGES.get(need(fields, "stageState"))
    if stage is None:
        return None
    return EndpointEntry(
        server_id=whole(fields, "backend"),
        stage=stage,
        zone=fields.get("campus", ""),
        cell=int(number(fields, "pod", 0.0)),
        started_at=number(fields, "startedAtS", 0.0),
        weight=number(fields, "share", 1.0),
    )


# --- actions -------------------------------------------------------------------------------------


def format_action(relay: str, action: Action) -> str:
    """The wire's line for an action."""
    match action:
        case Send():
            return (
                f"FORWARD\trelay={relay}\tmsgId={action.request_id}\tbackend={action.server_id}"
                f"\ttimeoutS={action.timeout:.6f}"
            )
        case SetTimer():
            return f"AFTER\trelay={relay}\toffsetS={action.delay:.6f}\tname={action.name}"
        case Reject():
            return (
                f"OVERLOAD_REPLY\trelay={relay}\tmsgId={action.request_id}"
                f"\tcomeBackS={action.retry_after:.6f}"
            )
        case Fail():
            return f"REPORT_FAILURE\trelay={relay}\tmsgId={action.request_id}"
        case Migrate():
            return f"REDIRECT\trelay={relay}\tmsgId={action.request_id}"
        case CheckHealth():
            return f"PROBE\trelay={relay}\tbackend={action.server_id}"
        case Subscribe():
            return f"STREAM_CHANGES\trelay={relay}\ton=1"


# --- the host ------------------------------------------------------------------------------------


class Host:
    """Runs one balancer for each relay of the wire."""

    def __init__(self) -> None:
        self._balancers: dict[str, Balancer] = {}
        self._lists: dict[str, tuple[EndpointEntry, ...]] = {}

    def batch(self, lines: Sequence[str]) -> list[str]:
        """The reply to one batch, its first line being BEGIN_BATCH and its last EOF_BATCH."""
        now, number_ = 0.0, ""
        reply: list[str] = []
        rest = iter(lines)
        for line in rest:
            name = line.partition("\t")[0]
            try:
                if name == "BEGIN_BATCH":
                    fields = split(line)[1]
                    now, number_ = number(fields, "simTimeS"), need(fields, "batch")
                elif name == "REGISTER":
                    fields = split(line)[1]
                    entries = [parse_entry(next(rest, "")) for _ in range(whole(fields, "membersList"))]
                    self._lists[need(fields, "list")] = tuple(entry for entry in entries if entry)
                else:
                    self._event(line, now, reply)
            except MalformedError as error:
                raise MalformedError(f"{name}: {error}") from None
        reply.append(f"NEXT\tbatch={number_}")
        return reply

    def _event(self, line: str, now: float, reply: list[str]) -> None:
        name, fields = split(line)
        if name == "CONFIGURE":
            relay, seed = need(fields, "relay"), whole(fields, "randomSeed")
            self._balancers[relay] = Balancer(parse_settings(need(fields, "profileData")), seed, now)
            return
        if name == "DOWN":
            self._balancers.pop(need(fields, "relay"), None)
            return
        event: Event | None = None
        if name == "PEERS_KNOWN":
            event = self._list_event(fields)
        elif name in PARSERS:
            event = PARSERS[name](fields)
        if event is None:
            return
        relay = need(fields, "relay")
        balancer = self._balancers.get(relay)
        if balancer is None:
            return
        try:
            actions = balancer.handle(event, now)
        except Exception as error:  # the wire wants the text of whatever the decisions raise
            text = f"{type(error).__name__}: {error}".replace("\n", " ")
            reply.append(f"EXCEPTION\trelay={relay}\tline={text}")
            return
        reply.extend(format_action(relay, action) for action in actions)

    def _list_event(self, fields: Fields) -> WatchEvent | None:
        kind = LIST_KINDS.get(need(fields, "kind"))
        if kind is None:
            return None
        if kind is WatchEventKind.FAILED:
            return WatchEvent(kind)
        entries = self._lists.get(need(fields, "list"))
        if entries is None:
            raise MalformedError(f"list {fields['list']} was never registered")
        return WatchEvent(kind, entries)


def serve(source: IO[str], sink: IO[str]) -> None:
    """Answer every batch until the input ends."""
    host = Host()
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\r\n")
        if not line:
            continue
        if not lines and not line.startswith("BEGIN_BATCH"):
            raise MalformedError(f"expected BEGIN_BATCH, got {line[:60]!r}")
        if line == "EOF_BATCH":
            sink.write("\n".join(host.batch(lines)) + "\n")
            sink.flush()
            lines = []
        else:
            lines.append(line)
    if lines:
        raise MalformedError("the input ended inside a batch")


def main(streams: Any = sys) -> int:
    """Serve standard input; 1 and a plain line if the input is malformed."""
    try:
        serve(streams.stdin, streams.stdout)
    except MalformedError as error:
        print(f"ironmill.simulator: {error}", file=streams.stderr)
        return 1
    except UnicodeDecodeError as error:
        print(f"ironmill.simulator: the input is not UTF-8 ({error.reason})", file=streams.stderr)
        return 1
    return 0
