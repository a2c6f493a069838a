"""A planned end: the proxy answers what it owes before it goes."""

from __future__ import annotations

import logging
import time

from ironmill.config import Config
from ironmill.gateway import Gateway
from ironmill.net.listener import Listener
from ironmill.scheduler import Scheduler

ACCEPT_FOR = 0.5  # new connections go on coming for up to 0.4 s
LOOK = 0.02
# The end by force comes no sooner than the longest deadline (counted as 3 s at the most) and 0.7 s more.
LONGEST = 3.0
GRACE = 0.7
SPARE = 0.25  # the process has ended by itself so much sooner
FLUSH = 0.15  # for the last answers to go out

log = logging.getLogger("ironmill.shutdown")


class Shutdown:
    """Ends the scheduler's run when a signal asks for it."""

    def __init__(self, scheduler: Scheduler, gateway: Gateway, listener: Listener, config: Config) -> None:
        self._scheduler = scheduler
        self._gateway = gateway
        self._listener = listener
        self._config = config
        self._ending = False

    def run(self) -> None:
        """End in an orderly way. A second signal changes nothing."""
        if self._ending:
            return
        self._ending = True
        self._drain()
        self._scheduler.stop()

    def _drain(self) -> None:
        owed, standing = self._gateway.pending(), len(self._gateway.standing())
        log.info("ending: %d owed an answer, %d stand", owed, standing)
        longest = min(LONGEST, max(self._config.wait_limits.values(), default=LONGEST))
        end = time.monotonic() + longest + GRACE - SPARE
        self._scheduler.sleep(ACCEPT_FOR)
        self._listener.close()
        if not self._config.packets_pass:
            # Connections that die with this proxy are told so, evenly over the time that is left, so that
            # their clients do not all come again at once. Passing ones go on through another proxy when
            # this one ends, and are served here until then.
            self._move_all(end - FLUSH)
        while time.monotonic() < end - FLUSH and (self._gateway.pending() or self._gateway.standing()):
            self._scheduler.sleep(LOOK)
        self._gateway.settle_all()  # guards what is still owed against the end by force
        self._scheduler.sleep(FLUSH)
        log.info("ended: %s", self._gateway.counts)

    def _move_all(self, end: float) -> None:
        left = self._gateway.standing()
        for at, authorisation in enumerate(left):
            if authorisation.standing:
                authorisation.holder.move()
            pause = (end - time.monotonic()) / (len(left) - at)
            self._scheduler.sleep(min(pause, LOOK))
        while time.monotonic() < end and self._gateway.pending():
            self._scheduler.sleep(LOOK)
        for authorisation in self._gateway.standing():  # what came to stand meanwhile
            authorisation.holder.move()

