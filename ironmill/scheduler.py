"""Greenlets over ``select.poll``, with a timer of its own for each wait. Nothing of the protocol.

The hub is the greenlet that called ``run``. Tasks park in ``wait`` or ``sleep`` and the hub resumes
them; timer actions run in the hub itself and must not park.
"""

from __future__ import annotations

import contextlib
import logging
import math
import sched
import select
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from greenlet import GreenletExit, getcurrent, greenlet

READ, WRITE = select.POLLIN, select.POLLOUT
_BROKEN = select.POLLERR | select.POLLHUP | select.POLLNVAL

log = logging.getLogger("ironmill.scheduler")


class Timers(Protocol):
    """The part of the scheduler that those need who never park."""

    def call_later(self, delay: float, action: Callable[..., object], *args: Any) -> sched.Event:
        """Call the action after the delay."""

    def cancel(self, timer: sched.Event | None) -> None:
        """Withdraw a timer; nothing happens if it has fired."""


class Task:
    """One greenlet and what it waits for."""

    __slots__ = ("_greenlet", "killed", "parked", "watch")

    def __init__(self, function: Callable[..., object], args: tuple[Any, ...], hub: greenlet) -> None:
        self._greenlet = greenlet(lambda _: self._run(function, args), hub)
        self.parked = True  # not begun: the first turn begins it
        self.killed = False
        self.watch: tuple[int, int] | None = None

    @staticmethod
    def _run(function: Callable[..., object], args: tuple[Any, ...]) -> None:
        try:
            function(*args)
        except GreenletExit:
            pass
        except Exception:  # guards the process: a task's failure ends that task alone
            log.exception("a task failed")

    def resume(self, value: object) -> None:
        """One turn, up to the next wait or the end."""
        if self._greenlet.dead:
            return
        if self.killed:
            self._greenlet.throw(GreenletExit)
        else:
            self._greenlet.switch(value)

    def is_current(self) -> bool:
        """True if this is the running task."""
        return self._greenlet is getcurrent()


class Scheduler:
    """Runs tasks and timers until stopped."""

    def __init__(self) -> None:
        self._hub = getcurrent()
        self._poll = select.poll()
        self._timers = sched.scheduler(time.monotonic, time.sleep)
        self._ready: deque[tuple[Task, object]] = deque()
        self._watched: dict[int, dict[int, Task]] = {}
        self._current: Task | None = None
        self._stopped = False

    # Tasks

    def spawn(self, function: Callable[..., object], *args: Any) -> Task:
        """Run the function in a greenlet of its own, from the next turn on."""
        task = Task(function, args, self._hub)
        self._wake(task, None)
        return task

    def kill(self, task: Task | None) -> None:
        """End the task at its wait. Its watch ends now, so that its socket may be closed at once."""
        if task is None or task.killed:
            return
        task.killed = True
        if task.is_current():
            raise GreenletExit
        self._unwatch(task)
        self._wake(task, None)

    def sleep(self, delay: float) -> None:
        """Let the others run for so long."""
        self._park(delay)

    def wait(self, fd: int, event: int, timeout: float | None = None) -> bool:
        """Wait until the descriptor is ready for READ or WRITE, or broken; False if time ran out."""
        task = self._running()
        waiters = self._watched.setdefault(fd, {})
        if event in waiters:
            raise RuntimeError(f"two tasks wait for the same event of descriptor {fd}")
        waiters[event] = task
        task.watch = (fd, event)
        self._register(fd)
        try:
            return self._park(timeout) is True
        finally:
            self._unwatch(task)

    # Timers

    def call_later(self, delay: float, action: Callable[..., object], *args: Any) -> sched.Event:
        """Call the action, in the hub, after the delay."""
        return self._timers.enterabs(time.monotonic() + delay, 0, self._guarded, (action, args))

    def cancel(self, timer: sched.Event | None) -> None:
        """Withdraw a timer; nothing happens if it has fired."""
        if timer is not None:
            with contextlib.suppress(ValueError):
                self._timers.cancel(timer)

    # The hub

    def run(self) -> None:
        """Run until ``stop``."""
        while not self._stopped:
            for _ in range(len(self._ready)):
                self._turn(*self._ready.popleft())
            delay = self._timers.run(blocking=False)
            if self._stopped:
                break
            timeout = None if delay is None else math.ceil(delay * 1000.0)
            for fd, events in self._poll.poll(0 if self._ready else timeout):
                for event, task in list(self._watched.get(fd, {}).items()):
                    if events & (event | _BROKEN):
                        self._wake(task, True)

    def stop(self) -> None:
        """End ``run`` after the present turn."""
        self._stopped = True

    def _turn(self, task: Task, value: object) -> None:
        self._current = task
        try:
            task.resume(value)
        finally:
            self._current = None

    def _running(self) -> Task:
        if self._current is None:
            raise RuntimeError("only a task can wait")
        return self._current

    def _park(self, timeout: float | None) -> object:
        task = self._running()
        timer = None if timeout is None else self.call_later(max(0.0, timeout), self._wake, task, False)
        task.parked = True
        try:
            return self._hub.switch()
        finally:
            self.cancel(timer)

    def _wake(self, task: Task, value: object) -> None:
        if task.parked:  # guards against two wakes, by readiness and by time, in one round
            task.parked = False
            self._ready.append((task, value))

    def _unwatch(self, task: Task) -> None:
        if task.watch is None:
            return
        fd, event = task.watch
        task.watch = None
        waiters = self._watched[fd]
        del waiters[event]
        if not waiters:
            del self._watched[fd]
        self._register(fd)

    def _register(self, fd: int) -> None:
        mask = 0
        for event in self._watched.get(fd, ()):
            mask |= event
        if mask:
            self._poll.register(fd, mask)
        else:
            self._poll.unregister(fd)

    @staticmethod
    def _guarded(action: Callable[..., object], args: tuple[Any, ...]) -> None:
        try:
            action(*args)
        except Exception:  # guards the hub: a timer's failure must not end the process
            log.exception("a timer failed")
