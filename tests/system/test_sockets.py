"""Tests of the listener, scheduler and streams on real sockets, including failed calls and no descriptors."""

from __future__ import annotations

import contextlib
import errno
import socket
from typing import Any

import pytest

from ironmill.net import sockets as sockets_module
from ironmill.net.sockets import Stream, TimedOutError
from ironmill.runtime.scheduler import READ, Scheduler
from tests.support.proxy_under_test import ProxyUnderTest, read_line


def test_listener_survives_descriptor_exhaustion(monkeypatch: pytest.MonkeyPatch) -> None:
    class ExhaustedSocket:
        """A listening socket whose first two accepts fail for lack of descriptors."""

        def __init__(self, sock: socket.socket) -> None:
            self._sock, self.remaining_failures = sock, 2

        def accept(self) -> Any:
            if self.remaining_failures:
                self.remaining_failures -= 1
                raise OSError(errno.EMFILE, "too many")
            return self._sock.accept()

        def __getattr__(self, name: str) -> Any:
            return getattr(self._sock, name)

    def scenario(proxy: ProxyUnderTest) -> None:
        listening_sock = ExhaustedSocket(proxy.listener._sock)
        proxy.listener._sock = listening_sock  # type: ignore[assignment]
        assert proxy.established_pair()
        assert listening_sock.remaining_failures == 0

    ProxyUnderTest().run(scenario)


def test_scheduler_waits_wakes_and_survives_failures() -> None:
    scheduler = Scheduler()
    left, right = socket.socketpair()
    observed: list[object] = []

    def scenario() -> None:
        observed.append(scheduler.wait(left.fileno(), READ, 0.01))
        right.send(b"x")
        observed.append(scheduler.wait(left.fileno(), READ, 1.0))
        left.recv(1)
        waiter = scheduler.spawn(scheduler.wait, left.fileno(), READ)
        scheduler.sleep(0)
        scheduler.kill(waiter)
        observed.append(
            scheduler.wait(left.fileno(), READ, 0.01)
        )  # the killed task's registration is removed
        scheduler.spawn(lambda: 1 / 0)
        timer = scheduler.call_later(0.01, observed.append, "cancelled")
        scheduler.cancel(timer)
        scheduler.cancel(timer)
        scheduler.call_later(0, lambda: 1 / 0)
        scheduler.sleep(0.02)
        observed.append("end")
        scheduler.stop()

    scheduler.spawn(scenario)
    scheduler.run()
    left.close()
    right.close()
    assert observed == [False, True, False, "end"]
    with pytest.raises(RuntimeError):
        scheduler.sleep(1.0)


def test_unclosed_stream_does_not_affect_the_next_one_with_its_descriptor() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        for _ in range(20):
            client = proxy.client(b"PING\r\n")
            assert read_line(client) == b"PONG\r\n"
            del client

    ProxyUnderTest().run(scenario)


def test_connect_times_out() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        listening_sock = socket.socket()
        listening_sock.bind(("127.0.0.1", 0))
        listening_sock.listen(0)
        address = listening_sock.getsockname()
        streams = []
        with pytest.raises(TimedOutError):
            for _ in range(9):
                streams.append(Stream.connect(proxy.scheduler, address, 0.05))
        for stream in streams:
            stream.close()
        listening_sock.close()

    ProxyUnderTest().run(scenario)


def test_unread_bytes_are_read_before_the_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a reset when bytes arrive after the wait for the peer's close has timed out."""

    def scenario(proxy: ProxyUnderTest) -> None:
        local_sock, peer_sock = socket.socketpair()
        stream = Stream(proxy.scheduler, local_sock)

        def send_and_time_out(timeout: float | None = None) -> bytes:
            peer_sock.sendall(b"late")
            raise TimedOutError

        monkeypatch.setattr(Stream, "receive", lambda self, timeout=None: send_and_time_out(timeout))
        stream.send_nowait(b"last\r\n")
        stream.close_gracefully(1.0)
        assert peer_sock.recv(99) == b"last\r\n"
        assert peer_sock.recv(99) == b""  # a Unix socket, too, resets on a close with unread bytes
        peer_sock.close()

    ProxyUnderTest().run(scenario)


def test_accepted_connections_disable_the_nagle_algorithm() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        with socket.create_connection(proxy.listeners[0].address):
            assert proxy.next_attempt()._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    ProxyUnderTest().run(scenario)


class BrokenSocket:
    """A socket whose methods named in ``errors`` fail with the given errno."""

    def __init__(self, sock: socket.socket, **errors: int) -> None:
        self._sock, self._errors = sock, errors

    def __getattr__(self, name: str) -> object:
        if name in self._errors:
            code = self._errors[name]

            def fail(*_: object) -> None:
                raise OSError(code, "broken")

            return fail
        return getattr(self._sock, name)


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETRESET])
@pytest.mark.parametrize("call", ["recv", "send", "setsockopt"])
def test_broken_connection_is_closed_and_counted(call: str, code: int) -> None:
    """Guards against a leaked descriptor when a broken connection raises an error such as ETIMEDOUT."""

    def scenario(proxy: ProxyUnderTest) -> None:
        accepted: list[Stream] = []
        accept = proxy.listener._on_connection
        proxy.listener._on_connection = lambda stream: (accepted.append(stream), accept(stream))[1]
        client, attempt = proxy.established_pair()
        (stream,) = accepted
        stream._sock = BrokenSocket(stream._sock, **{call: code})  # type: ignore[assignment]
        if call == "setsockopt":
            attempt.abort()  # so that the proxy aborts the client's side, too
        elif call == "send":
            attempt.send(b"line\r\n")
        else:
            client.send(b"line\r\n")
        proxy.wait_until(lambda: not proxy.gateway.request_count() and not proxy.connection_limiter.used())
        assert stream.closed
        if call != "setsockopt":
            with contextlib.suppress(ConnectionResetError):
                while attempt.receive(5.0):
                    pass
        assert proxy.gateway.metrics.classes["read"].established == 1

    ProxyUnderTest().run(scenario)


def test_interrupted_connect_continues(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a failed connect after EINTR: the kernel establishes it asynchronously (connect(2))."""

    class InterruptedSocket(socket.socket):
        def connect_ex(self, address: object) -> int:
            code = super().connect_ex(address)  # type: ignore[arg-type]
            return errno.EINTR if code == errno.EINPROGRESS else code

    def scenario(proxy: ProxyUnderTest) -> None:
        monkeypatch.setattr(sockets_module.socket, "socket", InterruptedSocket)
        assert proxy.established_pair()

    ProxyUnderTest().run(scenario)
