"""Passes events to the balancer and executes the actions that it returns, one event at a time."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import Action, Event

log = logging.getLogger("ironmill.requests.decision_loop")


class DecisionLoop:
    """A queue of events in front of the balancer.

    An action may cause further events; they are queued until all actions of the current event are executed.
    An exception of the balancer or of one action is logged and affects nothing else: the deadline of each
    request answers what is left without a decision.
    """

    def __init__(self, balancer: Balancer, now: Callable[[], float]) -> None:
        """``now`` is the clock that the balancer sees. ``execute`` must be set before the first event."""
        self._balancer = balancer
        self._now = now
        self.execute: Callable[[Action], None] | None = None  # carries out one action; must not park
        self._events: deque[Event] = deque()
        self._running = False

    def feed(self, event: Event) -> None:
        """Passes an event to the balancer, now or after the events before it."""
        self._events.append(event)
        if self._running:
            return
        execute = self.execute
        assert execute is not None
        self._running = True
        try:
            while self._events:
                for action in self._decide(self._events.popleft()):
                    try:
                        execute(action)
                    except Exception:
                        # The remaining actions answer other clients.
                        log.exception("an action failed: %r", action)
        finally:
            self._running = False

    def _decide(self, event: Event) -> list[Action]:
        try:
            return self._balancer.handle(event, self._now())
        except Exception:
            # The process must go on; the deadlines' timers answer what is pending.
            log.exception("the balancer failed at %r", event)
            return []
