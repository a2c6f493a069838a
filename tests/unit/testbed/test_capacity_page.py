"""Tests of the capacity page: its template, its check and its command."""

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
from tests.unit.testbed.capacity_models import full, line, model


def test_committed_page_and_roadmap_match_data_and_formulas() -> None:
    assert page.check(page.Files()) == ""
    assert main(["capacity", "--check"]) == 0


def copied(folder: Path) -> page.Files:
    """Copies the committed files and writes a page from them with one more sweep."""
    there = page.Files()
    files = page.Files(*(folder / Path(getattr(there, name)).name for name in there.__struct_fields__))
    for name in there.__struct_fields__:
        if (source := getattr(there, name)).exists():
            shutil.copy(source, getattr(files, name))
    found = data.load(files.measured) if files.measured.exists() else Measured({}, {}, {})
    ours = line("membership_zone_bytes", "members", "B/s", 100.0, 10.0)
    data.save(replace(found, sweeps=found.sweeps | {ours.name: ours}), files.measured)
    page.write(files)
    assert page.check(files) == ""
    return files


def test_check_reports_line_after_one_measured_point_changed(tmp_path: Path) -> None:
    files = copied(tmp_path)
    found = data.load(files.measured)
    sweep = found.sweeps["membership_zone_bytes"]
    moved = replace(sweep, points=((sweep.points[0][0], sweep.points[0][1] * 1.5), *sweep.points[1:]))
    data.save(replace(found, sweeps=found.sweeps | {sweep.name: moved}), files.measured)
    before = files.page.read_text().split("\n")
    wrong = page.check(files)
    at = re.match(r"CAPACITY\.md, line (\d+)\n  is      (.*)\n  must be (.*)", wrong)
    assert at is not None
    assert repr(before[int(at[1]) - 1]) == at[2] != at[3]


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ("proxies = 2800", "proxies = 2900", "14.5"),
        ("control_bytes_per_s = 6_000", "control_bytes_per_s = 7_000", "7 KB/s"),
        ("largest_topic = 140_000", "largest_topic = 160_000", "16 "),
    ],
)
def test_check_reports_line_after_one_figure_of_plan_changed(
    tmp_path: Path, old: str, new: str, said: str
) -> None:
    files = copied(tmp_path)
    text = files.plan.read_text()
    assert text.count(old) == 1
    files.plan.write_text(text.replace(old, new))
    wrong = page.check(files)
    assert wrong.startswith("CAPACITY.md, line ")
    is_there, must_be = wrong.split("\n  must be ")
    assert said in must_be and said not in is_there


@pytest.mark.parametrize("place", ["first", "middle", "last"])
def test_check_reports_line_after_one_character_of_page_changed(tmp_path: Path, place: str) -> None:
    files = copied(tmp_path)
    text = files.page.read_text()
    at = {"first": 0, "middle": len(text) // 2, "last": len(text) - 1}[place]
    files.page.write_text(text[:at] + ("x" if text[at] != "x" else "y") + text[at + 1 :])
    assert page.check(files).startswith(f"CAPACITY.md, line {text[:at].count(chr(10)) + 1}\n")


def test_check_fails_for_missing_line_extra_line_and_missing_page(tmp_path: Path) -> None:
    files = copied(tmp_path)
    text = files.page.read_text()
    files.page.write_text(text + "\n")
    assert f"line {text.count(chr(10)) + 2}\n  is      ''\n  must be (no line)" in page.check(files)
    files.page.write_text(text[: text.rindex("|")])
    assert page.check(files) != ""
    files.page.unlink()
    assert page.check(files).startswith("CAPACITY.md, line 1\n")


def test_check_covers_roadmap_and_write_keeps_its_other_text(tmp_path: Path) -> None:
    files = copied(tmp_path)
    text = files.roadmap.read_text()
    head, tail = text.split(page.BEGIN)[0], text.split(page.END)[1]
    files.roadmap.write_text(text.replace(f"{page.BEGIN}\n|", f"{page.BEGIN}\n||"))
    assert page.check(files).startswith("ROADMAP.md, line ")
    page.write(files)
    assert files.roadmap.read_text() == text
    assert text.startswith(head) and text.endswith(tail)
    files.roadmap.write_text(head)
    with pytest.raises(page.TemplateError, match="must contain the begin and end markers"):
        page.write(files)


def test_command_fails_and_reports_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    files = copied(tmp_path)
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
    assert page.render(full(), template) == page.render(full(), template)


@pytest.mark.parametrize("text", ["About 12 of them.", "`code 1` and 2", "{{budget}} or 6 KB/s"])
def test_rejects_figure_in_prose_of_template(text: str) -> None:
    with pytest.raises(page.TemplateError, match="digit outside code and links"):
        page.render(model(), text)


def test_template_accepts_code_and_links_and_rejects_unknown_name() -> None:
    assert page.render(model(), "{{shards}} `x1` [a](b2.md)") == "640,000 `x1` [a](b2.md)"
    with pytest.raises(page.TemplateError, match="refers to nothing_such"):
        page.render(model(), "{{nothing_such}}")


def sources(module: ModuleType) -> list[Path]:
    """The file of a module, or all files of a package."""
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
    words = [word for source in sources(module) for word in string_literals(source)]
    assert len(words) > 20
    assert [one for one in words if re.search(r"(?<![\w.])\d", one)] == []


def test_page_without_measurements_shows_not_run() -> None:
    text = page.render(model(), page.TEMPLATE.read_text())
    assert "NaN" not in text and "None" not in text and "nan " not in text
    for row in (one for one in text.split("\n") if one.startswith("| ") and "`membership_rest_cpu`" in one):
        assert "not run" in row
    for scenario in tables.SCENARIOS:
        assert f"| {scenario} | not run |" in text


def test_page_with_all_measurements_shows_not_run_only_for_other_programs() -> None:
    text = page.render(full(), page.TEMPLATE.read_text())
    assert "not run" not in tables.slopes(full())
    left = [one for one in roles.roles(full()).split("\n") if "not run" in one]
    assert [re.split(r" ?\| ?", one)[2] for one in left] == [
        "processor time and memory, not this program's",
        "memory, not this program's",
        "processor time and memory",
    ]
    assert "| another |" in text and "something 12.5 ms" in text and "said so" in text
    assert "proxy in the highest second 4.32 KB/s" in text
    assert "catch up not run" in text
    assert "`reload_cpu`" in text and "members run 2,827" in text


@pytest.mark.parametrize("missing_one", tables.EXPECTED)
def test_page_renders_without_any_one_sweep(missing_one: str) -> None:
    known = full()
    left = {name: one for name, one in known.measured.sweeps.items() if name != missing_one}
    text = page.render(Model(replace(known.measured, sweeps=left), known.plan), page.TEMPLATE.read_text())
    assert f"| `{missing_one}` | - |" in text


def test_every_assumption_has_reason_on_page() -> None:
    text = page.render(model(), page.TEMPLATE.read_text())
    given = plan.load().assumed
    for name in given.__struct_fields__:
        one = getattr(given, name)
        assert len(one.why) > 20 and "\n" not in one.why
        assert one.why in text


def test_plots_are_drawn_for_available_data_only(tmp_path: Path) -> None:
    from ironmill_testbed.capacity import plots

    known = full()
    known.measured.scenarios["storm"]["in_force_by"] = [[0.1, 0.5], [0.4, 1.0]]
    found = plots.draw(known, tmp_path)
    assert [one.name for one in found] == ["slopes.png", "change.png"]
    assert all(one.read_bytes().startswith(b"\x89PNG") and one.stat().st_size < 400_000 for one in found)
    assert plots.draw(model(), tmp_path) == []
