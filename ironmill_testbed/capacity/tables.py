"""The page's other tables: events, deliveries, what is missing, slopes, stories, a cold start, the plan."""

from __future__ import annotations

import math

from msgspec import structs

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.data import Fit, Shape, Sign, Sweep
from ironmill_testbed.capacity.figure import NOT_RUN, UNKNOWN, Figure, number, plain, quantity, table
from ironmill_testbed.capacity.formulas import Gap, Model, fit_of
from ironmill_testbed.capacity.plan import Assumption


def _q(figure: Figure, unit: str = "") -> str:
    return quantity(figure, unit)


def events(model: Model) -> str:
    """One line for each event."""
    letter, given = model.plan.letter, model.plan.assumed
    proxies = letter.proxies
    rack, zone = formulas.assumed(given.rack), formulas.zone_proxies(model)
    region = formulas.region_proxies(model)
    change, entry, cut = (formulas.assumed(one) for one in (given.change, given.entry, given.cut))
    storm, rate, children = formulas.storm_rate(model), formulas.change_rate(model), formulas.children(model)
    window = _q(formulas.assumed(given.return_window), "s")
    gone = _q(model.at("membership_zone_gone", proxies), "s")
    high, span = model.at("membership_zone_bytes", proxies), model.at("membership_zone_span", proxies)
    per = formulas.starts_per_day(model)
    cold = formulas.cold_bytes(model)
    failing = Figure(letter.failures_per_day)
    missed, most = cut * rate, cut * storm
    all_entries = entry * letter.shards
    today, pace = model.plan.today, Figure(model.plan.today.catch_up_bytes_per_s)
    back = formulas.cold_time_of(model, zone)

    def over(story: str) -> str:
        return f", over its budget for {_q(model.story(story, 'over_budget_s'), 's')}"

    def highest(story: str) -> str:
        found = model.story(story, "proxy_bytes_highest_s")
        return f"as run: a proxy's highest second {_q(found, 'B/s')}"

    def returning(lost: Figure) -> str:
        return (
            f"{_q(formulas.returning_to_each(model, lost))} clients come to each proxy that is left within"
            f" {window}: {_q(formulas.returning_cores(model, lost), 'cores')} more"
        )

    clients, failed = formulas.clients_of, letter.failures_per_day
    machines, within = letter.control_machines, _q(Figure(letter.in_force_s), "s")
    lines = Figure(letter.largest_topic)
    rows = [
        [
            f"an ordinary day: {number(failed)} failures, {number(letter.restarts_per_day)} restarts",
            f"one every {_q(formulas.DAY / per, 's')}; its observers tell all; each start from nothing reads"
            f" {_q(cold, 'B')} from a relay: {_q(per * cold / formulas.DAY / machines, 'B/s')} a relay,"
            " mean of the day",
            f"{highest('restarts')}{over('restarts')} (the day's restarts in ten minutes)",
            f"{_q(clients(model, failing))} clients a day lose their connection by failures,"
            f" {_q(failing * 100.0 / proxies)} % of all; of a restart none is to",
            "membership; who starts says so itself",
        ],
        [
            f"a rack or switch: {_q(rack)} proxies",
            returning(rack) + "; the others are told by rumour",
            f"{highest('rack')}{over('rack')}",
            f"{_q(clients(model, rack))} clients are cut off and come back; clients of other proxies that are"
            f" lost: {_q(model.story('rack', 'clients_lost'))}",
            "membership, its observers",
        ],
        [
            f"a zone lost: {_q(zone)} proxies",
            f"{returning(zone)}; a relay's children {_q(children)},"
            f" then {_q(formulas.children_after_zone(model))}",
            f"{_q(high, 'B/s')} the mean member by the slope, over for {_q(span, 's')}, at most"
            f" {_q(formulas.minute_mean(model, proxies), 'B/s')} as the mean of that minute;"
            f" {highest('zone')}{over('zone')}",
            f"{_q(clients(model, zone))} clients are cut off; the dead are in views for {gone}",
            "membership; a relay, by polls that stop",
        ],
        [
            "the zone back at once",
            f"each of its proxies reads {_q(cold, 'B')}; from {number(machines)} machines that is"
            f" {_q(zone * cold / machines, 'B')} each",
            f"{_q(pace, 'B/s')} a proxy for {_q(back, 's')},"
            f" {_q(zone * pace / machines, 'B/s')} a relay of {_q(Figure(today.serve_bytes_per_s), 'B/s')}"
            " that it serves with; as run: a relay's highest second"
            f" {_q(model.story('zone', 'relay_bytes_highest_s'), 'B/s')}, caught up after"
            f" {_q(model.story('zone', 'catch_up_s'), 's')}",
            "its proxies serve by their own files, with no distributed key, until they have all",
            "each by itself: it is behind",
        ],
        [
            f"a region cut off for {_q(cut, 's')}: {_q(region)} proxies",
            f"nothing to it; at contact {_q(missed)} changes are missing on an average day, {_q(most)} in a"
            f" storm: {_q(missed * change, 'B')} and {_q(most * change, 'B')} each",
            f"{_q(most * change / letter.in_force_s, 'B/s')} a proxy for {within} after a storm, to be in"
            f" force in time; more than {_q(Figure(today.delta_bytes), 'B')} comes by ranges, which takes"
            f" {_q(most * change / pace, 's')} then; {highest('region')}{over('region')}",
            f"it goes on with the last good revision; stale without knowing it:"
            f" {_q(model.story('region', 'stale_unnoticed'))}",
            "each proxy of it by itself, the origin by zone",
        ],
        [
            f"all {number(letter.changes_per_day)} changes in an hour",
            f"{_q(storm, '/s')}, each pushed to {_q(children)} children by every relay",
            f"{_q(storm * change, 'B/s')} a proxy, {_q(formulas.relay_bytes(model, storm), 'B/s')} and"
            f" {_q(formulas.relay_cores(model, storm), 'cores')} a relay, mean second of the hour;"
            f" {highest('storm')}{over('storm')}; a relay's"
            f" {_q(model.story('storm', 'relay_datagrams_highest_s'), '/s')} datagrams",
            f"changes to one key are folded; in force for {share_of(model)} within"
            f" {_q(model.story('storm', 'change_p99_s'), 's')}, the last"
            f" {_q(model.story('storm', 'change_max_s'), 's')}",
            "the sum of acknowledgements",
        ],
        [
            "one change that touches every shard",
            f"as one key that all shards name: any change. As {_q(Figure(letter.shards))} entries:"
            f" {_q(all_entries, 'B')} to each proxy in {_q(formulas.least_revisions(model))} revisions",
            f"as entries, in force within {within}: {_q(all_entries / letter.in_force_s, 'B/s')} a proxy and"
            f" {_q(all_entries * children / letter.in_force_s, 'B/s')} a relay: **nothing carries this**;"
            f" within the budget it takes {_q(all_entries / letter.control_bytes_per_s, 's')}",
            "as entries: part of the shards are on the old value meanwhile, by whole revisions",
            "who wrote it: not in force",
        ],
        [
            f"the largest topic speaks: {_q(lines)} listeners",
            f"its server writes as many lines, {_q(formulas.floor_pass(model) * lines, 's')} of a core;"
            f" {_q(formulas.listeners_a_proxy(model))} of them to each proxy",
            f"{_q(formulas.delivery(model)[0], 's')} to the last listener, of"
            f" {number(letter.delivery_ms)} ms: see below",
            "other topics of that server wait as long",
            "nobody: deliveries are not measured end to end",
        ],
    ]
    heads = [
        "event",
        "what is sent, by whom, within what time",
        "highest second, and how long",
        "refused or stale meanwhile",
        "who notices",
    ]
    return table(heads, rows)


def deliveries(model: Model) -> str:
    """By hop."""
    single, shared = formulas.delivery(model)
    rows = [[hop.name, _q(hop.single, "s"), _q(hop.shared, "s")] for hop in formulas.hops(model)]
    limit = f"{number(model.plan.letter.delivery_ms)} ms"
    rows.append([f"**sum**, of {limit}", _q(single, "s"), _q(shared, "s")])
    heads = ["hop", "a stream for each listener (today)", "one stream a shard and proxy (not built)"]
    return table(heads, rows)


def missing(model: Model) -> str:
    """The order in which mechanisms give out."""
    rows = []
    for gap in formulas.gaps(model):
        rows.append(
            [
                gap.mechanism,
                gap.breaks,
                factor_of(gap),
                number(gap.asked),
                f"`{gap.sweep}`" if gap.sweep else "the program",
                state_of(model, gap),
            ]
        )
    heads = [
        "mechanism",
        "what gives out",
        "at N times today's fleet",
        "the letter asks",
        "rests on",
        "state",
    ]
    return table(heads, rows)


def factor_of(gap: Gap) -> str:
    """The multiple of today's fleet at which it gives out."""
    if not gap.sweep:
        return f"{_q(gap.factor)} (nothing carries it)"
    if gap.factor.value == 0.0:
        return f"below {plain(formulas.SMALLEST)} {gap.factor.sign.mark} (at any size)"
    return _q(gap.factor)


def state_of(model: Model, gap: Gap) -> str:
    """Whether it gives out; of what was built since, how far that goes."""
    if gap.sweep:
        return "holds" if gap.holds else NOT_RUN if gap.factor.value is None else "gives out"
    now = formulas.distribution_now(model)[0]
    page = "now [distribution](distribution.md)"
    if now.factor.value is None:
        return f"{page}: {NOT_RUN}, or in part"
    return f"{page}: to {factor_of(now)}, {number(now.asked)} asked, by {now.breaks}"


def share_of(model: Model) -> str:
    """The letter's share of deliveries, in words."""
    return f"{number(model.plan.letter.delivery_share * 100.0)} in {number(100.0)}"


def roadmap(model: Model) -> str:
    """The mechanisms in the order in which they are missing."""
    rows = [
        [gap.mechanism, gap.breaks, factor_of(gap), number(gap.asked), state_of(model, gap)]
        for gap in formulas.first_missing(model)
    ]
    heads = ["mechanism", "what gives out first", "at N times today's fleet", "the letter asks", "state"]
    return table(heads, rows)


ROUGH = 0.1  # residual, in parts of the fit


def slopes(model: Model) -> str:
    """Every sweep with its fit."""
    rows = [_slope(model, model.measured.sweeps[name]) for name in sorted(model.measured.sweeps)]
    heads = [
        "sweep",
        "of",
        "sizes",
        "the letter's",
        "shape",
        "constant or factor",
        "slope or exponent",
        "unit",
        "residual",
        "in floors: constant, slope",
        "run",
        "what was measured",
    ]
    missing_ones = [name for name in EXPECTED if name not in model.measured.sweeps]
    rows += [[f"`{name}`", *[UNKNOWN] * (len(heads) - 3), NOT_RUN, UNKNOWN] for name in missing_ones]
    return table(heads, rows)


# What the formulas ask for.
EXPECTED = (
    "catch_up_bytes",
    "catch_up_page_cpu",
    "change_latency_p99",
    "control_rest_bytes",
    "core_floor_line",
    "core_floor_setup",
    "core_line_cpu",
    "core_memory",
    "core_setup_cpu",
    "keyspace_memory",
    "keyspace_put_cpu",
    "membership_memory",
    "membership_rest_bytes",
    "membership_rest_cpu",
    "membership_zone_bytes",
    "membership_zone_gone",
    "membership_zone_span",
    "origin_rest_bytes",
    "placement_cpu",
    "placement_group_cpu",
    "relay_memory",
    "relay_poll_cpu",
    "relay_push_cpu",
    "store_commit",
    "subscriber_rest_bytes",
    "subscriber_rest_cpu",
    "table_change_cpu",
    "table_change_live_cpu",
    "table_full_cpu",
    "table_memory",
    "table_parse_cpu",
)


def _slope(model: Model, sweep: Sweep) -> list[str]:
    fit = model.fit(sweep.name)
    sizes = sorted({x for x, _ in sweep.points})
    span = f"{number(sizes[0])} to {number(sizes[-1])}, {number(len(sizes))} of them" if sizes else UNKNOWN
    asked = model.size_of(sweep)
    letter = UNKNOWN if asked is None else number(asked)
    if asked is not None and sizes and asked > sizes[-1]:
        letter += f", {number(asked / sizes[-1])} times beyond"
    run = [f"{sweep.sign.mark} {sweep.sign.value}", sweep.what]
    if fit is None:
        return [
            f"`{sweep.name}`",
            sweep.x,
            span,
            letter,
            sweep.shape.value,
            "no fit",
            "no fit",
            sweep.unit,
            UNKNOWN,
            UNKNOWN,
            *run,
        ]
    per = "" if sweep.shape is Shape.POWER else sweep.unit
    floors = UNKNOWN
    if sweep.floor_s and sweep.shape is Shape.LINE:
        floors = f"{number(fit.constant / sweep.floor_s)}, {small(fit.slope / sweep.floor_s, 0.0)}"
    return [
        f"`{sweep.name}`",
        sweep.x,
        span,
        letter,
        sweep.shape.value,
        quantity(Figure(fit.constant, fit.constant_error), sweep.unit, signed=False),
        small(fit.slope, fit.slope_error),
        f"{per} each" if per else "exponent",
        f"{number(round(fit.residual * 100.0, 6))} %{_other(model, sweep, fit)}",
        floors,
        *run,
    ]


def _other(model: Model, sweep: Sweep, fit: Fit) -> str:
    """The residual of the other shape, where that is less than this one's."""
    shape = Shape.POWER if sweep.shape is Shape.LINE else Shape.LINE
    other = fit_of(structs.replace(sweep, shape=shape))
    if other is None or other.residual >= fit.residual:
        return ""
    asked = model.size_of(sweep)
    there = "" if asked is None else f", {quantity(Figure(other.at(asked)), sweep.unit, signed=False)} there"
    return f" ({shape.value}: {number(round(other.residual * 100.0, 6))} %{there})"


def rough(model: Model) -> str:
    """The sweeps whose fit is off by more than the least that the page warns of."""
    found = [
        name
        for name in sorted(model.measured.sweeps)
        if (fit := model.fit(name)) is not None and fit.residual > ROUGH
    ]
    return ", ".join(f"`{name}`" for name in found) or "none"


def small(value: float, error: float) -> str:
    """A slope in powers of ten, as slopes are small."""
    if value == 0.0:
        return quantity(Figure(value, error), signed=False)
    power = math.floor(round(math.log10(abs(value)), 9) / 3.0) * 3
    scaled = quantity(Figure(value / 10.0**power, error / 10.0**power), signed=False)
    return scaled if power == 0 else f"({scaled})e{power}"


def letter(model: Model) -> str:
    """The letter's figures and today's."""
    rows = [
        [name.replace("_", " "), plain(getattr(model.plan.letter, name))]
        for name in model.plan.letter.__struct_fields__
    ]
    return table(["the letter's", ""], rows)


def today(model: Model) -> str:
    """Today's fleet and promises."""
    rows = [
        [name.replace("_", " "), plain(getattr(model.plan.today, name))]
        for name in model.plan.today.__struct_fields__
    ]
    return table(["today's", ""], rows)


def assumptions(model: Model) -> str:
    """What is assumed, each with its reason."""
    rows = []
    for name in model.plan.assumed.__struct_fields__:
        one: Assumption = getattr(model.plan.assumed, name)
        value = f"{plain(one.value)} {one.unit} {Sign.ASSUMED.mark}"
        rows.append([name.replace("_", " "), value, one.why])
    return table(["assumed", "", "why"], rows)


STORIES = ("rest", "rack", "zone", "region", "restarts", "storm", "control_killed", "loss")
PROPERTIES = ("lost_changes", "older_after_newer", "half_in_force", "stale_unnoticed", "clients_lost")
# By what a figure's name ends in, or else holds.
UNITS = {
    "_bytes_per_s": "B/s",
    "_bytes_highest_s": "B/s",
    "_highest_s": "/s",
    "_per_s": "/s",
    "_mb": "MB",
    "_ms": "ms",
    "_s": "s",
    "_percent": "%",
    "_bytes": "B",
}


def stories(model: Model) -> str:
    """All figures of all stories: properties, then costs."""
    rows = [[name, NOT_RUN, "", ""] for name in STORIES if name not in model.measured.stories]
    for name, found in model.measured.stories.items():
        costs = sorted(set(found) - {*PROPERTIES, "sign"})
        shown = [
            "; ".join(fact for key in keys if (fact := _fact(key, found[key])))
            for keys in ([key for key in PROPERTIES if key in found], costs)
        ]
        rows.append([name, _kind(found.get("sign")), *shown])
    return table(["story", "run", "properties", "costs"], sorted(rows))


def _kind(sign: object) -> str:
    """How a story was run, in words of its own or of a sign."""
    for one in Sign:
        if sign in (one.value, one.name):
            return f"{one.mark} {one.value}"
    return f"{Sign.VIRTUAL.mark} {sign}" if sign else Sign.VIRTUAL.mark


def _fact(key: str, value: object) -> str:
    """One figure with its name; nothing of lists and the like, which the plots show."""
    ending = next((ending for ending in UNITS if key.endswith(ending)), "")
    words = key.removesuffix(ending).replace("_", " ")
    if ending.endswith("highest_s"):
        words += " in the highest second"
    if value is None:
        return f"{words} {NOT_RUN}"
    if isinstance(value, (bool, str)):
        return f"{words} {value}"
    if not isinstance(value, (int, float)):
        return ""
    if isinstance(value, int) and not ending:
        return f"{words} {plain(value)}"
    return f"{words} {quantity(Figure(float(value)), UNITS.get(ending, ''), signed=False)}"


def cold(model: Model) -> str:
    """A start from nothing."""
    letter = model.plan.letter
    budget = quantity(Figure(letter.control_bytes_per_s), "B/s", signed=False)
    pace = _q(Figure(model.plan.today.catch_up_bytes_per_s), "B/s")
    all_at_once = formulas.cold_time_of(model, Figure(letter.proxies))
    page, held = model.at("catch_up_page_cpu", letter.shards), model.at("keyspace_memory", letter.shards)
    taken = formulas.whole_list(model, letter.shards)
    read = "`catch_up_bytes`" if model.fit("catch_up_bytes") else "the plan"
    rows = [
        ["read from a relay", _q(formulas.cold_bytes(model), "B"), read],
        [f"that takes, at {pace}", _q(formulas.cold_time(model), "s"), read],
        [f"that takes, within {budget}", _q(formulas.cold_time_in_budget(model), "s"), read],
        ["that takes, if all proxies start at once", _q(all_at_once, "s"), read],
        ["processor time of the proxy", _q(formulas.cold_cpu(model), "s"), "`keyspace_put_cpu`"],
        ["processor time of the relay, a page", _q(page, "s"), "`catch_up_page_cpu`"],
        ["memory of the keyspace", _q(held, "B"), "`keyspace_memory`"],
        ["discovery's list read whole, beside it", _q(formulas.list_bytes(model), "B"), "the plan"],
        [
            "that list read and taken into the routing table",
            _q(taken, "s"),
            "`table_parse_cpu`, `table_full_cpu`",
        ],
    ]
    return table([f"{number(letter.shards)} entries", "", "rests on"], rows)
