"""The table of states, against random steps."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ironmill.runtime.lifecycle import LAST, NEXT, POLICIES, Event, Lifecycle, State


def test_every_state_has_a_policy_and_is_reached() -> None:
    assert set(POLICIES) == set(State)
    assert set(NEXT.values()) == set(State)


@given(st.lists(st.sampled_from(Event)))
def test_what_holds_after_any_steps(steps: list[Event]) -> None:
    lifecycle = Lifecycle()
    seen: list[State] = []
    lifecycle.watch(seen.append)
    quiesced = opened = ended = settled = False
    for step in steps:
        if not ended:
            quiesced = {Event.QUIESCE: True, Event.RESUME: False}.get(step, quiesced)
        opened = opened or (step is Event.OPENED and not ended)
        settled = settled or (ended and step is Event.SETTLE)
        ended = ended or step is Event.END
        lifecycle.tell(step)
        policy = lifecycle.policy
        assert (lifecycle.state in LAST) == ended
        assert policy.pong is not quiesced  # whatever came before it, and also while it ends
        assert policy.ready == (opened and not quiesced and not ended)
        # Nobody is refused who was not sent away, but for the last moment, in which everybody is.
        assert policy.opens or quiesced or settled
        assert not (settled and policy.opens)
        assert policy.stays_away == (quiesced and opened and not ended)
    assert seen == [
        state for state, before in zip(seen, [State.STARTING, *seen], strict=False) if state is not before
    ]


def test_what_comes_twice_is_told_once() -> None:
    lifecycle = Lifecycle(State.SERVING)
    seen: list[State] = []
    lifecycle.watch(seen.append)
    steps = (
        Event.QUIESCE,
        Event.QUIESCE,
        Event.HEARD,
        Event.QUIESCE,
        Event.RESUME,
        Event.RESUME,
        Event.HEARD,
    )
    for step in steps:
        lifecycle.tell(step)
    assert seen == [State.DRAINING, State.DRAINED, State.SERVING]
