"""Scheduler of greenlets based on ``select.epoll`` or ``select.poll``.

The hub is the greenlet that called ``run``. Tasks park in ``wait`` or ``sleep``, and the hub resumes them.
Timer actions run in the hub and must not park.

A descriptor is registered at its first wait and stays registered until ``forget``, so an idle connection
costs no system calls. Events are level-triggered. If an event occurs without a waiting task, it is
unregistered; a later wait registers it again and reports the event if the condition still holds.

Killing a task raises ``GreenletExit`` in its ``wait`` or ``sleep``. The task releases its resources in
``finally`` blocks and context managers, and must not park there.
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

MAX_IDLE_GREENLETS = 64  # finished greenlets that are kept for reuse by later tasks

log = logging.getLogger("ironmill.runtime.scheduler")


class Timers(Protocol):
    """The timer interface of the scheduler, for code that never parks."""

    def call_later(self, delay: float, action: Callable[..., object], *args: object) -> Timer:
        """Schedules the action to run after ``delay`` seconds."""

    def cancel(self, timer: Timer | None) -> None:
        """Cancels a timer. Does nothing if it has already run."""


class Poller(Protocol):
    """The common interface of ``select.epoll`` and ``select.poll``; the timeout is in milliseconds."""

    def register(self, fd: int, mask: int) -> None:
        """Registers a new descriptor for the events in ``mask``."""

    def modify(self, fd: int, mask: int) -> None:
        """Replaces the event mask of a registered descriptor."""

    def unregister(self, fd: int) -> None:
        """Unregisters a descriptor."""

    def poll(self, timeout: float | None) -> list[tuple[int, int]]:
        """Returns the descriptors that are ready, with their events."""


class _Epoll:
    """Adapts ``select.epoll``, whose timeout is in seconds, to ``Poller``."""

    def __init__(self) -> None:
        self._epoll = retry_at_start(select.epoll)
        self.register, self.modify, self.unregister = (
            self._epoll.register,
            self._epoll.modify,
            self._epoll.unregister,
        )

    def poll(self, timeout: float | None) -> list[tuple[int, int]]:
        # epoll rounds the timeout up to whole milliseconds. Half a millisecond is subtracted so that a
        # rounding error of the division does not add one more.
        return self._epoll.poll(timeout if not timeout else (timeout - 0.5) / 1000.0)


POLLERS: dict[str, Callable[[], Poller]] = {"epoll": _Epoll, "poll": select.poll}


class Task:
    """A function that runs in a greenlet, with the event that it waits for."""

    __slots__ = ("_args", "_function", "awaited", "greenlet", "killed", "parked")

    def __init__(self, function: Callable[..., object], args: tuple[Any, ...]) -> None:
        """Creates a task without scheduling it."""
        self._function: Callable[..., object] | None = function
        self._args = args
        self.greenlet: greenlet | None = None  # None before the task starts and after it ends
        self.parked = True  # also true before the task starts
        self.killed = False
        self.awaited: tuple[int, int] | None = None  # descriptor and event

    @property
    def started(self) -> bool:
        """True once ``run`` has been called, also if it skipped the function because the task was killed."""
        return self._function is None

    def run(self) -> None:
        """Runs the function in the current greenlet."""
        function, args = self._function, self._args
        # References to the task must not keep its arguments alive: they may refer to the task.
        self._function, self._args = None, ()
        assert function is not None
        try:
            if not self.killed:
                function(*args)
        except GreenletExit:
            pass
        except Exception:  # a failing task must not end the process
            log.exception("task failed")

    def is_current(self) -> bool:
        """Returns whether the caller runs in this task."""
        return self.greenlet is not None and self.greenlet is getcurrent()


class Scheduler:
    """Runs tasks and timers in one thread until it is stopped."""

    def __init__(self, poller: str = "epoll") -> None:
        """Creates a scheduler with the calling greenlet as hub; ``poller`` is a key of ``POLLERS``."""
        self._hub = getcurrent()
        self._poller = POLLERS[poller]()
        self._timers = TimerQueue()
        self._idle_greenlets: list[greenlet] = []  # finished, kept for reuse
        self._ready: deque[tuple[Task, object]] = deque()
        self._masks: dict[int, int] = {}  # registered events by descriptor
        self._readers: dict[int, Task] = {}
        self._writers: dict[int, Task] = {}
        self._current: Task | None = None
        self._stopped = False
        self.call_later = self._timers.call_later
        self.cancel = self._timers.cancel

    # Tasks

    def spawn(self, function: Callable[..., object], *args: object) -> Task:
        """Creates a task that starts to run the function in the next round of the hub."""
        task = Task(function, args)
        self._wake(task, None)
        return task

    def spawn_when(self, fd: int, event: int, function: Callable[..., object], *args: object) -> Task:
        """Creates a task that runs the function once the descriptor is ready or has an error.

        Until then the task needs no stack, which is most of the memory of a parked task.
        """
        task = Task(function, args)
        self._watch(task, fd, event)
        return task

    def kill(self, task: Task | None) -> None:
        """Ends a parked task in the next round of the hub; if it is the current one, raises ``GreenletExit``.

        The descriptor that the task waited for may be closed as soon as this returns.
        """
        if task is None or task.killed:
            return
        task.killed = True
        if task.is_current():
            raise GreenletExit
        self._unwatch(task)
        self._wake(task, None)

    def sleep(self, delay: float) -> None:
        """Parks the current task for ``delay`` seconds."""
        self._park(delay)

    def wait(self, fd: int, event: int, timeout: float | None = None) -> bool:
        """Parks the current task until the descriptor is ready for READ or WRITE or has an error.

        Returns False if that takes longer than ``timeout`` seconds. The caller must call ``forget`` before it
        closes the descriptor. Raises ``RuntimeError`` if another task waits for the same event.
        """
        task = self._current_task()
        self._watch(task, fd, event)
        try:
            return self._park(timeout) is True
        finally:
            self._unwatch(task)

    def forget(self, fd: int) -> None:
        """Unregisters the descriptor. Must be called before it is closed, as its number is reused."""
        if self._masks.pop(fd, None) is not None:
            self._poller.unregister(fd)

    # The hub

    def run(self) -> None:
        """Runs tasks and timers until ``stop``. May be called again to continue."""
        self._stopped = False
        ready, readers, writers = self._ready, self._readers, self._writers
        while not self._stopped:
            for _ in range(len(ready)):
                self._run_turn(*ready.popleft())
            delay = self._timers.run()
            if self._stopped:
                break
            timeout = None if delay is None else math.ceil(delay * 1000.0)
            for fd, events in self._poller.poll(0 if ready else timeout):
                reader = readers.get(fd) if events & _READABLE else None
                writer = writers.get(fd) if events & _WRITABLE else None
                if writer is None and (reader is None or events & WRITE):
                    self._drop_unwaited(fd)
                for task in (reader, writer):
                    if task is not None:
                        self._unwatch(task)
                        self._wake(task, True)

    def stop(self) -> None:
        """Makes ``run`` return after the current round."""
        self._stopped = True

    def _run_turn(self, task: Task, value: object) -> None:
        self._current = task
        try:
            if task.greenlet is not None:
                if task.killed:
                    task.greenlet.throw(GreenletExit)
                else:
                    task.greenlet.switch(value)
            elif not task.started:
                task.greenlet = (
                    self._idle_greenlets.pop()
                    if self._idle_greenlets
                    else greenlet(self._run_tasks, self._hub)
                )
                task.greenlet.switch(task)
        finally:
            self._current = None

    def _run_tasks(self, task: Task | None) -> None:
        """Runs tasks one after another, since creating a greenlet costs more than running a short task."""
        while task is not None:
            task.run()
            task.greenlet = None
            if len(self._idle_greenlets) >= MAX_IDLE_GREENLETS:
                return
            self._idle_greenlets.append(getcurrent())
            task = None  # drops the reference while the greenlet is idle
            task = self._hub.switch()

    def _current_task(self) -> Task:
        if self._current is None:
            raise RuntimeError("wait and sleep must be called from a task")
        return self._current

    def _park(self, timeout: float | None) -> object:
        task = self._current_task()
        timer = None if timeout is None else self.call_later(max(0.0, timeout), self._wake, task, False)
        task.parked = True
        try:
            return self._hub.switch()
        finally:
            self.cancel(timer)

    def _wake(self, task: Task, value: object) -> None:
        if task.parked:  # false if readiness and timeout occur in the same round
            task.parked = False
            self._ready.append((task, value))

    def _watch(self, task: Task, fd: int, event: int) -> None:
        waiters, others = (self._readers, self._writers) if event == READ else (self._writers, self._readers)
        if fd in waiters:
            raise RuntimeError(f"another task already waits for the same event of descriptor {fd}")
        waiters[fd] = task
        task.awaited = (fd, event)
        mask = self._masks.get(fd)
        if mask is None or not mask & event:
            # Keeps the other event registered only if a task waits for it.
            self._register(fd, event | (READ + WRITE - event if fd in others else 0))

    def _unwatch(self, task: Task) -> None:
        """Ends the wait. The event stays registered, since a task usually waits for it again."""
        if task.awaited is not None:
            fd, event = task.awaited
            task.awaited = None
            del (self._readers if event == READ else self._writers)[fd]

    def _drop_unwaited(self, fd: int) -> None:
        """Unregisters the events without a waiting task, which would wake the hub repeatedly."""
        mask = (READ if fd in self._readers else 0) | (WRITE if fd in self._writers else 0)
        if mask:
            self._register(fd, mask)
        else:
            self.forget(fd)  # errors and hang-ups are reported even for an empty mask

    def _register(self, fd: int, mask: int) -> None:
        known = self._masks.get(fd)
        if known is None:
            self._poller.register(fd, mask)
        elif known != mask:
            self._poller.modify(fd, mask)
        self._masks[fd] = mask
