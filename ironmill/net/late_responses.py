"""Responses that arrive after their call has been given up."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ironmill.net.http_connection import HttpConnection
from ironmill.net.sockets import TimedOutError
from ironmill.protocol.http import HttpError, Response
from ironmill.runtime.scheduler import Scheduler, Task

MAX_CALLS = 2  # descriptors that are reserved for them; the oldest call is closed for another one

log = logging.getLogger("ironmill.discovery")


class LateResponses:
    """Waits for responses beside the next call, so that the work of a slow server is not lost."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Creates an object that waits for no response yet."""
        self._scheduler = scheduler
        self._tasks: dict[HttpConnection, Task] = {}  # oldest first

    def await_response(
        self, connection: HttpConnection, deadline: float, on_response: Callable[[Response], None]
    ) -> None:
        """Takes over a connection, calls ``on_response`` if it is answered by the deadline, and closes it.

        ``on_response`` must not park. ``deadline`` is in seconds on the monotonic clock.
        """
        while len(self._tasks) >= MAX_CALLS:
            self._drop(next(iter(self._tasks)))
        self._tasks[connection] = self._scheduler.spawn(self._run, connection, deadline, on_response)

    def close(self) -> None:
        """Gives all calls up. Must not be called by ``on_response``."""
        for connection in list(self._tasks):
            self._drop(connection)

    def _drop(self, connection: HttpConnection) -> None:
        self._scheduler.kill(self._tasks.pop(connection))
        connection.close()

    def _run(
        self, connection: HttpConnection, deadline: float, on_response: Callable[[Response], None]
    ) -> None:
        response = None
        try:
            response = connection.read_response(deadline)
        except (OSError, TimedOutError, HttpError) as error:
            log.debug("discovery: no late response: %s", error)
        # Removed before the callback, which may close this object through the end of its watch.
        self._tasks.pop(connection, None)
        connection.close()
        if response is not None:
            on_response(response)
