"""Signals as tasks: a handler only rings a bell, and what the signal asks for runs in the scheduler."""

from __future__ import annotations

import logging
import signal
import socket
import types
from collections.abc import Callable

from ironmill.runtime.scheduler import READ, Scheduler
from ironmill.runtime.system_calls import RETRY_INTERVAL_S, retry_at_start

log = logging.getLogger("ironmill.signals")

TAKEN = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class Signals:
    """Takes the signals from its making on; what came before ``start`` is then dealt with."""

    def __init__(self) -> None:
        # A signal's handler cannot end the poll by itself: Python takes the poll up again after it.
        self._wake, self._bell = retry_at_start(socket.socketpair)
        self._wake.setblocking(False)
        self._bell.setblocking(False)
        self._actions: dict[int, Callable[[], object]] = {}
        signal.set_wakeup_fd(self._bell.fileno(), warn_on_full_buffer=False)
        self._before = {number: signal.signal(number, self._ring) for number in TAKEN}

    @staticmethod
    def _ring(number: int, frame: types.FrameType | None) -> None:
        """The byte on the socket pair does the work."""

    def on(self, number: int, action: Callable[[], object]) -> None:
        """Run the action in a task of its own whenever the signal comes."""
        self._actions[number] = action

    def start(self, scheduler: Scheduler) -> None:
        """Deal with signals from now on."""
        scheduler.spawn(self._run, scheduler)

    def close(self) -> None:
        """Give the signals back."""
        signal.set_wakeup_fd(-1)
        for number, handler in self._before.items():
            signal.signal(number, handler)
        self._wake.close()
        self._bell.close()

    def _run(self, scheduler: Scheduler) -> None:
        while True:
            scheduler.wait(self._wake.fileno(), READ)
            # Several of one kind that came together ask for the same thing once.
            try:
                rung = self._wake.recv(4096)
            except OSError as error:  # guards the signals, without which nothing ends this process in order
                log.warning("signals: %s", error)
                scheduler.sleep(RETRY_INTERVAL_S)
                continue
            for number in dict.fromkeys(rung):
                if number in self._actions:
                    scheduler.spawn(self._actions[number])
