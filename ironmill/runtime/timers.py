"""Timers from the standard library's ``sched``, withdrawn in constant time. Nothing here parks.

``sched.scheduler.cancel`` searches its whole queue and builds it anew. Here a withdrawn timer forgets its
action and stays in the queue as an empty entry until it comes due, or until such entries outnumber
the others and are swept out together.
"""

from __future__ import annotations

import logging
import sched
import time
from collections.abc import Callable
from typing import Any

# So many empty entries are worth a sweep, once they are also more than half of the queue. Guards memory
# against long timers that are set and withdrawn all the time.
MIN_CANCELLED_TO_SWEEP = 4096

log = logging.getLogger("ironmill.runtime.timers")


def _no_pause(_: float) -> None:
    """``sched`` gives other threads a turn after each action; there are none, and it costs a system call."""


class Timer:
    """One action that is due once, unless it is withdrawn before."""

    __slots__ = ("action", "args")

    def __init__(self, action: Callable[..., object] | None, args: tuple[Any, ...]) -> None:
        self.action = action  # None once it has fired or was withdrawn
        self.args = args


class TimerQueue:
    """Timers on one clock, in seconds, run by the caller. An action's exception is logged and ends there."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._queue = sched.scheduler(clock, _no_pause)
        self._entries = 0
        self._empty = 0

    def __len__(self) -> int:
        """How many timers wait, the withdrawn ones left out."""
        return self._entries - self._empty

    def call_later(self, delay: float, action: Callable[..., object], *args: Any) -> Timer:
        """Call the action after the delay, in seconds."""
        timer = Timer(action, args)
        self._queue.enterabs(self._clock() + delay, 0, self._fire, (timer,))
        self._entries += 1
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Withdraw a timer; nothing happens if it has fired."""
        if timer is None or timer.action is None:
            return
        timer.action, timer.args = None, ()
        self._empty += 1
        if self._empty >= MIN_CANCELLED_TO_SWEEP and self._empty * 2 > self._entries:
            self._sweep()

    def run(self) -> float | None:
        """Call what is due. How long until the next entry comes due, None where there is none."""
        return self._queue.run(blocking=False)

    def _fire(self, timer: Timer) -> None:
        self._entries -= 1
        action, args = timer.action, timer.args
        if action is None:
            self._empty -= 1
            return
        timer.action, timer.args = None, ()
        try:
            action(*args)
        except Exception:  # guards the caller's loop: a timer's failure must not end the process
            log.exception("a timer failed")

    def _sweep(self) -> None:
        """Build the queue anew from what is not withdrawn. Each entry is swept at most once in its life,
        or beside more empty ones than there are others, so a withdrawal costs the same in the mean."""
        old, self._queue = self._queue, sched.scheduler(self._clock, _no_pause)
        for event in old.queue:
            if event.argument[0].action is not None:
                self._queue.enterabs(event.time, 0, self._fire, event.argument)
        self._entries -= self._empty
        self._empty = 0
