"""Listener, scheduler and streams on real sockets, also when descriptors run out or calls fail."""

from __future__ import annotations

import errno
import socket
from typing import Any

import pytest

from ironmill.net.sockets import Stream, TimedOutError
from ironmill.runtime.scheduler import READ, Scheduler
from tests.support.proxy_under_test import ProxyUnderTest, read_line


def test_listener_survives_descriptor_exhaustion(monkeypatch: pytest.MonkeyPatch) -> None:
    class Full:
        """A listening socket of a process that has no descriptors left, for two calls."""

        def __init__(self, sock: socket.socket) -> None:
            self._sock, self.left = sock, 2

        def accept(self) -> Any:
            if self.left:
                self.left -= 1
                raise OSError(errno.EMFILE, "too many")
            return self._sock.accept()

        def __getattr__(self, name: str) -> Any:
            return getattr(self._sock, name)

    def scenario(proxy: ProxyUnderTest) -> None:
        full = Full(proxy.listener._sock)
        proxy.listener._sock = full  # type: ignore[assignment]
        assert proxy.established_pair()
        assert full.left == 0

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
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        address = full.getsockname()
        streams = []
        with pytest.raises(TimedOutError):
            for _ in range(9):
                streams.append(Stream.connect(proxy.scheduler, address, 0.05))
        for stream in streams:
            stream.close()
        full.close()

    ProxyUnderTest().run(scenario)
