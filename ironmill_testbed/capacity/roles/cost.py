"""The cost of a role in the table, and the verdict on whether it is within its limit."""

from __future__ import annotations

from msgspec import Struct

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.figure import NOT_RUN, UNKNOWN, Figure, number, quantity
from ironmill_testbed.capacity.formulas import Gap, Model

# Names of the mechanisms in the table.
CORE = "[core](core.md): one process, one event loop"
PROCESSES = "[core](core.md), several processes behind one address"
MEMBERSHIP = "[membership](membership.md), one flat view"
DISTRIBUTION = "[distribution](distribution.md)"
KEYSPACE = "[distribution](distribution.md), compact keyspace"
BOTH = "[membership](membership.md) and [distribution](distribution.md)"
TABLE = "routing table, one flat list"
WATCH = "watch on discovery, one per proxy"
BACKOFF = "[discovery backoff](fleet.md)"
HEALTH_CHECKS = "[health checks](fleet.md)"
ONE_TO_ONE = "relaying one to one"
TOOL = "`ironmill config`"

LOAD_SWEEPS = ("core_line_cpu", "core_setup_cpu")
RELAY_SWEEPS = ("relay_poll_cpu", "relay_push_cpu")


class RoleCost(Struct, frozen=True):
    """A cost of a role at the target size, with its limit."""

    name: str
    figure: Figure
    unit: str = ""
    mechanism: str = ""  # empty if there is none
    limit: Figure | float | None = None  # a float if the plan gives the number itself
    sweeps: tuple[str, ...] = ()
    factor: Figure = Figure(None)  # multiple of today's fleet at which the limit is reached
    required: float = 0.0  # multiple of today's fleet that the target needs

    @property
    def limit_value(self) -> float | None:
        """The limit as a number, or None if there is none or its value is unknown."""
        return self.limit.value if isinstance(self.limit, Figure) else self.limit

    def cells(self) -> list[str]:
        """Formats the cells of this cost's row in the table."""
        if isinstance(self.limit, Figure):
            limit = quantity(self.limit, self.unit)
        elif self.limit is None:
            limit = UNKNOWN
        else:
            limit = quantity(Figure(self.limit), self.unit, signed=False)
        basis = ", ".join(f"`{name}`" for name in self.sweeps) or "the plan"
        mechanism = self.mechanism or "none"
        return [self.name, quantity(self.figure, self.unit), limit, basis, mechanism, verdict(self)]


def verdict(cost: RoleCost) -> str:
    """Formats whether a cost is within its limit, and if not, from which multiple of today's fleet."""
    value, limit = cost.figure.value, cost.limit_value
    if not cost.mechanism:
        return "**no mechanism**"
    if value is None:
        return NOT_RUN
    if limit is None:
        return "no limit is given"
    if value <= limit:
        within_error = value + cost.figure.error > limit
        return "within the limit, by less than its error" if within_error else "within the limit"
    return _excess(cost, value / limit)


def _excess(cost: RoleCost, limit_ratio: float) -> str:
    if cost.factor.value is None:
        return f"**over, {number(limit_ratio)} times the limit**"
    if cost.factor.value == 0.0:
        return "**exceeded at any size**"
    return f"**exceeded at {quantity(cost.factor)} times today's fleet**, {number(cost.required)} required"


def gap_of(model: Model, sweep: str) -> Gap:
    """Returns the gap whose factor comes from a sweep."""
    return next(gap for gap in formulas.gaps(model) if gap.sweep == sweep)
