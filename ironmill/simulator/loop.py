"""The loop that answers the simulator's batches of events with the actions of its proxies.

Each proxy has its own ``Balancer``. The balancers share only the parsed endpoint lists, which are immutable.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from typing import IO, Protocol

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import EndpointEntry, Event, WatchEvent, WatchEventKind
from ironmill.configuration.site_settings import parse_settings
from ironmill.protocol.json_object import MalformedError
from ironmill.simulator.formatting import format_action, format_batch_end, format_exception
from ironmill.simulator.parsing import (
    EVENT_PARSERS,
    WATCH_EVENT_KINDS,
    Fields,
    integer,
    number,
    parse_endpoint,
    parse_line,
    required,
)

MAX_QUOTED_LENGTH = 60  # characters of a malformed line that are quoted in an error message


class BatchHandler:
    """Runs the balancers of all simulated proxies."""

    def __init__(self) -> None:
        """Creates a handler without proxies."""
        self._balancers: dict[str, Balancer] = {}
        self._endpoint_lists: dict[str, tuple[EndpointEntry, ...]] = {}
        self._now = 0.0  # simulated time of the current batch, in seconds

    def handle(self, lines: Sequence[str]) -> list[str]:
        """Returns the lines of the reply to one batch.

        ``lines`` starts with BEGIN_BATCH and ends before EOF_BATCH. Raises ``MalformedError``, which names
        the type of the malformed line.
        """
        batch = ""
        reply: list[str] = []
        remaining_lines = iter(lines)
        for line in remaining_lines:
            name = line.partition("\t")[0]
            try:
                if name == "BEGIN_BATCH":
                    fields = parse_line(line)[1]
                    self._now = number(fields, "simTimeS")
                    batch = required(fields, "batch")
                elif name == "REGISTER":
                    self._register(parse_line(line)[1], remaining_lines)
                else:
                    self._handle_line(line, reply)
            except MalformedError as error:
                raise MalformedError(f"{name}: {error}") from None
        reply.append(format_batch_end(batch))
        return reply

    def _register(self, fields: Fields, remaining_lines: Iterator[str]) -> None:
        """Reads an endpoint list, whose entries are the next lines."""
        entries = [parse_endpoint(next(remaining_lines, "")) for _ in range(integer(fields, "membersList"))]
        self._endpoint_lists[required(fields, "list")] = tuple(entry for entry in entries if entry)

    def _handle_line(self, line: str, reply: list[str]) -> None:
        name, fields = parse_line(line)
        if name == "CONFIGURE":
            self._configure(fields)
            return
        if name == "DOWN":
            self._balancers.pop(required(fields, "relay"), None)
            return
        event: Event | None = None
        if name == "PEERS_KNOWN":
            event = self._watch_event(fields)
        elif name in EVENT_PARSERS:
            event = EVENT_PARSERS[name](fields)
        if event is not None:
            self._handle_event(required(fields, "relay"), event, reply)

    def _configure(self, fields: Fields) -> None:
        proxy, seed = required(fields, "relay"), integer(fields, "randomSeed")
        settings = parse_settings(required(fields, "profileData"))
        self._balancers[proxy] = Balancer(settings, seed, self._now)

    def _handle_event(self, proxy: str, event: Event, reply: list[str]) -> None:
        balancer = self._balancers.get(proxy)
        if balancer is None:
            return
        try:
            actions = balancer.handle(event, self._now)
        except Exception as error:  # noqa: BLE001 (the simulator expects the text of any exception)
            reply.append(format_exception(proxy, error))
            return
        reply.extend(format_action(proxy, action) for action in actions)

    def _watch_event(self, fields: Fields) -> WatchEvent | None:
        kind = WATCH_EVENT_KINDS.get(required(fields, "kind"))
        if kind is None:
            return None
        if kind is WatchEventKind.FAILED:
            return WatchEvent(kind)
        entries = self._endpoint_lists.get(required(fields, "list"))
        if entries is None:
            raise MalformedError(f"endpoint list {fields['list']} is not registered")
        return WatchEvent(kind, entries)


def serve(source: IO[str], sink: IO[str]) -> None:
    """Answers batches until the input ends. Raises ``MalformedError`` if the input is malformed."""
    handler = BatchHandler()
    lines: list[str] = []
    for raw_line in source:
        line = raw_line.rstrip("\r\n")
        if not line:
            continue
        if not lines and not line.startswith("BEGIN_BATCH"):
            raise MalformedError(f"expected BEGIN_BATCH, got {line[:MAX_QUOTED_LENGTH]!r}")
        if line == "EOF_BATCH":
            sink.write("\n".join(handler.handle(lines)) + "\n")
            sink.flush()
            lines = []
        else:
            lines.append(line)
    if lines:
        raise MalformedError("unexpected end of input inside a batch: EOF_BATCH is missing")


class StandardStreams(Protocol):
    """The standard streams of a process, as in ``sys``."""

    @property
    def stdin(self) -> IO[str]:
        """Standard input."""

    @property
    def stdout(self) -> IO[str]:
        """Standard output."""

    @property
    def stderr(self) -> IO[str]:
        """Standard error."""


def main(streams: StandardStreams = sys) -> int:
    """Serves standard input until it ends. Returns the exit status, which is 1 if the input is malformed."""
    try:
        serve(streams.stdin, streams.stdout)
    except MalformedError as error:
        print(f"ironmill.simulator: {error}", file=streams.stderr)
        return 1
    except UnicodeDecodeError as error:
        print(f"ironmill.simulator: the input is not valid UTF-8 ({error.reason})", file=streams.stderr)
        return 1
    return 0
