"""Checks ``docs/terms-audit.md``: each test that it names exists, and each row has one status."""

from __future__ import annotations

import re
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).parents[2]
STATUSES = ("holds", "fixed", "open", "not reached")
COLUMNS = 6


def rows() -> list[list[str]]:
    lines = (ROOT / "docs" / "terms-audit.md").read_text().splitlines()
    cells = [[cell.strip() for cell in line.strip("| ").split(" | ")] for line in lines if line[:1] == "|"]
    return [row for row in cells if row[0] != "id" and not row[0].startswith("---")]


def clauses() -> list[list[str]]:
    """Returns the rows for clauses, without the rows for fixes, whose ids begin with F."""
    return [row for row in rows() if row[0][:1] != "F"]


def test_every_row_has_a_name_of_its_own_and_one_status() -> None:
    clause_rows = clauses()
    assert len(clause_rows) > 100
    assert [row for row in clause_rows if len(row) != COLUMNS or row[-1] not in STATUSES] == []
    assert [name for name, count in Counter(row[0] for row in clause_rows).items() if count > 1] == []


def test_every_test_that_is_named_is_there() -> None:
    existing = {
        name
        for file in (ROOT / "tests").rglob("test_*.py")
        for name in re.findall(r"^def (test_\w+)", file.read_text(), re.MULTILINE)
    }
    named = set(re.findall(r"`(test_\w+)`", (ROOT / "docs" / "terms-audit.md").read_text()))
    assert sorted(named - existing) == []


def test_what_holds_or_is_fixed_names_its_test() -> None:
    without_test = [row[0] for row in clauses() if row[-1] in ("holds", "fixed") and "`test_" not in row[-2]]
    assert without_test == ["BE3", "S33"]  # a withdrawn limit, and a clause that only the benchmark can check
