"""The table of costs by role, each with its limit and whether the cost is within it.

The package contains the costs of every role; it may import `formulas` and `figure`.
All figures are computed by formulas; string literals contain none.
"""

from __future__ import annotations

from ironmill_testbed.capacity.figure import table
from ironmill_testbed.capacity.formulas import Model
from ironmill_testbed.capacity.roles.control import control
from ironmill_testbed.capacity.roles.control_machine import origin, relay
from ironmill_testbed.capacity.roles.cost import RoleCost, verdict
from ironmill_testbed.capacity.roles.data_path import data_path
from ironmill_testbed.capacity.roles.dependencies import discovery, operator_tool, server

__all__ = ["RoleCost", "roles", "verdict"]

_HEADINGS = ["role", "cost", "at the target size", "limit", "based on", "mechanism", "verdict"]


def roles(model: Model) -> str:
    """Formats one row for each cost of each role."""
    costs = {
        "proxy, data path": data_path(model),
        "proxy, control": control(model),
        "control machine (relay)": relay(model),
        "discovery's agent": discovery(model),
        "server": server(model),
        "origin, orders changes": origin(model),
        "operator's tool": operator_tool(),
    }
    rows = [
        ["" if index else role, *cost.cells()]
        for role, role_costs in costs.items()
        for index, cost in enumerate(role_costs)
    ]
    return table(_HEADINGS, rows)
