"""A table of calls that is no proxy's, and calls that bring a query and a body."""

from __future__ import annotations

from http import HTTPStatus

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironmill.administration.http import MAX_BODY_BYTES, HttpExchange
from ironmill.administration.messages import ApiRequest, ApiResponse
from ironmill.administration.routes import Routes
from ironmill.net.admin_server import AdminServer
from ironmill.net.sockets import Stream
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.fleet import play

HEAD = b"POST /told?most=3 HTTP/1.1\r\nHost: x\r\n"


def hear(data: bytes, step: int, detailed: tuple[str, ...]) -> ApiRequest | ApiResponse | None:
    side = HttpExchange(detailed)
    for at in range(0, len(data), step):
        heard = side.receive(data[at : at + step])
        if heard is not None:
            return heard
    return None


@given(st.binary(max_size=300), st.integers(1, 400))
def test_query_and_body_come_whole_where_they_are_wanted(body: bytes, step: int) -> None:
    sized = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = b"".join(b"%x\r\n%s\r\n" % (1, body[at : at + 1]) for at in range(len(body)))
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    for data in (sized, chunked):
        assert hear(data, step, ("/told",)) == ApiRequest("POST", "/told", "most=3", body)
        assert hear(data, step, ("/other",)) == ApiRequest("POST", "/told")
        assert hear(data[:-1], step, ("/told",)) is None


@pytest.mark.parametrize("detailed", [(), ("/told",)])
def test_a_body_is_bounded_however_it_is_taken(detailed: tuple[str, ...]) -> None:
    for size, known in ((MAX_BODY_BYTES, True), (MAX_BODY_BYTES + 1, False)):
        heard = hear(HEAD + b"Content-Length: %d\r\n\r\n" % size + b"z" * size, 4096, detailed)
        if known:
            kept = ("most=3", b"z" * size) if detailed else ()
            assert heard == ApiRequest("POST", "/told", *kept)
        else:
            assert isinstance(heard, ApiResponse)
            assert heard.status == 413


def test_a_table_without_a_proxy() -> None:
    routes = Routes()
    routes.add("/plain", {"GET": lambda call: ApiResponse(HTTPStatus.OK, b"plain")})
    routes.add(
        "/told",
        {
            "POST": lambda call: ApiResponse(HTTPStatus.CREATED, call.body[::-1]),
            "GET": lambda call: ApiResponse(HTTPStatus.OK, call.query.encode()),
        },
        detailed=True,
    )
    scheduler = Scheduler()
    control = AdminServer(scheduler, ("127.0.0.1", 0), routes)
    control.start()

    def ask(method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        stream = Stream.connect(scheduler, control.address, 5.0)
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        stream.send(head.encode() + body)
        data = b""
        while piece := stream.receive(5.0):
            data += piece
        stream.close()
        head, _, text = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), text

    def story() -> None:
        assert ask("GET", "/plain?a=b", b"thrown away") == (200, b"plain")
        assert ask("POST", "/told", bytes(range(256))) == (201, bytes(range(256))[::-1])
        assert ask("GET", "/told?a=b&c") == (200, b"a=b&c")
        assert ask("PUT", "/told", b"x")[0] == 405
        assert ask("POST", "/admin/quiesce")[0] == 404  # which is a proxy's
        assert ask("POST", "/told", b"z" * (MAX_BODY_BYTES + 1))[0] == 413

    play(scheduler, story, 30.0)
    control.close()
