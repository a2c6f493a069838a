"""A planned end: the proxy answers what it owes before it goes."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

from ironmill.configuration.proxy_config import Config
from ironmill.net.client import REFUSED_WAIT
from ironmill.net.migration import Migration
from ironmill.requests.admission import Admission
from ironmill.requests.gateway import Gateway
from ironmill.runtime.lifecycle import TERMINAL_STATES, LifecycleEvent
from ironmill.runtime.scheduler import Scheduler

if TYPE_CHECKING:  # what is off is not imported
    from ironmill.net.admin_server import AdminServer

ACCEPT_PERIOD_S = 0.5  # new connections go on coming for up to 0.4 s
# What stands is sent away from then on. Restarts follow each other, so the proxy before is gone when this one
# is told to end: it is started again after its 3.7 s, and the front takes it in half a second after that. Of
# 76 clients sent away from 1.5 s on, by one of two proxies restarted 3 s apart, 40 met nobody for 0.5 s.
MIGRATION_DELAY_S = 2.0
# The end by force comes no sooner than the longest deadline (counted as 3 s at the most) and 0.7 s more.
MAX_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7
EXIT_MARGIN_S = 0.25  # the process has ended by itself so much sooner
# Before its end: for the last answers to go out, and for whom they go to to end as well. Guards those answers
# against the exit, which resets whatever still has unread bytes.
FINAL_FLUSH_S = REFUSED_WAIT + 0.05
MAX_ACCEPT_RETRY_S = (
    1.0  # for accepts that fail while the listener is emptied; what stands is sent away after it
)
MIN_LAST_PLACEMENT_S = 0.05  # where all deadlines are short: for the last client to be placed
MIN_MIGRATION_S = 0.25  # the same: for what stands to be sent away

log = logging.getLogger("ironmill.shutdown")


class Plan(Struct, frozen=True):
    """When what happens, in seconds from the signal."""

    close_at: float  # nothing new from then on
    move_at: float  # what stands is sent away from then on
    end_at: float  # all of it is over


def plan(longest_wait: float) -> Plan:
    """The plan, by the longest wait that the settings allow a client."""
    end_at = min(MAX_DEADLINE_S, longest_wait) + KILL_GRACE_S - EXIT_MARGIN_S
    settle_at = end_at - FINAL_FLUSH_S
    # Guards clients that still come, and what stands, where all deadlines are short: the end comes before
    # MIGRATION_DELAY_S there, and half of the time until then is less than they go on coming.
    close_at = min(ACCEPT_PERIOD_S, settle_at - MIN_LAST_PLACEMENT_S)
    move_at = min(MIGRATION_DELAY_S, (close_at + end_at) / 2.0)
    latest_move = max((close_at + settle_at) / 2.0, settle_at - MIN_MIGRATION_S)
    return Plan(close_at, min(move_at, latest_move), end_at)


class ConnectionAcceptor(Protocol):
    """Whatever takes new connections."""

    def give_way(self) -> None:
        """Leave what is new to a successor, if there is one."""

    def close(self, within: float) -> None:
        """Take no more; who waits is taken, trying for so many seconds. Parks."""


class Shutdown:
    """Ends the scheduler's run when a signal asks for it."""

    def __init__(
        self,
        scheduler: Scheduler,
        gateway: Gateway,
        listener: ConnectionAcceptor,
        config: Config,
        admission: Admission,
        control: AdminServer | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._gateway = gateway
        self._listener = listener
        self._config = config
        self._admission = admission
        self._control = control

    def run(self) -> None:
        """End in an orderly way. A second signal changes nothing."""
        if self._gateway.lifecycle.state in TERMINAL_STATES:
            return
        self._gateway.lifecycle.handle(LifecycleEvent.SHUTDOWN_REQUESTED)
        self._drain()
        self._scheduler.stop()

    def _drain(self) -> None:
        owed, standing = self._gateway.pending(), len(self._gateway.standing())
        log.info("ending: %d owed an answer, %d stand", owed, standing)
        times = plan(max(self._config.wait_limits.values(), default=MAX_DEADLINE_S))
        began = time.monotonic()
        end = began + times.end_at
        self._listener.give_way()
        self._scheduler.sleep(times.close_at)
        self._listener.give_way()  # once more: a successor may have begun to listen only now
        self._listener.close(max(0.0, min(MAX_ACCEPT_RETRY_S, end - FINAL_FLUSH_S - time.monotonic())))
        self._scheduler.sleep(max(0.0, began + times.move_at - time.monotonic()))
        Migration(self._scheduler, self._gateway).run(end - FINAL_FLUSH_S)
        # Nothing begins from here on: its answer would not get through. What is owed is answered as what it
        # is, and who has said nothing is told so before the exit closes its connection.
        settled_at = time.monotonic()
        self._gateway.lifecycle.handle(LifecycleEvent.GRACE_PERIOD_ENDED)
        self._gateway.settle_all()
        for request in self._gateway.standing():
            request.holder.move()  # what came to stand since the last look, too
        self._admission.end_silent()
        # What lies in the queue of the address of staff would be reset by the exit.
        if self._control is not None:
            self._control.close(FINAL_FLUSH_S / 2.0)
        self._scheduler.sleep(max(0.0, settled_at + FINAL_FLUSH_S - time.monotonic()))
        figures, counts = self._gateway.figures, self._gateway.counts
        log.info("ended: %s, %d attempts, %s", figures.by_outcome(), figures.upstream_tries, counts)
