"""Estimates of server start times from the clocks of several machines."""

from __future__ import annotations

import pytest

from ironmill.requests.start_times import StartTimes

NOW = 1_000_000.0  # time on the local clock, in Unix time


def observe_all(listed_starts: list[float], now: float = NOW) -> StartTimes:
    """Returns an estimator that has observed these start times."""
    starts = StartTimes()
    for start in listed_starts:
        starts.observe(start, now)
    return starts


@pytest.mark.parametrize("server_clock_lag_s", [-3600.0, -5.0, 0.0, 5.0, 3600.0])
def test_observed_start_is_not_older_than_the_response_before(server_clock_lag_s: float) -> None:
    starts = observe_all([NOW - server_clock_lag_s - 500.0])
    starts.on_response(NOW)
    starts.observe(NOW - server_clock_lag_s + 9.0, NOW + 10.0)
    starts.on_response(NOW + 9.5)
    assert 9.5 <= starts.estimate("new", NOW - server_clock_lag_s + 9.0, NOW + 10.0) - NOW <= 10.0


def test_start_of_a_server_with_a_late_clock_is_not_older_than_the_response_before() -> None:
    starts = observe_all([NOW - 500.0])
    starts.on_response(NOW + 9.5)
    assert starts.estimate("new", NOW - 3600.0, NOW + 10.0) >= NOW + 9.5


@pytest.mark.parametrize("server_clock_lag_s", [0.0, 5.0, 3600.0])
def test_newest_start_of_the_first_list_counts_as_now(server_clock_lag_s: float) -> None:
    listed_starts = [
        NOW - server_clock_lag_s - 2.0,
        NOW - server_clock_lag_s - 5.0,
        NOW - server_clock_lag_s - 900.0,
    ]
    starts = observe_all(listed_starts)
    assert [starts.estimate(str(uid), start, NOW) for uid, start in enumerate(listed_starts)] == [
        NOW,
        NOW - 3.0,
        NOW - 898.0,
    ]


def test_late_local_clock_makes_no_server_older_than_listed() -> None:
    listed_starts = [NOW + 3600.0, NOW + 3590.0, NOW - 5.0]
    starts = observe_all(listed_starts)
    assert [starts.estimate(str(uid), start, NOW) for uid, start in enumerate(listed_starts)] == [
        NOW,
        NOW,
        NOW - 5.0,
    ]


def test_server_with_an_early_clock_does_not_make_others_old() -> None:
    starts = observe_all([NOW + 3600.0, NOW - 1.0])
    assert starts.estimate("b", NOW - 1.0, NOW) == NOW - 1.0


def test_start_is_converted_once_for_each_listed_start() -> None:
    starts = observe_all([NOW - 5.0])
    starts.on_response(NOW)
    assert starts.estimate("a", NOW - 5.0, NOW) == NOW
    assert starts.estimate("a", NOW - 5.0, NOW + 100.0) == NOW
    starts.on_response(NOW + 99.0)
    starts.observe(NOW + 97.0, NOW + 100.0)
    assert starts.estimate("a", NOW + 97.0, NOW + 100.0) == NOW + 100.0
    assert starts.estimate("a", 0.0, NOW + 101.0) == 0.0  # 0 means that the start is long ago


def test_start_after_a_gap_may_be_as_old_as_the_gap() -> None:
    starts = observe_all([NOW - 500.0])
    starts.on_response(NOW)
    for listed_start in (NOW + 1.0, NOW + 7.0):
        starts.observe(listed_start, NOW + 8.0)
    # The newest start counts as now, and the other one is relative to it.
    assert starts.estimate("early", NOW + 1.0, NOW + 8.0) == NOW + 2.0
    assert starts.estimate("ancient", NOW - 3600.0, NOW + 8.0) == NOW
