"""Watches discovery: requests the complete endpoint list once, and then polls for changes."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from msgspec import Struct, structs

from ironmill.configuration.proxy_config import Address
from ironmill.net.http_connection import HttpConnection
from ironmill.net.late_responses import LateResponses
from ironmill.net.sockets import TimedOutError
from ironmill.protocol.discovery import EndpointUpdate, parse_endpoint_update
from ironmill.protocol.http import HttpError, Response
from ironmill.protocol.json_object import JsonObject, MalformedError, parse_json
from ironmill.requests.discovery_backoff import MAX_CALL_S, MAX_LATE_S, DiscoveryBackoff
from ironmill.runtime.scheduler import Scheduler, Task

# The time for which discovery may hold a poll until there is a change. It is short because a poll that is
# lost, or blocked by a hung agent, is noticed only after this time.
POLL_WAIT_MS = 1_000
# From the connect to the last byte of the answer, plus the wait of a poll, while discovery is not slow.
CALL_TIMEOUT_S = MAX_CALL_S
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
        self._late_responses = LateResponses(scheduler)
        self._has_answered = False
        self._is_failing = False
        self._late_until = 0.0  # how long the answer to the current call is of use
        self._task: Task | None = None

    def start(self) -> None:
        """Starts to poll."""
        self._task = self._scheduler.spawn(self._watch)

    def stop(self) -> None:
        """Ends the watch and drops the answer to a pending call."""
        self._scheduler.kill(self._task)
        self._connection.close()
        self._late_responses.close()

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
                self._give_up_call(error)
                self._listener.on_call()
                self._scheduler.sleep(self._backoff.failed(time.monotonic() - started_at))

    def _log_failure(self, error: Exception) -> None:
        if not isinstance(error, CALL_ERRORS):
            log.exception("discovery: unexpected error in a call")
        elif not self._is_failing:
            log.warning("discovery: %s %s", type(error).__name__, error)

    def _poll(self) -> None:
        path, wait_s = FULL_LIST_PATH, 0.0
        if self._revision is not None:
            wait_ms = self._poll_wait_ms()
            path, wait_s = f"/api/targets?after={self._revision}&wait_ms={wait_ms}", wait_ms / 1000.0
        started_at = time.monotonic()
        self._late_until = started_at + wait_s + MAX_LATE_S
        revision_before = self._revision
        update = self._request(path, wait_s + self._backoff.call_timeout_s)
        self._backoff.answered(time.monotonic() - started_at - wait_s)
        if self._revision != revision_before and not self._is_news(update):
            return  # a late response overtook this one
        if update.full and not update.servers and self._listener.server_count():
            update = self._confirm_empty(update)
        if update.full or self._revision is not None:
            self._apply(update)

    def _apply(self, update: EndpointUpdate) -> None:
        self._listener.on_update(update)
        self._revision = update.revision  # set last: an update that was not applied is polled again

    def _is_news(self, update: EndpointUpdate) -> bool:
        """Returns whether an update that arrives out of order adds to the list in use."""
        if self._revision is None:
            return update.full
        return update.revision > self._revision

    def _give_up_call(self, error: Exception) -> None:
        """Closes the call's connection, or leaves it to ``LateResponses`` if its answer may still come."""
        if not isinstance(error, TimedOutError):
            self._connection.close()
            return
        self._backoff.timed_out()
        if not self._connection.is_awaiting_response:
            self._connection.close()
            return
        started_at = self._late_until - MAX_LATE_S  # from when the answer was due at the earliest
        self._late_responses.await_response(
            self._connection, self._late_until, lambda response: self._on_late_response(response, started_at)
        )
        self._connection = HttpConnection(self._scheduler, self.address)

    def _on_late_response(self, response: Response, due_at: float) -> None:
        """Applies the answer to a call that was given up, unless a later call was answered first."""
        try:
            update = self._parse(response)
        except CALL_ERRORS as error:
            log.info("discovery: late response: %s", error)
            return
        self._backoff.answered(time.monotonic() - due_at)
        is_empty = update.full and not update.servers
        if self._is_news(update) and not (is_empty and self._listener.server_count()):
            log.info("discovery: revision %d came late", update.revision)
            self._apply(update)

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
        revision_before = self._revision
        response = self._connection.get(path, time.monotonic() + timeout_s)
        self._has_answered = True
        update = self._parse(response)
        if was_open and revision_before is not None and update.revision < revision_before:
            # A duplicate of an earlier answer would restore removed servers. Discovery that restarts its
            # revisions does so on a new connection.
            raise HttpError(f"received revision {update.revision} after revision {revision_before}")
        return update

    @staticmethod
    def _parse(response: Response) -> EndpointUpdate:
        """Raises ``HttpError`` for a status other than 200, and ``MalformedError`` for an invalid body."""
        if response.status != 200:
            raise HttpError(f"status {response.status}")
        return parse_endpoint_update(
            JsonObject(parse_json(response.body, "routing table:"), "", "routing table")
        )
