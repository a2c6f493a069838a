"""A staff call over HTTP/1.1, as a state machine over h11: fed bytes, tells one call, takes its answer."""

from __future__ import annotations

from collections.abc import Collection
from http import HTTPStatus

import h11

from ironmill.administration.messages import ApiRequest, ApiResponse

MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 64 * 1024  # where a call wants none it is read and thrown away


class HttpExchange:
    """One connection with one call. Of calls to the ``detailed`` paths query and body are handed on."""

    def __init__(self, detailed: Collection[str] = ()) -> None:
        self._detailed = detailed
        self._connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._size = 0
        self._body: list[bytes] = []

    def receive(self, data: bytes) -> ApiRequest | ApiResponse | None:
        """Bytes came, none at the end: the call once it is whole, an answer if it can be none."""
        try:
            self._connection.receive_data(data)
            while True:
                event = self._connection.next_event()
                if isinstance(event, h11.Request):
                    self._request = event
                elif isinstance(event, h11.Data):
                    self._size += len(event.data)
                    if self._size > MAX_BODY_BYTES:
                        return ApiResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                    if self._target()[0] in self._detailed:
                        self._body.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage) and self._request is not None:
                    (path, query), method = self._target(), self._request.method.decode("ascii")
                    if path not in self._detailed:
                        return ApiRequest(method, path)
                    return ApiRequest(method, path, query, b"".join(self._body))
                else:
                    return None
        except h11.RemoteProtocolError as error:
            return ApiResponse(HTTPStatus(error.error_status_hint))

    def _target(self) -> tuple[str, str]:
        """Path and query."""
        target = b"" if self._request is None else self._request.target
        path, _, query = target.decode("ascii", "replace").partition("?")
        return path, query

    def answer(self, answer: ApiResponse) -> bytes:
        """The bytes of the answer; empty where none can be given any more."""
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(answer.body))),
            ("Connection", "close"),
            *answer.headers.items(),
        ]
        response = h11.Response(
            status_code=int(answer.status), reason=answer.status.phrase.encode(), headers=headers
        )
        try:
            sent = [self._connection.send(response)]
            if self._request is None or self._request.method != b"HEAD":
                sent.append(self._connection.send(h11.Data(data=answer.body)))
        except h11.LocalProtocolError:  # the caller is gone already
            return b""
        return b"".join(data for data in sent if data)
