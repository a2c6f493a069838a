"""``docs/CAPACITY.md``: a template of prose, and tables made from the formulas. No figure is typed in.

The template says ``{{name}}`` where a figure or a table belongs; a digit in its prose is an error.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

from msgspec import Struct

from ironmill_testbed.capacity import data, formulas, plan, roles, tables
from ironmill_testbed.capacity.figure import NOT_RUN, Figure, number, quantity
from ironmill_testbed.capacity.formulas import Gap, Model
from ironmill_testbed.capacity.tables import factor_of, share_of

DOCS = Path(__file__).parents[2] / "docs"
PAGE = DOCS / "CAPACITY.md"
TEMPLATE = DOCS / "capacity" / "page.md.in"
ROADMAP = DOCS / "ROADMAP.md"
BEGIN, END = "<!-- capacity: written by the command, not by hand -->", "<!-- end of capacity -->"


class TemplateError(ValueError):
    """The template has a figure of its own, or asks for one that is not there."""


def inline(model: Model) -> dict[str, str]:
    """Figures that the prose names."""
    letter = model.plan.letter
    today = model.plan.today
    machine = sorted(model.measured.machine.items())
    chosen, second = formulas.first_missing(model)[:2]
    fan_out = formulas.floor_pass(model)
    return {
        "proxies": number(letter.proxies),
        "today": number(model.plan.today.proxies),
        "servers": number(model.plan.today.servers),
        "budget": quantity(Figure(letter.control_bytes_per_s), "B/s", signed=False),
        "share": share_of(model),
        "delivery": f"{number(letter.delivery_ms)} ms",
        "within": f"{number(letter.in_force_s)} s",
        "shards": number(letter.shards),
        "largest": number(letter.largest_topic),
        "connections": quantity(formulas.connections_a_proxy(model)),
        "deliveries": quantity(formulas.deliveries_a_proxy(model), "/s"),
        "processes": quantity(formulas.processes_range(model)),
        "choice": chosen.mechanism,
        "choice_why": _why(chosen),
        "second": second.mechanism,
        "second_why": _why(second),
        "fan_out_single": quantity(fan_out * letter.largest_topic, "s"),
        "fan_out_shared": quantity(fan_out * letter.proxies, "s"),
        "one_to_one": quantity(formulas.largest_one_to_one(model)),
        "listeners_shard": quantity(formulas.listeners_a_shard(model)),
        "proxies_shard": quantity(formulas.proxies_a_shard(model)),
        "listeners_proxy": quantity(formulas.listeners_a_proxy(model)),
        "server_cores": quantity(formulas.server_cores(model), "cores"),
        "rough": tables.rough(model),
        "rough_part": f"{number(tables.ROUGH * 100.0)} %",
        "calls_aim": quantity(Figure(1.0 / today.call_spacing_s)),
        "pause_most": quantity(Figure(today.call_pause_most_s), "s"),
        "calls_least": quantity(formulas.calls(model, letter.proxies), "/s"),
        "calls_most": quantity(formulas.calls(model, letter.proxies, today.call_pause_least), "/s"),
        "zone_high": quantity(model.at("membership_zone_bytes", letter.proxies), "B/s"),
        "zone_minute": quantity(formulas.minute_mean(model, letter.proxies), "B/s"),
        "zone_span": quantity(model.at("membership_zone_span", letter.proxies), "s"),
        "machine": ", ".join(f"{key} {value}" for key, value in machine) or NOT_RUN,
    }


def _why(gap: Gap) -> str:
    what = gap.breaks[0].upper() + gap.breaks[1:]
    return f"{what}: {factor_of(gap)}, as a multiple of today's fleet; {number(gap.asked)} is asked"


TABLES = {
    "roles": roles.roles,
    "events": tables.events,
    "deliveries_table": tables.deliveries,
    "missing": tables.missing,
    "slopes": tables.slopes,
    "letter": tables.letter,
    "today_table": tables.today,
    "assumptions": tables.assumptions,
    "stories": tables.stories,
    "cold": tables.cold,
}
PLACE = re.compile(r"\{\{(\w+)\}\}")


def render(model: Model, template: str) -> str:
    """The page. TemplateError."""
    words = inline(model) | {name: make(model) for name, make in TABLES.items()}
    for at, line in enumerate(template.splitlines(), 1):
        if re.search(r"\d", re.sub(r"`[^`]*`|\]\([^)]*\)|\{\{\w+\}\}", "", line)):
            raise TemplateError(f"line {at} has a figure of its own: {line}")
        for name in PLACE.findall(line):
            if name not in words:
                raise TemplateError(f"line {at} asks for {name}, which is not there")
    return PLACE.sub(lambda found: words[found[1]], template)


def render_roadmap(model: Model, text: str) -> str:
    """The roadmap with its table by the page; all else in it stays. TemplateError."""
    if text.count(BEGIN) != 1 or text.count(END) != 1 or text.index(BEGIN) > text.index(END):
        raise TemplateError("the roadmap has no place for the table")
    head, rest = text.split(BEGIN)
    return f"{head}{BEGIN}\n{tables.roadmap(model)}\n{END}{rest.split(END)[1]}"


def difference(name: str, there: str, wanted: str) -> str:
    """The first line that differs, as one text; empty if none does."""
    left, right = there.split("\n"), wanted.split("\n")
    for at in range(max(len(left), len(right))):
        one = left[at] if at < len(left) else None
        two = right[at] if at < len(right) else None
        if one != two:
            return f"{name}, line {at + 1}\n  is      {_shown(one)}\n  must be {_shown(two)}"
    return ""


def _shown(line: str | None) -> str:
    return "(no line)" if line is None else repr(line)


class Files(Struct, frozen=True):
    """Where the page's parts are."""

    measured: Path = data.MEASURED
    plan: Path = plan.PLAN
    template: Path = TEMPLATE
    page: Path = PAGE
    roadmap: Path = ROADMAP


def model_of(files: Files) -> Model:
    """What is on file; an empty measurement where none is."""
    measured = data.load(files.measured) if files.measured.exists() else data.Measured({}, {}, {})
    return Model(measured, plan.load(files.plan))


def write(files: Files) -> None:
    """The page, and the roadmap's table. TemplateError."""
    model = model_of(files)
    page = render(model, files.template.read_text())
    listed = render_roadmap(model, files.roadmap.read_text())
    files.page.write_text(page)
    files.roadmap.write_text(listed)


def check(files: Files) -> str:
    """What differs first between page or roadmap and what the formulas give; empty if nothing does."""
    model = model_of(files)
    there = files.page.read_text() if files.page.exists() else ""
    roadmap_text = files.roadmap.read_text()
    return difference(files.page.name, there, render(model, files.template.read_text())) or difference(
        files.roadmap.name, roadmap_text, render_roadmap(model, roadmap_text)
    )


def run(checking: bool, plots: bool, files: Files | None = None) -> int:
    """The command's exit status."""
    files = files or Files()
    try:
        if checking:
            if wrong := check(files):
                print(
                    f"capacity: {wrong}\npython -m ironmill_testbed capacity writes it anew", file=sys.stderr
                )
            return 1 if wrong else 0
        write(files)
    except TemplateError as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 1
    if plots:
        from ironmill_testbed.capacity import plots as drawing

        for path in drawing.draw(model_of(files), files.measured.parent):
            print(path)
    return 0
