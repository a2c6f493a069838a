"""The data behind ``docs/CAPACITY.md``: sweeps with their fits, and what the stories cost.

``docs/capacity/measured.json`` is written by ``python -m ironmill_testbed measure scale`` and read by
the page's formulas. Only points are stored; fits are worked out from them each time, so that the two
cannot differ.
"""

from __future__ import annotations

import math
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
from msgspec import Struct

MEASURED = Path(__file__).parents[2] / "docs" / "capacity" / "measured.json"
POINTS_LEAST = 5  # sizes in a sweep


class Sign(Enum):
    """How a figure came about; every figure on the page carries one of the three signs."""

    REAL = "real processes"  # run
    HOLLOW = "hollow processes on sockets"  # run
    VIRTUAL = "virtual clock"  # run
    DERIVED = "worked out"
    ASSUMED = "assumed"

    @property
    def mark(self) -> str:
        """The sign on the page: run, worked out or assumed."""
        return {Sign.DERIVED: "=", Sign.ASSUMED: "?"}.get(self, "✓")


class Shape(Enum):
    """What is fitted."""

    LINE = "line"  # y = constant + slope x
    POWER = "power"  # y = factor x ** exponent


class Fit(Struct, frozen=True):
    """A fitted curve and how far it may be off."""

    shape: Shape
    constant: float  # of a power law: its factor
    slope: float  # of a power law: its exponent
    constant_error: float  # one standard error
    slope_error: float
    residual: float  # root of the mean square of (measured - fitted) / fitted

    def at(self, x: float) -> float:
        """The fitted value at this size."""
        if self.shape is Shape.LINE:
            return self.constant + self.slope * x
        return self.constant * float(x**self.slope)

    def error_at(self, x: float) -> float:
        """One standard error of the fitted value, constant's and slope's added."""
        if self.shape is Shape.LINE:
            return self.constant_error + self.slope_error * x
        relative = self.constant_error / max(self.constant, 1e-300) + self.slope_error * math.log(x)
        return self.at(x) * relative


class Sweep(Struct, frozen=True, forbid_unknown_fields=True):
    """One cost against one size."""

    name: str
    what: str  # one sentence: what was measured, of which program's code
    x: str  # what the size counts
    unit: str  # of the cost: s, B, B/s, floor (times the bare epoll floor of the same run)
    sign: Sign
    points: tuple[tuple[float, float], ...]  # several of one size are several runs
    shape: Shape = Shape.LINE
    floor_s: float | None = None  # where time is measured: seconds a line of the bare epoll floor, same run

    def fit(self) -> Fit:
        """Least squares weighted by 1/y, so that small sizes count as much as large ones.

        ValueError if there are fewer than ``POINTS_LEAST`` sizes.
        """
        if len({x for x, _ in self.points}) < POINTS_LEAST:
            raise ValueError(f"{self.name}: a sweep has {POINTS_LEAST} sizes at least")
        x = np.array([point[0] for point in self.points])
        y = np.array([point[1] for point in self.points])
        if self.shape is Shape.LINE:
            weights = 1.0 / np.maximum(np.abs(y), _floor(y))
            (slope, constant), spread = np.polyfit(x, y, 1, w=weights, cov=True)
            errors = np.sqrt(np.diag(spread))
        else:
            (slope, constant), spread = np.polyfit(np.log(x), np.log(y), 1, cov=True)
            errors = np.sqrt(np.diag(spread))
            constant = math.exp(constant)
            errors[1] *= constant
        fit = Fit(self.shape, float(constant), float(slope), float(errors[1]), float(errors[0]), 0.0)
        least = _floor(y)
        off = [(value - fit.at(size)) / max(abs(fit.at(size)), least) for size, value in self.points]
        return msgspec.structs.replace(fit, residual=math.sqrt(sum(one * one for one in off) / len(off)))


def _floor(costs: Any) -> float:
    """What a cost of nothing counts as, or it would outweigh all others: the least that is something."""
    return float(min((cost for cost in np.abs(costs) if cost > 0.0), default=1e-12))


class Measured(Struct, frozen=True, forbid_unknown_fields=True):
    """All that ``measure scale`` found."""

    sweeps: dict[str, Sweep]
    stories: dict[str, dict[str, Any]]  # by story: figures by name, None where one could not be run
    machine: dict[str, Any]  # cores, Python's version


def load(path: Path = MEASURED) -> Measured:
    """The committed data; ``msgspec.ValidationError`` if it is not in form."""
    return msgspec.json.decode(path.read_bytes(), type=Measured)


def save(measured: Measured, path: Path = MEASURED) -> None:
    """Write it in a form whose changes can be read line by line."""
    data = msgspec.json.format(msgspec.json.encode(measured, order="sorted"), indent=1)
    path.write_bytes(data + b"\n")


def merge(new: Measured, path: Path = MEASURED) -> Measured:
    """What is on file, with these sweeps and stories in place of those of the same name."""
    if not path.exists():
        return new
    old = load(path)
    return Measured(old.sweeps | new.sweeps, old.stories | new.stories, new.machine or old.machine)
