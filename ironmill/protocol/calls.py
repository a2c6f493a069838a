"""A staff call over HTTP/1.1, as a state machine over h11: fed bytes, tells one call, takes its answer."""

from __future__ import annotations

from http import HTTPStatus

import h11

from ironmill.protocol.call import Answer, Call

HEAD_MOST = 8 * 1024
BODY_MOST = 64 * 1024  # no call wants one; it is read and thrown away


class CallSide:
    """One connection with one call."""

    def __init__(self) -> None:
        self._connection = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
        self._request: h11.Request | None = None
        self._body = 0

    def receive(self, data: bytes) -> Call | Answer | None:
        """Bytes came, none at the end: the call once it is whole, an answer if it can be none."""
        try:
            self._connection.receive_data(data)
            while True:
                event = self._connection.next_event()
                if isinstance(event, h11.Request):
                    self._request = event
                elif isinstance(event, h11.Data):
                    self._body += len(event.data)
                    if self._body > BODY_MOST:
                        return Answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                elif isinstance(event, h11.EndOfMessage) and self._request is not None:
                    path = self._request.target.decode("ascii", "replace").partition("?")[0]
                    return Call(self._request.method.decode("ascii"), path)
                else:
                    return None
        except h11.RemoteProtocolError as error:
            return Answer(HTTPStatus(error.error_status_hint))

    def answer(self, answer: Answer) -> bytes:
        """The bytes of the answer; empty where none can be given any more."""
        headers = [
            ("Content-Type", "application/json"), ("Content-Length", str(len(answer.body))),
            ("Connection", "close"), *answer.headers.items(),
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
