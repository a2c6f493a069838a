"""Tests for the arithmetic on figures with errors, and for their format."""

from __future__ import annotations

import math

import pytest

from ironmill_testbed.capacity.data import Sign
from ironmill_testbed.capacity.figure import Figure, number, quantity


@pytest.mark.parametrize(
    ("value", "error", "unit", "text"),
    [
        (22.41, 1.26, "", "22.4 ± 1.3 ="),
        (0.0224, 0.00131, "s", "22.4 ± 1.3 ms ="),
        (123456.0, 0.0, "B", "123 KB ="),
        (999.96, 0.0, "B", "1,000 B ="),
        (9996.0, 0.0, "B", "10.0 KB ="),
        (0.016, 0.0, "cores", "1.60 % of a core ="),
        (2.0, 0.25, "cores", "2.00 ± 0.25 cores ="),
        (0.0, 0.0, "B/s", "0 B/s ="),
        (3.0, 1.0, "", "3 ± 1 ="),
        (5.0, 40.0, "", "5 ± 40 ="),
        (1234.0, 56.0, "", "1,230 ± 56 ="),
        (210e6, 0.0, "", "210 million ="),
        (12.5, 0.0, "/s", "12.5/s ="),
        (10656.0, 0.0, "s", "2.96 h ="),
        (-0.0001, 2.0, "", "0.0 ± 2.0 ="),
        (1.0, 0.00012, "", "1.00 ± 0.00012 ="),
        (math.inf, 0.0, "", "unlimited ="),
        (None, 0.0, "s", "not run"),
        (math.nan, 0.0, "s", "not run"),
    ],
)
def test_formats_quantity_to_two_or_three_digits(
    value: float | None, error: float, unit: str, text: str
) -> None:
    assert quantity(Figure(value, error), unit) == text


@pytest.mark.parametrize(
    ("value", "text"), [(0.0, "0"), (90.0, "90"), (2800.0, "2,800"), (11071.4, "11,100"), (0.099, "0.0990")]
)
def test_formats_number_to_three_digits(value: float, text: str) -> None:
    assert number(value) == text


def test_errors_are_added_and_assumed_sign_is_kept() -> None:
    left, right = Figure(10.0, 1.0), Figure(5.0, 0.5)
    assert left + right == Figure(15.0, 1.5)
    assert left - right == Figure(5.0, 1.5)
    assert left * right == Figure(50.0, 10.0)
    assert left / right == Figure(2.0, 0.4)
    assert left * 3.0 == Figure(30.0, 3.0) == 3.0 * left
    assert 20.0 / left == Figure(2.0, 0.2)
    assert (left + Figure(1.0, sign=Sign.ASSUMED)).sign is Sign.ASSUMED
    assert (left + Figure(1.0, sign=Sign.REAL)).sign is Sign.DERIVED
    assert (left + Figure(None)).value is None
    assert (Figure(None) * left).value is None
    assert Figure(2.1, 0.3).ceil() == Figure(3.0)
    assert Figure(2.0 + 1e-12).ceil() == Figure(2.0)
