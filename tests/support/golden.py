"""Reads the golden files."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

GOLDEN = Path(__file__).parents[1] / "golden"


def recorded(name: str) -> Any:
    """Returns what a golden file in JSON records."""
    return msgspec.json.decode((GOLDEN / name).read_bytes())
