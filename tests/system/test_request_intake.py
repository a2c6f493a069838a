"""Tests of request lines on loopback sockets: which are accepted, the time limit, and malformed lines."""

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
        assert not proxy.arrived  # no part of the line is forwarded
        assert not proxy.gateway.pending_count()

    ProxyUnderTest().run(scenario)


def test_data_before_the_answer_ends_the_attempt() -> None:
    """A client must wait for the answer to its request line; data sent before it is a protocol violation."""

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
        assert proxy.established_pair()  # the client id is released

    ProxyUnderTest().run(scenario)


def test_request_line_timeout_bounds_a_line_sent_byte_by_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.1)

    def scenario(proxy: ProxyUnderTest) -> None:
        silent, slow = proxy.client(), proxy.client()

        def send_byte_by_byte() -> None:
            while True:
                slow.send(b"O")
                proxy.scheduler.sleep(0.02)

        sender = proxy.scheduler.spawn(send_byte_by_byte)
        assert read_line(slow) == b"ERR\r\n"
        assert read_line(silent) == b"BUSY 500\r\n"  # it sent no part of a line, and a retry is safe
        proxy.scheduler.kill(sender)

    ProxyUnderTest().run(scenario)


def test_reads_a_bounded_part_of_a_fast_sender_after_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against spending processor time on all the bytes that a rejected client continues to send."""
    read_sizes: list[int] = []
    receive = Stream.receive

    def receive_and_count(self: Stream, timeout: float | None = None) -> bytes:
        data = receive(self, timeout)
        if self is not test_streams[0]:
            read_sizes.append(len(data))
        return data

    monkeypatch.setattr(Stream, "receive", receive_and_count)
    test_streams: list[Stream] = []

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client()
        test_streams.append(client)
        with pytest.raises(OSError):
            client.send(b"x" * 60_000_000)
        assert sum(read_sizes) < 200_000

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
    """Some clients need 2 s for the line; one that stops halfway must get an error or a close within 3 s."""
    assert 2.3 <= reading_module.REQUEST_LINE_TIMEOUT_S <= 2.7


def test_request_line_that_arrived_by_its_deadline_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reading_module, "REQUEST_LINE_TIMEOUT_S", 0.0)

    def scenario(proxy: ProxyUnderTest) -> None:
        with raw_client(proxy, OPEN):
            read_line(proxy.next_attempt())

    ProxyUnderTest().run(scenario)


def test_resumed_connection_may_state_a_long_deadline() -> None:
    """A restarted proxy that terminates connections resumes all of them; a rejection would lose one."""

    def scenario(proxy: ProxyUnderTest) -> None:
        client = proxy.client(b"OPEN 1a 2b c=read,d=4294967,g=3c,at=s-0\r\n")
        attempt = proxy.next_attempt()
        read_line(attempt)
        attempt.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"

    ProxyUnderTest().run(scenario)


def test_tenant_of_the_request_line_reaches_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a lost tenant, by which the balancer applies quotas."""
    requests: list[Request] = []
    handle = Balancer.handle

    def recorded(balancer: Balancer, event: Event, now: float) -> object:
        if isinstance(event, Request | Resumed):
            requests.append(event.request if isinstance(event, Resumed) else event)
        return handle(balancer, event, now)

    monkeypatch.setattr(Balancer, "handle", recorded)

    def scenario(proxy: ProxyUnderTest) -> None:
        streams = []
        for index, attributes in enumerate((b"t=club,d=900", b"d=900", b"t=press,d=900,at=s-0")):
            streams.append(proxy.client(b"OPEN %d 2b c=read,%b\r\n" % (index, attributes)))
            streams.append(proxy.next_attempt())
            read_line(streams[-1])
            streams[-1].send(b"UP r1\r\n")
        proxy.wait_until(lambda: len(proxy.gateway.established()) == 3)

    ProxyUnderTest().run(scenario)
    assert [request.tenant for request in requests] == ["club", "", "press"]


def test_time_in_the_accept_queue_counts_against_the_deadline() -> None:
    """The deadline ``d`` counts from when the client sent the line, including time in the accept queue."""

    def scenario(proxy: ProxyUnderTest) -> None:
        listener = Listener(proxy.scheduler, ("127.0.0.1", 0), proxy._serve_client)

        def remaining_s() -> float:
            """Returns the seconds until the newest request is given up."""
            read_line(proxy.next_attempt())
            *_, request = proxy.gateway.requests.by_id.values()
            return request.give_up_at - proxy.gateway.now()

        with (
            socket.create_connection(listener.address) as early,
            socket.create_connection(listener.address) as slow,
        ):
            early.sendall(OPEN)
            proxy.scheduler.sleep(0.5)
            listener.start()
            assert remaining_s() <= 1.0
            slow.sendall(OPEN.replace(b"1a", b"1b"))  # sent only now, although its connection was queued
            assert remaining_s() > 1.1
        listener.close()

    ProxyUnderTest().run(scenario)
