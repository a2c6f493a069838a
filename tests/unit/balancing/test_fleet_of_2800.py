"""A fleet of 2,800 proxies: the slow-start budget, and calls to discovery.

Only one case of the budget runs here, as each takes a minute or more.
"""

from __future__ import annotations

from ironmill.requests.discovery_backoff import (
    MAX_CALL_GAP_S,
    MAX_PAUSE_S,
    MIN_PAUSE_FRACTION,
    NOTIFICATION_TIMEOUT_S,
)
from tests.unit.balancing.test_slow_start_of_fleet import excess_over_budget
from tests.unit.requests.test_discovery_backoff import simulate_calls

PROXIES = 2800


def test_2800_proxies_keep_slow_start_budget_while_seven_in_ten_restart() -> None:
    assert excess_over_budget(PROXIES, uses_live_weights=True, restarted=0.7, seed=1) <= 0.0


def test_2800_proxies_call_failing_discovery_as_rarely_as_allowed() -> None:
    """``MEAN_CALL_INTERVAL_S`` alone would let each proxy call once in 280 s.

    But a proxy must know a change 6 s after discovery had it and was reachable, whatever failed before. So
    each proxy needs a response within 6 s: it must call at least once in 6 s, and at most 4.75 s may pass
    between the starts of two calls, since a call may take 1 s and a busy process may delay it by 0.25 s.
    """
    call_times, _ = simulate_calls(PROXIES, 40.0, call_duration_s=0.0)
    late_calls = [time for time in call_times if time >= 20.0]
    calls_per_second = len(late_calls) / 20.0
    assert calls_per_second >= PROXIES / NOTIFICATION_TIMEOUT_S  # fewer calls would notice changes too late
    assert calls_per_second <= PROXIES / (MAX_CALL_GAP_S * (1.0 + MIN_PAUSE_FRACTION) / 2.0) * 1.02


def test_2800_proxies_call_silent_discovery_as_rarely_as_allowed() -> None:
    call_times, _ = simulate_calls(
        PROXIES, 40.0
    )  # each call times out, and its duration is added to the pause
    late_calls = [time for time in call_times if time >= 20.0]
    assert len(late_calls) / 20.0 <= PROXIES / (MAX_PAUSE_S * (1.0 + MIN_PAUSE_FRACTION) / 2.0) * 1.02
