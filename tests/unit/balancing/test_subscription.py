"""Calls to a discovery that reports changes only to subscribers."""

from __future__ import annotations

from ironmill.balancing.interface import SetTimer, Subscribe, WatchEventKind
from tests.support.balancing import SimulatedProxy, entries


def first_call(proxy: SimulatedProxy) -> float:
    proxy.watch(*entries(3), kind=WatchEventKind.FULL)
    return next(a.delay for a in proxy.actions if isinstance(a, SetTimer) and a.name == "ask")


def test_first_calls_are_spread_and_in_time() -> None:
    delays = [first_call(SimulatedProxy(seed=seed, subscribes_to_discovery=True)) for seed in range(50)]
    assert max(delays) < 10.0
    assert max(delays) - min(delays) > 1.0


def test_failed_calls_back_off_with_jitter_and_never_stop() -> None:
    pauses = []
    for seed in range(20):
        proxy = SimulatedProxy(3, seed=seed, subscribes_to_discovery=True)
        proxy.run_until(proxy.now + 5.0)
        assert Subscribe() in proxy.actions
        own = []
        for _ in range(6):
            actions = proxy.watch(kind=WatchEventKind.FAILED)
            own += [action.delay for action in actions if isinstance(action, SetTimer)]
        assert len(own) == 6
        assert own[4] > own[0]
        pauses.append(own)
    assert max(max(own) for own in pauses) < 40.0  # four times the poll interval, after a failed call
    assert len({own[0] for own in pauses}) == 20


def test_success_ends_backoff() -> None:
    proxy = SimulatedProxy(3, subscribes_to_discovery=True)
    for _ in range(6):
        proxy.watch(kind=WatchEventKind.FAILED)
    proxy.watch()
    actions = proxy.watch(kind=WatchEventKind.FAILED)
    assert all(action.delay <= 1.5 for action in actions if isinstance(action, SetTimer))


def test_pushing_discovery_is_never_called() -> None:
    proxy = SimulatedProxy(3)
    proxy.watch(kind=WatchEventKind.FAILED)
    proxy.run_until(proxy.now + 60.0)
    assert proxy.actions == []
