"""What a kind of run is: the sizes it goes through, and the sweeps that its results fill."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from msgspec import structs

from ironmill_testbed.capacity.data import Sweep

Result = tuple[int, dict[str, float]]  # a size, and the costs found at it by the sweeps' names


@dataclass(frozen=True, slots=True)
class Runs:
    """One kind of run. It has to be a function of a module, for it runs in a process of its own."""

    run: Callable[[int, bool, int], dict[str, float]]  # size, quick, seed
    sweeps: tuple[Sweep, ...]  # without points
    sizes: tuple[int, ...]
    quick: tuple[int, ...]
    repeats: int = 1  # runs at each size in full, each with a seed of its own

    def tasks(self, quick: bool, seed: int) -> list[tuple[int, int]]:
        """Sizes and seeds, the dearest first."""
        sizes, repeats = (self.quick, 1) if quick else (self.sizes, self.repeats)
        return [(size, seed + more) for size in sorted(sizes, reverse=True) for more in range(repeats)]

    def gather(self, results: Iterable[Result]) -> dict[str, Sweep]:
        """The sweeps with their points. What was not found at a size, ``inf``, is left out and told."""
        return fill(self.sweeps, sorted(results, key=lambda result: result[0]))

    def alone(self, quick: bool, seed: int = 1, sizes: Sequence[int] = ()) -> dict[str, Sweep]:
        """All of it in this process, at these sizes or its own; no floor is measured beside it."""
        tasks = [(size, seed) for size in sizes] if sizes else self.tasks(quick, seed)
        return self.gather([(size, self.run(size, quick, one)) for size, one in tasks])


def fill(sweeps: Sequence[Sweep], results: Sequence[Result]) -> dict[str, Sweep]:
    """The sweeps with the points of these results, but for those that are not finite."""
    found: dict[str, Sweep] = {}
    for sweep in sweeps:
        points = [(float(size), costs[sweep.name]) for size, costs in results]
        unfound = sorted({f"{size:g}" for size, cost in points if math.isinf(cost)}, key=float)
        what = sweep.what + (f" Not found, and left out, at {', '.join(unfound)}." if unfound else "")
        kept = tuple(point for point in points if math.isfinite(point[1]))
        found[sweep.name] = structs.replace(sweep, what=what, points=kept)
    return found
