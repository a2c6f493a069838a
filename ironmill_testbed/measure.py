"""``measure NAME``: runs a measurement and prints its figures as JSON."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

import orjson

NAMES = ("core", "identity", "membership", "scale")


def run(name: str, quick: bool, poller: str, program: Path | None) -> int:
    """Runs a measurement; returns the exit status, 2 for an unknown name."""
    if name not in NAMES:
        print(f"ironmill_testbed: no measurement {name!r}; there are: {', '.join(NAMES)}", file=sys.stderr)
        return 2
    module = importlib.import_module(f"ironmill_testbed.measures.{name}")
    print(orjson.dumps(module.measure(quick, poller, program)).decode())
    return 0
