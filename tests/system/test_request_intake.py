"""Request lines on loopback sockets: what is accepted, by when, and what a malformed line gets."""

from __future__ import annotations

import socket

import pytest

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import (
    Event,
    Request,
    Resumed,
)
from ironmill.net.clients import intake as intake_module
from ironmill.net.clients import reading as reading_module
from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream
from tests.support.clients import raw_client
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line


@pytest.mark.parametrize(
    "data",
    [
        b"HELLO\r\n",
        b"x" * 5000,
        b"OPEN 1 2 d=4\r\n",
        OPEN.replace(b"read", b"none"),
        OPEN + OPEN,
        OPEN.replace(b"d=1500", b"d=1500,d=9"),
        OPEN.replace(b"1500", b"99999999"),
        b"PING\r\n" * 99,
        OPEN.replace(b"1500", b"-5"),
        OPEN.replace(b"1a ", b""),
    ],
)
def test_malformed_request_line_gets_one_error_line_and_a_close(data: bytes) -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(data)
        assert read_line(client) == b"ERR\r\n"
        assert client.receive(5.0) == b""
        client.close()
        assert not proxy.arrived  # no part of it is forwarded
        assert not proxy.gateway.pending_count()

    ProxyUnderTest().run(scenario)


def test_data_before_the_answer_ends_the_attempt() -> None:
    """A client must wait for the answer to its request line."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(OPEN)
        attempt = proxy.next_attempt()
        read_line(attempt)
        client.send(OPEN)
        assert read_line(client) == b"ERR\r\n"
        assert attempt.receive(5.0) == b""

    ProxyUnderTest().run(scenario)


def test_rejects_the_client_id_of_an_open_connection() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        client, attempt = proxy.established_pair()
        assert read_line(proxy.client(OPEN)) == b"ERR\r\n"
        client.send(b"hey\r\n")
        assert read_line(attempt) == b"hey\r\n"
        client.close()
        assert attempt.receive(5.0) == b""
        proxy.wait_until(lambda: not proxy.connection_limiter.used())
        assert proxy.established_pair()  # the id is free again

    ProxyUnderTest().run(scenario)


def test_request_line_timeout_bounds_bytes_that_arrive_singly(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.1)

    def scenario(proxy: ProxyUnderTest) -> None:
        silent, slow = proxy.client(), proxy.client()

        def send_bytes_singly() -> None:
            while True:
                slow.send(b"O")
                proxy.scheduler.sleep(0.02)

        sender = proxy.scheduler.spawn(send_bytes_singly)
        assert read_line(slow) == b"ERR\r\n"
        assert read_line(silent) == b"BUSY 500\r\n"  # an empty line is not malformed, and a retry is harmless
        proxy.scheduler.kill(sender)

    ProxyUnderTest().run(scenario)


def test_reads_a_bounded_part_of_a_fast_sender_after_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bytes after a rejection must not cost processor time."""
    read: list[int] = []
    receive = Stream.receive

    def counted(self: Stream, timeout: float | None = None) -> bytes:
        data = receive(self, timeout)
        if self is not read_by_test[0]:
            read.append(len(data))
        return data

    monkeypatch.setattr(Stream, "receive", counted)
    read_by_test: list[Stream] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client()
        read_by_test.append(client)
        with pytest.raises(OSError):
            client.send(b"x" * 60_000_000)
        assert sum(read) < 200_000

    ProxyUnderTest().run(scenario)


def test_exception_ends_only_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    parse = intake_module.request_attributes
    monkeypatch.setattr(
        intake_module, "request_attributes", lambda line: 1 / int(line.key, 16) and parse(line)
    )

    def scenario(proxy: ProxyUnderTest) -> None:
        broken = proxy.client(OPEN.replace(b"2b", b"00"))
        assert read_line(broken) == b"ERR\r\n"
        assert broken.receive(5.0) == b""
        assert proxy.established_pair()

    ProxyUnderTest().run(scenario)


def test_request_line_may_take_two_seconds() -> None:
    """Some clients take 2 s; one that stops halfway must get an error or a close within 3 s."""
    assert 2.3 <= reading_module.REQUEST_LINE_TIMEOUT_S <= 2.7


def test_request_line_that_arrived_by_its_deadline_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.0)

    def scenario(proxy: ProxyUnderTest) -> None:
        with raw_client(proxy, OPEN):
            read_line(proxy.next_attempt())

    ProxyUnderTest().run(scenario)


def test_resumed_connection_may_state_a_long_deadline() -> None:
    """Where connections end at the proxy all are resumed; a rejection would lose them."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(b"OPEN 1a 2b c=read,d=4294967,g=3c,at=s-0\r\n")
        attempt = proxy.next_attempt()
        read_line(attempt)
        attempt.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"

    ProxyUnderTest().run(scenario)


def test_tenant_of_the_request_line_reaches_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Quotas are by tenant."""
    received: list[Request] = []
    handle = Balancer.handle

    def recorded(balancer: Balancer, event: Event, now: float) -> object:
        if isinstance(event, Request | Resumed):
            received.append(event.request if isinstance(event, Resumed) else event)
        return handle(balancer, event, now)

    monkeypatch.setattr(Balancer, "handle", recorded)

    def scenario(proxy: ProxyUnderTest) -> None:
        streams = []
        for at, line in enumerate((b"t=club,d=900", b"d=900", b"t=press,d=900,at=s-0")):
            streams.append(proxy.client(b"OPEN %d 2b c=read,%b\r\n" % (at, line)))
            streams.append(proxy.next_attempt())
            read_line(streams[-1])
            streams[-1].send(b"UP r1\r\n")
        proxy.wait_until(lambda: len(proxy.gateway.established()) == 3)

    ProxyUnderTest().run(scenario)
    assert [request.tenant for request in received] == ["club", "", "press"]


def test_time_in_the_accept_queue_counts_against_the_deadline() -> None:
    """The deadline ``d`` counts from when the client sent the line, also in the accept queue."""

    def scenario(proxy: ProxyUnderTest) -> None:
        late = Listener(proxy.scheduler, ("127.0.0.1", 0), proxy._take)

        def left() -> float:
            """Returns the seconds until the last request is given up."""
            read_line(proxy.next_attempt())
            *_, request = proxy.gateway.requests.by_id.values()
            return request.give_up_at - proxy.gateway.now()

        with socket.create_connection(late.address) as early, socket.create_connection(late.address) as slow:
            early.sendall(OPEN)
            proxy.scheduler.sleep(0.5)
            late.start()
            assert left() <= 1.0
            slow.sendall(OPEN.replace(b"1a", b"1b"))  # has just arrived, though its connection has waited
            assert left() > 1.1
        late.close()

    ProxyUnderTest().run(scenario)
