"""Writes and checks ``docs/CAPACITY.md`` and the table in ``docs/ROADMAP.md``.

The page is rendered from a template, in which ``{{name}}`` refers to a figure or table of `page_values`.
The template must not contain digits outside code and links, so that every figure comes from a formula.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

from msgspec import Struct

from ironmill.errors import IronmillError
from ironmill_testbed.capacity import data, plan, tables
from ironmill_testbed.capacity.formulas import Model
from ironmill_testbed.capacity.page_values import page_values

DOCS = Path(__file__).parents[2] / "docs"
PAGE = DOCS / "CAPACITY.md"
TEMPLATE = DOCS / "capacity" / "page.md.in"
ROADMAP = DOCS / "ROADMAP.md"
BEGIN, END = "<!-- capacity: written by the command, not by hand -->", "<!-- end of capacity -->"
_REFERENCE = re.compile(r"\{\{(\w+)\}\}")
_CODE_LINKS_REFERENCES = re.compile(r"`[^`]*`|\]\([^)]*\)|\{\{\w+\}\}")


class TemplateError(IronmillError):
    """The template or the roadmap does not have the required form."""


def render(model: Model, template: str) -> str:
    """Returns the text of the page.

    Raises ``TemplateError`` if the template has a digit outside code and links, or an unknown name.
    """
    values = page_values(model)
    for number, line in enumerate(template.splitlines(), 1):
        if re.search(r"\d", _CODE_LINKS_REFERENCES.sub("", line)):
            raise TemplateError(f"template line {number} has a digit outside code and links: {line}")
        for name in _REFERENCE.findall(line):
            if name not in values:
                raise TemplateError(f"template line {number} refers to {name}, which is not defined")
    return _REFERENCE.sub(lambda match: values[match[1]], template)


def render_roadmap(model: Model, text: str) -> str:
    """Returns the roadmap with its table replaced and all other text unchanged.

    Raises ``TemplateError`` unless the table's two markers appear once each and in order.
    """
    if text.count(BEGIN) != 1 or text.count(END) != 1 or text.index(BEGIN) > text.index(END):
        raise TemplateError(
            "the roadmap must contain the begin and end markers of the table once each, in this order"
        )
    before, from_table = text.split(BEGIN)
    return f"{before}{BEGIN}\n{tables.roadmap(model)}\n{END}{from_table.split(END)[1]}"


def first_difference(name: str, actual: str, expected: str) -> str:
    """Formats the first line that differs; returns an empty text if there is none."""
    actual_lines, expected_lines = actual.split("\n"), expected.split("\n")
    for index in range(max(len(actual_lines), len(expected_lines))):
        actual_line = actual_lines[index] if index < len(actual_lines) else None
        expected_line = expected_lines[index] if index < len(expected_lines) else None
        if actual_line != expected_line:
            position = f"{name}, line {index + 1}"
            return f"{position}\n  is      {_quoted(actual_line)}\n  must be {_quoted(expected_line)}"
    return ""


def _quoted(line: str | None) -> str:
    return "(no line)" if line is None else repr(line)


class Files(Struct, frozen=True):
    """Paths of the files that the page is rendered from and of the files that are written."""

    measured: Path = data.MEASURED
    plan: Path = plan.PLAN
    template: Path = TEMPLATE
    page: Path = PAGE
    roadmap: Path = ROADMAP


def read_model(files: Files) -> Model:
    """Reads the measurements and the plan; the measurements are empty if their file does not exist."""
    measured = data.load(files.measured) if files.measured.exists() else data.Measured({}, {}, {})
    return Model(measured, plan.load(files.plan))


def write(files: Files) -> None:
    """Writes the page and the roadmap's table. If it raises ``TemplateError``, no file was changed."""
    model = read_model(files)
    page = render(model, files.template.read_text())
    roadmap = render_roadmap(model, files.roadmap.read_text())
    files.page.write_text(page)
    files.roadmap.write_text(roadmap)


def check(files: Files) -> str:
    """Formats the first line of page or roadmap that `write` would change, or returns an empty text."""
    model = read_model(files)
    page = files.page.read_text() if files.page.exists() else ""
    roadmap = files.roadmap.read_text()
    expected_page = render(model, files.template.read_text())
    return first_difference(files.page.name, page, expected_page) or first_difference(
        files.roadmap.name, roadmap, render_roadmap(model, roadmap)
    )


def run(files: Files | None = None, *, checking: bool = False, plots: bool = False) -> int:
    """Runs the command and returns its exit status: 1 if the check fails or the template is invalid."""
    files = files or Files()
    try:
        if checking:
            return _report_difference(files)
        write(files)
    except TemplateError as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 1
    if plots:
        from ironmill_testbed.capacity import plots as drawing

        for path in drawing.draw(read_model(files), files.measured.parent):
            print(path)
    return 0


def _report_difference(files: Files) -> int:
    mismatch = check(files)
    if mismatch:
        print(
            f"capacity: {mismatch}\nrun `python -m ironmill_testbed capacity` to write it again",
            file=sys.stderr,
        )
    return 1 if mismatch else 0
