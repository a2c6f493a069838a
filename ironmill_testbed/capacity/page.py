"""Writes and checks ``docs/CAPACITY.md`` and the table in ``docs/ROADMAP.md``.

The page is a template of prose in which ``{{name}}`` refers to a figure or table of `page_values`.
Prose must not contain a digit outside of code and links: every figure comes from a formula.
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
    """Returns the page.

    Raises ``TemplateError`` if the prose has a figure of its own or refers to an unknown name.
    """
    values = page_values(model)
    for number, line in enumerate(template.splitlines(), 1):
        if re.search(r"\d", _CODE_LINKS_REFERENCES.sub("", line)):
            raise TemplateError(f"line {number} has a figure of its own: {line}")
        for name in _REFERENCE.findall(line):
            if name not in values:
                raise TemplateError(f"line {number} asks for {name}, which is not there")
    return _REFERENCE.sub(lambda found: values[found[1]], template)


def render_roadmap(model: Model, text: str) -> str:
    """Returns the roadmap with its table replaced and all other text unchanged.

    Raises ``TemplateError`` unless the table's two markers appear once each and in order.
    """
    if text.count(BEGIN) != 1 or text.count(END) != 1 or text.index(BEGIN) > text.index(END):
        raise TemplateError("the roadmap has no place for the table")
    head, rest = text.split(BEGIN)
    return f"{head}{BEGIN}\n{tables.roadmap(model)}\n{END}{rest.split(END)[1]}"


def difference(name: str, actual: str, expected: str) -> str:
    """Formats the first line that differs; empty if none does."""
    left, right = actual.split("\n"), expected.split("\n")
    for index in range(max(len(left), len(right))):
        is_line = left[index] if index < len(left) else None
        must_be = right[index] if index < len(right) else None
        if is_line != must_be:
            line = f"{name}, line {index + 1}"
            return f"{line}\n  is      {_quoted(is_line)}\n  must be {_quoted(must_be)}"
    return ""


def _quoted(line: str | None) -> str:
    return "(no line)" if line is None else repr(line)


class Files(Struct, frozen=True):
    """Paths of what the page is made from and of what is written."""

    measured: Path = data.MEASURED
    plan: Path = plan.PLAN
    template: Path = TEMPLATE
    page: Path = PAGE
    roadmap: Path = ROADMAP


def model_of(files: Files) -> Model:
    """Reads measurements and plan; the measurements are empty if their file does not exist."""
    measured = data.load(files.measured) if files.measured.exists() else data.Measured({}, {}, {})
    return Model(measured, plan.load(files.plan))


def write(files: Files) -> None:
    """Writes the page and the roadmap's table. Raises ``TemplateError`` before anything is written."""
    model = model_of(files)
    page = render(model, files.template.read_text())
    roadmap = render_roadmap(model, files.roadmap.read_text())
    files.page.write_text(page)
    files.roadmap.write_text(roadmap)


def check(files: Files) -> str:
    """Formats the first difference of page or roadmap from what `write` would write; empty if none."""
    model = model_of(files)
    page = files.page.read_text() if files.page.exists() else ""
    roadmap = files.roadmap.read_text()
    expected_page = render(model, files.template.read_text())
    return difference(files.page.name, page, expected_page) or difference(
        files.roadmap.name, roadmap, render_roadmap(model, roadmap)
    )


def run(files: Files | None = None, *, checking: bool = False, plots: bool = False) -> int:
    """Runs the command and returns its exit status: 1 if the check or the template fails."""
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

        for path in drawing.draw(model_of(files), files.measured.parent):
            print(path)
    return 0


def _report_difference(files: Files) -> int:
    found = check(files)
    if found:
        print(f"capacity: {found}\npython -m ironmill_testbed capacity writes it anew", file=sys.stderr)
    return 1 if found else 0
