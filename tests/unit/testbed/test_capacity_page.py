"""Tests for the capacity page: its template, its check and its command."""

from __future__ import annotations

import ast
import re
import shutil
from pathlib import Path
from types import ModuleType

import pytest
from msgspec.structs import replace

from ironmill_testbed.__main__ import main
from ironmill_testbed.capacity import data, formulas, page, page_values, plan, roles, tables
from ironmill_testbed.capacity.data import Measured
from ironmill_testbed.capacity.formulas import Model
from tests.unit.testbed.capacity_models import full_model, line_sweep, make_model


def test_committed_page_and_roadmap_match_data_and_formulas() -> None:
    assert page.check(page.Files()) == ""
    assert main(["capacity", "--check"]) == 0


def copied_files(folder: Path) -> page.Files:
    """Copies the committed files and writes a page from them, with one more sweep in the measurements."""
    committed = page.Files()
    files = page.Files(
        *(folder / Path(getattr(committed, field)).name for field in committed.__struct_fields__)
    )
    for field in committed.__struct_fields__:
        if (source := getattr(committed, field)).exists():
            shutil.copy(source, getattr(files, field))
    measured = data.load(files.measured) if files.measured.exists() else Measured({}, {}, {})
    added_sweep = line_sweep("membership_zone_bytes", "members", "B/s", 100.0, 10.0)
    data.save(replace(measured, sweeps=measured.sweeps | {added_sweep.name: added_sweep}), files.measured)
    page.write(files)
    assert page.check(files) == ""
    return files


def test_check_reports_line_after_one_measured_point_changed(tmp_path: Path) -> None:
    files = copied_files(tmp_path)
    measured = data.load(files.measured)
    sweep = measured.sweeps["membership_zone_bytes"]
    changed_sweep = replace(sweep, points=((sweep.points[0][0], sweep.points[0][1] * 1.5), *sweep.points[1:]))
    data.save(replace(measured, sweeps=measured.sweeps | {sweep.name: changed_sweep}), files.measured)
    lines = files.page.read_text().split("\n")
    difference = page.check(files)
    match = re.match(r"CAPACITY\.md, line (\d+)\n  is      (.*)\n  must be (.*)", difference)
    assert match is not None
    assert repr(lines[int(match[1]) - 1]) == match[2] != match[3]


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
    [
        ("proxies = 2800", "proxies = 2900", "14.5"),
        ("control_bytes_per_s = 6_000", "control_bytes_per_s = 7_000", "7 KB/s"),
        ("largest_topic = 140_000", "largest_topic = 160_000", "16 "),
    ],
)
def test_check_reports_line_after_one_figure_of_plan_changed(
    tmp_path: Path, old: str, new: str, expected_text: str
) -> None:
    files = copied_files(tmp_path)
    text = files.plan.read_text()
    assert text.count(old) == 1
    files.plan.write_text(text.replace(old, new))
    difference = page.check(files)
    assert difference.startswith("CAPACITY.md, line ")
    actual, expected = difference.split("\n  must be ")
    assert expected_text in expected and expected_text not in actual


@pytest.mark.parametrize("place", ["first", "middle", "last"])
def test_check_reports_line_after_one_character_of_page_changed(tmp_path: Path, place: str) -> None:
    files = copied_files(tmp_path)
    text = files.page.read_text()
    position = {"first": 0, "middle": len(text) // 2, "last": len(text) - 1}[place]
    files.page.write_text(text[:position] + ("x" if text[position] != "x" else "y") + text[position + 1 :])
    assert page.check(files).startswith(f"CAPACITY.md, line {text[:position].count(chr(10)) + 1}\n")


def test_check_fails_for_missing_line_extra_line_and_missing_page(tmp_path: Path) -> None:
    files = copied_files(tmp_path)
    text = files.page.read_text()
    files.page.write_text(text + "\n")
    assert f"line {text.count(chr(10)) + 2}\n  is      ''\n  must be (no line)" in page.check(files)
    files.page.write_text(text[: text.rindex("|")])
    assert page.check(files) != ""
    files.page.unlink()
    assert page.check(files).startswith("CAPACITY.md, line 1\n")


def test_check_covers_roadmap_and_write_keeps_its_other_text(tmp_path: Path) -> None:
    files = copied_files(tmp_path)
    text = files.roadmap.read_text()
    before_table, after_table = text.split(page.BEGIN)[0], text.split(page.END)[1]
    files.roadmap.write_text(text.replace(f"{page.BEGIN}\n|", f"{page.BEGIN}\n||"))
    assert page.check(files).startswith("ROADMAP.md, line ")
    page.write(files)
    assert files.roadmap.read_text() == text
    assert text.startswith(before_table) and text.endswith(after_table)
    files.roadmap.write_text(before_table)
    with pytest.raises(page.TemplateError, match="must contain the begin and end markers"):
        page.write(files)


def test_command_fails_and_reports_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    files = copied_files(tmp_path)
    assert page.run(files, checking=True) == 0
    files.page.write_text("x" + files.page.read_text())
    assert page.run(files, checking=True) == 1
    assert "CAPACITY.md, line 1\n" in capsys.readouterr().err
    assert page.run(files) == 0
    assert page.run(files, checking=True) == 0
    files.template.write_text("It is 7 times that.\n")
    assert page.run(files) == 1
    assert "template line 1 has a digit outside code and links" in capsys.readouterr().err


def test_rendering_is_deterministic() -> None:
    template = page.TEMPLATE.read_text()
    assert page.render(full_model(), template) == page.render(full_model(), template)


@pytest.mark.parametrize("text", ["About 12 of them.", "`code 1` and 2", "{{budget}} or 6 KB/s"])
def test_rejects_figure_in_prose_of_template(text: str) -> None:
    with pytest.raises(page.TemplateError, match="digit outside code and links"):
        page.render(make_model(), text)


def test_template_accepts_code_and_links_and_rejects_unknown_name() -> None:
    assert page.render(make_model(), "{{shards}} `x1` [a](b2.md)") == "640,000 `x1` [a](b2.md)"
    with pytest.raises(page.TemplateError, match="refers to nothing_such"):
        page.render(make_model(), "{{nothing_such}}")


def source_files(module: ModuleType) -> list[Path]:
    """Returns the file of a module, or all files of a package."""
    path = Path(str(module.__file__))
    return sorted(path.parent.glob("*.py")) if path.name == "__init__.py" else [path]


def string_literals(source: Path) -> list[str]:
    tree = ast.parse(source.read_text())
    docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    return [
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in docstrings
    ]


@pytest.mark.parametrize("module", [page, page_values, roles, tables, formulas])
def test_string_literals_of_tables_contain_no_figure(module: ModuleType) -> None:
    literals = [literal for source_file in source_files(module) for literal in string_literals(source_file)]
    assert len(literals) > 20
    assert [text for text in literals if re.search(r"(?<![\w.])\d", text)] == []


def test_page_without_measurements_shows_not_run() -> None:
    text = page.render(make_model(), page.TEMPLATE.read_text())
    assert "NaN" not in text and "None" not in text and "nan " not in text
    for row in (
        line for line in text.split("\n") if line.startswith("| ") and "`membership_rest_cpu`" in line
    ):
        assert "not run" in row
    for scenario in tables.SCENARIOS:
        assert f"| {scenario} | not run |" in text


def test_page_with_all_measurements_shows_not_run_only_for_other_programs() -> None:
    text = page.render(full_model(), page.TEMPLATE.read_text())
    assert "not run" not in tables.slopes(full_model())
    not_run_rows = [row for row in roles.roles(full_model()).split("\n") if "not run" in row]
    assert [re.split(r" ?\| ?", row)[2] for row in not_run_rows] == [
        "processor time and memory, not this program's",
        "memory, not this program's",
        "processor time and memory",
    ]
    assert "| another |" in text and "something 12.5 ms" in text and "said so" in text
    assert "proxy in the highest second 4.32 KB/s" in text
    assert "catch up not run" in text
    assert "`reload_cpu`" in text and "members run 2,827" in text


@pytest.mark.parametrize("missing_sweep", tables.EXPECTED)
def test_page_renders_without_any_one_sweep(missing_sweep: str) -> None:
    complete = full_model()
    remaining_sweeps = {
        name: sweep for name, sweep in complete.measured.sweeps.items() if name != missing_sweep
    }
    text = page.render(
        Model(replace(complete.measured, sweeps=remaining_sweeps), complete.plan), page.TEMPLATE.read_text()
    )
    assert f"| `{missing_sweep}` | - |" in text


def test_every_assumption_has_reason_on_page() -> None:
    text = page.render(make_model(), page.TEMPLATE.read_text())
    assumptions = plan.load().assumed
    for name in assumptions.__struct_fields__:
        assumption = getattr(assumptions, name)
        assert len(assumption.why) > 20 and "\n" not in assumption.why
        assert assumption.why in text


def test_plots_are_drawn_for_available_data_only(tmp_path: Path) -> None:
    from ironmill_testbed.capacity import plots

    complete = full_model()
    complete.measured.scenarios["storm"]["in_force_by"] = [[0.1, 0.5], [0.4, 1.0]]
    paths = plots.draw(complete, tmp_path)
    assert [path.name for path in paths] == ["slopes.png", "change.png"]
    assert all(path.read_bytes().startswith(b"\x89PNG") and path.stat().st_size < 400_000 for path in paths)
    assert plots.draw(make_model(), tmp_path) == []
