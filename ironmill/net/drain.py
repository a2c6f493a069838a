"""The drain that staff ask for: the clients are sent away, the process stays.

Where packets pass through, only new clients are: what stands needs no move, for its packets go on coming
here, or to another proxy once this one has ended.
"""

from __future__ import annotations

import logging
import time

from ironmill.net.migration import Migration
from ironmill.requests.gateway import Gateway
from ironmill.runtime.lifecycle import POLICIES, LifecycleEvent, ProcessState
from ironmill.runtime.scheduler import Scheduler, Task

# The front asks every 0.1 s and sends for 0.2 s more: whoever comes so late after the call is still taken.
FRONT_UPDATE_DELAY_S = 0.5
# By then, seconds after the call, the last connection is told to go; 4 s is what the platform allows, and the
# line under way on one that is told to go has 0.9 s to end.
MIGRATION_DEADLINE_S = 2.8
FINAL_ANSWER_DEADLINE_S = 3.0  # who is owed an answer then is refused
LATE_MIGRATION_S = 1.0  # what comes to stand all the same is sent away until then, beyond that

log = logging.getLogger("ironmill.drain")


class Drain:
    """Carries out what the state asks for, as long as it asks for it."""

    def __init__(self, scheduler: Scheduler, gateway: Gateway, keeps: bool) -> None:
        """``keeps``: what stands is left where it is.

        Guards clients against moves that nothing needs: of 100 that stood at two proxies drained one after
        the other each was set up anew, and a drain that is taken back has use for none of it.
        """
        self._scheduler = scheduler
        self._gateway = gateway
        self._keeps = keeps
        self._task: Task | None = None
        gateway.lifecycle.add_listener(self._changed)

    def _changed(self, state: ProcessState) -> None:
        if state is ProcessState.DRAINING:
            self._task = self._scheduler.spawn(self._run)
        elif self._task is not None and not POLICIES[state].migrates_clients:
            self._scheduler.kill(self._task)
            self._task = None
            log.info("the drain is over: %s", state.value)

    def _run(self) -> None:
        began = time.monotonic()
        log.info("draining: %d owed an answer, %d stand", self._gateway.pending(), self._standing())
        self._scheduler.sleep(FRONT_UPDATE_DELAY_S)
        self._gateway.lifecycle.handle(LifecycleEvent.DRAIN_PROPAGATED)
        away = None if self._keeps else Migration(self._scheduler, self._gateway)
        if away is not None:
            away.run(began + MIGRATION_DEADLINE_S)
        self._scheduler.sleep(max(0.0, began + FINAL_ANSWER_DEADLINE_S - time.monotonic()))
        self._gateway.settle_all()
        if away is not None:
            away.run(time.monotonic() + LATE_MIGRATION_S)
        log.info("drained: %d stand", self._standing())

    def _standing(self) -> int:
        return len(self._gateway.standing())
