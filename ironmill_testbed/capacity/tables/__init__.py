"""The tables of ``docs/CAPACITY.md`` and ``docs/ROADMAP.md`` but for that by role, as Markdown.

The package owns their rows and words; it may import `formulas`, `figure`, `data` and `plan`.
Every figure comes from a formula: no text contains one.
"""

from ironmill_testbed.capacity.tables.catch_up import full_catch_up
from ironmill_testbed.capacity.tables.events import events
from ironmill_testbed.capacity.tables.inputs import assumptions, target, today
from ironmill_testbed.capacity.tables.mechanisms import (
    deliveries,
    factor_of,
    missing,
    roadmap,
    share_of,
    state_of,
)
from ironmill_testbed.capacity.tables.scenarios import SCENARIOS, scenarios
from ironmill_testbed.capacity.tables.slopes import EXPECTED, ROUGH_RESIDUAL, rough, slopes

__all__ = [
    "EXPECTED",
    "ROUGH_RESIDUAL",
    "SCENARIOS",
    "assumptions",
    "deliveries",
    "events",
    "factor_of",
    "full_catch_up",
    "missing",
    "roadmap",
    "rough",
    "scenarios",
    "share_of",
    "slopes",
    "state_of",
    "target",
    "today",
]
