"""Runs pytest in a subprocess and checks how it handles the tests that ``KNOWN-RED.txt`` lists."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS_FOLDER = Path(__file__).parents[1]
TEST_MODULE = """
def test_good():
    pass

def test_bad():
    assert False
"""
BAD_ENTRY = "tests/test_it.py::test_bad | pytest | {} | 1\n"
GOOD_ENTRY = "tests/test_it.py::test_good | pytest | it passes | 2\n"
FAILURE_TEXT = "assert False"
FAILED_AS_LISTED = "known red: tests/test_it.py::test_bad: assert False (1): failed as listed"


def run_pytest(folder: Path, *options: str) -> subprocess.CompletedProcess[str]:
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
        shutil.copy(TESTS_FOLDER / name, folder)
    (folder / "test_it.py").write_text(TEST_MODULE)
    (root / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if listed is not None:
        (root / "KNOWN-RED.txt").write_text(listed)


@pytest.mark.parametrize(
    ("listed", "status", "expected_output"),
    [
        (BAD_ENTRY.format(FAILURE_TEXT), 0, FAILED_AS_LISTED),
        (None, 1, "1 failed, 1 passed"),
        ("", 1, "1 failed, 1 passed"),
        (BAD_ENTRY.format("another failure"), 1, "test_bad: another failure (1): failed"),
        (BAD_ENTRY.format(FAILURE_TEXT) + GOOD_ENTRY, 1, "passes, but KNOWN-RED.txt lists it as failing"),
        (BAD_ENTRY.format("at times: " + FAILURE_TEXT), 0, FAILED_AS_LISTED),
        (BAD_ENTRY.format("at times: another failure"), 1, "1 failed, 1 passed"),
        (
            BAD_ENTRY.format(FAILURE_TEXT) + GOOD_ENTRY.replace("it passes", "at times: it fails"),
            0,
            "it fails (2): passed",
        ),
        (
            BAD_ENTRY.format(FAILURE_TEXT) + "bench of a site | by hand | too little served | 5\n",
            0,
            "(5): not run",
        ),
        (BAD_ENTRY.format(FAILURE_TEXT) + "tests/test_it.py::test_none | x | gone | 3\n", 4, "are not there"),
        (BAD_ENTRY.format(FAILURE_TEXT) * 2, 4, "named twice"),
        ("tests/test_it.py::test_bad | the cause | 1\n", 4, "not 'test | command and seed | what was seen"),
        (BAD_ENTRY.format(""), 4, "not 'test | command and seed | what was seen"),
    ],
)
def test_a_run_passes_over_just_what_is_listed(
    tmp_path: Path, listed: str | None, status: int, expected_output: str
) -> None:
    write_tests(tmp_path, listed)
    completed = run_pytest(tmp_path)
    assert completed.returncode == status, completed.stdout + completed.stderr
    assert expected_output in completed.stdout + completed.stderr


@pytest.mark.parametrize(
    ("listed", "passes", "expected_output"),
    [
        (BAD_ENTRY.format(FAILURE_TEXT), True, FAILED_AS_LISTED),
        (None, False, "1 failed, 1 passed"),
        (BAD_ENTRY.format("another failure"), False, "test_bad: another failure (1): failed"),
        (BAD_ENTRY.format(FAILURE_TEXT) + GOOD_ENTRY, False, "passes, but KNOWN-RED.txt lists it as failing"),
        (
            BAD_ENTRY.format(FAILURE_TEXT) + GOOD_ENTRY.replace("it passes", "at times: it fails"),
            True,
            "it fails (2): passed",
        ),
        (
            BAD_ENTRY.format(FAILURE_TEXT) + "tests/test_it.py::test_none | x | gone | 3\n",
            False,
            "are not there",
        ),
        (BAD_ENTRY.format(FAILURE_TEXT) * 2, False, "named twice"),
    ],
)
def test_a_run_on_several_workers_passes_over_just_what_is_listed(
    tmp_path: Path, listed: str | None, passes: bool, expected_output: str
) -> None:
    write_tests(tmp_path, listed)
    completed = run_pytest(tmp_path, "-n", "2", "--dist", "loadfile")
    assert (completed.returncode == 0) is passes, completed.stdout + completed.stderr
    assert expected_output in completed.stdout + completed.stderr


def test_a_selection_may_leave_out_what_is_listed(tmp_path: Path) -> None:
    write_tests(tmp_path, BAD_ENTRY.format(FAILURE_TEXT))
    for options in ([], ["-n", "2", "--dist", "loadfile"]):
        completed = run_pytest(tmp_path, *options, "tests/test_it.py::test_good")
        assert completed.returncode == 0, completed.stdout + completed.stderr
