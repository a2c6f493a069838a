"""Access to the golden files, which record encoded bytes and stored data."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

GOLDEN = Path(__file__).parents[1] / "golden"


def recorded(name: str) -> Any:
    """Returns the contents of a golden file in JSON."""
    return msgspec.json.decode((GOLDEN / name).read_bytes())
