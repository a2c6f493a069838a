"""The loop that passes events to the balancer one at a time and executes the actions that it returns."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import Action, Event

log = logging.getLogger("ironmill.requests.decision_loop")


class DecisionLoop:
    """A queue of events in front of the balancer.

    An action may cause further events, which are queued until all actions of the current event are executed.
    An exception raised by the balancer or by one action is logged and does not affect other events. A request
    that is left without a decision is answered when its deadline expires.
    """

    def __init__(self, balancer: Balancer, now: Callable[[], float]) -> None:
        """Creates a loop; ``now`` is the balancer's clock. ``execute`` must be set before the first event."""
        self._balancer = balancer
        self._now = now
        self.execute: Callable[[Action], None] | None = None  # carries out one action; must not park
        self._events: deque[Event] = deque()
        self._running = False

    def feed(self, event: Event) -> None:
        """Passes an event to the balancer, after any events that are already queued."""
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
                        # The loop continues because the remaining actions may answer other clients.
                        log.exception("executing action failed: %r", action)
        finally:
            self._running = False

    def _decide(self, event: Event) -> list[Action]:
        try:
            return self._balancer.handle(event, self._now())
        except Exception:
            # The process must keep running; pending requests are answered by their deadline timers.
            log.exception("balancer failed to handle event: %r", event)
            return []
