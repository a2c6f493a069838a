"""A planned end: the proxy answers what it owes before it goes."""

from __future__ import annotations

import logging

from ironmill.config import Config
from ironmill.gateway import Gateway
from ironmill.net.listener import Listener
from ironmill.scheduler import Scheduler

ACCEPT_FOR = 0.5  # new connections go on coming for up to 0.4 s
LOOK = 0.02
LONGEST = 3.0  # a longest deadline below this counts as this
FLUSH = 0.3

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
        self._scheduler.sleep(ACCEPT_FOR)
        self._listener.close()
        longest = max(LONGEST, *self._config.wait_limits.values())
        for _ in range(int(longest / LOOK)):
            if not self._gateway.pending():
                break
            self._scheduler.sleep(LOOK)
        if not self._config.packets_pass:
            # Connections that die with this proxy are told so; passing ones go on through another.
            for authorisation in self._gateway.standing():
                authorisation.holder.move()
        self._scheduler.sleep(FLUSH)
        log.info("ended: %s", self._gateway.counts)
