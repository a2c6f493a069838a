"""Errors of the measurements."""

from __future__ import annotations

from ironmill.errors import IronmillError


class MeasurementError(IronmillError, RuntimeError):
    """The subject of a measurement does not behave as the measurement assumes."""
