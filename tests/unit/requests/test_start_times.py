"""When servers started, as one process estimates it."""

from __future__ import annotations

import pytest

from ironmill.requests.start_times import StartTimes

NOW = 1_000_000.0  # the own clock, Unix time as this machine has it


def first_list(listed: list[float], now: float = NOW) -> StartTimes:
    starts = StartTimes()
    for start in listed:
        starts.observe(start, now)
    return starts


@pytest.mark.parametrize("ahead", [-3600.0, -5.0, 0.0, 5.0, 3600.0])
def test_observed_start_is_not_older_than_the_response_before(ahead: float) -> None:
    starts = first_list([NOW - ahead - 500.0])
    starts.on_response(NOW)
    starts.observe(NOW - ahead + 9.0, NOW + 10.0)
    starts.on_response(NOW + 9.5)
    assert 9.5 <= starts.estimate("new", NOW - ahead + 9.0, NOW + 10.0) - NOW <= 10.0


def test_start_of_a_machine_with_a_late_clock_is_not_older_either() -> None:
    starts = first_list([NOW - 500.0])
    starts.on_response(NOW + 9.5)
    assert starts.estimate("new", NOW - 3600.0, NOW + 10.0) >= NOW + 9.5


@pytest.mark.parametrize("ahead", [0.0, 5.0, 3600.0])
def test_newest_start_of_the_first_list_counts_as_now(ahead: float) -> None:
    listed = [NOW - ahead - 2.0, NOW - ahead - 5.0, NOW - ahead - 900.0]
    starts = first_list(listed)
    assert [starts.estimate(str(at), start, NOW) for at, start in enumerate(listed)] == [
        NOW,
        NOW - 3.0,
        NOW - 898.0,
    ]


def test_late_own_clock_makes_no_server_older_than_listed() -> None:
    listed = [NOW + 3600.0, NOW + 3590.0, NOW - 5.0]
    starts = first_list(listed)
    assert [starts.estimate(str(at), start, NOW) for at, start in enumerate(listed)] == [NOW, NOW, NOW - 5.0]


def test_machine_with_an_early_clock_does_not_make_others_old() -> None:
    starts = first_list([NOW + 3600.0, NOW - 1.0])
    assert starts.estimate("b", NOW - 1.0, NOW) == NOW - 1.0


def test_start_is_converted_once_for_each_listed_start() -> None:
    starts = first_list([NOW - 5.0])
    starts.on_response(NOW)
    assert starts.estimate("a", NOW - 5.0, NOW) == NOW
    assert starts.estimate("a", NOW - 5.0, NOW + 100.0) == NOW
    starts.on_response(NOW + 99.0)
    starts.observe(NOW + 97.0, NOW + 100.0)
    assert starts.estimate("a", NOW + 97.0, NOW + 100.0) == NOW + 100.0
    assert starts.estimate("a", 0.0, NOW + 101.0) == 0.0  # long ago


def test_start_after_a_gap_may_be_as_old_as_the_gap() -> None:
    starts = first_list([NOW - 500.0])
    starts.on_response(NOW)
    for listed in (NOW + 1.0, NOW + 7.0):
        starts.observe(listed, NOW + 8.0)
    assert starts.estimate("early", NOW + 1.0, NOW + 8.0) == NOW + 2.0  # by the newest, which counts as now
    assert starts.estimate("ancient", NOW - 3600.0, NOW + 8.0) == NOW
