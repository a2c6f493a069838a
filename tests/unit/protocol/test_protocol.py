"""Tests of the protocol state machines against models, with arbitrary segmentation of the bytes."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from ironmill.balancing.interface import Outcome
from ironmill.protocol.client import (
    MAX_EARLY_BYTES,
    ClientClosed,
    ClientHalfClosed,
    ClientProtocol,
    ClientState,
    DataReceived,
    PingReceived,
    ProtocolViolated,
    RequestReceived,
)
from ironmill.protocol.http import HttpError, ResponseParser
from ironmill.protocol.lines import MAX_LINE_BYTES, LineReader, LineTooLongError
from ironmill.protocol.request import parse_request_line, request_attributes
from ironmill.protocol.server import (
    AttemptEstablished,
    AttemptProtocol,
    AttemptRejected,
    AttemptState,
    ServerDataReceived,
    parse_load_report,
)

REQUEST_LINE = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59\r\n"
PIECES = st.lists(st.sampled_from([b"", b"a", b"\r", b"\n", b"\r\n", b"hey\r\n", b"BYE"]), max_size=9)


@given(PIECES)
def test_lines_do_not_depend_on_segmentation(pieces: list[bytes]) -> None:
    reader, stream = LineReader(), b"".join(pieces)
    lines = [line for piece in pieces for line in reader.feed(piece)]
    assert lines == stream.split(b"\r\n")[:-1]
    assert reader.at_line_boundary == (stream.endswith(b"\r\n") or not stream)


def test_strict_reader_rejects_a_line_longer_than_the_limit() -> None:
    assert LineReader().feed(b"x" * MAX_LINE_BYTES + b"\r\n") == [b"x" * MAX_LINE_BYTES]
    assert LineReader().feed(b"x" * MAX_LINE_BYTES + b"\r") == []
    for data in (b"x" * (MAX_LINE_BYTES + 1) + b"\r\n", b"x" * (MAX_LINE_BYTES + 1)):
        with pytest.raises(LineTooLongError):
            LineReader().feed(data)


def test_lenient_reader_truncates_a_line_longer_than_the_limit() -> None:
    reader = LineReader(strict=False)
    assert reader.feed(b"y" * MAX_LINE_BYTES * 3) == []
    assert reader.feed(b"y\r") == []
    assert not reader.at_line_boundary
    (long_line, next_line) = reader.feed(b"\nnext\r\n")
    assert len(long_line) <= MAX_LINE_BYTES
    assert (next_line, reader.at_line_boundary) == (b"next", True)


class ClientMachine(RuleBasedStateMachine):
    """A model of a client connection: data is forwarded exactly once, in order, and never before ``UP``."""

    def __init__(self) -> None:
        super().__init__()
        self.protocol = ClientProtocol()
        self.state = ClientState.AWAITING_REQUEST
        self.sent = self.forwarded = b""
        self.may_have_early_data = False

    @initialize(pings=st.integers(0, 3), cut=st.integers(0, 90), early=PIECES, mid=st.booleans())
    def open(self, pings: int, cut: int, early: list[bytes], mid: bool) -> None:
        self.may_have_early_data = mid
        self.sent = b"".join(early)
        request_line = REQUEST_LINE.replace(b",d=", b",mid=1,d=") if mid else REQUEST_LINE
        data = b"PING\r\n" * pings + request_line + self.sent
        events = self.protocol.receive(data[:cut]) + self.protocol.receive(data[cut:])
        if self.sent and not mid:
            assert isinstance(events[-1], ProtocolViolated)
            self.state = ClientState.CLOSED
            return
        assert [type(event) for event in events] == [PingReceived] * pings + [RequestReceived]
        assert isinstance(events[-1], RequestReceived)
        assert events[-1].line.raw == request_line
        self.state = ClientState.AWAITING_ANSWER

    @rule(data=st.sampled_from([b"one\r\n", b"tw", b"o\r\n"]))
    def send(self, data: bytes) -> None:
        events = self.protocol.receive(data)
        if self.state is ClientState.CLOSED:
            assert events == []
            return
        if self.state is ClientState.AWAITING_ANSWER and not self.may_have_early_data:
            assert [type(event) for event in events] == [ProtocolViolated]
            self.state = ClientState.CLOSED
            return
        self.sent += data
        for event in events:
            assert isinstance(event, DataReceived)
            self.forwarded += event.data

    @precondition(lambda self: self.state is ClientState.AWAITING_ANSWER)
    @rule()
    def establish(self) -> None:
        self.forwarded += self.protocol.establish().data
        self.state = ClientState.ESTABLISHED

    @rule()
    def end(self) -> None:
        expected = {
            ClientState.AWAITING_ANSWER: [ClientClosed()],
            ClientState.ESTABLISHED: [ClientHalfClosed()],
        }
        assert self.protocol.end_of_stream() == expected.get(self.state, [])
        if self.state is not ClientState.ESTABLISHED:
            self.state = ClientState.CLOSED

    @precondition(lambda self: self.state is ClientState.ESTABLISHED)
    @rule()
    def close(self) -> None:
        self.protocol.close()
        self.state = ClientState.CLOSED

    @invariant()
    def agrees(self) -> None:
        assert self.protocol.state is self.state
        if self.state is ClientState.ESTABLISHED:
            assert self.forwarded == self.sent
        elif self.state is ClientState.AWAITING_ANSWER:
            assert self.forwarded == b""


TestClient = ClientMachine.TestCase


class AttemptMachine(RuleBasedStateMachine):
    """A model of an attempt: the outcome states correctly whether the server can have executed it."""

    def __init__(self) -> None:
        super().__init__()
        self.protocol = AttemptProtocol(REQUEST_LINE)
        self.unwritten_bytes = len(REQUEST_LINE)
        self.state = AttemptState.CONNECTING
        self.expected_outcome = Outcome.RESET  # the outcome if the established connection ended now

    @precondition(lambda self: self.state is AttemptState.CONNECTING)
    @rule()
    def connect(self) -> None:
        assert self.protocol.connected() == REQUEST_LINE
        self.state = AttemptState.SENDING_REQUEST

    @precondition(lambda self: self.state is AttemptState.SENDING_REQUEST)
    @rule(count=st.integers(1, 80))
    def write(self, count: int) -> None:
        self.unwritten_bytes -= min(count, self.unwritten_bytes)
        assert len(self.protocol.wrote(min(count, len(self.protocol.unwritten)))) == self.unwritten_bytes
        if self.unwritten_bytes == 0:
            self.state = AttemptState.AWAITING_ANSWER

    @precondition(lambda self: self.state is AttemptState.AWAITING_ANSWER)
    @rule(answer=st.sampled_from(["UP r1", "BUSY", "BUSY inflight=7", "ERR", "BYE", "MOVE", "SYNTAX", "NO"]))
    def answer(self, answer: str) -> None:
        line = answer.encode() + b"\r\n"
        assert self.protocol.receive(line[:2]) == []
        (event,) = self.protocol.receive(line[2:] + b"later")
        if answer.startswith("UP"):
            assert event == AttemptEstablished(line, b"later")
            assert self.protocol.receive(event.following) == [ServerDataReceived(b"later", 0, ())]
            assert self.protocol.receive(b"\r\n") == [ServerDataReceived(b"\r\n", 1, ())]
            self.state = AttemptState.ESTABLISHED
        else:
            outcomes = {"BUSY": Outcome.FULL, "BYE": Outcome.OK, "MOVE": Outcome.CANCELLED}
            assert event == AttemptRejected(outcomes.get(answer.split(" ")[0], Outcome.ERROR), line)
            assert self.protocol.report == ((("inflight", 7.0),) if "=" in answer else ())
            self.state = AttemptState.CLOSED

    @precondition(lambda self: self.state is AttemptState.ESTABLISHED)
    @rule(line=st.sampled_from([b"hey", b"LOAD 4.5", b"LOAD x", b"BYE", b"MOVE", b"BYE util=0.5"]))
    def relay(self, line: bytes) -> None:
        loads = (4.5,) if line == b"LOAD 4.5" else ()
        assert self.protocol.receive(line + b"\r\n") == [
            ServerDataReceived(line + b"\r\n", int(line == b"hey"), loads)
        ]
        assert self.protocol.at_line_boundary
        self.expected_outcome = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}.get(
            line.split()[0], Outcome.RESET
        )

    @precondition(lambda self: self.state is not AttemptState.CLOSED)
    @rule(times_out=st.booleans())
    def end(self, times_out: bool) -> None:
        times_out = times_out and self.state is not AttemptState.ESTABLISHED
        outcome = self.protocol.time_out() if times_out else self.protocol.end_of_stream()
        if self.state in (AttemptState.CONNECTING, AttemptState.SENDING_REQUEST):
            assert outcome is Outcome.CONNECT_FAILED
        elif self.state is AttemptState.ESTABLISHED:
            assert outcome is self.expected_outcome
        else:
            assert outcome is (Outcome.TIMEOUT if times_out else Outcome.RESET)
        self.state = AttemptState.CLOSED

    @precondition(lambda self: self.state is AttemptState.CLOSED)
    @rule()
    def receive_after_close(self) -> None:
        assert self.protocol.receive(b"UP r1\r\n") == []

    @invariant()
    def agrees(self) -> None:
        assert self.protocol.state is self.state
        # An attempt may be reported as not executed only while its last byte is unwritten.
        assert (self.protocol.unwritten == b"") == (self.unwritten_bytes == 0)


TestAttempt = AttemptMachine.TestCase


def test_with_deadline_rewrites_only_d() -> None:
    request_line = parse_request_line(REQUEST_LINE[:-2])
    assert request_line.with_deadline(75) == REQUEST_LINE.replace(b"d=2000", b"d=75")
    assert (
        parse_request_line(b"OPEN d=1 d=2 c=x,bad=3,d=4").with_deadline(9)
        == b"OPEN d=1 d=2 c=x,bad=3,d=9\r\n"
    )
    assert parse_request_line(b"OPEN i k c=x,at=s-1").with_deadline(9) == b"OPEN i k c=x,at=s-1\r\n"


def test_request_attributes_are_read_from_the_request_line() -> None:
    attributes = request_attributes(parse_request_line(b"OPEN i 2b c=x,t=press,d=5,g=3c,h=0.5,r=1,mid=1"))
    assert msgspec.structs.asdict(attributes) == {
        "tenant": "press",
        "key": 0x2B,
        "group": 0x3C,
        "load_hint": 0.5,
        "returning": True,
        "rerouted": True,
    }
    minimal = request_attributes(parse_request_line(b"OPEN i odd-key c=x,h=nan"))
    assert isinstance(minimal.key, int)
    assert (minimal.tenant, minimal.group, minimal.load_hint) == ("", None, 0.0)
    assert not minimal.returning and not minimal.rerouted
    assert request_attributes(parse_request_line(b"OPEN i 2b c=x,again=1")).returning


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"HELLO",
        b"OPEN",
        b"OPEN i k",
        b"OPEN i k d=5",
        b"OPEN i k c=x,d=-5",
        b"OPEN i k c=x,d=1e3",
        b"OPEN i  c=x",
        b"OPEN i k c=x,d=5,d=6",
        b"OPEN i k c=x,d=3600001",
        b"OPEN i k c=x,,",
        b"OPEN i k c=\xff",
        b"GET / HTTP/1.1",
        b"x" * (MAX_LINE_BYTES + 1),
    ],
)
def test_rejects_malformed_request_line(line: bytes) -> None:
    protocol = ClientProtocol()
    (event,) = protocol.receive(line + b"\r\n" + REQUEST_LINE)
    assert isinstance(event, ProtocolViolated)
    assert protocol.receive(REQUEST_LINE) == []


def test_early_data_is_bounded() -> None:
    protocol = ClientProtocol()
    protocol.receive(REQUEST_LINE.replace(b",d=", b",mid=1,d="))
    assert protocol.receive(b"x" * MAX_EARLY_BYTES) == []
    assert [type(event) for event in protocol.receive(b"x")] == [ProtocolViolated]


def test_malformed_load_report_is_empty() -> None:
    assert parse_load_report(b"inflight=7,util=0.61") == (("inflight", 7.0), ("util", 0.61))
    assert parse_load_report(b"") == parse_load_report(b"150") == parse_load_report(b"a=b") == ()


RESPONSES = [
    (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", (200, b"hello", True)),
    (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
        (200, b"abcde", True),
    ),
    (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nconnection: close\r\ncontent-length:0\r\n\r\n",
        (503, b"", False),
    ),
    (b"HTTP/1.1 204 None\r\n\r\n", (204, b"", True)),
]


@given(st.lists(st.sampled_from(RESPONSES), max_size=4), st.integers(1, 40))
def test_responses_do_not_depend_on_segmentation(responses: list[tuple[bytes, object]], size: int) -> None:
    data, parser = b"".join(raw for raw, _ in responses), ResponseParser()
    parsed = [
        response
        for start in range(0, len(data), size)
        for response in parser.feed(data[start : start + size])
    ]
    assert [(response.status, response.body, response.keep_alive) for response in parsed] == [
        expected for _, expected in responses
    ]


def test_response_without_a_length_ends_with_the_connection() -> None:
    parser = ResponseParser()
    assert parser.feed(b"HTTP/1.0 200 OK\r\n\r\nab") == []
    response = parser.end_of_stream()
    assert response is not None
    assert (response.body, response.keep_alive) == (b"ab", False)
    assert ResponseParser().end_of_stream() is None


@pytest.mark.parametrize(
    "data",
    [
        b"SMTP hello\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"h" * 20000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
    ],
)
def test_malformed_response_raises_http_error(data: bytes) -> None:
    with pytest.raises(HttpError):
        ResponseParser().feed(data)
