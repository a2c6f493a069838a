"""The model: the measurements and the plan, which are the input of every formula."""

from __future__ import annotations

import math

from ironmill_testbed.capacity.data import Fit, Measured, Shape, Sign, Sweep
from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.plan import Assumption, Plan


class Model:
    """The measurements, their fits and the plan; the argument of every formula."""

    def __init__(self, measured: Measured, plan: Plan) -> None:
        """Creates a model and fits every sweep of ``measured``."""
        self.measured = measured
        self.plan = plan
        self._fits = {name: fit_of(sweep) for name, sweep in measured.sweeps.items()}

    def fit(self, name: str) -> Fit | None:
        """Returns the fit of a sweep, or None if the sweep was not run or cannot be fitted."""
        return self._fits.get(name)

    def at(self, name: str, size: float) -> Figure:
        """Returns the fitted cost at a size with one standard error; it has no value if there is no fit."""
        fit = self.fit(name)
        if fit is None:
            return Figure(None)
        return Figure(fit.at(size), fit.error_at(size))

    def scenario(self, name: str, key: str) -> Figure:
        """Returns a figure of a scenario; it has no value if the scenario or its number is missing."""
        value = self.measured.scenarios.get(name, {}).get(key)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        return Figure(float(value) if is_number else None, sign=Sign.VIRTUAL)  # type: ignore[arg-type]


def fit_of(sweep: Sweep) -> Fit | None:
    """Returns the fit of a sweep, or None if there are too few sizes or no finite fit of its shape."""
    if sweep.shape is Shape.POWER and min(min(point) for point in sweep.points) <= 0.0:
        return None
    try:
        fit = sweep.fit()
    except (ValueError, ArithmeticError):
        return None
    return fit if math.isfinite(fit.constant + fit.slope + fit.slope_error + fit.constant_error) else None


def assumed(assumption: Assumption) -> Figure:
    """Returns an assumption as a figure with the sign of an assumed one."""
    return Figure(assumption.value, sign=Sign.ASSUMED)
