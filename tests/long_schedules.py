"""Plays more random schedules than CI does: ``python -m tests.long_schedules KIND FIRST_SEED COUNT``.

Each seed draws ``SCHEDULES_PER_SEED`` schedules of KIND, ``membership`` or ``distribution``, and prints a
line. The exit status is 1 if a schedule failed, which is printed.
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


def play_seed(kind: str, number: int) -> bool:
    """Plays the schedules of one seed; returns whether all of them held."""
    strategy, play = KINDS[kind]

    def play_one(schedule: Any) -> None:
        play(schedule)

    run = settings(
        max_examples=SCHEDULES_PER_SEED,
        derandomize=False,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )(seed(number)(given(strategy)(play_one)))
    try:
        run()
    except Exception:  # whatever a schedule raises is its result
        traceback.print_exc()
        return False
    return True


def main(arguments: list[str]) -> int:
    """Plays the seeds of the command line."""
    kind, first, count = arguments[0], int(arguments[1]), int(arguments[2])
    failed = 0
    for number in range(first, first + count):
        held = play_seed(kind, number)
        failed += not held
        result = "held" if held else "FAILED"
        print(f"{kind} seed {number}: {SCHEDULES_PER_SEED} schedules {result}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
