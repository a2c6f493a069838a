"""Kinds of measurement runs, with their sizes and the sweeps that their results belong to."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from msgspec import structs

from ironmill_testbed.capacity.data import Sweep

Costs = dict[str, float]  # by name of the sweep; ``inf`` for a cost that was not found
Result = tuple[int, Costs]  # the size of a run and the costs that it measured


@dataclass(frozen=True, slots=True)
class Runs:
    """A kind of run. Its function must be importable from a module, as separate processes execute it."""

    run: Callable[[int, bool, int], Costs]  # size, quick, seed
    sweeps: tuple[Sweep, ...]  # the sweeps of its costs, without points
    sizes: tuple[int, ...]
    quick: tuple[int, ...]  # sizes of a quick measurement
    repeats: int = 1  # runs at each size, with different seeds; a quick measurement has one

    def tasks(self, *, quick: bool, seed: int) -> list[tuple[int, int]]:
        """Returns the size and the seed of each run, the largest size first."""
        sizes, repeats = (self.quick, 1) if quick else (self.sizes, self.repeats)
        return [(size, seed + repeat) for size in sorted(sizes, reverse=True) for repeat in range(repeats)]

    def gather(self, results: Iterable[Result]) -> dict[str, Sweep]:
        """Returns the sweeps with the points of the results, sorted by ascending size (see `fill`)."""
        return fill(self.sweeps, sorted(results, key=lambda result: result[0]))

    def measure(self, *, quick: bool, seed: int = 1, sizes: Sequence[int] = ()) -> dict[str, Sweep]:
        """Runs all tasks in this process, at the given or default sizes; the sweeps get no ``floor_s``."""
        tasks = [(size, seed) for size in sizes] if sizes else self.tasks(quick=quick, seed=seed)
        return self.gather([(size, self.run(size, quick, task_seed)) for size, task_seed in tasks])


def fill(sweeps: Sequence[Sweep], results: Sequence[Result]) -> dict[str, Sweep]:
    """Returns the sweeps with the finite points of the results; ``what`` names the sizes of infinite ones."""
    filled: dict[str, Sweep] = {}
    for sweep in sweeps:
        points = [(float(size), costs[sweep.name]) for size, costs in results]
        omitted = sorted({f"{size:g}" for size, cost in points if math.isinf(cost)}, key=float)
        description = sweep.what + (f" Not found, and left out, at {', '.join(omitted)}." if omitted else "")
        finite = tuple(point for point in points if math.isfinite(point[1]))
        filled[sweep.name] = structs.replace(sweep, what=description, points=finite)
    return filled
