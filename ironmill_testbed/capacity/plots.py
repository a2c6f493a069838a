"""Plots for ``docs/CAPACITY.md``: cost by size with the fits, and the distribution of a change."""

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
_DOTS_PER_INCH = 60  # a low resolution keeps the files small
_CURVE_POINTS = 61


def draw(model: Model, folder: Path) -> list[Path]:
    """Writes the plots whose data were measured to a folder and returns their paths."""
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
    paths = []
    if model.measured.sweeps:
        paths.append(_draw_slopes(model, folder / "slopes.png"))
    if "change_latency_p99" in model.measured.sweeps or _distributions(model):
        paths.append(_draw_change(model, folder / "change.png"))
    return paths


def _draw_slopes(model: Model, path: Path) -> Path:
    from matplotlib import pyplot as plt

    sweeps = [model.measured.sweeps[name] for name in sorted(model.measured.sweeps)]
    rows = math.ceil(len(sweeps) / _COLUMNS)
    figure, axes = plt.subplots(rows, _COLUMNS, figsize=(2.6 * _COLUMNS, 2.2 * rows), squeeze=False)
    flat_axes = [axis for row in axes for axis in row]
    for axis in flat_axes[len(sweeps) :]:
        axis.axis("off")
    for axis, sweep in zip(flat_axes, sweeps, strict=False):
        _draw_sweep(axis, model, sweep)
    figure.savefig(path, metadata={"Software": None})
    plt.close(figure)
    return path


def _draw_sweep(axis: Axes, model: Model, sweep: Sweep) -> None:
    """Draws the points of a sweep, its fit with the error band, and the target size as a dotted line."""
    axis.plot([x for x, _ in sweep.points], [y for _, y in sweep.points], "o", markersize=3)
    target_size = formulas.target_size_of(model, sweep)
    fit = model.fit(sweep.name)
    sizes = sorted({x for x, _ in sweep.points if x > 0.0})
    if fit is not None and sizes:
        largest_size = max(sizes[-1], target_size or 0.0)
        _draw_fit(axis, fit, sizes[0], largest_size)
        if all(y > 0.0 for _, y in sweep.points) and _is_positive(fit, sizes[0], largest_size):
            axis.set_yscale("log")
    if target_size is not None:
        axis.axvline(target_size, linestyle=":", linewidth=1, color="gray")
    axis.set_title(sweep.name)
    axis.set_xlabel(f"{sweep.x} (dotted: target)" if target_size is not None else sweep.x)
    axis.set_ylabel(sweep.unit)


def _draw_fit(axis: Axes, fit: Fit, smallest_size: float, largest_size: float) -> None:
    sizes = _curve_sizes(smallest_size, largest_size)
    axis.plot(sizes, [fit.at(x) for x in sizes], linewidth=1)
    lower = [fit.at(x) - fit.error_at(x) for x in sizes]
    upper = [fit.at(x) + fit.error_at(x) for x in sizes]
    axis.fill_between(sizes, lower, upper, alpha=0.25)
    axis.set_xscale("log")


def _curve_sizes(low: float, high: float) -> list[float]:
    steps = _CURVE_POINTS - 1
    return [low * (high / low) ** (step / steps) for step in range(_CURVE_POINTS)]


def _is_positive(fit: Fit, low: float, high: float) -> bool:
    return all(fit.at(x) > 0.0 for x in _curve_sizes(low, high))


def _distributions(model: Model) -> dict[str, list[tuple[float, float]]]:
    """Returns, by scenario, (seconds after a change, fraction of the proxies with it in force)."""
    distributions = {}
    for name, figures in sorted(model.measured.scenarios.items()):
        points = figures.get("in_force_by")
        if isinstance(points, list) and points:
            distributions[name] = [(float(delay), float(fraction)) for delay, fraction in points]
    return distributions


def _draw_change(model: Model, path: Path) -> Path:
    from matplotlib import pyplot as plt

    target = model.plan.target
    figure, (distribution_axis, percentile_axis) = plt.subplots(1, 2, figsize=(10, 3.2))
    for name, points in _distributions(model).items():
        delays, percents = [delay for delay, _ in points], [100.0 * fraction for _, fraction in points]
        distribution_axis.step(delays, percents, where="post", label=name)
    distribution_axis.axvline(target.in_force_s, linestyle=":", color="gray")
    distribution_axis.set_title("distribution of a change in the fleet")
    distribution_axis.set_xlabel("s after it was made (dotted: target)")
    distribution_axis.set_ylabel("% of the proxies have it in force")
    if distribution_axis.get_legend_handles_labels()[0]:
        distribution_axis.legend()
    sweep = model.measured.sweeps.get("change_latency_p99")
    if sweep is not None:
        _draw_sweep(percentile_axis, model, sweep)
        percentile_axis.axhline(target.in_force_s, linestyle=":", color="gray")
    change_bytes = formulas.assumed(model.plan.assumed.change).value
    percentile_axis.set_title(f"99th percentile against size, a change of {change_bytes:g} B")
    figure.savefig(path, metadata={"Software": None})
    plt.close(figure)
    return path
