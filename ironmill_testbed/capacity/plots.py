"""Plots beside ``docs/CAPACITY.md``: cost against size with the fits, a change's way through the fleet."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.data import Sweep
from ironmill_testbed.capacity.formulas import Model

COLUMNS = 5
DOTS = 60  # an inch: small files


def draw(model: Model, folder: Path) -> list[Path]:
    """Write the plots there; those whose data are not there are left out."""
    import matplotlib as mpl

    mpl.use("Agg")
    mpl.rcParams.update(
        {"font.size": 7, "axes.titlesize": 8, "savefig.dpi": DOTS, "figure.constrained_layout.use": True}
    )
    from matplotlib import pyplot as plt

    found = []
    if model.measured.sweeps:
        found.append(_slopes(plt, model, folder / "slopes.png"))
    if "change_latency_p99" in model.measured.sweeps or _ways(model):
        found.append(_change(plt, model, folder / "change.png"))
    return found


def _slopes(plt: Any, model: Model, path: Path) -> Path:
    sweeps = [model.measured.sweeps[name] for name in sorted(model.measured.sweeps)]
    rows = math.ceil(len(sweeps) / COLUMNS)
    figure, axes = plt.subplots(rows, COLUMNS, figsize=(2.6 * COLUMNS, 2.2 * rows), squeeze=False)
    flat = [axis for row in axes for axis in row]
    for axis in flat[len(sweeps) :]:
        axis.axis("off")
    for axis, sweep in zip(flat, sweeps, strict=False):
        _one(axis, model, sweep)
    figure.savefig(path, metadata={"Software": None})
    plt.close(figure)
    return path


def _one(axis: Any, model: Model, sweep: Sweep) -> None:
    """Points, fit with its error, and the letter's size as a line."""
    axis.plot([x for x, _ in sweep.points], [y for _, y in sweep.points], "o", markersize=3)
    asked = model.size_of(sweep)
    fit = model.fit(sweep.name)
    sizes = sorted({x for x, _ in sweep.points if x > 0.0})
    if fit is not None and sizes:
        low, high = sizes[0], max(sizes[-1], asked or 0.0)
        line = [low * (high / low) ** (step / 60.0) for step in range(61)]
        axis.plot(line, [fit.at(x) for x in line], linewidth=1)
        low_side = [fit.at(x) - fit.error_at(x) for x in line]
        axis.fill_between(line, low_side, [fit.at(x) + fit.error_at(x) for x in line], alpha=0.25)
        axis.set_xscale("log")
        if all(y > 0.0 for _, y in sweep.points) and all(fit.at(x) > 0.0 for x in line):
            axis.set_yscale("log")
    if asked is not None:
        axis.axvline(asked, linestyle=":", linewidth=1, color="gray")
    axis.set_title(sweep.name)
    axis.set_xlabel(f"{sweep.x} (dotted: the letter's)" if asked is not None else sweep.x)
    axis.set_ylabel(sweep.unit)


def _ways(model: Model) -> dict[str, list[tuple[float, float]]]:
    """By story: (seconds after the change, share of the proxies in which it is in force)."""
    found = {}
    for name, figures in sorted(model.measured.stories.items()):
        way = figures.get("in_force_by")
        if isinstance(way, list) and way:
            found[name] = [(float(at), float(share)) for at, share in way]
    return found


def _change(plt: Any, model: Model, path: Path) -> Path:
    letter = model.plan.letter
    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 3.2))
    for name, way in _ways(model).items():
        left.step([at for at, _ in way], [100.0 * share for _, share in way], where="post", label=name)
    left.axvline(letter.in_force_s, linestyle=":", color="gray")
    left.set_title("a change's way through the fleet")
    left.set_xlabel("s after it was made (dotted: the letter's)")
    left.set_ylabel("% of the proxies have it in force")
    if left.get_legend_handles_labels()[0]:
        left.legend()
    sweep = model.measured.sweeps.get("change_latency_p99")
    if sweep is not None:
        _one(right, model, sweep)
        right.axhline(letter.in_force_s, linestyle=":", color="gray")
    share = formulas.assumed(model.plan.assumed.change).value
    right.set_title(f"99th percentile against size, a change of {share:g} B")
    figure.savefig(path, metadata={"Software": None})
    plt.close(figure)
    return path
