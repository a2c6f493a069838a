"""Calls of discovery, of many proxies side by side on a clock that is driven by hand."""

from __future__ import annotations

import heapq
import random

import pytest

from ironmill.net.discovery import CALL_TIMEOUT_S, POLL_WAIT_MS
from ironmill.requests.discovery_backoff import (
    MAX_CALL_S,
    NOTIFICATION_TIMEOUT_S,
    TIMING_MARGIN_S,
    DiscoveryBackoff,
)


def calls(
    proxies: int, seconds: float, answered: float = 0.0, capacity: float = 0.0, duration: float = MAX_CALL_S
) -> tuple[list[float], int]:
    """When all of them call, and how many were answered: none before ``answered``, then so many a second.

    ``duration``: the pauses are those after calls that duration so long; here they take no time.
    """
    backoffs = [DiscoveryBackoff(proxies, random.Random(seed)) for seed in range(proxies)]
    due = [(backoff.first_delay(), number) for number, backoff in enumerate(backoffs)]
    heapq.heapify(due)
    at: list[float] = []
    done, free = 0, answered
    while due and due[0][0] < seconds:
        now, number = heapq.heappop(due)
        at.append(now)
        if capacity > 0.0 and now >= free:
            done, free = done + 1, now + 1.0 / capacity
            backoffs[number].succeeded()
        else:
            heapq.heappush(due, (now + backoffs[number].failed(duration), number))
    return at, done


@pytest.mark.parametrize(("proxies", "second"), [(4, 12.5), (40, 12.5), (80, 25.0), (200, 60.0)])
def test_fleet_calls_a_failing_discovery_at_the_stated_rate(proxies: int, second: float) -> None:
    """About ten times a second; where that would leave changes unheard for too long, as often as it takes."""
    at, _ = calls(proxies, 60.0)
    late = [time for time in at if time >= 20.0]
    assert len(late) <= 40.0 * second
    most = max(sum(1 for time in late if start <= time < start + 1.0) for start in range(20, 59))
    assert most <= 2.0 * second


def test_proxies_of_a_fleet_of_200_poll_within_the_notification_timeout() -> None:
    """A change counts as notified 6 s after discovery had it and was reachable, even if calls failed.

    The call under way at that moment comes to nothing, then comes the pause, then the call that tells.
    """
    for number in range(200):
        backoff = DiscoveryBackoff(200, random.Random(number))
        assert backoff.first_delay() + MAX_CALL_S < NOTIFICATION_TIMEOUT_S
        first, *others = (backoff.failed() for _ in range(40))
        # The first failure is that of a call that waits for news, the others are of calls that do not.
        assert POLL_WAIT_MS / 1000.0 + CALL_TIMEOUT_S + first + MAX_CALL_S < NOTIFICATION_TIMEOUT_S
        assert MAX_CALL_S + max(others) + MAX_CALL_S <= NOTIFICATION_TIMEOUT_S - TIMING_MARGIN_S


def test_first_calls_of_a_fleet_are_spread() -> None:
    firsts = [DiscoveryBackoff(40, random.Random(seed)).first_delay() for seed in range(40)]
    assert max(firsts) <= 4.0
    assert max(sum(1 for first in firsts if start <= first < start + 0.5) for start in range(4)) <= 12


def test_overloaded_discovery_recovers_and_answers_all() -> None:
    _, answered = calls(40, 20.0, answered=2.0, capacity=6.0)
    assert answered == 40


def test_broken_watch_reconnects_in_time_and_pauses_grow_with_jitter() -> None:
    pauses = []
    for seed in range(20):
        backoff = DiscoveryBackoff(40, random.Random(seed))
        own = [backoff.failed() for _ in range(9)]
        assert own[0] < 0.2
        assert own[0] < own[2] < own[4] <= own[6] * 2.0
        assert max(own) <= 8.0
        backoff.succeeded()
        assert backoff.failed() == own[0]
        pauses.append(own[4])
    assert len(set(pauses)) == 20


def test_pauses_of_a_single_proxy_are_short() -> None:
    backoff = DiscoveryBackoff(1, random.Random(1))
    assert all(backoff.failed() <= 0.2 for _ in range(50))


def test_first_call_is_immediate_where_discovery_is_not_polled() -> None:
    """The change counts as notified, so a list from before the start must not be used."""
    backoff = DiscoveryBackoff(40, random.Random(1), polls_discovery=False)
    assert backoff.first_delay() == 0.0
    assert all(backoff.failed() < 0.2 for _ in range(20))


def test_first_call_is_immediate_after_an_upgrade() -> None:
    assert DiscoveryBackoff(200, random.Random(1), first_immediately=True).first_delay() == 0.0
    assert DiscoveryBackoff(200, random.Random(1)).first_delay() > 0.0


@pytest.mark.parametrize("duration", [0.0, 0.4, MAX_CALL_S])
def test_next_call_starts_in_time_after_a_failure_of_any_duration(duration: float) -> None:
    """A change just after the start of a call arrives with the next one, within 6 s."""
    for number in range(200):
        backoff = DiscoveryBackoff(2800, random.Random(number))
        pauses = [backoff.failed(duration) for _ in range(40)]
        assert duration + max(pauses) + MAX_CALL_S <= NOTIFICATION_TIMEOUT_S - TIMING_MARGIN_S
