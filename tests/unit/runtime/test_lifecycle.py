"""The table of states, against random steps."""

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


def test_every_state_has_a_policy_and_is_reached() -> None:
    assert set(POLICIES) == set(ProcessState)
    assert set(TRANSITIONS.values()) == set(ProcessState)


@given(st.lists(st.sampled_from(LifecycleEvent)))
def test_what_holds_after_any_steps(steps: list[LifecycleEvent]) -> None:
    lifecycle = Lifecycle()
    seen: list[ProcessState] = []
    lifecycle.add_listener(seen.append)
    quiesced = opened = ended = settled = False
    for step in steps:
        if not ended:
            quiesced = {LifecycleEvent.DRAIN_REQUESTED: True, LifecycleEvent.RESUME_REQUESTED: False}.get(
                step, quiesced
            )
        opened = opened or (step is LifecycleEvent.STARTED and not ended)
        settled = settled or (ended and step is LifecycleEvent.GRACE_PERIOD_ENDED)
        ended = ended or step is LifecycleEvent.SHUTDOWN_REQUESTED
        lifecycle.handle(step)
        policy = lifecycle.policy
        assert (lifecycle.state in TERMINAL_STATES) == ended
        assert policy.answers_pong is not quiesced  # whatever came before it, and also while it ends
        assert policy.ready == (opened and not quiesced and not ended)
        # Nobody is refused who was not sent away, but for the last moment, in which everybody is.
        assert policy.admits_requests or quiesced or settled
        assert not (settled and policy.admits_requests)
        assert policy.migrates_clients == (quiesced and opened and not ended)
    assert seen == [
        state
        for state, before in zip(seen, [ProcessState.STARTING, *seen], strict=False)
        if state is not before
    ]


def test_what_comes_twice_is_told_once() -> None:
    lifecycle = Lifecycle(ProcessState.SERVING)
    seen: list[ProcessState] = []
    lifecycle.add_listener(seen.append)
    steps = (
        LifecycleEvent.DRAIN_REQUESTED,
        LifecycleEvent.DRAIN_REQUESTED,
        LifecycleEvent.DRAIN_PROPAGATED,
        LifecycleEvent.DRAIN_REQUESTED,
        LifecycleEvent.RESUME_REQUESTED,
        LifecycleEvent.RESUME_REQUESTED,
        LifecycleEvent.DRAIN_PROPAGATED,
    )
    for step in steps:
        lifecycle.handle(step)
    assert seen == [ProcessState.DRAINING, ProcessState.DRAINED, ProcessState.SERVING]
