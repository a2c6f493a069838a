"""Runs more random schedules than CI: ``python -m tests.long_schedules KIND FIRST_SEED COUNT``.

KIND is ``membership`` or ``distribution``. Each of COUNT seeds draws ``SCHEDULES_PER_SEED`` schedules and
prints one line. A failed schedule is printed with its traceback, and the exit status is then 1.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis.strategies import SearchStrategy

from tests.unit.distribution import test_random_schedules as distribution
from tests.unit.membership import test_random_schedules as membership

SCHEDULES_PER_SEED = 100

KINDS: dict[str, tuple[SearchStrategy[Any], Callable[[Any], object]]] = {
    "distribution": (distribution.schedules(), distribution.play),
    "membership": (membership.schedules(), membership.play),
}


def run_seed(kind: str, seed_number: int) -> bool:
    """Runs the schedules of one seed. Returns True if all of them passed."""
    strategy, play = KINDS[kind]

    def play_one(schedule: Any) -> None:
        play(schedule)

    run_schedules = settings(
        max_examples=SCHEDULES_PER_SEED,
        derandomize=False,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )(seed(seed_number)(given(strategy)(play_one)))
    try:
        run_schedules()
    except Exception:  # any exception that a schedule raises is a failure of the seed
        traceback.print_exc()
        return False
    return True


def main(arguments: list[str]) -> int:
    """Runs the seeds given on the command line."""
    kind, first_seed, count = arguments[0], int(arguments[1]), int(arguments[2])
    failed = 0
    for seed_number in range(first_seed, first_seed + count):
        has_passed = run_seed(kind, seed_number)
        failed += not has_passed
        result = "passed" if has_passed else "FAILED"
        print(f"{kind} seed {seed_number}: {SCHEDULES_PER_SEED} schedules {result}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
