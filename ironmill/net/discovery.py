"""The watch on discovery: the complete endpoint list once, then one poll for changes after another."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from msgspec import Struct, structs

from ironmill.configuration.proxy_config import Address
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.discovery import EndpointUpdate, parse_endpoint_update
from ironmill.protocol.http import HttpError, Response, ResponseParser
from ironmill.protocol.json_object import JsonObject, MalformedError, parse_json
from ironmill.requests.discovery_backoff import MAX_CALL_S, DiscoveryBackoff
from ironmill.runtime.scheduler import Scheduler, Task

# How long a poll waits for changes. Short, because a poll that is lost, or blocked by a hung agent, is
# noticed only after it.
POLL_WAIT_MS = 1_000
CALL_TIMEOUT_S = MAX_CALL_S  # of a call beyond that wait, from its connect to the last byte of its answer
# An empty list in place of servers is requested once more before it is applied, because it is more likely a
# fault of discovery. A longer wait would delay a true one past the grace period of draining servers, of which
# the gateway leaves 0.1 s.
CONFIRMATION_TIMEOUT_S = 0.08

FULL_LIST_PATH = "/api/targets"
CALL_ERRORS = (OSError, TimedOutError, HttpError, MalformedError)

log = logging.getLogger("ironmill.discovery")


def _ignore_call() -> None:
    """The default of ``DiscoveryListener.on_call``."""


def _no_servers() -> int:
    """The default of ``DiscoveryListener.server_count``."""
    return 0


class DiscoveryListener(Struct, frozen=True, eq=False):
    """What a watch calls. No callback may park."""

    on_update: Callable[[EndpointUpdate], None]
    on_call: Callable[[], object] = _ignore_call  # after each call, whether it was answered or failed
    server_count: Callable[[], int] = _no_servers  # of the endpoint list in use


class Discovery:
    """Watches one address, and changes to another without a gap."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        listener: DiscoveryListener,
        new_backoff: Callable[[], DiscoveryBackoff],
        known_revision: int | None = None,
    ) -> None:
        """``known_revision`` is that of the list in use until an answer comes, if there is one."""
        self._scheduler = scheduler
        self._listener = listener
        self._new_backoff = new_backoff
        self._current = self._make_watch(address, listener.on_call, known_revision)
        self._next: Watch | None = None

    def start(self) -> None:
        """Begins the watch."""
        self._current.start()

    def watch_at(self, address: Address) -> None:
        """Watches another address. The old watch ends when the new one has the complete list."""
        if self._next is not None:
            self._next.stop()
            self._next = None
        if address != self._current.address:
            self._next = self._make_watch(address, _ignore_call)
            self._next.start()

    def _make_watch(
        self, address: Address, on_call: Callable[[], object], known_revision: int | None = None
    ) -> Watch:
        listener = DiscoveryListener(
            lambda update: self._on_update(watch, update), on_call, self._listener.server_count
        )
        watch = Watch(self._scheduler, address, listener, self._new_backoff(), known_revision)
        return watch

    def _on_update(self, watch: Watch, update: EndpointUpdate) -> None:
        if watch is self._next:
            self._current.stop()
            self._current = watch
            self._next = None
        self._listener.on_update(update)


class Watch:
    """The watch at one address."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        listener: DiscoveryListener,
        backoff: DiscoveryBackoff,
        known_revision: int | None = None,
    ) -> None:
        """Does nothing until ``start``."""
        self.address = address
        self._scheduler = scheduler
        self._listener = listener
        self._backoff = backoff
        self._revision = known_revision  # None until the complete list has been received
        self._connection = HttpConnection(scheduler, address)
        self._has_answered = False
        self._is_failing = False
        self._task: Task | None = None

    def start(self) -> None:
        """Begins to poll."""
        self._task = self._scheduler.spawn(self._watch)

    def stop(self) -> None:
        """Ends the watch; an answer on its way is dropped."""
        self._scheduler.kill(self._task)
        self._connection.close()

    def _watch(self) -> None:
        if self._revision is not None:  # the known list is in use meanwhile
            self._scheduler.sleep(self._backoff.first_delay())
        while True:
            started_at = time.monotonic()
            try:
                self._poll()
                self._backoff.succeeded()
                self._is_failing = False
                self._listener.on_call()
            except Exception as error:  # noqa: BLE001 (it is logged by _log_failure)
                # The watch must go on, also after a programming error: without it no change arrives any more.
                self._log_failure(error)
                self._is_failing = True
                self._connection.close()
                self._listener.on_call()
                self._scheduler.sleep(self._backoff.failed(time.monotonic() - started_at))

    def _log_failure(self, error: Exception) -> None:
        if not isinstance(error, CALL_ERRORS):
            log.exception("discovery: a call failed")
        elif not self._is_failing:
            log.warning("discovery: %s %s", type(error).__name__, error)

    def _poll(self) -> None:
        if self._revision is None:
            update = self._request(FULL_LIST_PATH, CALL_TIMEOUT_S)
        else:
            wait_ms = self._poll_wait_ms()
            path = f"/api/targets?after={self._revision}&wait_ms={wait_ms}"
            update = self._request(path, wait_ms / 1000.0 + CALL_TIMEOUT_S)
        if update.full and not update.servers and self._listener.server_count():
            update = self._confirm_empty(update)
        if update.full or self._revision is not None:
            self._listener.on_update(update)
            self._revision = update.revision  # not before: an update that was not applied is polled again

    def _poll_wait_ms(self) -> int:
        """Returns 0 for the first poll, which clients wait for, and after a failure."""
        is_first = self._backoff.answers_immediately and not self._has_answered
        return 0 if self._is_failing or is_first else POLL_WAIT_MS

    def _confirm_empty(self, empty: EndpointUpdate) -> EndpointUpdate:
        """Requests the list again; returns it if it names servers, otherwise the empty one."""
        received_at = time.monotonic()
        log.warning("discovery: an empty list; requesting it again")
        try:
            update = self._request(FULL_LIST_PATH, CONFIRMATION_TIMEOUT_S)
        except CALL_ERRORS:
            self._connection.close()
        else:
            if update.full and update.servers:
                return update
        return structs.replace(empty, age=time.monotonic() - received_at)

    def _request(self, path: str, timeout_s: float) -> EndpointUpdate:
        """Returns the answer with status 200, from the connect to its last byte within the timeout."""
        was_open = self._connection.is_open
        response = self._connection.get(path, time.monotonic() + timeout_s)
        self._has_answered = True
        if response.status != 200:
            raise HttpError(f"status {response.status}")
        message = JsonObject(parse_json(response.body, "routing table:"), "", "routing table")
        update = parse_endpoint_update(message)
        if was_open and self._revision is not None and update.revision < self._revision:
            # A duplicate answer to an earlier call would bring back servers that have left. A discovery that
            # restarts its revisions does so on a new connection.
            raise HttpError(f"revision {update.revision} after {self._revision}")
        return update


class HttpConnection:
    """A connection for GET requests, reused while the peer keeps it open."""

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        """Connects at the first request."""
        self._scheduler = scheduler
        self._address = address
        self._stream: Stream | None = None
        self._parser = ResponseParser()

    @property
    def is_open(self) -> bool:
        """True if the next request may reuse a connection."""
        return self._stream is not None

    def get(self, path: str, deadline: float) -> Response:
        """Returns the response. After ``OSError``, ``HttpError`` or ``TimedOutError``, call ``close``."""
        stream = self._connect(deadline)
        host, port = self._address
        request = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        stream.send(request.encode(), _remaining(deadline))
        while True:
            data = stream.receive(_remaining(deadline))
            responses = self._parser.feed(data) if data else [self._parser.end_of_stream()]
            for response in responses:
                if response is None:
                    raise HttpError("the connection ended before the answer")
                if not response.keep_alive or len(responses) > 1 or not self._parser.at_message_boundary:
                    self.close()  # further bytes must not count as the next response
                return response
            if time.monotonic() >= deadline:  # the timeout of a read does not bound bytes that arrive singly
                raise TimedOutError

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _connect(self, deadline: float) -> Stream:
        if self._stream is not None and self._stream.is_stale():
            self.close()
        if self._stream is None:
            self._stream = Stream.connect(self._scheduler, self._address, _remaining(deadline))
            self._parser = ResponseParser()
        return self._stream


def _remaining(deadline: float) -> float:
    return max(0.0, deadline - time.monotonic())
