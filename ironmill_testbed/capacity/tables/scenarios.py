"""The table of scenarios that were run."""

from __future__ import annotations

from ironmill_testbed.capacity.data import Sign
from ironmill_testbed.capacity.figure import NOT_RUN, Figure, plain, quantity, table
from ironmill_testbed.capacity.formulas import Model

SCENARIOS = ("rest", "rack", "zone", "region", "restarts", "storm", "control_killed", "loss")
PROPERTIES = ("lost_changes", "older_after_newer", "half_in_force", "stale_unnoticed", "clients_lost")
# Units by the ending of a figure's name; the first that matches counts.
_UNITS = {
    "_bytes_per_s": "B/s",
    "_bytes_highest_s": "B/s",
    "_highest_s": "/s",
    "_per_s": "/s",
    "_mb": "MB",
    "_ms": "ms",
    "_s": "s",
    "_percent": "%",
    "_bytes": "B",
}


def scenarios(model: Model) -> str:
    """Formats all figures of all scenarios: properties, then costs."""
    rows = [[name, NOT_RUN, "", ""] for name in SCENARIOS if name not in model.measured.scenarios]
    for name, found in model.measured.scenarios.items():
        properties = [key for key in PROPERTIES if key in found]
        costs = sorted(set(found) - {*PROPERTIES, "sign"})
        cells = [
            "; ".join(text for key in keys if (text := _figure(key, found[key])))
            for keys in (properties, costs)
        ]
        rows.append([name, _kind(found.get("sign")), *cells])
    return table(["scenario", "run", "properties", "costs"], sorted(rows))


def _kind(sign: object) -> str:
    """Formats how a scenario was run: by the value or name of a sign, or by other text."""
    for known in Sign:
        if sign in (known.value, known.name):
            return f"{known.mark} {known.value}"
    return f"{Sign.VIRTUAL.mark} {sign}" if sign else Sign.VIRTUAL.mark


def _figure(key: str, value: object) -> str:
    """Formats one figure with its name; empty for lists and other values that are only plotted."""
    ending = next((ending for ending in _UNITS if key.endswith(ending)), "")
    name = key.removesuffix(ending).replace("_", " ")
    if ending.endswith("highest_s"):
        name += " in the highest second"
    if value is None:
        return f"{name} {NOT_RUN}"
    if isinstance(value, (bool, str)):
        return f"{name} {value}"
    if not isinstance(value, (int, float)):
        return ""
    if isinstance(value, int) and not ending:
        return f"{name} {plain(value)}"
    return f"{name} {quantity(Figure(float(value)), _UNITS.get(ending, ''), signed=False)}"
