"""Tests of the scheduler's waits with both pollers: persistent registrations and unwanted events."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from typing import Any

import pytest

from ironmill.runtime.scheduler import POLLERS, READ, WRITE, Scheduler


class CountingPoller:
    """Counts the calls of each method of a poller."""

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
    scheduler = Scheduler(request.param)
    scheduler._poller = CountingPoller(scheduler._poller)
    return scheduler


def call_count(scheduler: Scheduler, name: str) -> int:
    poller: Any = scheduler._poller
    return int(poller.calls.get(name, 0))


def run_in_task(scheduler: Scheduler, scenario: Callable[[], None]) -> None:
    errors: list[BaseException] = []

    def run_scenario() -> None:
        try:
            scenario()
        except Exception as error:
            errors.append(error)
        scheduler.stop()

    scheduler.spawn(run_scenario)
    scheduler.call_later(30.0, scheduler.stop)
    scheduler.run()
    if errors:
        raise errors[0]


def test_descriptor_is_registered_once_for_many_waits(scheduler: Scheduler) -> None:
    left, right = socket.socketpair()

    def scenario() -> None:
        for _ in range(50):
            right.send(b"x")
            assert scheduler.wait(left.fileno(), READ, 5.0)
            left.recv(9)
        scheduler.forget(left.fileno())

    run_in_task(scheduler, scenario)
    assert (call_count(scheduler, "register"), call_count(scheduler, "modify")) == (1, 0)
    assert call_count(scheduler, "unregister") == 1


def test_unwanted_events_do_not_keep_the_hub_awake(scheduler: Scheduler) -> None:
    """Guards against a busy loop on data, or on a close, that no task waits for."""
    left, right = socket.socketpair()

    def scenario() -> None:
        scheduler.wait(left.fileno(), READ, 0.001)
        right.send(b"x")
        for _ in range(10):
            scheduler.sleep(0.002)
        assert scheduler.wait(left.fileno(), READ, 5.0)  # the data that arrived during the sleep is reported
        right.close()
        for _ in range(10):
            scheduler.sleep(0.002)
        left.recv(9)
        assert scheduler.wait(left.fileno(), READ, 5.0)
        scheduler.forget(left.fileno())

    run_in_task(scheduler, scenario)
    assert call_count(scheduler, "poll") < 60


def test_waits_for_both_directions_of_one_descriptor(scheduler: Scheduler) -> None:
    left, right = socket.socketpair()
    for sock in (left, right):
        sock.setblocking(False)
    completed: list[str] = []

    def write() -> None:
        for _ in range(3):
            while True:
                try:
                    left.send(bytes(65536))
                except BlockingIOError:
                    break
            assert scheduler.wait(left.fileno(), WRITE, 5.0)
            completed.append("write")

    def scenario() -> None:
        scheduler.spawn(write)
        for _ in range(3):
            scheduler.sleep(0.002)
            right.send(b"x")
            assert scheduler.wait(left.fileno(), READ, 5.0)
            left.recv(9)
            completed.append("read")
            while True:
                try:
                    right.recv(1 << 20)
                except BlockingIOError:
                    break
        while completed.count("write") < 3:
            scheduler.sleep(0.002)
        with pytest.raises(RuntimeError):
            scheduler.spawn(scheduler.wait, left.fileno(), READ, 1.0)
            scheduler.sleep(0.001)
            scheduler.wait(left.fileno(), READ, 1.0)

    run_in_task(scheduler, scenario)
    assert (completed.count("write"), completed.count("read")) == (3, 3)


def test_reused_descriptor_number_is_registered_again(scheduler: Scheduler) -> None:
    def scenario() -> None:
        descriptors = set()
        for _ in range(20):
            left, right = socket.socketpair()
            descriptors.add(left.fileno())
            assert not scheduler.wait(left.fileno(), READ, 0.0)
            right.send(b"x")
            assert scheduler.wait(left.fileno(), READ, 5.0)
            scheduler.forget(left.fileno())
            scheduler.forget(left.fileno())  # repeated, as by a second close of a stream
            left.close()
            right.close()
        assert len(descriptors) < 20  # numbers were reused

    run_in_task(scheduler, scenario)


def test_both_pollers_use_the_same_event_values() -> None:
    assert (select.EPOLLIN, select.EPOLLOUT) == (READ, WRITE)
    assert (select.EPOLLERR, select.EPOLLHUP) == (select.POLLERR, select.POLLHUP)
