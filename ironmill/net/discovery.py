"""The watch on discovery: the whole list once, then one call for changes after another."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ironmill.config import Address
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.pace import CallPace
from ironmill.protocol.http import HttpError, Response, ResponseParser
from ironmill.routing_table import Routing, parse_routing
from ironmill.scheduler import Scheduler, Task
from stonegap.settings import MalformedError, Tree, from_json

# How long a call for changes may wait at the agent. Short, though the agent would wait for a minute: a call
# that is lost on its way, or held by an agent that has gone deaf, is only found out when its time is over.
WAIT_MS = 1_000
ANSWER_WAIT = 1.0  # beyond that; after 2 s what it had to tell counts as told
CONNECT_WAIT = 1.0

log = logging.getLogger("ironmill.discovery")


def _nothing() -> None:
    """Nobody waits for the calls."""


class Discovery:
    """Keeps the routing table up to date from one address, and changes over to another when told to."""

    def __init__(
        self, scheduler: Scheduler, address: Address, take: Callable[[Routing], None],
        pace: Callable[[], CallPace], known: int | None = None, called: Callable[[], object] = _nothing,
    ) -> None:
        """``known`` is the revision of the list that serves until an answer comes, if there is one.

        ``called`` is told whenever a call was answered or has failed.
        """
        self._scheduler = scheduler
        self._take = take
        self._pace = pace
        self._current = Watch(scheduler, address, self._told, pace(), known, called)
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
            self._next = Watch(self._scheduler, address, self._told, self._pace())
            self._next.start()

    def _told(self, watch: Watch, routing: Routing) -> None:
        if watch is self._next:
            self._current.stop()
            self._current, self._next = watch, None
        self._take(routing)


class Watch:
    """The watch at one address."""

    def __init__(
        self, scheduler: Scheduler, address: Address, take: Callable[[Watch, Routing], None], pace: CallPace,
        known: int | None = None, called: Callable[[], object] = _nothing,
    ) -> None:
        self.address = address
        self._scheduler = scheduler
        self._take = take
        self._called = called
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
            try:
                self._call()
                self._pace.answered()
                self._failing = False
                self._called()
            except (OSError, TimedOutError, HttpError, MalformedError) as error:
                if not self._failing:
                    log.warning("discovery: %s %s", type(error).__name__, error)
                self._failing = True
                self._hang_up()
                self._called()
                self._scheduler.sleep(self._pace.failed())

    def _call(self) -> None:
        if self._revision is None:
            response = self._ask("/api/targets", ANSWER_WAIT)
        else:
            # The first tells what the agent holds already, perhaps nothing: clients wait for it.
            wait = 0 if self._pace.at_once and not self._answered else WAIT_MS
            path = f"/api/targets?after={self._revision}&wait_ms={wait}"
            response = self._ask(path, wait / 1000.0 + ANSWER_WAIT)
        self._answered = True
        if response.status != 200:
            raise HttpError(f"status {response.status}")
        value = from_json(response.body, "routing table:")
        routing = parse_routing(Tree(value, "", "routing table"))
        if routing.full or self._revision is not None:
            self._revision = routing.revision
            self._take(self, routing)

    def _ask(self, path: str, timeout: float) -> Response:
        if self._stream is None:
            self._stream = Stream.connect(self._scheduler, self.address, CONNECT_WAIT)
            self._parser = ResponseParser()
        host, port = self.address
        self._stream.send(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode(), CONNECT_WAIT)
        while True:
            data = self._stream.receive(timeout)
            responses = self._parser.feed(data) if data else [self._parser.end()]
            for response in responses:
                if response is None:
                    raise HttpError("the connection ended before the answer")
                if not response.keep_alive:
                    self._hang_up()
                return response

    def _hang_up(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None
