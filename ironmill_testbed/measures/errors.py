"""Errors of measurements."""

from __future__ import annotations

from ironmill.errors import IronmillError


class MeasurementError(IronmillError, RuntimeError):
    """Raised if the measured process does not behave as the measurement assumes."""
