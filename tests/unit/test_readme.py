"""The README's example runs and prints what it says."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

README = Path(__file__).parents[2] / "README.md"


def test_example_runs_as_printed() -> None:
    code = re.search(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.DOTALL)
    assert code
    expected = re.search(r"# (\{.*\})", code[1])
    assert expected
    done = subprocess.run([sys.executable, "-c", code[1]], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == expected[1]
