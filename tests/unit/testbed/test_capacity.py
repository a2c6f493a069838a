"""Tests of the capacity page: formulas against values by hand, and the committed page against formulas."""

from __future__ import annotations

import ast
import math
import re
import shutil
from pathlib import Path
from types import ModuleType

import msgspec
import pytest
from msgspec.structs import replace

from ironmill.distribution.changes import MAX_REVISION_CHANGES
from ironmill.distribution.revision_log import MAX_DELTA_BYTES
from ironmill.distribution.timing import POLL_INTERVAL_S
from ironmill.distribution.timing import Timing as DistributionTiming
from ironmill.membership.rings import RING_COUNT
from ironmill.membership.timing import Timing as MembershipTiming
from ironmill.requests import discovery_backoff
from ironmill_testbed.__main__ import main
from ironmill_testbed.capacity import data, formulas, page, plan, roles, tables
from ironmill_testbed.capacity.data import Fit, Measured, Shape, Sign, Sweep
from ironmill_testbed.capacity.figure import Figure, number, quantity
from ironmill_testbed.capacity.formulas import Model

SIZES = (100.0, 200.0, 400.0, 800.0, 1600.0)


def line(name: str, x: str, unit: str, constant: float, slope: float) -> Sweep:
    points = tuple((size, constant + slope * size) for size in SIZES)
    return Sweep(name, f"{name} of a test", x, unit, Sign.VIRTUAL, points)


def power(name: str, x: str, unit: str, factor: float, exponent: float) -> Sweep:
    points = tuple((size, factor * size**exponent) for size in SIZES)
    return Sweep(name, f"{name} of a test", x, unit, Sign.VIRTUAL, points, Shape.POWER)


def model(*sweeps: Sweep, scenarios: dict[str, dict[str, object]] | None = None) -> Model:
    return Model(Measured({one.name: one for one in sweeps}, scenarios or {}, {}), plan.load())


def full() -> Model:
    """All sweeps and scenarios that the page expects, and one of each that it does not."""
    sweeps = [line(name, "proxies", "s", 1e-5, 1e-9) for name in tables.EXPECTED]
    entries = ("table_", "keyspace_", "placement", "store", "catch_up")
    sweeps = [replace(one, x="entries") if one.name.startswith(entries) else one for one in sweeps]
    sweeps = [replace(one, x="connections") if one.name.startswith("core") else one for one in sweeps]
    known = [*sweeps, line("reload_cpu", "rules", "s", 0.001, 0.0001)]
    found: dict[str, dict[str, object]] = {
        name: {"members_run": 2827, "lost_changes": 0} for name in tables.SCENARIOS
    }
    found["zone"] |= {"proxy_bytes_highest_s": 4321.0, "catch_up_s": None, "sign": "virtual clock"}
    found["zone"]["way"] = [1, 2]
    found["another"] = {"something_ms": 12.5, "said": "so"}
    return model(*known, scenarios=found)


# The committed page.


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
    with pytest.raises(page.TemplateError, match="no place"):
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
    assert "line 1 has a figure of its own" in capsys.readouterr().err


def test_rendering_is_deterministic() -> None:
    template = page.TEMPLATE.read_text()
    assert page.render(full(), template) == page.render(full(), template)


# Figures come from formulas only.


@pytest.mark.parametrize("text", ["About 12 of them.", "`code 1` and 2", "{{budget}} or 6 KB/s"])
def test_rejects_figure_in_prose_of_template(text: str) -> None:
    with pytest.raises(page.TemplateError, match="figure of its own"):
        page.render(model(), text)


def test_template_accepts_code_and_links_and_rejects_unknown_name() -> None:
    assert page.render(model(), "{{shards}} `x1` [a](b2.md)") == "640,000 `x1` [a](b2.md)"
    with pytest.raises(page.TemplateError, match="asks for nothing_such"):
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


@pytest.mark.parametrize("module", [page, roles, tables, formulas])
def test_string_literals_of_tables_contain_no_figure(module: ModuleType) -> None:
    words = [word for source in sources(module) for word in string_literals(source)]
    assert len(words) > 20
    assert [one for one in words if re.search(r"(?<![\w.])\d", one)] == []


# Format of figures.


@pytest.mark.parametrize(
    ("value", "error", "unit", "text"),
    [
        (22.41, 1.26, "", "22.4 ± 1.3 ="),
        (0.0224, 0.00131, "s", "22.4 ± 1.3 ms ="),
        (123456.0, 0.0, "B", "123 KB ="),
        (999.96, 0.0, "B", "1,000 B ="),
        (9996.0, 0.0, "B", "10.0 KB ="),
        (0.016, 0.0, "cores", "1.60 % of a core ="),
        (2.0, 0.25, "cores", "2.00 ± 0.25 cores ="),
        (0.0, 0.0, "B/s", "0 B/s ="),
        (3.0, 1.0, "", "3 ± 1 ="),
        (5.0, 40.0, "", "5 ± 40 ="),
        (1234.0, 56.0, "", "1,230 ± 56 ="),
        (210e6, 0.0, "", "210 million ="),
        (12.5, 0.0, "/s", "12.5/s ="),
        (10656.0, 0.0, "s", "2.96 h ="),
        (-0.0001, 2.0, "", "0.0 ± 2.0 ="),
        (1.0, 0.00012, "", "1.00 ± 0.00012 ="),
        (math.inf, 0.0, "", "unlimited ="),
        (None, 0.0, "s", "not run"),
        (math.nan, 0.0, "s", "not run"),
    ],
)
def test_formats_quantity_to_two_or_three_digits(
    value: float | None, error: float, unit: str, text: str
) -> None:
    assert quantity(Figure(value, error), unit) == text


@pytest.mark.parametrize(
    ("value", "text"), [(0.0, "0"), (90.0, "90"), (2800.0, "2,800"), (11071.4, "11,100"), (0.099, "0.0990")]
)
def test_formats_number_to_three_digits(value: float, text: str) -> None:
    assert number(value) == text


def test_errors_are_added_and_assumed_sign_is_kept() -> None:
    left, right = Figure(10.0, 1.0), Figure(5.0, 0.5)
    assert left + right == Figure(15.0, 1.5)
    assert left - right == Figure(5.0, 1.5)
    assert left * right == Figure(50.0, 10.0)
    assert left / right == Figure(2.0, 0.4)
    assert left * 3.0 == Figure(30.0, 3.0) == 3.0 * left
    assert 20.0 / left == Figure(2.0, 0.2)
    assert (left + Figure(1.0, sign=Sign.ASSUMED)).sign is Sign.ASSUMED
    assert (left + Figure(1.0, sign=Sign.REAL)).sign is Sign.DERIVED
    assert (left + Figure(None)).value is None
    assert (Figure(None) * left).value is None
    assert Figure(2.1, 0.3).ceil() == Figure(3.0)
    assert Figure(2.0 + 1e-12).ceil() == Figure(2.0)


# Search for the size at which a limit is reached.


def test_factor_at_limit_of_line_and_of_power_law() -> None:
    found = model(line("a", "members", "B/s", 1000.0, 5.0), power("b", "members", "B/s", 0.5, 1.5))
    at = formulas.factor_at_limit(lambda n: found.at("a", n), 6000.0, 200.0)
    assert at.value == pytest.approx(5.0, rel=1e-6)  # 1,000 + 5 x 1,000
    at = formulas.factor_at_limit(lambda n: found.at("b", n), 500.0, 200.0)
    assert at.value == pytest.approx(0.5, rel=1e-6)  # 0.5 x 100 ** 1.5


def test_error_of_factor_at_limit_follows_error_of_slope() -> None:
    fit = Fit(Shape.LINE, 0.0, 10.0, 0.0, 2.0, 0.0)
    at = formulas.factor_at_limit(lambda n: Figure(fit.at(n), fit.error_at(n)), 1200.0, 10.0)
    assert at.value == pytest.approx(12.0, rel=1e-6)
    assert at.error == pytest.approx(3.0, rel=1e-6)  # 1,200 / 8 is further off than 1,200 / 12


def test_state_of_missing_mechanism_names_limit_of_present_one() -> None:
    first = formulas.gaps(model())[0]
    assert tables.state_of(model(), first).endswith("not run, or in part")
    found = full()
    costs = {"keyspace_memory": 800.0, "relay_push_cpu": 1e-6, "relay_poll_cpu": 1e-6}
    lines = {name: line(name, "entries", "B", 0.0, slope) for name, slope in costs.items()}
    known = Model(replace(found.measured, sweeps=found.measured.sweeps | lines), found.plan)
    now = formulas.current_distribution_gaps(known)
    assert (now[0].sweep, now[0].is_covered) == ("keyspace_memory", False)
    assert now[0].factor.value == pytest.approx(160_000.0 / 90.0)
    assert tables.state_of(known, first).endswith("required, by memory of the keyspace")


def test_factor_at_limit_is_zero_infinite_or_unknown() -> None:
    found = model(line("a", "members", "B/s", 7000.0, 1.0), line("b", "members", "B/s", 10.0, 0.0))
    assert formulas.factor_at_limit(lambda n: found.at("a", n), 6000.0, 200.0).value == 0.0
    assert formulas.factor_at_limit(lambda n: found.at("b", n), 6000.0, 200.0).value == math.inf
    assert formulas.factor_at_limit(lambda n: found.at("none", n), 6000.0, 200.0).value is None


@pytest.mark.parametrize(
    ("figure", "limit", "factor", "said"),
    [
        (Figure(5.0, 0.5), 6.0, Figure(None), "within the limit"),
        (Figure(5.8, 0.5), 6.0, Figure(None), "within the limit, by less than its error"),
        (Figure(12.0), 6.0, Figure(None), "**over, 2 times the limit**"),
        (
            Figure(12.0),
            6.0,
            Figure(3.5, 0.25),
            "**exceeded at 3.50 ± 0.25 = times today's fleet**, 14 required",
        ),
        (Figure(12.0), 6.0, Figure(0.0), "**exceeded at any size**"),
        (Figure(12.0), None, Figure(None), "no limit is given"),
        (Figure(None), 6.0, Figure(2.0), "not run"),
    ],
)
def test_verdict_for_figure_limit_and_factor(
    figure: Figure, limit: float | None, factor: Figure, said: str
) -> None:
    cost = roles.RoleCost("a cost", figure, "", "a mechanism", limit, (), factor, 14.0)
    assert roles.verdict(cost) == said
    assert roles.verdict(replace(cost, mechanism="")) == "**no mechanism**"


# Formulas, at small sizes.


def small(**target: float) -> Model:
    """Ten proxies with 1,000 connections and 500 deliveries a second each; a line 2 ms, a set-up 4 ms."""
    given = plan.load()
    target_fleet = replace(
        given.target,
        proxies=10.0,
        connections=10_000.0,
        shards=100.0,
        largest_topic=50.0,
        deliveries_per_s=5000.0,
        regions=2.0,
        zones=3.0,
        changes_per_day=86_400.0,
        control_machines=4.0,
        failures_per_day=1.0,
        restarts_per_day=9.0,
        **target,
    )
    assumed = replace(
        given.assumed,
        connection_lifetime=replace(given.assumed.connection_lifetime, value=20.0),
        change=replace(given.assumed.change, value=200.0),
        entry=replace(given.assumed.entry, value=100.0),
        process_share=replace(given.assumed.process_share, value=0.5),
        passes_per_line=replace(given.assumed.passes_per_line, value=2.0),
        return_window=replace(given.assumed.return_window, value=10.0),
    )
    today = replace(
        given.today,
        process_bytes=1e6,
        catch_up_bytes_per_s=2000.0,
        serve_bytes_per_s=3000.0,
    )
    sweeps = [
        line("core_line_cpu", "connections", "s", 0.002, 0.0),
        line("core_setup_cpu", "connections", "s", 0.004, 0.0),
        line("core_floor_line", "connections", "s", 0.001, 0.0),
        line("core_floor_setup", "connections", "s", 0.002, 0.0),
        line("core_memory", "connections", "B", 5e6, 7e3),
        line("relay_poll_cpu", "children", "s/s", 0.0, 0.01),
        line("relay_push_cpu", "children", "s", 0.001, 0.002),
        line("membership_zone_span", "members", "s", 6.0, 0.0),
        line("membership_zone_bytes", "members", "B/s", 0.0, 100.0),
        line("membership_rest_bytes", "members", "B/s", 40.0, 0.0),
    ]
    measured = Measured({one.name: one for one in sweeps}, {}, {})
    return Model(measured, replace(given, target=target_fleet, today=today, assumed=assumed))


def test_data_path_formulas_match_values_by_hand() -> None:
    found = small()
    assert formulas.connections_per_proxy(found).value == 1000.0
    assert formulas.deliveries_per_proxy(found).value == 500.0
    assert formulas.setups_per_proxy(found).value == 50.0
    # 500 passes of 1 ms and 50 set-ups of 4 ms
    assert formulas.process_load(found, 1000.0).value == pytest.approx(0.7)
    assert formulas.max_connections_per_process(found).value == pytest.approx(1000.0 * 0.5 / 0.7)
    assert formulas.processes_per_proxy(found).value == 2.0
    assert formulas.processes_with_error(found).value == 2.0
    assert formulas.data_path_cores(found).value == pytest.approx(0.7)
    assert formulas.data_path_memory(found).value == pytest.approx(2 * (1e6 + 5e6) + 1000 * 7e3)
    assert formulas.data_path_memory(found).sign is Sign.ASSUMED


def test_control_formulas_match_values_by_hand() -> None:
    found = small()
    assert formulas.change_rate(found).value == 1.0
    assert formulas.storm_rate(found).value == 24.0
    assert formulas.children_per_relay(found).value == 2.5
    assert formulas.relays_of_origin(found) == 3.0
    rate, storm = formulas.change_rate(found), formulas.storm_rate(found)
    assert formulas.relay_bytes(found, storm).value == pytest.approx(24.0 * 200.0 * 2.5)
    assert formulas.relay_cores(found, rate).value == pytest.approx(0.025 + 0.001 + 0.005)
    assert formulas.proxies_per_zone(found).value == 4.0
    assert formulas.proxies_per_region(found).value == 5.0
    assert formulas.children_after_zone(found).value == 3.0  # 6 proxies, 2 machines
    assert formulas.min_revisions(found).value == 1.0
    # 6 of 60 s at 1,000 B/s, the others at 40
    assert formulas.worst_minute_mean(found, 10.0).value == pytest.approx((6.0 * 1000.0 + 54.0 * 40.0) / 60.0)


def test_full_catch_up_formulas_match_values_by_hand() -> None:
    found = small(control_bytes_per_s=500.0)
    assert formulas.starts_per_day(found).value == 10.0
    assert formulas.full_catch_up_bytes(found) == Figure(10_000.0, 0.0, Sign.ASSUMED)
    assert formulas.full_catch_up_time(found).value == 5.0
    assert formulas.full_catch_up_time_in_budget(found).value == 20.0
    assert formulas.concurrent_catch_up_time(found, Figure(4.0)).value == 5.0  # 3.3 s from each relay
    assert formulas.concurrent_catch_up_time(found, Figure(10.0)).value == pytest.approx(
        10 * 10_000 / 4 / 3000
    )
    assert formulas.full_catch_up_cpu(found).value is None
    sweeps = found.measured.sweeps | {
        "catch_up_bytes": line("catch_up_bytes", "entries", "B", 1000.0, 50.0),
        "keyspace_put_cpu": line("keyspace_put_cpu", "entries", "s", 0.002, 0.0),
    }
    known = Model(replace(found.measured, sweeps=sweeps), found.plan)
    assert formulas.full_catch_up_bytes(known).value == pytest.approx(6000.0)
    assert formulas.full_catch_up_bytes(known).sign is Sign.DERIVED
    assert formulas.full_catch_up_cpu(known).value == pytest.approx(0.2)


def test_returning_clients_formulas_match_values_by_hand() -> None:
    found, lost = small(), Figure(2.0)
    assert formulas.clients_of(found, lost).value == 2000.0
    assert formulas.returning_per_proxy(found, lost).value == 250.0
    assert formulas.returning_cores(found, lost).value == pytest.approx(25.0 * 0.004)


def test_delivery_formulas_match_values_by_hand() -> None:
    found = small(delivery_share=0.99)
    assert formulas.listeners_per_proxy(found).value == 5.0
    assert formulas.listeners_per_shard(found).value == 100.0
    assert formulas.proxies_per_shard(found).value == pytest.approx(10.0 * (1.0 - 0.9**100))
    assert formulas.floor_pass(found).value == pytest.approx(0.0005)
    # two processes with a load of 0.35: 1 ms x ln 100 / 0.65
    assert formulas.queueing_time(found).value == pytest.approx(0.001 * math.log(100.0) / 0.65)
    single, shared = formulas.delivery(found)
    assert single.value is not None and shared.value is not None
    assert single.value - shared.value == pytest.approx((50 - 10) * 0.0005)
    rest = single.value - 50 * 0.0005
    assert rest == pytest.approx(0.230 + 2 * 0.001 * math.log(100.0) / 0.65 + 5 * 0.001)
    assert formulas.max_listeners_one_to_one(found).value == pytest.approx((0.290 - rest) / 0.0005)
    late = small(delivery_ms=1.0)
    assert formulas.max_listeners_one_to_one(late).value == 0.0  # never less than nobody
    assert formulas.server_cores(found).value == pytest.approx(5000 * 0.0005 + 500 * 0.002)


def test_first_gaps_are_ordered_by_factor_and_omit_covered_mechanisms() -> None:
    found = model(
        line("membership_zone_bytes", "members", "B/s", 0.0, 100.0),  # 60 members
        line("membership_rest_bytes", "members", "B/s", 0.0, 10.0),  # 600
        line("membership_rest_cpu", "members", "s/s", 0.001, 0.0),  # never
        line("table_memory", "entries", "B", 0.0, 1280.0),  # 100,000
    )
    known = [gap for gap in formulas.gaps(found) if gap.factor.value is not None]
    assert [gap.sweep for gap in known] == [
        "",
        "membership_zone_bytes",
        "membership_rest_bytes",
        "table_memory",
        "membership_rest_cpu",
    ]
    values = [gap.factor.value for gap in known]
    assert values[0] == 0.0 and values[4] == math.inf
    assert values[1:4] == pytest.approx([0.3, 3.0, 100_000.0 / 90.0], rel=1e-6)
    assert [gap.is_covered for gap in known] == [False, False, False, False, True]
    first = formulas.first_gaps(found)
    wanted = [formulas.CONFIGURATION, formulas.FLAT_VIEW, formulas.FLAT_LIST]
    assert [gap.mechanism for gap in first[:3]] == wanted
    assert len({gap.mechanism for gap in first}) == len(first)


# Missing and unexpected data.


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


def test_sweep_with_too_few_sizes_has_no_fit_and_no_value() -> None:
    short = replace(line("table_memory", "entries", "B", 0.0, 1.0), points=((1.0, 1.0), (2.0, 2.0)))
    assert model(short).at("table_memory", 10.0).value is None
    assert "no fit" in tables.slopes(model(short))


def test_power_law_through_zeros_has_no_fit() -> None:
    flat = replace(power("a", "members", "s", 1.0, 1.0), points=tuple((size, 0.0) for size in SIZES))
    assert model(flat).fit("a") is None


def test_slopes_are_given_as_multiples_of_floor() -> None:
    found = replace(line("core_line_cpu", "connections", "s", 2e-3, 1e-6), floor_s=1e-3)
    assert "| 2, (1)e-3 |" in tables.slopes(model(found))


def test_slopes_name_better_shape_and_list_rough_fits() -> None:
    curved = replace(power("membership_zone_bytes", "members", "B/s", 100.0, 2.0), shape=Shape.LINE)
    found = model(curved, line("membership_rest_bytes", "members", "B/s", 1000.0, 1.0))
    rows = tables.slopes(found).split("\n")
    (row,) = [one for one in rows if "`membership_zone_bytes`" in one]
    assert "(power: 0 %, 784 MB/s there)" in row  # 100 x the square of 2,800
    (row,) = [one for one in rows if "`membership_rest_bytes`" in one]
    assert "power" not in row
    assert tables.rough(found) == "`membership_zone_bytes`"
    assert tables.rough(model()) == "none"


def test_target_size_is_found_by_first_known_word_of_sweep_axis() -> None:
    found = model()
    sizes = {
        "members": 2800.0,
        "standing entries": 640_000.0,
        "entries": 640_000.0,
        "relays": 26.0,
        "children of one relay": 2800.0 / 27.0,
        "caller rules": None,
    }
    for x, size in sizes.items():
        assert formulas.size_of(found, line("a", x, "s", 1.0, 0.0)) == size


# The plan and the data.


def test_every_assumption_has_reason_on_page() -> None:
    text = page.render(model(), page.TEMPLATE.read_text())
    given = plan.load().assumed
    for name in given.__struct_fields__:
        one = getattr(given, name)
        assert len(one.why) > 20 and "\n" not in one.why
        assert one.why in text


def test_rejects_plan_with_unknown_key(tmp_path: Path) -> None:
    wrong = tmp_path / "plan.toml"
    wrong.write_text(plan.PLAN.read_text().replace("[target]", "[target]\nproxys = 1"))
    with pytest.raises(msgspec.ValidationError, match="proxys"):
        plan.load(wrong)


def test_plan_matches_constants_of_program() -> None:
    today = plan.load().today
    assert today.max_detection_s == MembershipTiming().max_detection_s
    assert today.ping_interval_s == MembershipTiming().ping_interval_s
    assert today.observers == RING_COUNT
    assert today.poll_interval_s == POLL_INTERVAL_S
    assert today.catch_up_bytes_per_s == DistributionTiming().catch_up_bytes_per_s
    assert today.serve_bytes_per_s == DistributionTiming().serve_bytes_per_s
    assert today.delta_bytes == MAX_DELTA_BYTES
    assert today.revision_changes == MAX_REVISION_CHANGES
    assert (today.call_interval_s, today.max_call_pause_s, today.min_call_pause_fraction) == (
        discovery_backoff.MEAN_CALL_INTERVAL_S,
        discovery_backoff.MAX_PAUSE_S,
        discovery_backoff.MIN_PAUSE_FRACTION,
    )


def test_discovery_calls_match_values_by_hand() -> None:
    found = model()
    assert formulas.discovery_calls(found, 20.0).value == pytest.approx(10.0)  # each once in 2 s
    assert formulas.discovery_calls(found, 200.0).value == pytest.approx(200.0 / 3.75)
    assert formulas.discovery_calls(found, 200.0, 0.8).value == pytest.approx(200.0 / 3.0)


def test_zero_costs_do_not_dominate_fit() -> None:
    points = ((10.0, 0.0), (20.0, 0.0), (100.0, 5.0), (200.0, 10.0), (400.0, 20.0))
    fit = replace(line("a", "members", "s", 0.0, 0.0), points=points).fit()
    assert 0.04 < fit.slope < 0.06
    flat = tuple((x, 0.0) for x, _ in points)
    nothing = replace(line("a", "members", "s", 0.0, 0.0), points=flat).fit()
    assert (nothing.constant, nothing.slope, nothing.residual) == (0.0, 0.0, 0.0)


def test_fit_recovers_line_and_power_law() -> None:
    fit = line("a", "members", "s", 3.0, 0.25).fit()
    assert (fit.constant, fit.slope) == (pytest.approx(3.0), pytest.approx(0.25))
    fit = power("a", "members", "s", 3.0, 1.5).fit()
    assert (fit.constant, fit.slope) == (pytest.approx(3.0), pytest.approx(1.5))


def test_plots_are_drawn_for_available_data_only(tmp_path: Path) -> None:
    from ironmill_testbed.capacity import plots

    known = full()
    known.measured.scenarios["storm"]["in_force_by"] = [[0.1, 0.5], [0.4, 1.0]]
    found = plots.draw(known, tmp_path)
    assert [one.name for one in found] == ["slopes.png", "change.png"]
    assert all(one.read_bytes().startswith(b"\x89PNG") and one.stat().st_size < 400_000 for one in found)
    assert plots.draw(model(), tmp_path) == []
