"""A kind of run: the sizes it is measured at, and the sweeps that its results belong to."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from msgspec import structs

from ironmill_testbed.capacity.data import Sweep

Costs = dict[str, float]  # by name of the sweep; ``inf`` for one that was not found
Result = tuple[int, Costs]  # the size and its costs


@dataclass(frozen=True, slots=True)
class Runs:
    """One kind of run; its function must belong to a module, as it is executed in a separate process."""

    run: Callable[[int, bool, int], Costs]  # size, quick, seed
    sweeps: tuple[Sweep, ...]  # without points
    sizes: tuple[int, ...]
    quick: tuple[int, ...]  # the sizes of a quick run
    repeats: int = 1  # runs at each size, with different seeds, unless quick

    def tasks(self, *, quick: bool, seed: int) -> list[tuple[int, int]]:
        """Returns sizes and seeds, the largest size first."""
        sizes, repeats = (self.quick, 1) if quick else (self.sizes, self.repeats)
        return [(size, seed + repeat) for size in sorted(sizes, reverse=True) for repeat in range(repeats)]

    def gather(self, results: Iterable[Result]) -> dict[str, Sweep]:
        """Returns the sweeps with their points, as `fill` does, by ascending size."""
        return fill(self.sweeps, sorted(results, key=lambda result: result[0]))

    def measure(self, *, quick: bool, seed: int = 1, sizes: Sequence[int] = ()) -> dict[str, Sweep]:
        """Runs all tasks in this process, at the given sizes or its own, without a floor beside them."""
        tasks = [(size, seed) for size in sizes] if sizes else self.tasks(quick=quick, seed=seed)
        return self.gather([(size, self.run(size, quick, task_seed)) for size, task_seed in tasks])


def fill(sweeps: Sequence[Sweep], results: Sequence[Result]) -> dict[str, Sweep]:
    """Returns the sweeps with the points of the results; a cost that is not finite is named and omitted."""
    found: dict[str, Sweep] = {}
    for sweep in sweeps:
        points = [(float(size), costs[sweep.name]) for size, costs in results]
        omitted = sorted({f"{size:g}" for size, cost in points if math.isinf(cost)}, key=float)
        what = sweep.what + (f" Not found, and left out, at {', '.join(omitted)}." if omitted else "")
        finite = tuple(point for point in points if math.isfinite(point[1]))
        found[sweep.name] = structs.replace(sweep, what=what, points=finite)
    return found
