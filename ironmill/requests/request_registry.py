"""The registry of a process's requests, which enforces their deadlines."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable

from ironmill.balancing.interface import Abandoned, Event
from ironmill.requests.client_request import NULL_HANDLER, ClientRequest, RequestHandler
from ironmill.requests.metrics import EventCounts, RequestCounter
from ironmill.runtime.scheduler import Timers

# Time after its deadline at which the registry fails a request that the balancer has not decided.
OVERDUE_DELAY_S = 0.02

log = logging.getLogger("ironmill.requests.request_registry")


class RequestRegistry:
    """Holds each request until its connection is closed, and fails requests that are not decided in time."""

    def __init__(
        self, timers: Timers, now: Callable[[], float], feed: Callable[[Event], None], counts: EventCounts
    ) -> None:
        """Creates an empty registry; ``feed`` passes an event to the balancer."""
        self._timers = timers
        self._now = now
        self._feed = feed
        self._counts = counts
        self._next_serial = itertools.count()
        self.by_id: dict[str, ClientRequest] = {}

    def __len__(self) -> int:
        """Returns the number of requests, including established ones."""
        return len(self.by_id)

    def add(self, handler: RequestHandler, give_up_at: float, counter: RequestCounter) -> ClientRequest:
        """Creates and registers a request. Its id is unique in this process; the client's id may not be."""
        request = ClientRequest(f"a{next(self._next_serial)}", give_up_at, handler, counter)
        self.by_id[request.id] = request
        return request

    def all(self) -> list[ClientRequest]:
        """Returns a new list of all requests."""
        return list(self.by_id.values())

    def established(self) -> list[ClientRequest]:
        """Returns the requests whose connections are established."""
        return [request for request in self.by_id.values() if request.established]

    def pending_count(self) -> int:
        """Returns how many requests have no final answer yet."""
        return sum(1 for request in self.by_id.values() if not request.resolved)

    def watch_deadline(self, request: ClientRequest) -> None:
        """Sets a timer that fails the request if it is not resolved shortly after its deadline."""
        request.deadline_timer = self._timers.call_later(
            request.give_up_at - self._now() + OVERDUE_DELAY_S, self.fail_overdue, request
        )

    def resolve(self, request: ClientRequest) -> None:
        """Marks the request as needing no answer any more, and cancels its deadline timer."""
        request.resolved = True
        self._timers.cancel(request.deadline_timer)
        request.deadline_timer = None

    def finish(self, request: ClientRequest) -> RequestHandler:
        """Resolves the request and removes it unless an attempt is running; returns its handler."""
        self.resolve(request)
        handler = request.handler
        if request.attempt is None:
            self.remove(request)
        return handler

    def abandon(self, request: ClientRequest) -> RequestHandler:
        """Finishes a request without a final answer, notifies the balancer and returns the handler."""
        handler = self.finish(request)
        self._feed(Abandoned(request.id))
        return handler

    def remove(self, request: ClientRequest) -> None:
        """Removes a request whose connection is closed."""
        self.by_id.pop(request.id, None)
        request.counter.closed()
        request.handler = NULL_HANDLER

    def fail_overdue(self, request: ClientRequest) -> None:
        """Fails a request that the balancer has not decided; does nothing if it is resolved."""
        if request.resolved:
            return
        log.warning(
            "request %s: failed because the balancer made no decision before its deadline", request.id
        )
        self._counts.add("overdue")
        request.counter.failed()
        self.abandon(request).fail()
