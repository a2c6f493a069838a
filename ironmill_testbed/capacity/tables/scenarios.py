"""The table of scenarios with their measured figures."""

from __future__ import annotations

from ironmill_testbed.capacity.data import Sign
from ironmill_testbed.capacity.figure import NOT_RUN, Figure, plain_number, quantity, table
from ironmill_testbed.capacity.formulas import Model

SCENARIOS = ("rest", "rack", "zone", "region", "restarts", "storm", "control_killed", "loss")
PROPERTIES = ("lost_changes", "older_after_newer", "half_in_force", "stale_unnoticed", "clients_lost")
# Units by the suffix of a figure's name; the first suffix that matches is used.
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
    """Formats all scenarios, each with its properties and then its costs."""
    rows = [[name, NOT_RUN, "", ""] for name in SCENARIOS if name not in model.measured.scenarios]
    for name, figures in model.measured.scenarios.items():
        properties = [key for key in PROPERTIES if key in figures]
        costs = sorted(set(figures) - {*PROPERTIES, "sign"})
        cells = [
            "; ".join(text for key in keys if (text := _figure(key, figures[key])))
            for keys in (properties, costs)
        ]
        rows.append([name, _kind(figures.get("sign")), *cells])
    return table(["scenario", "run", "properties", "costs"], sorted(rows))


def _kind(sign: object) -> str:
    """Formats how a scenario was run, given the value or name of a sign, or any other text."""
    for known_sign in Sign:
        if sign in (known_sign.value, known_sign.name):
            return f"{known_sign.mark} {known_sign.value}"
    return f"{Sign.VIRTUAL.mark} {sign}" if sign else Sign.VIRTUAL.mark


def _figure(key: str, value: object) -> str:
    """Formats one figure with its name; an empty text for lists and other values that are only plotted."""
    suffix = next((suffix for suffix in _UNITS if key.endswith(suffix)), "")
    name = key.removesuffix(suffix).replace("_", " ")
    if suffix.endswith("highest_s"):
        name += " in the highest second"
    if value is None:
        return f"{name} {NOT_RUN}"
    if isinstance(value, (bool, str)):
        return f"{name} {value}"
    if not isinstance(value, (int, float)):
        return ""
    if isinstance(value, int) and not suffix:
        return f"{name} {plain_number(value)}"
    return f"{name} {quantity(Figure(float(value)), _UNITS.get(suffix, ''), signed=False)}"
