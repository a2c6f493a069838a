"""Calls to a discovery service that reports changes only to subscribers."""

from __future__ import annotations

from ironmill.balancing.interface import SetTimer, Subscribe, WatchEventKind
from tests.support.balancing import SimulatedProxy, endpoint_entries


def first_call(proxy: SimulatedProxy) -> float:
    proxy.watch(*endpoint_entries(3), kind=WatchEventKind.FULL)
    return next(
        action.delay for action in proxy.actions if isinstance(action, SetTimer) and action.name == "ask"
    )


def test_first_calls_are_spread_and_in_time() -> None:
    delays = [first_call(SimulatedProxy(seed=seed, subscribes_to_discovery=True)) for seed in range(50)]
    assert max(delays) < 10.0
    assert max(delays) - min(delays) > 1.0


def test_failed_calls_back_off_with_jitter_and_never_stop() -> None:
    delays_by_proxy = []
    for seed in range(20):
        proxy = SimulatedProxy(3, seed=seed, subscribes_to_discovery=True)
        proxy.run_until(proxy.now + 5.0)
        assert Subscribe() in proxy.actions
        delays = []
        for _ in range(6):
            actions = proxy.watch(kind=WatchEventKind.FAILED)
            delays += [action.delay for action in actions if isinstance(action, SetTimer)]
        assert len(delays) == 6
        assert delays[4] > delays[0]
        delays_by_proxy.append(delays)
    # After failed calls, the pause is at most four times the poll interval.
    assert max(max(delays) for delays in delays_by_proxy) < 40.0
    assert len({delays[0] for delays in delays_by_proxy}) == 20


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
