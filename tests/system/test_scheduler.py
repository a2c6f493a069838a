"""The scheduler's waits, with either poller: registrations that persist, and unwanted events."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from typing import Any

import pytest

from ironmill.runtime.scheduler import POLLERS, READ, WRITE, Scheduler


class Counted:
    """A poller that counts its calls."""

    def __init__(self, inner: Any) -> None:
        self.inner = inner
        self.calls: dict[str, int] = {}

    def __getattr__(self, name: str) -> Any:
        def call(*args: Any) -> Any:
            self.calls[name] = self.calls.get(name, 0) + 1
            return getattr(self.inner, name)(*args)

        return call


@pytest.fixture(params=sorted(POLLERS))
def scheduler(request: pytest.FixtureRequest) -> Scheduler:
    it = Scheduler(request.param)
    it._poll = Counted(it._poll)
    return it


def calls(scheduler: Scheduler, name: str) -> int:
    poll: Any = scheduler._poll
    return int(poll.calls.get(name, 0))


def play(scheduler: Scheduler, story: Callable[[], None]) -> None:
    failed: list[BaseException] = []

    def told() -> None:
        try:
            story()
        except Exception as error:
            failed.append(error)
        scheduler.stop()

    scheduler.spawn(told)
    scheduler.call_later(30.0, scheduler.stop)
    scheduler.run()
    if failed:
        raise failed[0]


def test_descriptor_is_registered_once_for_many_waits(scheduler: Scheduler) -> None:
    left, right = socket.socketpair()

    def story() -> None:
        for _ in range(50):
            right.send(b"x")
            assert scheduler.wait(left.fileno(), READ, 5.0)
            left.recv(9)
        scheduler.forget(left.fileno())

    play(scheduler, story)
    assert (calls(scheduler, "register"), calls(scheduler, "modify")) == (1, 0)
    assert calls(scheduler, "unregister") == 1


def test_unwanted_events_do_not_keep_the_hub_awake(scheduler: Scheduler) -> None:
    """Bytes that wait while their task does something else, and a close that no task waits for."""
    left, right = socket.socketpair()

    def story() -> None:
        scheduler.wait(left.fileno(), READ, 0.001)
        right.send(b"x")
        for _ in range(10):
            scheduler.sleep(0.002)
        assert scheduler.wait(left.fileno(), READ, 5.0)  # what came meanwhile is not missed
        right.close()
        for _ in range(10):
            scheduler.sleep(0.002)
        left.recv(9)
        assert scheduler.wait(left.fileno(), READ, 5.0)
        scheduler.forget(left.fileno())

    play(scheduler, story)
    assert calls(scheduler, "poll") < 60


def test_waits_for_both_directions_of_one_descriptor(scheduler: Scheduler) -> None:
    left, right = socket.socketpair()
    for sock in (left, right):
        sock.setblocking(False)
    seen: list[str] = []

    def write() -> None:
        for _ in range(3):
            while True:
                try:
                    left.send(bytes(65536))
                except BlockingIOError:
                    break
            assert scheduler.wait(left.fileno(), WRITE, 5.0)
            seen.append("wrote")

    def story() -> None:
        scheduler.spawn(write)
        for _ in range(3):
            scheduler.sleep(0.002)
            right.send(b"x")
            assert scheduler.wait(left.fileno(), READ, 5.0)
            left.recv(9)
            seen.append("read")
            while True:
                try:
                    right.recv(1 << 20)
                except BlockingIOError:
                    break
        while seen.count("wrote") < 3:
            scheduler.sleep(0.002)
        with pytest.raises(RuntimeError):
            scheduler.spawn(scheduler.wait, left.fileno(), READ, 1.0)
            scheduler.sleep(0.001)
            scheduler.wait(left.fileno(), READ, 1.0)

    play(scheduler, story)
    assert (seen.count("wrote"), seen.count("read")) == (3, 3)


def test_reused_descriptor_number_is_registered_anew(scheduler: Scheduler) -> None:
    def story() -> None:
        numbers = set()
        for _ in range(20):
            left, right = socket.socketpair()
            numbers.add(left.fileno())
            assert not scheduler.wait(left.fileno(), READ, 0.0)
            right.send(b"x")
            assert scheduler.wait(left.fileno(), READ, 5.0)
            scheduler.forget(left.fileno())
            scheduler.forget(left.fileno())  # a second close of the same stream
            left.close()
            right.close()
        assert len(numbers) < 20

    play(scheduler, story)


def test_both_pollers_use_the_same_event_values() -> None:
    assert (select.EPOLLIN, select.EPOLLOUT) == (READ, WRITE)
    assert (select.EPOLLERR, select.EPOLLHUP) == (select.POLLERR, select.POLLHUP)
