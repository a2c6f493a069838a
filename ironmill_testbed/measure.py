"""The command ``measure NAME``, which runs a measurement and prints its figures as JSON."""

from __future__ import annotations

import importlib
import sys

import orjson

from ironmill_testbed.measures.options import MeasurementOptions

NAMES = ("core", "identity", "membership", "scale")
UNKNOWN_NAME_STATUS = 2


def run(name: str, options: MeasurementOptions) -> int:
    """Runs a measurement; returns the exit status, which is 2 for an unknown name."""
    if name not in NAMES:
        print(
            f"ironmill_testbed: no measurement {name!r}; the measurements are: {', '.join(NAMES)}",
            file=sys.stderr,
        )
        return UNKNOWN_NAME_STATUS
    module = importlib.import_module(f"ironmill_testbed.measures.{name}")
    print(orjson.dumps(module.measure(options)).decode())
    return 0
