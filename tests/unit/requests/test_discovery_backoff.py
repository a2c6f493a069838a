"""The rate and timing of calls to discovery by a fleet of proxies, on a simulated clock."""

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


def simulate_calls(
    proxies: int,
    duration_s: float,
    available_at: float = 0.0,
    answers_per_s: float = 0.0,
    call_duration_s: float = MAX_CALL_S,
) -> tuple[list[float], int]:
    """Returns the times at which proxies call discovery, and how many calls were answered.

    Discovery answers no call before ``available_at``, then up to ``answers_per_s``. Calls take no simulated
    time, but each pause is as long as after a call that failed after ``call_duration_s``.
    """
    backoffs = [DiscoveryBackoff(proxies, random.Random(seed)) for seed in range(proxies)]
    due = [(backoff.first_delay(), number) for number, backoff in enumerate(backoffs)]
    heapq.heapify(due)
    call_times: list[float] = []
    answer_count, next_answer_at = 0, available_at
    while due and due[0][0] < duration_s:
        now, number = heapq.heappop(due)
        call_times.append(now)
        if answers_per_s > 0.0 and now >= next_answer_at:
            answer_count, next_answer_at = answer_count + 1, now + 1.0 / answers_per_s
            backoffs[number].succeeded()
        else:
            heapq.heappush(due, (now + backoffs[number].failed(call_duration_s), number))
    return call_times, answer_count


@pytest.mark.parametrize(("proxies", "max_calls_per_s"), [(4, 12.5), (40, 12.5), (80, 25.0), (200, 60.0)])
def test_fleet_calls_a_failing_discovery_at_the_stated_rate(proxies: int, max_calls_per_s: float) -> None:
    """A fleet calls about ten times a second, or more often if changes would otherwise arrive too late."""
    call_times, _ = simulate_calls(proxies, 60.0)
    late_calls = [time for time in call_times if time >= 20.0]
    assert len(late_calls) <= 40.0 * max_calls_per_s
    peak = max(sum(1 for time in late_calls if start <= time < start + 1.0) for start in range(20, 59))
    assert peak <= 2.0 * max_calls_per_s


def test_proxies_of_a_fleet_of_200_poll_within_the_notification_timeout() -> None:
    """A change counts as notified 6 s after discovery had it and was reachable, even if calls failed.

    In the worst case, the call in progress at that moment fails, and the call after the next pause returns
    the change.
    """
    for number in range(200):
        backoff = DiscoveryBackoff(200, random.Random(number))
        assert backoff.first_delay() + MAX_CALL_S < NOTIFICATION_TIMEOUT_S
        first_pause, *later_pauses = (backoff.failed() for _ in range(40))
        # Only the first failed call may have waited for changes, which adds POLL_WAIT_MS to its duration.
        assert POLL_WAIT_MS / 1000.0 + CALL_TIMEOUT_S + first_pause + MAX_CALL_S < NOTIFICATION_TIMEOUT_S
        assert MAX_CALL_S + max(later_pauses) + MAX_CALL_S <= NOTIFICATION_TIMEOUT_S - TIMING_MARGIN_S


def test_first_calls_of_a_fleet_are_spread() -> None:
    first_delays = [DiscoveryBackoff(40, random.Random(seed)).first_delay() for seed in range(40)]
    assert max(first_delays) <= 4.0
    assert max(sum(1 for delay in first_delays if start <= delay < start + 0.5) for start in range(4)) <= 12


def test_overloaded_discovery_recovers_and_answers_all() -> None:
    _, answer_count = simulate_calls(40, 20.0, available_at=2.0, answers_per_s=6.0)
    assert answer_count == 40


def test_broken_watch_reconnects_in_time_and_pauses_grow_with_jitter() -> None:
    fifth_pauses = []
    for seed in range(20):
        backoff = DiscoveryBackoff(40, random.Random(seed))
        pauses = [backoff.failed() for _ in range(9)]
        assert pauses[0] < 0.2
        assert pauses[0] < pauses[2] < pauses[4] <= pauses[6] * 2.0
        assert max(pauses) <= 8.0
        backoff.succeeded()
        assert backoff.failed() == pauses[0]
        fifth_pauses.append(pauses[4])
    assert len(set(fifth_pauses)) == 20


def test_pauses_of_a_single_proxy_are_short() -> None:
    backoff = DiscoveryBackoff(1, random.Random(1))
    assert all(backoff.failed() <= 0.2 for _ in range(50))


def test_first_call_is_immediate_where_discovery_is_not_polled() -> None:
    """A change counts as notified once the local agent has it, so a list from before the start is too old."""
    backoff = DiscoveryBackoff(40, random.Random(1), polls_discovery=False)
    assert backoff.first_delay() == 0.0
    assert all(backoff.failed() < 0.2 for _ in range(20))


def test_first_call_is_immediate_after_an_upgrade() -> None:
    assert DiscoveryBackoff(200, random.Random(1), first_immediately=True).first_delay() == 0.0
    assert DiscoveryBackoff(200, random.Random(1)).first_delay() > 0.0


@pytest.mark.parametrize("call_duration_s", [0.0, 0.4, MAX_CALL_S])
def test_next_call_starts_in_time_after_a_failure_of_any_duration(call_duration_s: float) -> None:
    """A change just after the start of a failing call is returned by the next call, within 6 s."""
    for number in range(200):
        backoff = DiscoveryBackoff(2800, random.Random(number))
        pauses = [backoff.failed(call_duration_s) for _ in range(40)]
        assert call_duration_s + max(pauses) + MAX_CALL_S <= NOTIFICATION_TIMEOUT_S - TIMING_MARGIN_S


def test_timeout_of_a_call_follows_the_time_of_the_answers() -> None:
    """Guards against a slow discovery whose calls are all given up just before their answers."""
    backoff = DiscoveryBackoff(4, random.Random(1))
    assert backoff.call_timeout_s == MAX_CALL_S
    backoff.timed_out()
    assert backoff.call_timeout_s == 2.0 * MAX_CALL_S
    backoff.answered(1.2)
    assert backoff.call_timeout_s > 1.2
    backoff.answered(0.01)
    assert backoff.call_timeout_s == MAX_CALL_S


@pytest.mark.parametrize("proxies", [1, 4, 200, 2800])
def test_calls_of_a_slow_discovery_are_close_enough_for_its_notices(proxies: int) -> None:
    """Guards against a pause behind a long call, with which a change would be told too late."""
    backoff = DiscoveryBackoff(proxies, random.Random(1))
    for _ in range(30):
        backoff.timed_out()
        timeout_s = backoff.call_timeout_s
        assert timeout_s + backoff.failed(timeout_s) + MAX_CALL_S <= NOTIFICATION_TIMEOUT_S - TIMING_MARGIN_S


def test_timeout_of_a_call_to_the_local_agent_stays_short() -> None:
    """Guards against an agent that is back after an outage, and is asked again only after a long timeout."""
    backoff = DiscoveryBackoff(4, random.Random(1), polls_discovery=False)
    backoff.timed_out()
    backoff.answered(5.0)
    assert backoff.call_timeout_s == MAX_CALL_S
