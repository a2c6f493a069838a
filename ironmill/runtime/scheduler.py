"""Greenlets over ``select.epoll`` or ``select.poll``, with a timer of its own for each wait.

Nothing of the protocol. The hub is the greenlet that called ``run``. Tasks park in ``wait`` or ``sleep``
and the hub resumes them; timer actions run in the hub itself and must not park.

A descriptor is registered at its first wait and stays registered until ``forget``: what merely stands costs
nothing. The events are level-triggered. One that nobody waits for is taken off when it is first seen, so a
wait may come late but never misses what was there before it.
"""

from __future__ import annotations

import logging
import math
import select
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from greenlet import GreenletExit, getcurrent, greenlet

from ironmill.runtime.system_calls import retry_at_start
from ironmill.runtime.timers import Timer, TimerQueue

READ, WRITE = select.POLLIN, select.POLLOUT  # EPOLLIN and EPOLLOUT have the same values
_BROKEN = select.POLLERR | select.POLLHUP | select.POLLNVAL
_READABLE, _WRITABLE = READ | _BROKEN, WRITE | _BROKEN

MAX_IDLE_GREENLETS = 64  # greenlets without a task that are kept

log = logging.getLogger("ironmill.runtime.scheduler")


class Timers(Protocol):
    """The part of the scheduler that those need who never park."""

    def call_later(self, delay: float, action: Callable[..., object], *args: Any) -> Timer:
        """Call the action after the delay, in seconds."""

    def cancel(self, timer: Timer | None) -> None:
        """Withdraw a timer; nothing happens if it has fired."""


class Poller(Protocol):
    """What ``select.epoll`` and ``select.poll`` have in common, the time-out in milliseconds."""

    def register(self, fd: int, mask: int) -> None:
        """Watch a new descriptor."""

    def modify(self, fd: int, mask: int) -> None:
        """Watch for other events."""

    def unregister(self, fd: int) -> None:
        """Watch it no more."""

    def poll(self, timeout: float | None) -> list[tuple[int, int]]:
        """The descriptors on which something happened, and what."""


class _Epoll:
    """``select.epoll``, which counts its time-out in seconds."""

    def __init__(self) -> None:
        self._epoll = retry_at_start(select.epoll)
        self.register, self.modify, self.unregister = (
            self._epoll.register,
            self._epoll.modify,
            self._epoll.unregister,
        )

    def poll(self, timeout: float | None) -> list[tuple[int, int]]:
        # Half a millisecond less, or what is lost in the division is rounded up to one more.
        return self._epoll.poll(timeout if not timeout else (timeout - 0.5) / 1000.0)


POLLERS: dict[str, Callable[[], Poller]] = {"epoll": _Epoll, "poll": select.poll}


class Task:
    """A function that runs in a greenlet, and what it waits for."""

    __slots__ = ("_args", "_function", "greenlet", "killed", "parked", "watch")

    def __init__(self, function: Callable[..., object], args: tuple[Any, ...]) -> None:
        self._function: Callable[..., object] | None = function
        self._args = args
        self.greenlet: greenlet | None = None  # while it runs or is parked in its midst
        self.parked = True  # not begun: the first turn begins it
        self.killed = False
        self.watch: tuple[int, int] | None = None

    @property
    def begun(self) -> bool:
        """True if it has begun, or never will."""
        return self._function is None

    def run(self) -> None:
        """The function from its begin to its end, in the greenlet that is running."""
        function, args = self._function, self._args
        # Whoever still knows the task must not keep alive what it knew: it would be a cycle.
        self._function, self._args = None, ()
        assert function is not None
        try:
            if not self.killed:
                function(*args)
        except GreenletExit:
            pass
        except Exception:  # guards the process: a task's failure ends that task alone
            log.exception("a task failed")

    def is_current(self) -> bool:
        """True if this is the running task."""
        return self.greenlet is not None and self.greenlet is getcurrent()


class Scheduler:
    """Runs tasks and timers until stopped."""

    def __init__(self, poller: str = "epoll") -> None:
        self._hub = getcurrent()
        self._poll = POLLERS[poller]()
        self._timers = TimerQueue()
        self._idle: list[greenlet] = []  # that have run their tasks and wait for others
        self._ready: deque[tuple[Task, object]] = deque()
        self._masks: dict[int, int] = {}  # what each descriptor is registered for
        self._readers: dict[int, Task] = {}
        self._writers: dict[int, Task] = {}
        self._current: Task | None = None
        self._stopped = False
        self.call_later = self._timers.call_later
        self.cancel = self._timers.cancel

    # Tasks

    def spawn(self, function: Callable[..., object], *args: Any) -> Task:
        """Run the function in a greenlet of its own, from the next turn on."""
        task = Task(function, args)
        self._wake(task, None)
        return task

    def spawn_when(self, fd: int, event: int, function: Callable[..., object], *args: Any) -> Task:
        """Run the function in a greenlet of its own once the descriptor is ready or broken.

        What merely stands holds no stack meanwhile, which is most of what a parked task weighs.
        """
        task = Task(function, args)
        self._watch(task, fd, event)
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
        """Let the others run for so long, in seconds."""
        self._park(delay)

    def wait(self, fd: int, event: int, timeout: float | None = None) -> bool:
        """Wait until the descriptor is ready for READ or WRITE, or broken; False if time ran out.

        Whoever has waited on a descriptor calls ``forget`` before it is closed.
        """
        task = self._running()
        self._watch(task, fd, event)
        try:
            return self._park(timeout) is True
        finally:
            self._unwatch(task)

    def forget(self, fd: int) -> None:
        """The descriptor is about to be closed, and its number may mean another one soon."""
        if self._masks.pop(fd, None) is not None:
            self._poll.unregister(fd)

    # The hub

    def run(self) -> None:
        """Run until ``stop``. May be called again after that, with what then still waits."""
        self._stopped = False
        ready, readers, writers = self._ready, self._readers, self._writers
        while not self._stopped:
            for _ in range(len(ready)):
                self._turn(*ready.popleft())
            delay = self._timers.run()
            if self._stopped:
                break
            timeout = None if delay is None else math.ceil(delay * 1000.0)
            for fd, events in self._poll.poll(0 if ready else timeout):
                reader = readers.get(fd) if events & _READABLE else None
                writer = writers.get(fd) if events & _WRITABLE else None
                if writer is None and (reader is None or events & WRITE):
                    self._unwanted(fd)
                for task in (reader, writer):
                    if task is not None:
                        self._unwatch(task)
                        self._wake(task, True)

    def stop(self) -> None:
        """End ``run`` after the present turn."""
        self._stopped = True

    def _turn(self, task: Task, value: object) -> None:
        self._current = task
        try:
            if task.greenlet is not None:
                if task.killed:
                    task.greenlet.throw(GreenletExit)
                else:
                    task.greenlet.switch(value)
            elif not task.begun:
                task.greenlet = self._idle.pop() if self._idle else greenlet(self._work, self._hub)
                task.greenlet.switch(task)
        finally:
            self._current = None

    def _work(self, task: Task | None) -> None:
        """One task after another: to make a greenlet and its stack costs more than a short task."""
        while task is not None:
            task.run()
            task.greenlet = None
            if len(self._idle) >= MAX_IDLE_GREENLETS:
                return
            self._idle.append(getcurrent())
            task = None  # not kept alive by the wait for the next
            task = self._hub.switch()

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

    def _watch(self, task: Task, fd: int, event: int) -> None:
        waiters, others = (self._readers, self._writers) if event == READ else (self._writers, self._readers)
        if fd in waiters:
            raise RuntimeError(f"two tasks wait for the same event of descriptor {fd}")
        waiters[fd] = task
        task.watch = (fd, event)
        mask = self._masks.get(fd)
        if mask is None or not mask & event:
            # The other event goes on being watched only if somebody waits for it.
            self._register(fd, event | (READ + WRITE - event if fd in others else 0))

    def _unwatch(self, task: Task) -> None:
        """The task waits no more. What it waited for stays registered: mostly it is waited for again."""
        if task.watch is not None:
            fd, event = task.watch
            task.watch = None
            del (self._readers if event == READ else self._writers)[fd]

    def _unwanted(self, fd: int) -> None:
        """Something happened that nobody waits for. Guards against a hub that is woken by it for ever."""
        mask = (READ if fd in self._readers else 0) | (WRITE if fd in self._writers else 0)
        if mask:
            self._register(fd, mask)
        else:
            self.forget(fd)  # an end or an error is told whatever the mask

    def _register(self, fd: int, mask: int) -> None:
        known = self._masks.get(fd)
        if known is None:
            self._poll.register(fd, mask)
        elif known != mask:
            self._poll.modify(fd, mask)
        self._masks[fd] = mask
