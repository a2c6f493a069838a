"""Runs the action of a signal as a task of the scheduler; the signal handler only writes a byte."""

from __future__ import annotations

import logging
import signal
import socket
import types
from collections.abc import Callable

from ironmill.runtime import signal_mask
from ironmill.runtime.scheduler import READ, Scheduler
from ironmill.runtime.signal_mask import SERVICE_SIGNALS
from ironmill.runtime.system_calls import RETRY_INTERVAL_S, retry_at_start

log = logging.getLogger("ironmill.signals")

MAX_READ_BYTES = 4096  # one byte per received signal


class Signals:
    """Handles SIGHUP, SIGTERM and SIGINT. Signals before ``start`` are dispatched after it."""

    def __init__(self) -> None:
        """Installs the handlers, and lets signals through that were blocked until now."""
        # A handler alone cannot wake the scheduler: Python resumes an interrupted poll after the handler.
        self._receiver, self._sender = retry_at_start(socket.socketpair)
        self._receiver.setblocking(False)
        self._sender.setblocking(False)
        self._actions: dict[int, Callable[[], object]] = {}
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        self._previous_handlers = {number: signal.signal(number, self._ignore) for number in SERVICE_SIGNALS}
        self._previous_mask = signal_mask.unblock_service_signals()

    @staticmethod
    def _ignore(number: int, frame: types.FrameType | None) -> None:
        """Does nothing, since the byte that Python writes to the socket pair wakes the scheduler."""

    def on(self, number: int, action: Callable[[], object]) -> None:
        """Registers the action, which runs in its own task each time the signal ``number`` arrives."""
        self._actions[number] = action

    def start(self, scheduler: Scheduler) -> None:
        """Starts to dispatch signals to their actions."""
        scheduler.spawn(self._run, scheduler)

    def close(self) -> None:
        """Restores the previous mask, so that signals blocked then are blocked again, and handlers."""
        signal_mask.restore(self._previous_mask)
        signal.set_wakeup_fd(-1)
        for number, handler in self._previous_handlers.items():
            signal.signal(number, handler)
        self._receiver.close()
        self._sender.close()

    def _run(self, scheduler: Scheduler) -> None:
        while True:
            scheduler.wait(self._receiver.fileno(), READ)
            try:
                received = self._receiver.recv(MAX_READ_BYTES)
            except OSError as error:  # must not end this task, or signals would no longer be handled
                log.warning("signals: cannot read from the wakeup socket: %s", error)
                scheduler.sleep(RETRY_INTERVAL_S)
                continue
            # If the same signal arrived several times, its action runs once.
            for number in dict.fromkeys(received):
                if number in self._actions:
                    scheduler.spawn(self._actions[number])
