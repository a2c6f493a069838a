"""Checks that the example in the README runs and prints the output given there."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

README = Path(__file__).parents[2] / "README.md"


def test_example_runs_as_printed() -> None:
    example = re.search(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.DOTALL)
    assert example
    expected = re.search(r"# (\{.*\})", example[1])
    assert expected
    completed = subprocess.run([sys.executable, "-c", example[1]], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == expected[1]
