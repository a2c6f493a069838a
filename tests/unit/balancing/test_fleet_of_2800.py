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
    assert excess_over_budget(PROXIES, live=True, restarted=0.7, seed=1) <= 0.0


def test_2800_proxies_call_failing_discovery_as_rarely_as_allowed() -> None:
    """``MEAN_CALL_INTERVAL_S`` alone would let each proxy call once in 280 s.

    But a change must be known 6 s after discovery had it and could be reached, whatever failed before. So
    each proxy needs a response within 6 s: it may call no less often than once in 6 s, and at most 4.75 s may
    pass between two starts, as a call may take 1 s and a busy process 0.25 s.
    """
    at, _ = simulate_calls(PROXIES, 40.0, call_duration_s=0.0)
    late = [time for time in at if time >= 20.0]
    a_second = len(late) / 20.0
    assert a_second >= PROXIES / NOTIFICATION_TIMEOUT_S  # fewer would be too late
    assert a_second <= PROXIES / (MAX_CALL_GAP_S * (1.0 + MIN_PAUSE_FRACTION) / 2.0) * 1.02


def test_2800_proxies_call_silent_discovery_as_rarely_as_allowed() -> None:
    at, _ = simulate_calls(PROXIES, 40.0)  # pauses after calls that time out, whose time is added
    late = [time for time in at if time >= 20.0]
    assert len(late) / 20.0 <= PROXIES / (MAX_PAUSE_S * (1.0 + MIN_PAUSE_FRACTION) / 2.0) * 1.02
