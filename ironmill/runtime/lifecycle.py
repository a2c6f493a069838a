"""Lifecycle of a process from start to exit, as a table of state transitions without I/O or a clock.

The drivers that accept clients, answer health checks or migrate clients report events to ``Lifecycle`` and
read the current policy from it. The policy alone decides what the process does in a state.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from msgspec import Struct


class ProcessState(Enum):
    """State of the process. ``/admin/health`` reports the value as ``state``."""

    STARTING = "starting"  # discovery has not answered yet
    DRAIN_PENDING = "held"  # discovery has not answered yet, and a drain was requested
    SERVING = "serving"
    DRAINING = "draining"  # clients are migrated; the front-end load balancer may not know of the drain yet
    DRAINED = "drained"  # the front-end load balancer knows of the drain
    SHUTTING_DOWN = "ending"  # pending requests are answered before the exit
    FINALIZING = "settling"  # too little time is left before the exit to start an attempt
    SHUTTING_DOWN_DRAINED = "closing"  # shutdown during or after a drain


class LifecycleEvent(Enum):
    """Event that may change the state of the process."""

    STARTED = auto()  # discovery has answered or timed out, so clients are accepted
    DRAIN_REQUESTED = auto()
    DRAIN_PROPAGATED = auto()  # the front-end load balancer has had time to notice the drain
    RESUME_REQUESTED = auto()
    SHUTDOWN_REQUESTED = auto()
    GRACE_PERIOD_ENDED = auto()  # no new attempt may start before the exit


class Policy(Struct, frozen=True):
    """Behaviour of the process in a state."""

    ready: bool  # whether ``/admin/health`` reports the process as ready
    answers_pong: bool  # answers ``PING`` of the front-end load balancer with ``PONG``, else ``DRAINING``
    admits_requests: bool  # otherwise rejects them at once, with a retry time
    migrates_clients: bool  # migrates established connections while the process continues to run


POLICIES = {
    # No connection is accepted in STARTING, so clients do not notice its other fields.
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
    # Still answers PONG: a successor may listen on the same address, and the front-end load balancer would
    # attribute DRAINING to it.
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

# Events that are not listed for a state are ignored in it. A shutdown cannot be cancelled.
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
    """Holds the state of the process and notifies listeners of state changes."""

    def __init__(self, state: ProcessState = ProcessState.STARTING) -> None:
        """Sets the initial state."""
        self.state = state
        self._listeners: list[Listener] = []

    @property
    def policy(self) -> Policy:
        """The policy of the current state."""
        return POLICIES[self.state]

    def add_listener(self, listener: Listener) -> None:
        """Registers a listener, which is called with the new state after each change."""
        self._listeners.append(listener)

    def handle(self, event: LifecycleEvent) -> None:
        """Applies the event and notifies the listeners if the state changes."""
        before = self.state
        self.state = TRANSITIONS.get((before, event), before)
        if self.state is not before:
            for listener in self._listeners:
                listener(self.state)
