"""A short soak; the long one is started by hand (``tests/soak.py``)."""

from __future__ import annotations

from tests.soak import run

SEEDS = (1, 2, 3, 4)


def test_soak_of_ends_kills_and_faults() -> None:
    broken = {seed: found for seed in SEEDS if (found := run(seed)[0])}
    assert not broken
