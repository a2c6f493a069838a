"""Tests of the constraints between the configurable times."""

from __future__ import annotations

import pytest

from ironmill.membership.timing import Timing


@pytest.mark.parametrize(
    ("changes", "attribute"),
    [
        ({}, ""),
        ({"suspicion_timeout_s": 2.5}, "suspect-after"),
        ({"tolerated_pause_s": 2.2}, "suspect-after"),
        ({"max_detection_s": 4.0}, "gone-within"),
        ({"isolation_timeout_s": 3.0}, "alone-after"),
        ({"ping_interval_s": 0.1}, "ping-every"),
        ({"forget_delay_s": 10.0}, "forget-after"),
    ],
)
def test_message_about_inconsistent_times_begins_with_the_attribute(
    changes: dict[str, float], attribute: str
) -> None:
    inconsistency = Timing(**changes).inconsistency()
    assert bool(inconsistency) is bool(attribute)
    assert inconsistency.startswith(attribute)
