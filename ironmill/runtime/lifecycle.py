"""Lifecycle of one process, from its start to its exit, as a table of transitions. No I/O, no clock.

The drivers that accept clients, answer health checks or migrate clients read the current policy here and
report events here; nothing else decides what the process does in a state.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from msgspec import Struct


class ProcessState(Enum):
    """State of the process. The values are those of ``state`` in ``/admin/health``."""

    STARTING = "starting"  # discovery has not answered yet
    DRAIN_PENDING = "held"  # not started yet, and a drain was requested meanwhile
    SERVING = "serving"
    DRAINING = "draining"  # clients are migrated; the front may not have observed the drain yet
    DRAINED = "drained"  # the front has observed the drain
    SHUTTING_DOWN = "ending"  # answers pending requests, then exits
    FINALIZING = "settling"  # too close to the exit to begin an attempt
    SHUTTING_DOWN_DRAINED = "closing"  # shutdown during or after a drain


class LifecycleEvent(Enum):
    """Event that may change the state."""

    STARTED = auto()  # discovery has answered or failed: clients are accepted from now on
    DRAIN_REQUESTED = auto()
    DRAIN_PROPAGATED = auto()  # the front has had the time to observe the drain
    RESUME_REQUESTED = auto()
    SHUTDOWN_REQUESTED = auto()
    GRACE_PERIOD_ENDED = auto()  # nothing new may begin before the exit


class Policy(Struct, frozen=True):
    """What the process does in a state."""

    ready: bool  # the answer of ``/admin/health``
    answers_pong: bool  # the answer to the front's PING; ``DRAINING`` if false
    admits_requests: bool  # else they are rejected at once, with a time to retry after
    migrates_clients: bool  # established connections are migrated, and the process goes on


POLICIES = {
    # No connection is accepted in STARTING, so its other fields matter to no client.
    ProcessState.STARTING: Policy(
        ready=False, answers_pong=True, admits_requests=True, migrates_clients=False
    ),
    ProcessState.DRAIN_PENDING: Policy(
        ready=False, answers_pong=False, admits_requests=False, migrates_clients=False
    ),
    ProcessState.SERVING: Policy(ready=True, answers_pong=True, admits_requests=True, migrates_clients=False),
    ProcessState.DRAINING: Policy(
        ready=False, answers_pong=False, admits_requests=True, migrates_clients=True
    ),
    ProcessState.DRAINED: Policy(
        ready=False, answers_pong=False, admits_requests=False, migrates_clients=True
    ),
    # PONG goes on: a successor may listen at the same address, and the front would take DRAINING for its.
    ProcessState.SHUTTING_DOWN: Policy(
        ready=False, answers_pong=True, admits_requests=True, migrates_clients=False
    ),
    ProcessState.FINALIZING: Policy(
        ready=False, answers_pong=True, admits_requests=False, migrates_clients=False
    ),
    ProcessState.SHUTTING_DOWN_DRAINED: Policy(
        ready=False, answers_pong=False, admits_requests=False, migrates_clients=False
    ),
}

# An event that is not listed for a state changes nothing there. A shutdown cannot be cancelled.
TRANSITIONS = {
    (ProcessState.STARTING, LifecycleEvent.STARTED): ProcessState.SERVING,
    (ProcessState.STARTING, LifecycleEvent.DRAIN_REQUESTED): ProcessState.DRAIN_PENDING,
    (ProcessState.STARTING, LifecycleEvent.SHUTDOWN_REQUESTED): ProcessState.SHUTTING_DOWN,
    (ProcessState.DRAIN_PENDING, LifecycleEvent.STARTED): ProcessState.DRAINED,
    (ProcessState.DRAIN_PENDING, LifecycleEvent.RESUME_REQUESTED): ProcessState.STARTING,
    (ProcessState.DRAIN_PENDING, LifecycleEvent.SHUTDOWN_REQUESTED): ProcessState.SHUTTING_DOWN_DRAINED,
    (ProcessState.SERVING, LifecycleEvent.DRAIN_REQUESTED): ProcessState.DRAINING,
    (ProcessState.SERVING, LifecycleEvent.SHUTDOWN_REQUESTED): ProcessState.SHUTTING_DOWN,
    (ProcessState.DRAINING, LifecycleEvent.DRAIN_PROPAGATED): ProcessState.DRAINED,
    (ProcessState.DRAINING, LifecycleEvent.RESUME_REQUESTED): ProcessState.SERVING,
    (ProcessState.DRAINING, LifecycleEvent.SHUTDOWN_REQUESTED): ProcessState.SHUTTING_DOWN_DRAINED,
    (ProcessState.DRAINED, LifecycleEvent.RESUME_REQUESTED): ProcessState.SERVING,
    (ProcessState.DRAINED, LifecycleEvent.SHUTDOWN_REQUESTED): ProcessState.SHUTTING_DOWN_DRAINED,
    (ProcessState.SHUTTING_DOWN, LifecycleEvent.GRACE_PERIOD_ENDED): ProcessState.FINALIZING,
}
TERMINAL_STATES = (
    ProcessState.SHUTTING_DOWN,
    ProcessState.FINALIZING,
    ProcessState.SHUTTING_DOWN_DRAINED,
)

Listener = Callable[[ProcessState], object]


class Lifecycle:
    """Holds the state of one process and notifies listeners of its changes."""

    def __init__(self, state: ProcessState = ProcessState.STARTING) -> None:
        """Begins in the given state."""
        self.state = state
        self._listeners: list[Listener] = []

    @property
    def policy(self) -> Policy:
        """The policy of the current state."""
        return POLICIES[self.state]

    def add_listener(self, listener: Listener) -> None:
        """Calls the listener with the new state after each change."""
        self._listeners.append(listener)

    def handle(self, event: LifecycleEvent) -> None:
        """Applies the event, and notifies the listeners if the state changes."""
        before = self.state
        self.state = TRANSITIONS.get((before, event), before)
        if self.state is not before:
            for listener in self._listeners:
                listener(self.state)
