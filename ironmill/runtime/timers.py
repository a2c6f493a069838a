"""Timers based on ``sched`` of the standard library, with cancellation in constant time. Nothing here parks.

``sched.scheduler.cancel`` searches and rebuilds its whole queue. Here a cancelled timer drops its action but
stays in the queue until it is due. Once cancelled entries outnumber the others, they are removed together.
"""

from __future__ import annotations

import logging
import sched
import time
from collections.abc import Callable
from typing import Any

# Cancelled entries are removed once there are at least this many and they are more than half of the queue.
# The removal bounds the memory for long timers that are constantly set and cancelled.
MIN_CANCELLED_TO_REMOVE = 4096

log = logging.getLogger("ironmill.runtime.timers")


def _no_delay(_: float) -> None:
    """Does nothing. Replaces the ``sleep(0)`` of ``sched`` after each action, a needless system call."""


class Timer:
    """An action that runs once when it is due, unless it is cancelled first."""

    __slots__ = ("action", "args")

    def __init__(self, action: Callable[..., object] | None, args: tuple[Any, ...]) -> None:
        """Creates a timer with its action and arguments."""
        self.action = action  # None once it has run or has been cancelled
        self.args = args


class TimerQueue:
    """A queue of timers that the caller runs. Exceptions of actions are logged."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Creates an empty queue. ``clock`` returns the time in seconds."""
        self._clock = clock
        self._queue = sched.scheduler(clock, _no_delay)
        self._entries = 0
        self._cancelled = 0

    def __len__(self) -> int:
        """The number of pending timers."""
        return self._entries - self._cancelled

    def call_later(self, delay: float, action: Callable[..., object], *args: object) -> Timer:
        """Schedules the action to run after ``delay`` seconds."""
        timer = Timer(action, args)
        self._queue.enterabs(self._clock() + delay, 0, self._fire, (timer,))
        self._entries += 1
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Cancels a timer. Does nothing if it has already run."""
        if timer is None or timer.action is None:
            return
        timer.action, timer.args = None, ()
        self._cancelled += 1
        if self._cancelled >= MIN_CANCELLED_TO_REMOVE and self._cancelled * 2 > self._entries:
            self._remove_cancelled()

    def run(self) -> float | None:
        """Runs the timers that are due. Returns the seconds until the next entry is due, or None."""
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
        except Exception:  # a failing timer must not end the process
            log.exception("timer action failed")

    def _remove_cancelled(self) -> None:
        """Rebuilds the queue without cancelled entries, in amortized constant time per cancellation."""
        old, self._queue = self._queue, sched.scheduler(self._clock, _no_delay)
        for event in old.queue:
            if event.argument[0].action is not None:
                self._queue.enterabs(event.time, 0, self._fire, event.argument)
        self._entries -= self._cancelled
        self._cancelled = 0
