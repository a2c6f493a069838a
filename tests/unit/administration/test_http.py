"""Tests of the admin API's HTTP: complete, split, malformed and oversized requests."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironmill.administration.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, HttpExchange
from ironmill.administration.messages import ApiRequest, ApiResponse

GET = b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n"


def parse(data: bytes, step: int = 1 << 20) -> ApiRequest | ApiResponse | None:
    exchange, parsed = HttpExchange(), None
    for offset in range(0, len(data), step):
        parsed = exchange.receive(data[offset : offset + step])
        if parsed is not None:
            break
    return parsed


@given(st.integers(1, 60))
def test_call_is_parsed_however_its_bytes_are_split(step: int) -> None:
    assert parse(GET, step) == ApiRequest("GET", "/admin/health")
    post = b"POST /admin/quiesce?a=b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
    assert parse(post, step) == ApiRequest("POST", "/admin/quiesce")
    assert parse(post[:-1], step) is None


@given(st.binary(max_size=200))
def test_arbitrary_bytes_get_an_error_response_or_wait_for_more(data: bytes) -> None:
    exchange = HttpExchange()
    parsed = exchange.receive(data) if data else exchange.receive(b"")
    if isinstance(parsed, ApiResponse):
        assert parsed.status >= 400
        assert exchange.encode(parsed).startswith(b"HTTP/1.1 %d " % parsed.status)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"HELLO\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),  # without a Host header
        (b"GET / HTTP/1.1\r\nHost: x\r\nx: " + b"y" * (2 * MAX_HEAD_BYTES) + b"\r\n\r\n", 431),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n" + b"z" * (MAX_BODY_BYTES + 1),
            413,
        ),
    ],
)
def test_malformed_call_gets_an_error_status(data: bytes, status: int) -> None:
    parsed = parse(data, 4096)
    assert isinstance(parsed, ApiResponse)
    assert parsed.status == status
