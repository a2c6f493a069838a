"""The measurements for ``docs/CAPACITY.md``: sweeps with their fits, and figures of scenarios.

``python -m ironmill_testbed measure scale`` writes ``docs/capacity/measured.json``, which the page's
formulas read. The file contains only measured points; fits are computed from them on each run, so that
points and fits cannot differ.
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
MIN_SIZES = 5  # different sizes that a sweep needs for a fit


class Sign(Enum):
    """The way in which a figure was obtained; the page marks each figure with one of three signs."""

    # REAL, SIMULATED and VIRTUAL are kinds of runs; their values are stored with the measurements.
    REAL = "real processes"
    SIMULATED = "hollow processes on sockets"
    VIRTUAL = "virtual clock"
    DERIVED = "computed"
    ASSUMED = "assumed"

    @property
    def mark(self) -> str:
        """The sign on the page, which tells whether a figure was measured, computed or assumed."""
        return {Sign.DERIVED: "=", Sign.ASSUMED: "?"}.get(self, "✓")


class Shape(Enum):
    """The kind of curve that is fitted to a sweep."""

    LINE = "line"  # y = constant + slope x
    POWER = "power"  # y = factor x ** exponent


class Fit(Struct, frozen=True):
    """A curve fitted to a sweep, with its errors."""

    shape: Shape
    constant: float  # the factor of a power law
    slope: float  # the exponent of a power law
    constant_error: float  # one standard error
    slope_error: float
    residual: float  # root mean square of (measured - fitted) / fitted

    def at(self, x: float) -> float:
        """Computes the fitted value at a size."""
        if self.shape is Shape.LINE:
            return self.constant + self.slope * x
        return self.constant * float(x**self.slope)

    def error_at(self, x: float) -> float:
        """Computes one standard error of the fitted value, as the sum of the errors of constant and slope."""
        if self.shape is Shape.LINE:
            return self.constant_error + self.slope_error * x
        relative = self.constant_error / max(self.constant, 1e-300) + self.slope_error * math.log(x)
        return self.at(x) * relative


class Sweep(Struct, frozen=True, forbid_unknown_fields=True):
    """Measurements of one cost at several sizes."""

    name: str
    what: str  # one sentence on what was measured, and in which program
    x: str  # what the size counts, such as members
    unit: str  # unit of the cost: s, B, B/s, or floor (a multiple of the bare epoll loop in the same run)
    sign: Sign
    points: tuple[tuple[float, float], ...]  # (size, cost) of each run; a size may have several runs
    shape: Shape = Shape.LINE
    floor_s: float | None = None  # seconds per line in the bare epoll loop of the same run

    def fit(self) -> Fit:
        """Fits the shape by least squares, weighted by 1/cost so that all sizes have the same influence.

        Raises ``ValueError`` if fewer than ``MIN_SIZES`` sizes were measured.
        """
        size_count = len({x for x, _ in self.points})
        if size_count < MIN_SIZES:
            raise ValueError(
                f"sweep {self.name!r} has too few sizes ({size_count}); a fit needs {MIN_SIZES} sizes"
            )
        x = np.array([point[0] for point in self.points])
        y = np.array([point[1] for point in self.points])
        fit = _fit_line(x, y) if self.shape is Shape.LINE else _fit_power(x, y)
        return msgspec.structs.replace(fit, residual=self._residual(fit, _smallest_cost(y)))

    def _residual(self, fit: Fit, smallest_cost: float) -> float:
        deviations = [
            (cost - fit.at(size)) / max(abs(fit.at(size)), smallest_cost) for size, cost in self.points
        ]
        return math.sqrt(sum(deviation * deviation for deviation in deviations) / len(deviations))


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
    """Returns the smallest cost above zero, which replaces zeros because their weight would be infinite."""
    return float(min((cost for cost in np.abs(costs) if cost > 0.0), default=1e-12))


class Measured(Struct, frozen=True, forbid_unknown_fields=True):
    """The results of ``measure scale``."""

    sweeps: dict[str, Sweep]
    # Figures by scenario and name; None for a figure that could not be measured.
    scenarios: dict[str, dict[str, Any]] = msgspec.field(name="stories")
    machine: dict[str, Any]  # number of cores, version of Python


def load(path: Path = MEASURED) -> Measured:
    """Reads the data. Raises ``msgspec.ValidationError`` if a field is unknown, missing or mistyped."""
    return msgspec.json.decode(path.read_bytes(), type=Measured)


def save(measured: Measured, path: Path = MEASURED) -> None:
    """Writes the data indented and sorted, so that changes show up as lines of a diff."""
    data = msgspec.json.format(msgspec.json.encode(measured, order="sorted"), indent=1)
    path.write_bytes(data + b"\n")


def merge(new: Measured, path: Path = MEASURED) -> Measured:
    """Returns the stored data with the new sweeps and scenarios added or replacing those of the same name."""
    if not path.exists():
        return new
    stored = load(path)
    return Measured(
        stored.sweeps | new.sweeps, stored.scenarios | new.scenarios, new.machine or stored.machine
    )
