"""Finds the size of the fleet at which a cost reaches a limit."""

from __future__ import annotations

import math
from collections.abc import Callable

from msgspec import Struct

from ironmill_testbed.capacity.data import Sign
from ironmill_testbed.capacity.figure import Figure

MIN_MULTIPLE = 1e-3  # of today's fleet, for the search of a limit
MAX_MULTIPLE = 1e7
Cost = Callable[[float], Figure]  # the cost at a size


class SizeRange(Struct, frozen=True):
    """The sizes between which a limit is searched for."""

    low: float
    high: float


def size_at_limit(cost: Cost, limit: float, sizes: SizeRange, errors: float = 0.0) -> float | None:
    """Returns the size at which an increasing cost, plus that many standard errors, reaches the limit.

    0 if the smallest size exceeds it, infinity if the largest does not, None if the cost is unknown.
    """

    def cost_at(size: float) -> float | None:
        found = cost(size)
        return None if found.value is None else found.value + errors * found.error

    low, high = sizes.low, sizes.high
    lowest_cost, highest_cost = cost_at(low), cost_at(high)
    if lowest_cost is None or highest_cost is None:
        return None
    if lowest_cost > limit:
        return 0.0
    if highest_cost <= limit:
        return math.inf
    while high / low > 1.0 + 1e-9:
        middle = math.sqrt(low * high)
        if (cost_at(middle) or 0.0) > limit:
            high = middle
        else:
            low = middle
    return low


def size_at_limit_with_error(cost: Cost, limit: float, sizes: SizeRange, sign: Sign = Sign.DERIVED) -> Figure:
    """Returns the size at which the cost reaches the limit.

    Its error is the larger change that one standard error of the cost, up or down, makes.
    """
    value = size_at_limit(cost, limit, sizes)
    if value is None or not 0.0 < value < math.inf:
        return Figure(value, sign=sign)
    ends = [size_at_limit(cost, limit, sizes, errors) for errors in (1.0, -1.0)]
    deviations = [abs(end - value) for end in ends if end is not None and end < math.inf]
    return Figure(value, max(deviations, default=0.0), sign)


def factor_at_limit(cost: Cost, limit: float, today: float, sign: Sign = Sign.DERIVED) -> Figure:
    """Returns the multiple of today's size at which the cost reaches the limit."""
    found = size_at_limit_with_error(cost, limit, SizeRange(today * MIN_MULTIPLE, today * MAX_MULTIPLE), sign)
    return Figure(None if found.value is None else found.value / today, found.error / today, sign)
