"""The data behind ``docs/CAPACITY.md``: sweeps with their fits, and figures of scenarios.

``docs/capacity/measured.json`` is written by ``python -m ironmill_testbed measure scale`` and read by
the page's formulas. Only points are stored; fits are computed from them each time, so that the two
cannot differ.
"""

from __future__ import annotations

import math
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import numpy.typing as npt
from msgspec import Struct

MEASURED = Path(__file__).parents[2] / "docs" / "capacity" / "measured.json"
Costs = npt.NDArray[np.float64]
MIN_SIZES = 5  # in a sweep that is fitted


class Sign(Enum):
    """How a figure was obtained; the page marks every figure with one of three signs."""

    # The first three were run; their values are stored in the measurements.
    REAL = "real processes"
    SIMULATED = "hollow processes on sockets"
    VIRTUAL = "virtual clock"
    DERIVED = "computed"
    ASSUMED = "assumed"

    @property
    def mark(self) -> str:
        """The sign on the page: run, computed or assumed."""
        return {Sign.DERIVED: "=", Sign.ASSUMED: "?"}.get(self, "✓")


class Shape(Enum):
    """The curve that is fitted."""

    LINE = "line"  # y = constant + slope x
    POWER = "power"  # y = factor x ** exponent


class Fit(Struct, frozen=True):
    """A fitted curve with its errors."""

    shape: Shape
    constant: float  # of a power law: its factor
    slope: float  # of a power law: its exponent
    constant_error: float  # one standard error
    slope_error: float
    residual: float  # root of the mean square of (measured - fitted) / fitted

    def at(self, x: float) -> float:
        """Computes the fitted value at a size."""
        if self.shape is Shape.LINE:
            return self.constant + self.slope * x
        return self.constant * float(x**self.slope)

    def error_at(self, x: float) -> float:
        """Computes one standard error of the fitted value: the constant's plus the slope's."""
        if self.shape is Shape.LINE:
            return self.constant_error + self.slope_error * x
        relative = self.constant_error / max(self.constant, 1e-300) + self.slope_error * math.log(x)
        return self.at(x) * relative


class Sweep(Struct, frozen=True, forbid_unknown_fields=True):
    """Measurements of one cost at several sizes."""

    name: str
    what: str  # one sentence: what was measured, and in which program
    x: str  # what the size is a number of
    unit: str  # of the cost: s, B, B/s, floor (multiple of the bare epoll loop in the same run)
    sign: Sign
    points: tuple[tuple[float, float], ...]  # (size, cost); several of one size are several runs
    shape: Shape = Shape.LINE
    floor_s: float | None = None  # seconds per line of the bare epoll loop in the same run

    def fit(self) -> Fit:
        """Fits the shape by least squares weighted by 1/cost, so that all sizes have the same influence.

        Raises ``ValueError`` if there are fewer than ``MIN_SIZES`` sizes.
        """
        sizes = len({x for x, _ in self.points})
        if sizes < MIN_SIZES:
            raise ValueError(f"sweep {self.name!r} has {sizes}; a fit needs at least {MIN_SIZES} sizes")
        x = np.array([point[0] for point in self.points])
        y = np.array([point[1] for point in self.points])
        fit = _fit_line(x, y) if self.shape is Shape.LINE else _fit_power(x, y)
        return msgspec.structs.replace(fit, residual=self._residual(fit, _smallest_cost(y)))

    def _residual(self, fit: Fit, smallest_cost: float) -> float:
        deviations = [
            (cost - fit.at(size)) / max(abs(fit.at(size)), smallest_cost) for size, cost in self.points
        ]
        return math.sqrt(sum(one * one for one in deviations) / len(deviations))


def _fit_line(x: Costs, y: Costs) -> Fit:
    weights = 1.0 / np.maximum(np.abs(y), _smallest_cost(y))
    (slope, constant), covariance = np.polyfit(x, y, 1, w=weights, cov=True)
    slope_error, constant_error = np.sqrt(np.diag(covariance))
    return Fit(Shape.LINE, float(constant), float(slope), float(constant_error), float(slope_error), 0.0)


def _fit_power(x: Costs, y: Costs) -> Fit:
    (exponent, log_factor), covariance = np.polyfit(np.log(x), np.log(y), 1, cov=True)
    exponent_error, log_factor_error = np.sqrt(np.diag(covariance))
    factor = math.exp(log_factor)
    factor_error = log_factor_error * factor
    return Fit(Shape.POWER, float(factor), float(exponent), float(factor_error), float(exponent_error), 0.0)


def _smallest_cost(costs: Costs) -> float:
    """Returns the smallest cost above zero; it replaces zeros, whose weight would be infinite."""
    return float(min((cost for cost in np.abs(costs) if cost > 0.0), default=1e-12))


class Measured(Struct, frozen=True, forbid_unknown_fields=True):
    """All results of ``measure scale``."""

    sweeps: dict[str, Sweep]
    # By scenario: figures by name, None where one could not be measured.
    scenarios: dict[str, dict[str, Any]] = msgspec.field(name="stories")
    machine: dict[str, Any]  # cores, version of Python


def load(path: Path = MEASURED) -> Measured:
    """Reads the data. Raises ``msgspec.ValidationError`` if a field is unknown, missing or mistyped."""
    return msgspec.json.decode(path.read_bytes(), type=Measured)


def save(measured: Measured, path: Path = MEASURED) -> None:
    """Writes the data indented and in sorted order, so that changes can be read line by line."""
    data = msgspec.json.format(msgspec.json.encode(measured, order="sorted"), indent=1)
    path.write_bytes(data + b"\n")


def merge(new: Measured, path: Path = MEASURED) -> Measured:
    """Returns the stored data in which these sweeps and scenarios replace those of the same name."""
    if not path.exists():
        return new
    old = load(path)
    return Measured(old.sweeps | new.sweeps, old.scenarios | new.scenarios, new.machine or old.machine)
