"""The Markdown tables of ``docs/CAPACITY.md`` and ``docs/ROADMAP.md``, except the table of costs by role.

The package contains their rows and texts; it may import `formulas`, `figure`, `data` and `plan`.
All figures are computed by formulas; string literals contain none.
"""

from ironmill_testbed.capacity.tables.catch_up import full_catch_up
from ironmill_testbed.capacity.tables.events import events
from ironmill_testbed.capacity.tables.inputs import assumptions, target, today
from ironmill_testbed.capacity.tables.mechanisms import (
    deliveries,
    format_delivery_share,
    format_factor,
    format_state,
    mechanism_gaps,
    roadmap,
)
from ironmill_testbed.capacity.tables.scenarios import SCENARIOS, scenarios
from ironmill_testbed.capacity.tables.slopes import EXPECTED, ROUGH_RESIDUAL, rough_sweeps, slopes

__all__ = [
    "EXPECTED",
    "ROUGH_RESIDUAL",
    "SCENARIOS",
    "assumptions",
    "deliveries",
    "events",
    "format_delivery_share",
    "format_factor",
    "format_state",
    "full_catch_up",
    "mechanism_gaps",
    "roadmap",
    "rough_sweeps",
    "scenarios",
    "slopes",
    "target",
    "today",
]
