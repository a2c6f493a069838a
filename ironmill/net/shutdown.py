"""A planned end: the proxy answers what it owes before it goes."""

from __future__ import annotations

import logging
import time
from typing import Protocol

from ironmill.config import Config
from ironmill.gateway import Gateway
from ironmill.lifecycle import Told
from ironmill.net.send_away import SendAway
from ironmill.scheduler import Scheduler

ACCEPT_FOR = 0.5  # new connections go on coming for up to 0.4 s
# What stands is sent away from then on: restarts follow each other, and the proxy before may be back by then.
MOVE_AFTER = 1.5
# The end by force comes no sooner than the longest deadline (counted as 3 s at the most) and 0.7 s more.
LONGEST = 3.0
GRACE = 0.7
SPARE = 0.25  # the process has ended by itself so much sooner
FLUSH = 0.15  # for the last answers to go out

log = logging.getLogger("ironmill.shutdown")


class Closable(Protocol):
    """Whatever takes new connections."""

    def give_way(self) -> None:
        """Leave what is new to a successor, if there is one."""

    def close(self) -> None:
        """Take no more."""


class Shutdown:
    """Ends the scheduler's run when a signal asks for it."""

    def __init__(self, scheduler: Scheduler, gateway: Gateway, listener: Closable, config: Config) -> None:
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
        self._gateway.lifecycle.tell(Told.END)
        self._drain()
        self._scheduler.stop()

    def _drain(self) -> None:
        owed, standing = self._gateway.pending(), len(self._gateway.standing())
        log.info("ending: %d owed an answer, %d stand", owed, standing)
        longest = min(LONGEST, max(self._config.wait_limits.values(), default=LONGEST))
        end = time.monotonic() + longest + GRACE - SPARE
        self._listener.give_way()
        self._scheduler.sleep(ACCEPT_FOR)
        self._listener.give_way()  # once more: a successor may have begun to listen only now
        self._listener.close()
        # Guards what stands where all deadlines are short: the end comes before MOVE_AFTER there.
        self._scheduler.sleep(max(0.0, min(MOVE_AFTER - ACCEPT_FOR, (end - time.monotonic()) / 2.0)))
        SendAway(self._scheduler, self._gateway).run(end - FLUSH)
        self._gateway.settle_all()  # guards what is still owed against the end by force
        self._scheduler.sleep(FLUSH)
        figures, counts = self._gateway.figures, self._gateway.counts
        log.info("ended: %s, %d attempts, %s", figures.by_outcome(), figures.upstream_tries, counts)
