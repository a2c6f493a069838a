"""Timers on the standard library's ``sched``, cancelled in constant time. Nothing here parks.

``sched.scheduler.cancel`` searches and rebuilds its whole queue. Here a cancelled timer drops its action and
stays in the queue until it is due, or until cancelled entries outnumber the others and are removed together.
"""

from __future__ import annotations

import logging
import sched
import time
from collections.abc import Callable
from typing import Any

# Cancelled entries are removed from this number on, once they are more than half of the queue. Bounds the
# memory of long timers that are set and cancelled all the time.
MIN_CANCELLED_TO_SWEEP = 4096

log = logging.getLogger("ironmill.runtime.timers")


def _no_delay(_: float) -> None:
    """``sched`` yields to other threads after each action; there are none, and it costs a system call."""


class Timer:
    """An action that is run once when it is due, unless it is cancelled before."""

    __slots__ = ("action", "args")

    def __init__(self, action: Callable[..., object] | None, args: tuple[Any, ...]) -> None:
        """Holds an action and its arguments."""
        self.action = action  # None once it was run or cancelled
        self.args = args


class TimerQueue:
    """Timers on one clock, in seconds, run by the caller. An exception of an action is logged."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Creates an empty queue on the clock."""
        self._clock = clock
        self._queue = sched.scheduler(clock, _no_delay)
        self._entries = 0
        self._cancelled = 0

    def __len__(self) -> int:
        """The number of pending timers."""
        return self._entries - self._cancelled

    def call_later(self, delay: float, action: Callable[..., object], *args: object) -> Timer:
        """Schedules the action after the delay, in seconds."""
        timer = Timer(action, args)
        self._queue.enterabs(self._clock() + delay, 0, self._fire, (timer,))
        self._entries += 1
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Cancels a timer; one that was run already is ignored."""
        if timer is None or timer.action is None:
            return
        timer.action, timer.args = None, ()
        self._cancelled += 1
        if self._cancelled >= MIN_CANCELLED_TO_SWEEP and self._cancelled * 2 > self._entries:
            self._sweep()

    def run(self) -> float | None:
        """Runs what is due. Returns the seconds until the next entry is due, None if there is none."""
        return self._queue.run(blocking=False)

    def _fire(self, timer: Timer) -> None:
        self._entries -= 1
        action, args = timer.action, timer.args
        if action is None:
            self._cancelled -= 1
            return
        timer.action, timer.args = None, ()
        try:
            action(*args)
        except Exception:  # boundary of a task: a failing timer must not end the process
            log.exception("a timer failed")

    def _sweep(self) -> None:
        """Rebuilds the queue without cancelled entries, in constant time per cancellation on average."""
        old, self._queue = self._queue, sched.scheduler(self._clock, _no_delay)
        for event in old.queue:
            if event.argument[0].action is not None:
                self._queue.enterabs(event.time, 0, self._fire, event.argument)
        self._entries -= self._cancelled
        self._cancelled = 0
