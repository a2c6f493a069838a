"""The tables of the plan's figures, from which the page is computed."""

from __future__ import annotations

from msgspec import Struct

from ironmill_testbed.capacity.data import Sign
from ironmill_testbed.capacity.figure import plain_number, table
from ironmill_testbed.capacity.formulas import Model
from ironmill_testbed.capacity.plan import Assumption


def target(model: Model) -> str:
    """Formats the figures of the target fleet."""
    return _fields("target", model.plan.target)


def today(model: Model) -> str:
    """Formats the figures of today's fleet and the values that the program guarantees."""
    return _fields("today's", model.plan.today)


def _fields(heading: str, figures: Struct) -> str:
    names = figures.__struct_fields__
    return table(
        [heading, ""], [[name.replace("_", " "), plain_number(getattr(figures, name))] for name in names]
    )


def assumptions(model: Model) -> str:
    """Formats the assumptions, each with its reason."""
    rows = []
    for name in model.plan.assumed.__struct_fields__:
        assumption: Assumption = getattr(model.plan.assumed, name)
        formatted_value = f"{plain_number(assumption.value)} {assumption.unit} {Sign.ASSUMED.mark}"
        rows.append([name.replace("_", " "), formatted_value, assumption.why])
    return table(["assumed", "", "why"], rows)
