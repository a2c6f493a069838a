"""Plots beside ``docs/CAPACITY.md``: cost against size with the fits, and the distribution of a change."""

from __future__ import annotations

import math
from pathlib import Path
from typing import TYPE_CHECKING

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.data import Fit, Sweep
from ironmill_testbed.capacity.formulas import Model

if TYPE_CHECKING:
    from matplotlib.axes import Axes

_COLUMNS = 5
_DOTS_PER_INCH = 60  # keeps the files small
_CURVE_POINTS = 61


def draw(model: Model, folder: Path) -> list[Path]:
    """Writes the plots whose data exist to a folder and returns their paths."""
    import matplotlib as mpl

    mpl.use("Agg")
    mpl.rcParams.update(
        {
            "font.size": 7,
            "axes.titlesize": 8,
            "savefig.dpi": _DOTS_PER_INCH,
            "figure.constrained_layout.use": True,
        }
    )
    found = []
    if model.measured.sweeps:
        found.append(_draw_slopes(model, folder / "slopes.png"))
    if "change_latency_p99" in model.measured.sweeps or _distributions(model):
        found.append(_draw_change(model, folder / "change.png"))
    return found


def _draw_slopes(model: Model, path: Path) -> Path:
    from matplotlib import pyplot as plt

    sweeps = [model.measured.sweeps[name] for name in sorted(model.measured.sweeps)]
    rows = math.ceil(len(sweeps) / _COLUMNS)
    figure, axes = plt.subplots(rows, _COLUMNS, figsize=(2.6 * _COLUMNS, 2.2 * rows), squeeze=False)
    flat = [axis for row in axes for axis in row]
    for axis in flat[len(sweeps) :]:
        axis.axis("off")
    for axis, sweep in zip(flat, sweeps, strict=False):
        _draw_sweep(axis, model, sweep)
    figure.savefig(path, metadata={"Software": None})
    plt.close(figure)
    return path


def _draw_sweep(axis: Axes, model: Model, sweep: Sweep) -> None:
    """Draws points, fit with its error, and the target size as a dotted line."""
    axis.plot([x for x, _ in sweep.points], [y for _, y in sweep.points], "o", markersize=3)
    target = formulas.target_size_of(model, sweep)
    fit = model.fit(sweep.name)
    sizes = sorted({x for x, _ in sweep.points if x > 0.0})
    if fit is not None and sizes:
        end = max(sizes[-1], target or 0.0)
        _draw_fit(axis, fit, sizes[0], end)
        if all(y > 0.0 for _, y in sweep.points) and _is_positive(fit, sizes[0], end):
            axis.set_yscale("log")
    if target is not None:
        axis.axvline(target, linestyle=":", linewidth=1, color="gray")
    axis.set_title(sweep.name)
    axis.set_xlabel(f"{sweep.x} (dotted: target)" if target is not None else sweep.x)
    axis.set_ylabel(sweep.unit)


def _draw_fit(axis: Axes, fit: Fit, low: float, high: float) -> None:
    curve = _curve_sizes(low, high)
    axis.plot(curve, [fit.at(x) for x in curve], linewidth=1)
    lower = [fit.at(x) - fit.error_at(x) for x in curve]
    upper = [fit.at(x) + fit.error_at(x) for x in curve]
    axis.fill_between(curve, lower, upper, alpha=0.25)
    axis.set_xscale("log")


def _curve_sizes(low: float, high: float) -> list[float]:
    steps = _CURVE_POINTS - 1
    return [low * (high / low) ** (step / steps) for step in range(_CURVE_POINTS)]


def _is_positive(fit: Fit, low: float, high: float) -> bool:
    return all(fit.at(x) > 0.0 for x in _curve_sizes(low, high))


def _distributions(model: Model) -> dict[str, list[tuple[float, float]]]:
    """Returns by scenario (seconds after the change, fraction of the proxies in which it is in force)."""
    found = {}
    for name, figures in sorted(model.measured.scenarios.items()):
        points = figures.get("in_force_by")
        if isinstance(points, list) and points:
            found[name] = [(float(delay), float(fraction)) for delay, fraction in points]
    return found


def _draw_change(model: Model, path: Path) -> Path:
    from matplotlib import pyplot as plt

    target = model.plan.target
    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 3.2))
    for name, points in _distributions(model).items():
        delays, percents = [delay for delay, _ in points], [100.0 * fraction for _, fraction in points]
        left.step(delays, percents, where="post", label=name)
    left.axvline(target.in_force_s, linestyle=":", color="gray")
    left.set_title("distribution of a change in the fleet")
    left.set_xlabel("s after it was made (dotted: target)")
    left.set_ylabel("% of the proxies have it in force")
    if left.get_legend_handles_labels()[0]:
        left.legend()
    sweep = model.measured.sweeps.get("change_latency_p99")
    if sweep is not None:
        _draw_sweep(right, model, sweep)
        right.axhline(target.in_force_s, linestyle=":", color="gray")
    change = formulas.assumed(model.plan.assumed.change).value
    right.set_title(f"99th percentile against size, a change of {change:g} B")
    figure.savefig(path, metadata={"Software": None})
    plt.close(figure)
    return path
