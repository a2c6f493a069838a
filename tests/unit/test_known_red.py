"""``KNOWN-RED.txt`` as pytest honours it, in a run of its own."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parents[1]
TESTS = """
def test_good():
    pass

def test_bad():
    assert False
"""
BAD = "tests/test_it.py::test_bad | {} | 1\n"
GOOD = "tests/test_it.py::test_good | it passes | 2\n"


@pytest.mark.parametrize(
    ("listed", "status", "said"),
    [
        (BAD.format("the cause"), 0, "known red: tests/test_it.py::test_bad: the cause (1)"),
        (None, 1, "1 failed, 1 passed"),
        ("", 1, "1 failed, 1 passed"),
        (BAD.format("the cause") + GOOD, 1, "XPASS(strict)"),
        (BAD.format("the cause") + "tests/test_it.py::test_none | gone | 3\n", 4, "are not there"),
        ("".join(f"tests/test_it.py::test_{at} | x | 4\n" for at in range(4)), 4, "4 lines, 3 at the most"),
        (BAD.format("the cause") * 2, 4, "named twice"),
        ("tests/test_it.py::test_bad\n", 4, "not 'test | cause | issue'"),
        (BAD.format(""), 4, "not 'test | cause | issue'"),
    ],
)
def test_a_run_passes_over_just_what_is_listed(
    tmp_path: Path, listed: str | None, status: int, said: str
) -> None:
    folder = tmp_path / "tests"
    folder.mkdir()
    (folder / "__init__.py").touch()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, folder)
    (folder / "test_it.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    assert run.returncode == status, run.stdout + run.stderr
    assert said in run.stdout + run.stderr
