"""Tests of routes that are not a proxy's, and of requests with a query and a body."""

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
from ironmill_testbed.fleet import run_scenario

HEAD = b"POST /with-content?most=3 HTTP/1.1\r\nHost: x\r\n"


def parse(data: bytes, step: int, content_paths: tuple[str, ...]) -> ApiRequest | ApiResponse | None:
    exchange = HttpExchange(content_paths)
    for offset in range(0, len(data), step):
        parsed = exchange.receive(data[offset : offset + step])
        if parsed is not None:
            return parsed
    return None


@given(st.binary(max_size=300), st.integers(1, 400))
def test_query_and_body_are_complete_on_content_paths_and_discarded_on_others(body: bytes, step: int) -> None:
    sized = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = b"".join(b"%x\r\n%s\r\n" % (1, body[index : index + 1]) for index in range(len(body)))
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    for data in (sized, chunked):
        assert parse(data, step, ("/with-content",)) == ApiRequest("POST", "/with-content", "most=3", body)
        assert parse(data, step, ("/other",)) == ApiRequest("POST", "/with-content")
        assert parse(data[:-1], step, ("/with-content",)) is None


@pytest.mark.parametrize("content_paths", [(), ("/with-content",)])
def test_body_is_limited_whether_kept_or_discarded(content_paths: tuple[str, ...]) -> None:
    for size, is_accepted in ((MAX_BODY_BYTES, True), (MAX_BODY_BYTES + 1, False)):
        parsed = parse(HEAD + b"Content-Length: %d\r\n\r\n" % size + b"z" * size, 4096, content_paths)
        if is_accepted:
            content = ("most=3", b"z" * size) if content_paths else ()
            assert parsed == ApiRequest("POST", "/with-content", *content)
        else:
            assert isinstance(parsed, ApiResponse)
            assert parsed.status == 413


def test_admin_server_answers_from_a_table_of_other_routes() -> None:
    routes = Routes()
    routes.add("/plain", {"GET": lambda _: ApiResponse(HTTPStatus.OK, b"plain")})
    routes.add(
        "/with-content",
        {
            "POST": lambda request: ApiResponse(HTTPStatus.CREATED, request.body[::-1]),
            "GET": lambda request: ApiResponse(HTTPStatus.OK, request.query.encode()),
        },
        with_content=True,
    )
    scheduler = Scheduler()
    server = AdminServer(scheduler, ("127.0.0.1", 0), routes)
    server.start()

    def call_server(method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        stream = Stream.connect(scheduler, server.address, 5.0)
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        stream.send(head.encode() + body)
        data = b""
        while piece := stream.receive(5.0):
            data += piece
        stream.close()
        head, _, text = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), text

    def scenario() -> None:
        assert call_server("GET", "/plain?a=b", b"discarded") == (200, b"plain")
        assert call_server("POST", "/with-content", bytes(range(256))) == (201, bytes(range(256))[::-1])
        assert call_server("GET", "/with-content?a=b&c") == (200, b"a=b&c")
        assert call_server("PUT", "/with-content", b"x")[0] == 405
        assert call_server("POST", "/admin/quiesce")[0] == 404  # a route of proxies only
        assert call_server("POST", "/with-content", b"z" * (MAX_BODY_BYTES + 1))[0] == 413

    run_scenario(scheduler, scenario, 30.0)
    server.close()
