"""Watches discovery: requests the complete endpoint list once, and then polls for changes."""

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

# The time for which discovery may hold a poll until there is a change. It is short because a poll that is
# lost, or blocked by a hung agent, is noticed only after this time.
POLL_WAIT_MS = 1_000
CALL_TIMEOUT_S = MAX_CALL_S  # from the connect to the last byte of the answer, plus the wait of a poll
# If an empty endpoint list would replace known servers, the list is requested once more before it is
# applied, because a fault of discovery is more likely. A longer timeout would delay a genuine empty list past
# the grace period of draining servers, of which the gateway leaves 0.1 s.
CONFIRMATION_TIMEOUT_S = 0.08

FULL_LIST_PATH = "/api/targets"
CALL_ERRORS = (OSError, TimedOutError, HttpError, MalformedError)

log = logging.getLogger("ironmill.discovery")


def _ignore_call() -> None:
    """Does nothing. The default of ``DiscoveryListener.on_call``."""


def _no_servers() -> int:
    """Returns 0. The default of ``DiscoveryListener.server_count``."""
    return 0


class DiscoveryListener(Struct, frozen=True, eq=False):
    """Callbacks of a watch. None of them may park."""

    on_update: Callable[[EndpointUpdate], None]
    on_call: Callable[[], object] = _ignore_call  # called after each answered or failed call
    server_count: Callable[[], int] = _no_servers  # size of the endpoint list in use


class Discovery:
    """Watches discovery at one address, and switches to another address without a gap."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        listener: DiscoveryListener,
        new_backoff: Callable[[], DiscoveryBackoff],
        known_revision: int | None = None,
    ) -> None:
        """Creates a watch that ``start`` begins.

        ``known_revision`` is the revision of the endpoint list that is used until the first answer, if any.
        """
        self._scheduler = scheduler
        self._listener = listener
        self._new_backoff = new_backoff
        self._current = self._make_watch(address, listener.on_call, known_revision)
        self._replacement: Watch | None = None

    def start(self) -> None:
        """Starts the watch."""
        self._current.start()

    def watch_at(self, address: Address) -> None:
        """Watches another address. The old watch ends when the new one has received the complete list."""
        if self._replacement is not None:
            self._replacement.stop()
            self._replacement = None
        if address != self._current.address:
            self._replacement = self._make_watch(address, _ignore_call)
            self._replacement.start()

    def _make_watch(
        self, address: Address, on_call: Callable[[], object], known_revision: int | None = None
    ) -> Watch:
        listener = DiscoveryListener(
            lambda update: self._on_update(watch, update), on_call, self._listener.server_count
        )
        watch = Watch(self._scheduler, address, listener, self._new_backoff(), known_revision)
        return watch

    def _on_update(self, watch: Watch, update: EndpointUpdate) -> None:
        if watch is self._replacement:
            self._current.stop()
            self._current = watch
            self._replacement = None
        self._listener.on_update(update)


class Watch:
    """A watch on discovery at one address."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        listener: DiscoveryListener,
        backoff: DiscoveryBackoff,
        known_revision: int | None = None,
    ) -> None:
        """Creates a watch that does nothing until ``start``. ``Discovery`` describes ``known_revision``."""
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
        """Starts to poll."""
        self._task = self._scheduler.spawn(self._watch)

    def stop(self) -> None:
        """Ends the watch and drops the answer to a pending call."""
        self._scheduler.kill(self._task)
        self._connection.close()

    def _watch(self) -> None:
        if self._revision is not None:  # the known endpoint list is in use during the delay
            self._scheduler.sleep(self._backoff.first_delay())
        while True:
            started_at = time.monotonic()
            try:
                self._poll()
                self._backoff.succeeded()
                self._is_failing = False
                self._listener.on_call()
            except Exception as error:  # noqa: BLE001 (it is logged by _log_failure)
                # The watch continues even after a programming error, or no further change would arrive.
                self._log_failure(error)
                self._is_failing = True
                self._connection.close()
                self._listener.on_call()
                self._scheduler.sleep(self._backoff.failed(time.monotonic() - started_at))

    def _log_failure(self, error: Exception) -> None:
        if not isinstance(error, CALL_ERRORS):
            log.exception("discovery: unexpected error in a call")
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
            self._revision = update.revision  # set last: an update that was not applied is polled again

    def _poll_wait_ms(self) -> int:
        """Returns 0 for the first poll, which clients wait for, and after a failure."""
        is_first = self._backoff.answers_immediately and not self._has_answered
        return 0 if self._is_failing or is_first else POLL_WAIT_MS

    def _confirm_empty(self, empty: EndpointUpdate) -> EndpointUpdate:
        """Requests the endpoint list again and returns it if it has servers, otherwise the empty update."""
        received_at = time.monotonic()
        log.warning("discovery: received an empty endpoint list; requesting it again")
        try:
            update = self._request(FULL_LIST_PATH, CONFIRMATION_TIMEOUT_S)
        except CALL_ERRORS:
            self._connection.close()
        else:
            if update.full and update.servers:
                return update
        return structs.replace(empty, age=time.monotonic() - received_at)

    def _request(self, path: str, timeout_s: float) -> EndpointUpdate:
        """Returns the update from one call. The timeout runs from the connect to the last byte of the answer.

        Raises one of ``CALL_ERRORS``, also for a status other than 200.
        """
        was_open = self._connection.is_open
        response = self._connection.get(path, time.monotonic() + timeout_s)
        self._has_answered = True
        if response.status != 200:
            raise HttpError(f"status {response.status}")
        message = JsonObject(parse_json(response.body, "routing table:"), "", "routing table")
        update = parse_endpoint_update(message)
        if was_open and self._revision is not None and update.revision < self._revision:
            # A duplicate of an earlier answer would restore removed servers. Discovery that restarts its
            # revisions does so on a new connection.
            raise HttpError(f"received revision {update.revision} after revision {self._revision}")
        return update


class HttpConnection:
    """An HTTP connection for GET requests, reused while the peer keeps it open."""

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        """Creates a closed connection; the first request opens it."""
        self._scheduler = scheduler
        self._address = address
        self._stream: Stream | None = None
        self._parser = ResponseParser()

    @property
    def is_open(self) -> bool:
        """Whether there is a connection that the next request may reuse."""
        return self._stream is not None

    def get(self, path: str, deadline: float) -> Response:
        """Sends a request and returns the response.

        Raises ``OSError``, ``HttpError`` or ``TimedOutError``; the caller must then call ``close``.
        """
        stream = self._connect(deadline)
        host, port = self._address
        request = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        stream.send(request.encode(), _remaining(deadline))
        while True:
            data = stream.receive(_remaining(deadline))
            responses = self._parser.feed(data) if data else [self._parser.end_of_stream()]
            for response in responses:
                if response is None:
                    raise HttpError("connection closed before the response")
                if not response.keep_alive or len(responses) > 1 or not self._parser.at_message_boundary:
                    self.close()  # extra bytes must not be taken for the next response
                return response
            if time.monotonic() >= deadline:  # read timeouts do not bound a peer that sends single bytes
                raise TimedOutError

    def close(self) -> None:
        """Closes the connection if it is open."""
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
