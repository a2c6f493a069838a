"""The watch on discovery: the whole list once, then one call for changes after another."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from msgspec import structs

from ironmill.configuration.proxy_config import Address
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.discovery import EndpointUpdate, parse_endpoint_update
from ironmill.protocol.http import HttpError, Response, ResponseParser
from ironmill.protocol.json_object import JsonObject, MalformedError, parse_json
from ironmill.requests.discovery_backoff import CALL_MOST, CallPace
from ironmill.runtime.scheduler import Scheduler, Task

# How long a call for changes may wait at the agent. Short, though the agent would wait for a minute: a call
# that is lost on its way, or held by an agent that has gone deaf, is only found out when its time is over.
WAIT_MS = 1_000
# For all of a call beyond that, from its connect to the last byte of its answer. Guards the watch against an
# answer that drips or never ends; after 2 s what it had to tell counts as told.
ANSWER_WAIT = CALL_MOST
# A whole list that names nobody, where there were servers a moment before, is more likely a fault of
# discovery than the truth, and is asked for once more before it is believed. Not for longer: it has told that
# all are gone, and from 250 ms after that (less 150 ms of the gateway's own) nothing new may go to them.
# The rule counts from the first answer, so what is opened meanwhile still has 0.02 s to begin.
AGAIN_WAIT = 0.08

WHOLE = "/api/targets"
FAULTS = (OSError, TimedOutError, HttpError, MalformedError)

log = logging.getLogger("ironmill.discovery")


def _nothing() -> None:
    """Nobody waits for the calls."""


def _none() -> int:
    """No server is known."""
    return 0


class Discovery:
    """Keeps the routing table up to date from one address, and changes over to another when told to."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        take: Callable[[EndpointUpdate], None],
        pace: Callable[[], CallPace],
        known: int | None = None,
        called: Callable[[], object] = _nothing,
        held: Callable[[], int] = _none,
    ) -> None:
        """``known`` is the revision of the list that serves until an answer comes, if there is one.

        ``called`` is told whenever a call was answered or has failed; ``held`` tells how many servers
        are in the list at hand.
        """
        self._scheduler = scheduler
        self._take = take
        self._pace = pace
        self._held = held
        self._current = Watch(scheduler, address, self._told, pace(), known, called, held)
        self._next: Watch | None = None

    def start(self) -> None:
        """Begin the watch."""
        self._current.start()

    def watch_at(self, address: Address) -> None:
        """Watch at another address. The old watch ends when the new one has brought the whole list."""
        if self._next is not None:
            self._next.stop()
            self._next = None
        if address != self._current.address:
            self._next = Watch(self._scheduler, address, self._told, self._pace(), held=self._held)
            self._next.start()

    def _told(self, watch: Watch, routing: EndpointUpdate) -> None:
        if watch is self._next:
            self._current.stop()
            self._current, self._next = watch, None
        self._take(routing)


class Watch:
    """The watch at one address."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        take: Callable[[Watch, EndpointUpdate], None],
        pace: CallPace,
        known: int | None = None,
        called: Callable[[], object] = _nothing,
        held: Callable[[], int] = _none,
    ) -> None:
        self.address = address
        self._scheduler = scheduler
        self._take = take
        self._called = called
        self._held = held
        self._revision = known  # none until the whole list has come
        self._stream: Stream | None = None
        self._parser = ResponseParser()
        self._answered = False
        self._failing = False
        self._task: Task | None = None
        self._pace = pace

    def start(self) -> None:
        """Begin to ask."""
        self._task = self._scheduler.spawn(self._watch)

    def stop(self) -> None:
        """Ask no more, and take no answer that is on its way."""
        self._scheduler.kill(self._task)
        self._hang_up()

    def _watch(self) -> None:
        if self._revision is not None:  # the list at hand serves meanwhile
            self._scheduler.sleep(self._pace.first())
        while True:
            began = time.monotonic()
            try:
                self._call()
                self._pace.answered()
                self._failing = False
                self._called()
            except Exception as error:
                # Guards the watch, without which nothing is ever heard again, also against faults of our own.
                if not isinstance(error, FAULTS):
                    log.exception("discovery: a call failed")
                elif not self._failing:
                    log.warning("discovery: %s %s", type(error).__name__, error)
                self._failing = True
                self._hang_up()
                self._called()
                self._scheduler.sleep(self._pace.failed(time.monotonic() - began))

    def _call(self) -> None:
        if self._revision is None:
            routing = self._ask(WHOLE, ANSWER_WAIT)
        else:
            # The first tells what the agent holds already, perhaps nothing: clients wait for it. After a
            # failure the next does not wait either: it is soon known to have come to nothing
            # (``discovery_backoff.PAUSE_MOST``).
            wait = 0 if self._failing or (self._pace.at_once and not self._answered) else WAIT_MS
            path = f"/api/targets?after={self._revision}&wait_ms={wait}"
            routing = self._ask(path, wait / 1000.0 + ANSWER_WAIT)
        if routing.full and not routing.servers and self._held():
            routing = self._once_more(routing)
        if routing.full or self._revision is not None:
            self._take(self, routing)
            self._revision = routing.revision  # not before: what was not taken is asked for again

    def _once_more(self, empty: EndpointUpdate) -> EndpointUpdate:
        """The whole list as it is told now, if it names anybody; else the one that named nobody."""
        told_at = time.monotonic()
        log.warning("discovery: an empty list; asking once more")
        try:
            routing = self._ask(WHOLE, AGAIN_WAIT)
        except FAULTS:
            self._hang_up()
        else:
            if routing.full and routing.servers:
                return routing
        return structs.replace(empty, age=time.monotonic() - told_at)

    def _ask(self, path: str, within: float) -> EndpointUpdate:
        """The answer of 200, from the connect to its last byte within so many seconds."""
        kept = self._stream is not None
        response = self._response(path, time.monotonic() + within)
        self._answered = True
        if response.status != 200:
            raise HttpError(f"status {response.status}")
        value = parse_json(response.body, "routing table:")
        routing = parse_endpoint_update(JsonObject(value, "", "routing table"))
        if kept and self._revision is not None and routing.revision < self._revision:
            # Guards the table against a second answer to an earlier call: it would bring back what has left.
            # A discovery that begins anew is believed on a new connection.
            raise HttpError(f"revision {routing.revision} after {self._revision}")
        return routing

    def _response(self, path: str, end: float) -> Response:
        if self._stream is not None and self._stream.is_stale():
            self._hang_up()
        if self._stream is None:
            self._stream = Stream.connect(self._scheduler, self.address, self._left(end))
            self._parser = ResponseParser()
        host, port = self.address
        self._stream.send(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode(), self._left(end))
        while True:
            data = self._stream.receive(self._left(end))
            responses = self._parser.feed(data) if data else [self._parser.end_of_stream()]
            for response in responses:
                if response is None:
                    raise HttpError("the connection ended before the answer")
                if not response.keep_alive or len(responses) > 1 or not self._parser.at_message_boundary:
                    self._hang_up()  # what comes behind the answer must not pass for the next one
                return response
            if time.monotonic() >= end:  # guards against an answer that drips, each piece of it in time
                raise TimedOutError

    @staticmethod
    def _left(end: float) -> float:
        return max(0.0, end - time.monotonic())

    def _hang_up(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None
