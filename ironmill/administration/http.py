"""State machine of one HTTP/1.1 exchange of the admin API, built on h11. No I/O."""

from __future__ import annotations

from collections.abc import Collection
from http import HTTPStatus

import h11

from ironmill.administration.messages import ApiRequest, ApiResponse

MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 64 * 1024  # also limits a body that is discarded


class HttpExchange:
    """One connection, which carries one request and its response."""

    def __init__(self, content_paths: Collection[str] = ()) -> None:
        """Creates an exchange; the query and the body of a request are kept only for ``content_paths``."""
        self._content_paths = content_paths
        self._connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body_size = 0
        self._body: list[bytes] = []

    def receive(self, data: bytes) -> ApiRequest | ApiResponse | None:
        """Processes received bytes; ``data`` is empty at the end of the stream.

        Returns the request once it is complete, a response if it is malformed or too large, otherwise None.
        """
        try:
            self._connection.receive_data(data)
            while True:
                event = self._connection.next_event()
                if isinstance(event, h11.Request):
                    self._request = event
                elif isinstance(event, h11.Data):
                    self._body_size += len(event.data)
                    if self._body_size > MAX_BODY_BYTES:
                        return ApiResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                    self._keep_body_data(event.data)
                elif isinstance(event, h11.EndOfMessage) and self._request is not None:
                    return self._complete(self._request)
                else:
                    return None
        except h11.RemoteProtocolError as error:
            return ApiResponse(HTTPStatus(error.error_status_hint))

    def _keep_body_data(self, data: bytes | bytearray) -> None:
        if self._request is not None and _path_and_query(self._request)[0] in self._content_paths:
            self._body.append(bytes(data))

    def _complete(self, request: h11.Request) -> ApiRequest:
        path, query = _path_and_query(request)
        method = request.method.decode("ascii")
        if path not in self._content_paths:
            return ApiRequest(method, path)
        return ApiRequest(method, path, query, b"".join(self._body))

    def encode(self, response: ApiResponse) -> bytes:
        """Returns the bytes of the response; empty if the peer has already closed the connection."""
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response.body))),
            ("Connection", "close"),
            *response.headers.items(),
        ]
        head = h11.Response(
            status_code=int(response.status), reason=response.status.phrase.encode(), headers=headers
        )
        try:
            parts = [self._connection.send(head)]
            if self._request is None or self._request.method != b"HEAD":
                parts.append(self._connection.send(h11.Data(data=response.body)))
        except h11.LocalProtocolError:  # the peer has closed the connection
            return b""
        return b"".join(data for data in parts if data)


def _path_and_query(request: h11.Request) -> tuple[str, str]:
    """Returns the path and the query of a request."""
    path, _, query = request.target.decode("ascii", "replace").partition("?")
    return path, query
