"""Tests of the transition table with random events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ironmill.runtime.lifecycle import (
    POLICIES,
    TERMINAL_STATES,
    TRANSITIONS,
    Lifecycle,
    LifecycleEvent,
    ProcessState,
)


def test_every_state_has_a_policy_and_is_reachable() -> None:
    assert set(POLICIES) == set(ProcessState)
    assert set(TRANSITIONS.values()) == set(ProcessState)


@given(st.lists(st.sampled_from(LifecycleEvent)))
def test_invariants_after_any_events(events: list[LifecycleEvent]) -> None:
    lifecycle = Lifecycle()
    notified: list[ProcessState] = []
    lifecycle.add_listener(notified.append)
    drain_requested = started = shutting_down = finalizing = False
    for event in events:
        if not shutting_down:
            drain_requested = {
                LifecycleEvent.DRAIN_REQUESTED: True,
                LifecycleEvent.RESUME_REQUESTED: False,
            }.get(event, drain_requested)
        started = started or (event is LifecycleEvent.STARTED and not shutting_down)
        finalizing = finalizing or (shutting_down and event is LifecycleEvent.GRACE_PERIOD_ENDED)
        shutting_down = shutting_down or event is LifecycleEvent.SHUTDOWN_REQUESTED
        lifecycle.handle(event)
        policy = lifecycle.policy
        assert (lifecycle.state in TERMINAL_STATES) == shutting_down
        assert policy.answers_pong is not drain_requested  # also during a shutdown
        assert policy.ready == (started and not drain_requested and not shutting_down)
        # Requests are rejected only where clients are migrated, and in the final phase.
        assert policy.admits_requests or drain_requested or finalizing
        assert not (finalizing and policy.admits_requests)
        assert policy.migrates_clients == (drain_requested and started and not shutting_down)
    assert notified == [
        state
        for state, before in zip(notified, [ProcessState.STARTING, *notified], strict=False)
        if state is not before
    ]


def test_repeated_events_notify_once() -> None:
    lifecycle = Lifecycle(ProcessState.SERVING)
    notified: list[ProcessState] = []
    lifecycle.add_listener(notified.append)
    events = (
        LifecycleEvent.DRAIN_REQUESTED,
        LifecycleEvent.DRAIN_REQUESTED,
        LifecycleEvent.DRAIN_PROPAGATED,
        LifecycleEvent.DRAIN_REQUESTED,
        LifecycleEvent.RESUME_REQUESTED,
        LifecycleEvent.RESUME_REQUESTED,
        LifecycleEvent.DRAIN_PROPAGATED,
    )
    for event in events:
        lifecycle.handle(event)
    assert notified == [ProcessState.DRAINING, ProcessState.DRAINED, ProcessState.SERVING]
