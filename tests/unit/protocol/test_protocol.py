"""The state machines against short models: whatever the cuts between bytes, the meaning is the same."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from ironmill.balancing.interface import Outcome
from ironmill.protocol.client import (
    HELD_LIMIT,
    Asked,
    ClientSide,
    ClientState,
    Left,
    Malformed,
    Onward,
    Opened,
    SendingEnded,
    parse_first_line,
)
from ironmill.protocol.http import HttpError, ResponseParser
from ironmill.protocol.lines import LIMIT, Lines, LineTooLongError
from ironmill.protocol.request import request_fields
from ironmill.protocol.server import AttemptState, Refused, Relayed, ServerSide, Up, parse_report

FIRST = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59\r\n"
PIECES = st.lists(st.sampled_from([b"", b"a", b"\r", b"\n", b"\r\n", b"hey\r\n", b"BYE"]), max_size=9)


@given(PIECES)
def test_lines_are_the_same_however_the_bytes_are_cut(pieces: list[bytes]) -> None:
    lines, whole = Lines(), b"".join(pieces)
    out = [line for piece in pieces for line in lines.feed(piece)]
    assert out == whole.split(b"\r\n")[:-1]
    assert lines.between == (whole.endswith(b"\r\n") or not whole)


def test_line_of_the_limit_passes_and_one_more_byte_does_not() -> None:
    assert Lines().feed(b"x" * LIMIT + b"\r\n") == [b"x" * LIMIT]
    assert Lines().feed(b"x" * LIMIT + b"\r") == []
    for data in (b"x" * (LIMIT + 1) + b"\r\n", b"x" * (LIMIT + 1)):
        with pytest.raises(LineTooLongError):
            Lines().feed(data)


def test_long_line_on_a_standing_connection_is_cut_in_the_view_alone() -> None:
    lines = Lines(strict=False)
    assert lines.feed(b"y" * LIMIT * 3) == []
    assert lines.feed(b"y\r") == []
    assert not lines.between
    (line, then) = lines.feed(b"\nnext\r\n")
    assert len(line) <= LIMIT
    assert (then, lines.between) == (b"next", True)


class ClientMachine(RuleBasedStateMachine):
    """A model of a client's connection: what it has sent goes on once, in order, and nothing before UP."""

    def __init__(self) -> None:
        super().__init__()
        self.side = ClientSide()
        self.state = ClientState.FIRST
        self.sent = self.gone = b""
        self.mid = False

    @initialize(pings=st.integers(0, 3), cut=st.integers(0, 90), early=PIECES, mid=st.booleans())
    def open(self, pings: int, cut: int, early: list[bytes], mid: bool) -> None:
        self.mid = mid
        self.sent = b"".join(early)
        first = FIRST.replace(b",d=", b",mid=1,d=") if mid else FIRST
        data = b"PING\r\n" * pings + first + self.sent
        events = self.side.receive(data[:cut]) + self.side.receive(data[cut:])
        if self.sent and not mid:
            assert isinstance(events[-1], Malformed)
            self.state = ClientState.OVER
            return
        assert [type(event) for event in events] == [Asked] * pings + [Opened]
        assert isinstance(events[-1], Opened)
        assert events[-1].first.raw == first
        self.state = ClientState.WAITING

    @rule(data=st.sampled_from([b"one\r\n", b"tw", b"o\r\n"]))
    def send(self, data: bytes) -> None:
        events = self.side.receive(data)
        if self.state is ClientState.OVER:
            assert events == []
            return
        if self.state is ClientState.WAITING and not self.mid:
            assert [type(event) for event in events] == [Malformed]
            self.state = ClientState.OVER
            return
        self.sent += data
        for event in events:
            assert isinstance(event, Onward)
            self.gone += event.data

    @precondition(lambda self: self.state is ClientState.WAITING)
    @rule()
    def stand(self) -> None:
        self.gone += self.side.stand().data
        self.state = ClientState.STANDING

    @rule()
    def end(self) -> None:
        expected = {ClientState.WAITING: [Left()], ClientState.STANDING: [SendingEnded()]}
        assert self.side.end() == expected.get(self.state, [])
        if self.state is not ClientState.STANDING:
            self.state = ClientState.OVER

    @precondition(lambda self: self.state is ClientState.STANDING)
    @rule()
    def close(self) -> None:
        self.side.close()
        self.state = ClientState.OVER

    @invariant()
    def agrees(self) -> None:
        assert self.side.state is self.state
        if self.state is ClientState.STANDING:
            assert self.gone == self.sent
        elif self.state is ClientState.WAITING:
            assert self.gone == b""


TestClient = ClientMachine.TestCase


class AttemptMachine(RuleBasedStateMachine):
    """A model of an attempt: its outcome says truly whether it can have run."""

    def __init__(self) -> None:
        super().__init__()
        self.side = ServerSide(FIRST)
        self.left = len(FIRST)
        self.state = AttemptState.CONNECTING
        self.expected = Outcome.RESET  # at the end of a standing connection

    @precondition(lambda self: self.state is AttemptState.CONNECTING)
    @rule()
    def connect(self) -> None:
        assert self.side.connected() == FIRST
        self.state = AttemptState.ASKING

    @precondition(lambda self: self.state is AttemptState.ASKING)
    @rule(count=st.integers(1, 80))
    def write(self, count: int) -> None:
        self.left -= min(count, self.left)
        assert len(self.side.wrote(min(count, len(self.side.unwritten)))) == self.left
        if self.left == 0:
            self.state = AttemptState.WAITING

    @precondition(lambda self: self.state is AttemptState.WAITING)
    @rule(answer=st.sampled_from(["UP r1", "BUSY", "BUSY inflight=7", "ERR", "BYE", "MOVE", "SYNTAX", "NO"]))
    def answer(self, answer: str) -> None:
        line = answer.encode() + b"\r\n"
        assert self.side.receive(line[:2]) == []
        (event,) = self.side.receive(line[2:] + b"later")
        if answer.startswith("UP"):
            assert event == Up(line, b"later")
            assert self.side.receive(event.later) == [Relayed(b"later", 0, ())]
            assert self.side.receive(b"\r\n") == [Relayed(b"\r\n", 1, ())]
            self.state = AttemptState.STANDING
        else:
            outcomes = {"BUSY": Outcome.FULL, "BYE": Outcome.OK, "MOVE": Outcome.CANCELLED}
            assert event == Refused(outcomes.get(answer.split(" ")[0], Outcome.ERROR), line)
            assert self.side.report == ((("inflight", 7.0),) if "=" in answer else ())
            self.state = AttemptState.OVER

    @precondition(lambda self: self.state is AttemptState.STANDING)
    @rule(line=st.sampled_from([b"hey", b"LOAD 4.5", b"LOAD x", b"BYE", b"MOVE", b"BYE util=0.5"]))
    def relay(self, line: bytes) -> None:
        loads = (4.5,) if line == b"LOAD 4.5" else ()
        assert self.side.receive(line + b"\r\n") == [Relayed(line + b"\r\n", int(line == b"hey"), loads)]
        assert self.side.between_lines
        self.expected = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}.get(line.split()[0], Outcome.RESET)

    @precondition(lambda self: self.state is not AttemptState.OVER)
    @rule(times_out=st.booleans())
    def end(self, times_out: bool) -> None:
        times_out = times_out and self.state is not AttemptState.STANDING
        outcome = self.side.time_out() if times_out else self.side.end()
        if self.state in (AttemptState.CONNECTING, AttemptState.ASKING):
            assert outcome is Outcome.CONNECT_FAILED
        elif self.state is AttemptState.STANDING:
            assert outcome is self.expected
        else:
            assert outcome is (Outcome.TIMEOUT if times_out else Outcome.RESET)
        self.state = AttemptState.OVER

    @precondition(lambda self: self.state is AttemptState.OVER)
    @rule()
    def late_bytes(self) -> None:
        assert self.side.receive(b"UP r1\r\n") == []

    @invariant()
    def agrees(self) -> None:
        assert self.side.state is self.state
        # Never-ran may only be claimed while the last byte is unwritten.
        assert (self.side.unwritten == b"") == (self.left == 0)


TestAttempt = AttemptMachine.TestCase


def test_only_d_is_rewritten() -> None:
    first = parse_first_line(FIRST[:-2])
    assert first.with_wait(75) == FIRST.replace(b"d=2000", b"d=75")
    assert parse_first_line(b"OPEN d=1 d=2 c=x,bad=3,d=4").with_wait(9) == b"OPEN d=1 d=2 c=x,bad=3,d=9\r\n"
    assert parse_first_line(b"OPEN i k c=x,at=s-1").with_wait(9) == b"OPEN i k c=x,at=s-1\r\n"


def test_what_the_decisions_are_told_of_a_request() -> None:
    told = request_fields(parse_first_line(b"OPEN i 2b c=x,t=press,d=5,g=3c,h=0.5,r=1,mid=1"))
    assert told == {
        "tenant": "press",
        "key": 0x2B,
        "group": 0x3C,
        "load_hint": 0.5,
        "returning": True,
        "rerouted": True,
    }
    plain = request_fields(parse_first_line(b"OPEN i odd-key c=x,h=nan"))
    assert isinstance(plain["key"], int)
    assert (plain["tenant"], plain["group"], plain["load_hint"]) == ("", None, 0.0)
    assert not plain["returning"] and not plain["rerouted"]
    assert request_fields(parse_first_line(b"OPEN i 2b c=x,again=1"))["returning"]


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
        b"x" * (LIMIT + 1),
    ],
)
def test_a_bad_first_line_gets_one_answer_and_is_over(line: bytes) -> None:
    side = ClientSide()
    (event,) = side.receive(line + b"\r\n" + FIRST)
    assert isinstance(event, Malformed)
    assert side.receive(FIRST) == []


def test_a_client_that_does_not_wait_is_not_held_without_bound() -> None:
    side = ClientSide()
    side.receive(FIRST.replace(b",d=", b",mid=1,d="))
    assert side.receive(b"x" * HELD_LIMIT) == []
    assert [type(event) for event in side.receive(b"x")] == [Malformed]


def test_report_that_is_none_is_empty() -> None:
    assert parse_report(b"inflight=7,util=0.61") == (("inflight", 7.0), ("util", 0.61))
    assert parse_report(b"") == parse_report(b"150") == parse_report(b"a=b") == ()


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
def test_responses_are_the_same_however_cut(parts: list[tuple[bytes, object]], size: int) -> None:
    data, parser = b"".join(raw for raw, _ in parts), ResponseParser()
    out = [r for at in range(0, len(data), size) for r in parser.feed(data[at : at + size])]
    assert [(r.status, r.body, r.keep_alive) for r in out] == [meaning for _, meaning in parts]


def test_response_without_a_length_ends_with_the_connection() -> None:
    parser = ResponseParser()
    assert parser.feed(b"HTTP/1.0 200 OK\r\n\r\nab") == []
    response = parser.end()
    assert response is not None
    assert (response.body, response.keep_alive) == (b"ab", False)
    assert ResponseParser().end() is None


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
def test_what_is_no_response_is_an_error(data: bytes) -> None:
    with pytest.raises(HttpError):
        ResponseParser().feed(data)
