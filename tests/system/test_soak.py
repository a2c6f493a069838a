"""A short soak test. Longer ones are started by hand with ``python -m tests.soak``."""

from __future__ import annotations

from tests.soak import run

SEEDS = (1, 2, 3, 4)


def test_soak_of_ends_kills_and_faults() -> None:
    violations = {seed: seed_violations for seed in SEEDS if (seed_violations := run(seed)[0])}
    assert not violations
