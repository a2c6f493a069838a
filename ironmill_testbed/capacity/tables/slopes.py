"""The table of measured sweeps with their fits."""

from __future__ import annotations

import math

from msgspec import structs

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.data import Fit, Shape, Sweep
from ironmill_testbed.capacity.figure import NOT_RUN, UNKNOWN, Figure, number, quantity, table
from ironmill_testbed.capacity.formulas import Model

ROUGH_RESIDUAL = 0.1  # fraction of the fitted value

_HEADINGS = [
    "sweep",
    "of",
    "sizes",
    "target",
    "shape",
    "constant or factor",
    "slope or exponent",
    "unit",
    "residual",
    "in floors: constant, slope",
    "run",
    "what was measured",
]
# Names of the sweeps that the formulas use.
EXPECTED = (
    "catch_up_bytes",
    "catch_up_page_cpu",
    "change_latency_p99",
    "control_rest_bytes",
    "core_floor_line",
    "core_floor_setup",
    "core_line_cpu",
    "core_memory",
    "core_setup_cpu",
    "keyspace_memory",
    "keyspace_put_cpu",
    "membership_memory",
    "membership_rest_bytes",
    "membership_rest_cpu",
    "membership_zone_bytes",
    "membership_zone_gone",
    "membership_zone_span",
    "origin_rest_bytes",
    "placement_cpu",
    "placement_group_cpu",
    "relay_memory",
    "relay_poll_cpu",
    "relay_push_cpu",
    "store_commit",
    "subscriber_rest_bytes",
    "subscriber_rest_cpu",
    "table_change_cpu",
    "table_change_live_cpu",
    "table_full_cpu",
    "table_memory",
    "table_parse_cpu",
)


def slopes(model: Model) -> str:
    """Formats every sweep with its fit, and the names of expected sweeps that were not run."""
    rows = [_row(model, model.measured.sweeps[name]) for name in sorted(model.measured.sweeps)]
    not_run = [name for name in EXPECTED if name not in model.measured.sweeps]
    rows += [[f"`{name}`", *[UNKNOWN] * (len(_HEADINGS) - 3), NOT_RUN, UNKNOWN] for name in not_run]
    return table(_HEADINGS, rows)


def rough_sweeps(model: Model) -> str:
    """Formats the names of the sweeps whose residual exceeds ``ROUGH_RESIDUAL``."""
    names = [
        name
        for name in sorted(model.measured.sweeps)
        if (fit := model.fit(name)) is not None and fit.residual > ROUGH_RESIDUAL
    ]
    return ", ".join(f"`{name}`" for name in names) or "none"


def _row(model: Model, sweep: Sweep) -> list[str]:
    fit = model.fit(sweep.name)
    fit_cells = ["no fit", "no fit", sweep.unit, UNKNOWN, UNKNOWN]
    if fit is not None:
        fit_cells = _fit_cells(model, sweep, fit)
    return [
        f"`{sweep.name}`",
        sweep.x,
        *_size_cells(model, sweep),
        sweep.shape.value,
        *fit_cells,
        f"{sweep.sign.mark} {sweep.sign.value}",
        sweep.what,
    ]


def _size_cells(model: Model, sweep: Sweep) -> list[str]:
    """Formats the measured sizes, and the target size with its distance from the largest of them."""
    sizes = sorted({x for x, _ in sweep.points})
    span = f"{number(sizes[0])} to {number(sizes[-1])}, {number(len(sizes))} of them" if sizes else UNKNOWN
    target_size = formulas.target_size_of(model, sweep)
    if target_size is None:
        return [span, UNKNOWN]
    if sizes and target_size > sizes[-1]:
        return [span, f"{number(target_size)}, {number(target_size / sizes[-1])} times beyond"]
    return [span, number(target_size)]


def _fit_cells(model: Model, sweep: Sweep, fit: Fit) -> list[str]:
    """Formats constant, slope, unit and residual of a fit, the first two also as multiples of the floor."""
    unit = "" if sweep.shape is Shape.POWER else sweep.unit
    floors = UNKNOWN
    if sweep.floor_s and sweep.shape is Shape.LINE:
        slope = in_powers_of_ten(fit.slope / sweep.floor_s, 0.0)
        floors = f"{number(fit.constant / sweep.floor_s)}, {slope}"
    return [
        quantity(Figure(fit.constant, fit.constant_error), sweep.unit, signed=False),
        in_powers_of_ten(fit.slope, fit.slope_error),
        f"{unit} each" if unit else "exponent",
        f"{_percent(fit.residual)}{_better_shape(model, sweep, fit)}",
        floors,
    ]


def _better_shape(model: Model, sweep: Sweep, fit: Fit) -> str:
    """Formats the residual of the other shape if it is smaller; otherwise returns an empty text."""
    shape = Shape.POWER if sweep.shape is Shape.LINE else Shape.LINE
    other_fit = formulas.fit_of(structs.replace(sweep, shape=shape))
    if other_fit is None or other_fit.residual >= fit.residual:
        return ""
    target_size = formulas.target_size_of(model, sweep)
    value_at_target = ""
    if target_size is not None:
        value_at_target = f", {quantity(Figure(other_fit.at(target_size)), sweep.unit, signed=False)} there"
    return f" ({shape.value}: {_percent(other_fit.residual)}{value_at_target})"


def _percent(fraction: float) -> str:
    return f"{number(round(fraction * 100.0, 6))} %"


def in_powers_of_ten(value: float, error: float) -> str:
    """Formats a value with a power of ten that is a multiple of three."""
    if value == 0.0:
        return quantity(Figure(value, error), signed=False)
    power = math.floor(round(math.log10(abs(value)), 9) / 3.0) * 3
    scaled = quantity(Figure(value / 10.0**power, error / 10.0**power), signed=False)
    return scaled if power == 0 else f"({scaled})e{power}"
