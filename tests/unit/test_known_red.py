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


def run(folder: Path, *options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *options],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )


def write_tests(root: Path, listed: str | None) -> None:
    folder = root / "tests"
    folder.mkdir()
    (folder / "__init__.py").touch()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, folder)
    (folder / "test_it.py").write_text(TESTS)
    (root / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if listed is not None:
        (root / "KNOWN-RED.txt").write_text(listed)


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
    write_tests(tmp_path, listed)
    done = run(tmp_path)
    assert done.returncode == status, done.stdout + done.stderr
    assert said in done.stdout + done.stderr


@pytest.mark.parametrize(
    ("listed", "passes", "said"),
    [
        (BAD.format("the cause"), True, "known red: tests/test_it.py::test_bad: the cause (1)"),
        (None, False, "1 failed, 1 passed"),
        (BAD.format("the cause") + GOOD, False, "XPASS(strict)"),
        (BAD.format("the cause") + "tests/test_it.py::test_none | gone | 3\n", False, "are not there"),
        (BAD.format("the cause") * 2, False, "named twice"),
    ],
)
def test_a_run_on_several_workers_passes_over_just_what_is_listed(
    tmp_path: Path, listed: str | None, passes: bool, said: str
) -> None:
    write_tests(tmp_path, listed)
    done = run(tmp_path, "-n", "2", "--dist", "loadfile")
    assert (done.returncode == 0) is passes, done.stdout + done.stderr
    assert said in done.stdout + done.stderr


def test_a_selection_may_leave_out_what_is_listed(tmp_path: Path) -> None:
    write_tests(tmp_path, BAD.format("the cause"))
    for options in ([], ["-n", "2", "--dist", "loadfile"]):
        done = run(tmp_path, *options, "tests/test_it.py::test_good")
        assert done.returncode == 0, done.stdout + done.stderr
