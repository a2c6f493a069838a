"""A client's HTTP connection for GET requests, on the scheduler."""

from __future__ import annotations

import time

from ironmill.configuration.proxy_config import Address
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.protocol.http import HttpError, Response, ResponseParser
from ironmill.runtime.scheduler import Scheduler


class HttpConnection:
    """An HTTP connection for GET requests, reused while the peer keeps it open."""

    def __init__(self, scheduler: Scheduler, address: Address) -> None:
        """Creates a closed connection; the first request opens it."""
        self._scheduler = scheduler
        self._address = address
        self._stream: Stream | None = None
        self._parser = ResponseParser()
        self.is_awaiting_response = False  # a request was sent completely and has no response yet

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
        self.is_awaiting_response = True
        return self.read_response(deadline)

    def read_response(self, deadline: float) -> Response:
        """Returns the response to a request that was sent completely; may be called again after a timeout.

        Raises the same errors as ``get``.
        """
        stream = self._stream
        assert stream is not None
        while True:
            data = stream.receive(_remaining(deadline))
            responses = self._parser.feed(data) if data else [self._parser.end_of_stream()]
            for response in responses:
                if response is None:
                    raise HttpError("connection closed before the response")
                self.is_awaiting_response = False
                if not response.keep_alive or len(responses) > 1 or not self._parser.at_message_boundary:
                    self.close()  # extra bytes must not be taken for the next response
                return response
            if time.monotonic() >= deadline:  # read timeouts do not bound a peer that sends single bytes
                raise TimedOutError

    def close(self) -> None:
        """Closes the connection if it is open."""
        self.is_awaiting_response = False
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
