"""Routes other than a proxy's, and calls with a query and a body."""

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

HEAD = b"POST /detailed?most=3 HTTP/1.1\r\nHost: x\r\n"


def parse(data: bytes, step: int, detailed: tuple[str, ...]) -> ApiRequest | ApiResponse | None:
    side = HttpExchange(detailed)
    for at in range(0, len(data), step):
        parsed = side.receive(data[at : at + step])
        if parsed is not None:
            return parsed
    return None


@given(st.binary(max_size=300), st.integers(1, 400))
def test_query_and_body_are_complete_on_detailed_paths_and_discarded_on_others(
    body: bytes, step: int
) -> None:
    sized = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = b"".join(b"%x\r\n%s\r\n" % (1, body[at : at + 1]) for at in range(len(body)))
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    for data in (sized, chunked):
        assert parse(data, step, ("/detailed",)) == ApiRequest("POST", "/detailed", "most=3", body)
        assert parse(data, step, ("/other",)) == ApiRequest("POST", "/detailed")
        assert parse(data[:-1], step, ("/detailed",)) is None


@pytest.mark.parametrize("detailed", [(), ("/detailed",)])
def test_body_is_limited_whether_kept_or_discarded(detailed: tuple[str, ...]) -> None:
    for size, known in ((MAX_BODY_BYTES, True), (MAX_BODY_BYTES + 1, False)):
        parsed = parse(HEAD + b"Content-Length: %d\r\n\r\n" % size + b"z" * size, 4096, detailed)
        if known:
            kept = ("most=3", b"z" * size) if detailed else ()
            assert parsed == ApiRequest("POST", "/detailed", *kept)
        else:
            assert isinstance(parsed, ApiResponse)
            assert parsed.status == 413


def test_admin_server_answers_from_a_table_of_other_routes() -> None:
    routes = Routes()
    routes.add("/plain", {"GET": lambda call: ApiResponse(HTTPStatus.OK, b"plain")})
    routes.add(
        "/detailed",
        {
            "POST": lambda call: ApiResponse(HTTPStatus.CREATED, call.body[::-1]),
            "GET": lambda call: ApiResponse(HTTPStatus.OK, call.query.encode()),
        },
        detailed=True,
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
        assert call_server("GET", "/plain?a=b", b"thrown away") == (200, b"plain")
        assert call_server("POST", "/detailed", bytes(range(256))) == (201, bytes(range(256))[::-1])
        assert call_server("GET", "/detailed?a=b&c") == (200, b"a=b&c")
        assert call_server("PUT", "/detailed", b"x")[0] == 405
        assert call_server("POST", "/admin/quiesce")[0] == 404  # a proxy's route
        assert call_server("POST", "/detailed", b"z" * (MAX_BODY_BYTES + 1))[0] == 413

    run_scenario(scheduler, scenario, 30.0)
    server.close()
