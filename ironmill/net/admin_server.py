"""Server of the admin API, with one HTTP request per connection.

It answers whatever the load of clients is, and its connections are bounded in number and time so that they
take no resources from clients. A request that is not complete in time is rejected. At ``MAX_CONNECTIONS``, a
new connection closes the oldest one.
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

MAX_CONNECTIONS = 12  # concurrent; ConnectionLimiter reserves their descriptors
REQUEST_TIMEOUT_S = 3.0  # from the accept to the end of the request
RESPONSE_TIMEOUT_S = 1.0  # to write the response
CLOSE_TIMEOUT_S = 0.2  # for the peer to close its side

log = logging.getLogger("ironmill.admin")


class AdminServer:
    """Listens on the admin address and answers requests with the handlers of ``Routes``."""

    def __init__(self, scheduler: Scheduler, address: tuple[str, int], routes: Routes) -> None:
        """Binds the address. Raises ``OSError`` if it is not available."""
        self._scheduler = scheduler
        self._routes = routes
        self._connections: dict[Stream, Task] = {}  # the oldest first
        self._listener = Listener(scheduler, address, self._accepted)
        self.address = self._listener.address

    def start(self) -> None:
        """Starts to accept connections."""
        self._listener.start()

    def close(self, within: float = 0.0) -> None:
        """Stops listening, but answers accepted requests. ``within`` is passed to ``Listener.close``."""
        self._listener.close(within)

    def _accepted(self, stream: Stream) -> None:
        while len(self._connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self._connections))
            self._scheduler.kill(self._connections.pop(oldest))
            oldest.close_immediately()
        self._connections[stream] = self._scheduler.spawn(self._serve, stream)

    def _serve(self, stream: Stream) -> None:
        # Imported at the first request, since importing h11 would make the start 10 % longer.
        from ironmill.administration.http import HttpExchange

        try:
            exchange = HttpExchange(self._routes.content_paths)
            response = self._respond(stream, exchange)
            if response is not None:
                stream.send(exchange.encode(response), RESPONSE_TIMEOUT_S)
                stream.close_gracefully(CLOSE_TIMEOUT_S)
        except (OSError, TimedOutError):
            pass  # the peer has disconnected or does not read the response
        finally:
            self._connections.pop(stream, None)
            if not stream.closed:
                stream.close_immediately()

    def _respond(self, stream: Stream, exchange: HttpExchange) -> ApiResponse | None:
        """Reads one request and returns its response, or None if the peer closes before it is complete."""
        deadline = time.monotonic() + REQUEST_TIMEOUT_S
        while True:
            try:
                data = stream.receive(max(0.0, deadline - time.monotonic()))
            except TimedOutError:
                return ApiResponse(HTTPStatus.REQUEST_TIMEOUT)
            received = exchange.receive(data)
            if isinstance(received, ApiRequest):
                response = self._routes.dispatch(received)
                log.info("%s %s: %d", received.method, received.path, response.status)
                return response
            if received is not None or not data:
                return received
