"""Request lines on loopback sockets: what is accepted, by when, and what a malformed line gets."""

from __future__ import annotations

import pytest

from ironmill.net.clients import intake as intake_module
from ironmill.net.clients import reading as reading_module
from ironmill.net.sockets import Stream
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
        proxy.wait_until(lambda: not proxy.admission.used())
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
