"""Asking a discovery that answers only when asked."""

from __future__ import annotations

from ironmill.balancing.interface import ListChanged, ListKind, SetTimer, Subscribe
from tests.support.balancing import Relay, entries


def first_call(relay: Relay) -> float:
    relay.play(ListChanged(ListKind.FULL, entries(3)))
    return next(a.delay for a in relay.actions if isinstance(a, SetTimer) and a.name == "ask")


def test_relays_spread_their_first_call_and_make_it_in_time() -> None:
    delays = [first_call(Relay(seed=seed, ask_discovery=True)) for seed in range(50)]
    assert max(delays) < 10.0
    assert max(delays) - min(delays) > 1.0


def test_failed_calls_back_off_with_jitter_and_never_stop() -> None:
    pauses = []
    for seed in range(20):
        relay = Relay(3, seed=seed, ask_discovery=True)
        relay.run(relay.now + 5.0)
        assert Subscribe() in relay.actions
        own = []
        for _ in range(6):
            actions = relay.play(ListChanged(ListKind.FAILED))
            own += [action.delay for action in actions if isinstance(action, SetTimer)]
        assert len(own) == 6
        assert own[4] > own[0]
        pauses.append(own)
    assert max(max(own) for own in pauses) < 40.0  # four times ask_within, after a failed call
    assert len({own[0] for own in pauses}) == 20


def test_success_ends_the_backoff() -> None:
    relay = Relay(3, ask_discovery=True)
    for _ in range(6):
        relay.play(ListChanged(ListKind.FAILED))
    relay.play(ListChanged(ListKind.DELTA))
    actions = relay.play(ListChanged(ListKind.FAILED))
    assert all(action.delay <= 1.5 for action in actions if isinstance(action, SetTimer))


def test_pushed_discovery_is_never_asked() -> None:
    relay = Relay(3)
    relay.play(ListChanged(ListKind.FAILED))
    relay.run(relay.now + 60.0)
    assert relay.actions == []
