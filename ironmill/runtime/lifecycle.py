"""Where a process is between its start and its end: one table, no I/O, no clock.

Whoever takes clients, answers the front or the staff, or sends clients away asks here what to do; what
happened is told here, and nothing else decides it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from msgspec import Struct


class State(Enum):
    """Where the process is."""

    STARTING = "starting"  # discovery has not answered yet
    HELD = "held"  # the same, and told to drain meanwhile
    SERVING = "serving"
    DRAINING = "draining"  # told to send its clients away; the front may not have heard of it yet
    DRAINED = "drained"  # the front has heard
    ENDING = "ending"  # it answers what it owes and exits
    SETTLING = "settling"  # its last moment: an attempt that began now could not get its answer through
    CLOSING = "closing"  # it ends after a drain, or both


class Event(Enum):
    """What may happen to it."""

    OPENED = "opened"  # discovery has answered or failed: clients are taken from now on
    QUIESCE = "quiesce"
    HEARD = "heard"  # the front has had the time to hear of the drain
    RESUME = "resume"
    END = "end"
    SETTLE = "settle"  # the end has come so near that nothing new may begin


class Policy(Struct, frozen=True):
    """What is done in a state."""

    ready: bool  # the answer to the staff's question whether it serves
    pong: bool  # and to the front's
    opens: bool  # requests are taken; else they are refused at once, with a time to come again
    stays_away: bool  # clients are sent away, and the process stays


POLICIES = {
    State.STARTING: Policy(ready=False, pong=True, opens=True, stays_away=False),  # nobody is accepted yet
    State.HELD: Policy(ready=False, pong=False, opens=False, stays_away=False),
    State.SERVING: Policy(ready=True, pong=True, opens=True, stays_away=False),
    State.DRAINING: Policy(ready=False, pong=False, opens=True, stays_away=True),
    State.DRAINED: Policy(ready=False, pong=False, opens=False, stays_away=True),
    # The front is not told no: where a successor listens at the same address it would take that for out.
    State.ENDING: Policy(ready=False, pong=True, opens=True, stays_away=False),
    State.SETTLING: Policy(ready=False, pong=True, opens=False, stays_away=False),
    State.CLOSING: Policy(ready=False, pong=False, opens=False, stays_away=False),
}

# What is not named changes nothing. An end is never taken back.
NEXT = {
    (State.STARTING, Event.OPENED): State.SERVING,
    (State.STARTING, Event.QUIESCE): State.HELD,
    (State.STARTING, Event.END): State.ENDING,
    (State.HELD, Event.OPENED): State.DRAINED,
    (State.HELD, Event.RESUME): State.STARTING,
    (State.HELD, Event.END): State.CLOSING,
    (State.SERVING, Event.QUIESCE): State.DRAINING,
    (State.SERVING, Event.END): State.ENDING,
    (State.DRAINING, Event.HEARD): State.DRAINED,
    (State.DRAINING, Event.RESUME): State.SERVING,
    (State.DRAINING, Event.END): State.CLOSING,
    (State.DRAINED, Event.RESUME): State.SERVING,
    (State.DRAINED, Event.END): State.CLOSING,
    (State.ENDING, Event.SETTLE): State.SETTLING,
}
LAST = (State.ENDING, State.SETTLING, State.CLOSING)


class Lifecycle:
    """The state of one process."""

    def __init__(self, state: State = State.STARTING) -> None:
        self.state = state
        self._watchers: list[Callable[[State], object]] = []

    @property
    def policy(self) -> Policy:
        """What is done now."""
        return POLICIES[self.state]

    def watch(self, told: Callable[[State], object]) -> None:
        """Tell of each change of the state, after it."""
        self._watchers.append(told)

    def tell(self, what: Event) -> None:
        """Take in what happened."""
        before = self.state
        self.state = NEXT.get((before, what), before)
        if self.state is not before:
            for told in self._watchers:
                told(self.state)
