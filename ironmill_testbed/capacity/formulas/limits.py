"""Search for the size of the fleet at which a cost reaches a limit."""

from __future__ import annotations

import math
from collections.abc import Callable

from msgspec import Struct

from ironmill_testbed.capacity.data import Sign
from ironmill_testbed.capacity.figure import Figure

MIN_MULTIPLE = 1e-3  # multiple of today's fleet at which the search for a limit begins
MAX_MULTIPLE = 1e7  # multiple of today's fleet at which the search ends
Cost = Callable[[float], Figure]  # the cost at a size


class SizeRange(Struct, frozen=True):
    """The range of sizes that is searched for a limit."""

    low: float
    high: float


def size_at_limit(cost: Cost, limit: float, sizes: SizeRange, errors: float = 0.0) -> float | None:
    """Returns the size at which an increasing cost, plus that many standard errors, reaches the limit.

    The result is 0 if the smallest size already exceeds the limit, infinity if the largest size does not,
    and None if the cost is unknown.
    """

    def cost_at(size: float) -> float | None:
        figure = cost(size)
        return None if figure.value is None else figure.value + errors * figure.error

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

    Its error is the larger of the two shifts that one standard error of the cost, up or down, causes.
    """
    value = size_at_limit(cost, limit, sizes)
    if value is None or not 0.0 < value < math.inf:
        return Figure(value, sign=sign)
    bounds = [size_at_limit(cost, limit, sizes, errors) for errors in (1.0, -1.0)]
    deviations = [abs(bound - value) for bound in bounds if bound is not None and bound < math.inf]
    return Figure(value, max(deviations, default=0.0), sign)


def factor_at_limit(cost: Cost, limit: float, today: float, sign: Sign = Sign.DERIVED) -> Figure:
    """Returns the multiple of today's size at which the cost reaches the limit."""
    size = size_at_limit_with_error(cost, limit, SizeRange(today * MIN_MULTIPLE, today * MAX_MULTIPLE), sign)
    return Figure(None if size.value is None else size.value / today, size.error / today, sign)
