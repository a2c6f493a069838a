"""The second address, where staff call: one call a connection, answered beside any load.

Its callers are bounded in number and time, so they cost the clients nothing: a call that does not become
whole in time is given up, and where too many are half way the oldest makes room.
"""

from __future__ import annotations

import logging
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

from ironmill.administration.messages import ApiRequest, ApiResponse
from ironmill.administration.routes import Routes
from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.runtime.scheduler import Scheduler, Task

if TYPE_CHECKING:
    from ironmill.administration.http import HttpExchange

MAX_CONNECTIONS = 12  # at once; their descriptors are among those that Admission sets aside
REQUEST_TIMEOUT_S = 3.0  # from the accept to the call's end, seconds
RESPONSE_TIMEOUT_S = 1.0  # for the answer to be taken
CLOSE_TIMEOUT_S = 0.2  # for the caller to end as well

log = logging.getLogger("ironmill.control")


class AdminServer:
    """Listens at the second address."""

    def __init__(self, scheduler: Scheduler, address: tuple[str, int], staff: Routes) -> None:
        self._scheduler = scheduler
        self._staff = staff
        self._callers: dict[Stream, Task] = {}  # the oldest first
        self._listener = Listener(scheduler, address, self._take, at_once=False)
        self.address = self._listener.address

    def start(self) -> None:
        """ApiResponse from now on."""
        self._listener.start()

    def close(self, within: float = 0.0) -> None:
        """Take no more calls; those under way are answered. ``within``: as of ``Listener.close``."""
        self._listener.close(within)

    def _take(self, stream: Stream) -> None:
        while len(self._callers) >= MAX_CONNECTIONS:
            oldest = next(iter(self._callers))
            self._scheduler.kill(self._callers.pop(oldest))
            oldest.close_now()
        self._callers[stream] = self._scheduler.spawn(self._serve, stream)

    def _serve(self, stream: Stream) -> None:
        from ironmill.administration.http import (
            HttpExchange,
        )  # at the first call: h11 is a tenth of the start

        try:
            side = HttpExchange(self._staff.detailed)
            answer = self._hear(stream, side)
            if answer is not None:
                stream.send(side.answer(answer), RESPONSE_TIMEOUT_S)
                stream.close_gently(CLOSE_TIMEOUT_S)
        except (OSError, TimedOutError):
            pass  # the caller is gone, or does not take its answer
        finally:
            self._callers.pop(stream, None)
            if not stream.closed:
                stream.close_now()

    def _hear(self, stream: Stream, side: HttpExchange) -> ApiResponse | None:
        """The answer to what comes; None if the caller ends before its call is whole."""
        until = time.monotonic() + REQUEST_TIMEOUT_S
        while True:
            try:
                data = stream.receive(max(0.0, until - time.monotonic()))
            except TimedOutError:
                return ApiResponse(HTTPStatus.REQUEST_TIMEOUT)
            heard = side.receive(data)
            if isinstance(heard, ApiRequest):
                answer = self._staff.answer(heard)
                log.info("%s %s: %d", heard.method, heard.path, answer.status)
                return answer
            if heard is not None or not data:
                return heard
