"""The table by role: each cost beside its limit, and whether it holds."""

from __future__ import annotations

from msgspec import Struct

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.figure import NOT_RUN, UNKNOWN, Figure, number, quantity, table
from ironmill_testbed.capacity.formulas import Gap, Model

# The mechanisms, as the table names them.
CORE = "[core](core.md): one process, one hub"
PROCESSES = "[core](core.md), several processes behind one address"
MEMBERSHIP = "[membership](membership.md), one flat view"
DISTRIBUTION = "[distribution](distribution.md)"
KEYSPACE = "[distribution](distribution.md), compact keyspace"
BOTH = "[membership](membership.md) and [distribution](distribution.md)"
TABLE = "routing table, one flat list"
WATCH = "watch on discovery, one a proxy"
PACE = "[pace](fleet.md)"
PROBES = "[probes](fleet.md)"
ONE_TO_ONE = "relaying one to one"
TOOL = "`ironmill config`"

LOAD = ("core_line_cpu", "core_setup_cpu")
RELAYING = ("relay_poll_cpu", "relay_push_cpu")


class Need(Struct, frozen=True):
    """One cost of one role."""

    cost: str
    figure: Figure
    unit: str = ""
    carried: str = ""  # empty: nothing carries it
    limit: Figure | float | None = None  # one without a sign is the letter's
    sweeps: tuple[str, ...] = ()
    factor: Figure = Figure(None)  # of today's fleet, where the limit is reached
    asked: float = 0.0

    @property
    def most(self) -> float | None:
        """The limit as a number."""
        return self.limit.value if isinstance(self.limit, Figure) else self.limit

    def cells(self) -> list[str]:
        """As they stand in the table."""
        if isinstance(self.limit, Figure):
            limit = quantity(self.limit, self.unit)
        else:
            limit = UNKNOWN if self.limit is None else quantity(Figure(self.limit), self.unit, signed=False)
        rests = ", ".join(f"`{name}`" for name in self.sweeps) or "the plan"
        carried = self.carried or "nothing"
        return [self.cost, quantity(self.figure, self.unit), limit, rests, carried, verdict(self)]


def verdict(need: Need) -> str:
    """Whether the figure holds its limit; the multiple of today's fleet at which it does not."""
    value, limit = need.figure.value, need.most
    if not need.carried:
        return "**nothing carries this**"
    if value is None:
        return NOT_RUN
    if limit is None:
        return "no limit is given"
    if value + need.figure.error <= limit:
        return "holds"
    if value <= limit:
        return "holds, by less than its error"
    if need.factor.value is None:
        return f"**over, {number(value / limit)} times the limit**"
    if need.factor.value == 0.0:
        return "**breaks at any size**"
    return f"**breaks at {quantity(need.factor)} times today's fleet**, {number(need.asked)} asked"


def roles(model: Model) -> str:
    """One line for each cost of each role."""
    heads = ["role", "what", "at the letter's size", "limit", "rests on", "carried by", "verdict"]
    needs = {
        "proxy, data path": data_path(model),
        "proxy, control": control(model),
        "control machine (relay)": relay(model),
        "discovery's agent": agent(model),
        "server": server(model),
        "origin, holds the order of changes": origin(model),
        "staff's tool": staff(),
    }
    return table(
        heads,
        [
            ["" if at else role, *need.cells()]
            for role, found in needs.items()
            for at, need in enumerate(found)
        ],
    )


def _gap(model: Model, sweep: str) -> Gap:
    return next(gap for gap in formulas.gaps(model) if gap.sweep == sweep)


def data_path(model: Model) -> list[Need]:
    """A proxy's clients and servers."""
    letter, share = model.plan.letter, formulas.assumed(model.plan.assumed.process_share)
    held = formulas.connections_a_proxy(model)
    alone = formulas.process_load(model, held.value or 0.0)
    cores, place = formulas.cores_allowed(model), formulas.placement_cores(model, letter.shards)
    grouped, group = formulas.placement_cores(model, letter.shards, True), _gap(model, "placement_group_cpu")
    one, among = _gap(model, "core_setup_cpu"), _gap(model, "placement_cpu")
    return [
        Need("state: connections", held, "", PROCESSES),
        Need(
            "state: connections that one process bears",
            formulas.connections_a_process(model),
            "",
            CORE,
            None,
            LOAD,
        ),
        Need("processes a proxy", formulas.processes_range(model), "", PROCESSES, None, LOAD),
        Need("messages out: deliveries", formulas.deliveries_a_proxy(model), "/s", ONE_TO_ONE),
        Need("messages in: set-ups", formulas.set_ups_a_proxy(model), "/s", CORE),
        Need(
            "processor time, if one process had it all",
            alone,
            "cores",
            CORE,
            share,
            LOAD,
            one.factor,
            one.asked,
        ),
        Need(
            "processor time, all its processes",
            formulas.data_path_cores(model),
            "cores",
            PROCESSES,
            cores,
            LOAD,
        ),
        Need(
            "processor time, placements among all shards in one list",
            place,
            "cores",
            TABLE,
            cores,
            ("placement_cpu",),
            among.factor,
            among.asked,
        ),
        Need(
            "the same, of groups that are new to the proxy",
            grouped,
            "cores",
            TABLE,
            cores,
            ("placement_group_cpu",),
            group.factor,
            group.asked,
        ),
        Need(
            "memory, all its processes",
            formulas.data_path_memory(model),
            "B",
            PROCESSES,
            None,
            ("core_memory",),
        ),
    ]


def control(model: Model) -> list[Need]:
    """What a proxy knows of the fleet, and what knowing it costs."""
    letter, today = model.plan.letter, model.plan.today
    proxies, shards = letter.proxies, letter.shards
    rate, storm = formulas.change_rate(model), formulas.storm_rate(model)
    changes = storm * formulas.assumed(model.plan.assumed.change)

    def by(name: str, cost: str, unit: str, carried: str, limit: float) -> Need:
        """A sweep by itself: over members, or over entries."""
        entries = name.startswith(("table", "keyspace"))
        size, at = (shards, today.servers) if entries else (proxies, today.proxies)
        factor = formulas.breaks_at(lambda n: model.at(name, n), limit, at)
        return Need(cost, model.at(name, size), unit, carried, limit, (name,), factor, size / at)

    memory, rest, core = letter.control_bytes, letter.control_bytes_per_s, letter.control_core_share
    both = model.at("membership_memory", proxies) + model.at("keyspace_memory", shards)
    flat, whole = _gap(model, "table_change_cpu"), _gap(model, "table_full_cpu")
    minute, live = _gap(model, "membership_zone_span"), _gap(model, "table_change_live_cpu")
    late = letter.delivery_ms / 1000.0
    return [
        Need("state: members, all known to each", Figure(proxies), "", MEMBERSHIP),
        Need("state: entries, all known to each", Figure(shards), "", KEYSPACE),
        Need("messages out: pings and acks", formulas.pings(model), "/s", MEMBERSHIP),
        Need("messages out: polls", Figure(1.0 / today.poll_every_s), "/s", DISTRIBUTION),
        by("membership_rest_bytes", "bytes at rest, membership, mean of a minute", "B/s", MEMBERSHIP, rest),
        by(
            "subscriber_rest_bytes",
            "bytes at rest, distribution, mean of a minute",
            "B/s",
            DISTRIBUTION,
            rest,
        ),
        Need(
            "bytes at rest, both and an average second's changes, mean of a minute",
            formulas.control_rest_bytes(model),
            "B/s",
            BOTH,
            rest,
            ("membership_rest_bytes", "subscriber_rest_bytes"),
        ),
        Need("bytes in a storm, its changes alone, mean of a minute", changes, "B/s", DISTRIBUTION, rest),
        by("membership_zone_bytes", "bytes at a zone's loss, highest second", "B/s", MEMBERSHIP, rest),
        Need(
            "bytes at a zone's loss, mean of the worst minute at most",
            formulas.minute_mean(model, proxies),
            "B/s",
            MEMBERSHIP,
            rest,
            ("membership_zone_span", "membership_zone_bytes"),
            minute.factor,
            minute.asked,
        ),
        by("membership_rest_cpu", "processor time at rest, membership", "cores", MEMBERSHIP, core),
        by("subscriber_rest_cpu", "processor time at rest, distribution", "cores", DISTRIBUTION, core),
        Need(
            "processor time at rest, both",
            formulas.control_rest_cores(model),
            "cores",
            BOTH,
            core,
            ("membership_rest_cpu", "subscriber_rest_cpu"),
        ),
        Need(
            "processor time, an average second's changes in the flat list",
            formulas.change_cores(model, rate, shards),
            "cores",
            TABLE,
            core,
            ("table_change_cpu",),
        ),
        Need(
            "processor time, a storm's changes in the flat list",
            formulas.change_cores(model, storm, shards),
            "cores",
            TABLE,
            core,
            ("table_change_cpu",),
            flat.factor,
            flat.asked,
        ),
        Need(
            "the same, with live weights",
            formulas.change_cores(model, storm, shards, True),
            "cores",
            TABLE,
            core,
            ("table_change_live_cpu",),
            live.factor,
            live.asked,
        ),
        Need(
            "a whole list holds the process up for",
            formulas.whole_list(model, shards),
            "s",
            TABLE,
            late,
            ("table_parse_cpu", "table_full_cpu"),
            whole.factor,
            whole.asked,
        ),
        by("membership_memory", "memory, view of the members", "B", MEMBERSHIP, memory),
        by("keyspace_memory", "memory, keyspace", "B", KEYSPACE, memory),
        by("table_memory", "memory, routing table and decisions", "B", TABLE, memory),
        Need("memory, view and keyspace", both, "B", BOTH, memory, ("membership_memory", "keyspace_memory")),
    ]


def relay(model: Model) -> list[Need]:
    """A control machine between the origin and its part of the proxies."""
    letter, share = model.plan.letter, formulas.assumed(model.plan.assumed.process_share)
    today = model.plan.today.proxies
    children, rate, storm = formulas.children(model), formulas.change_rate(model), formulas.storm_rate(model)
    busy = formulas.breaks_at(
        lambda n: formulas.relay_cores(model, storm, n / letter.control_machines), share.value or 0.0, today
    )
    late = formulas.breaks_at(lambda n: model.at("change_latency_p99", n), letter.in_force_s, today)
    asked = formulas.multiple(model)
    return [
        Need("state: children", children, "", DISTRIBUTION),
        Need("state: entries", Figure(letter.shards), "", KEYSPACE),
        Need("messages in: polls", children / model.plan.today.poll_every_s, "/s", DISTRIBUTION),
        Need("messages out: pushes in a storm", storm * children, "/s", DISTRIBUTION),
        Need(
            "bytes at rest, all control together, mean of a minute",
            model.at("control_rest_bytes", letter.proxies),
            "B/s",
            DISTRIBUTION,
            None,
            ("control_rest_bytes",),
        ),
        Need("bytes of an average second's changes", formulas.relay_bytes(model, rate), "B/s", DISTRIBUTION),
        Need("bytes of a storm's changes", formulas.relay_bytes(model, storm), "B/s", DISTRIBUTION),
        Need(
            "processor time at rest",
            formulas.relay_cores(model, rate),
            "cores",
            DISTRIBUTION,
            share,
            RELAYING,
        ),
        Need(
            "processor time in a storm",
            formulas.relay_cores(model, storm),
            "cores",
            DISTRIBUTION,
            share,
            RELAYING,
            busy,
            asked,
        ),
        Need(
            "memory",
            model.at("relay_memory", children.value or 0.0),
            "B",
            DISTRIBUTION,
            None,
            ("relay_memory",),
        ),
        Need(
            "a change in force, for the letter's share of changes",
            model.at("change_latency_p99", letter.proxies),
            "s",
            DISTRIBUTION,
            letter.in_force_s,
            ("change_latency_p99",),
            late,
            asked,
        ),
    ]


def agent(model: Model) -> list[Need]:
    """Discovery's agent, which is not of this program: what it is asked."""
    letter, today = model.plan.letter, model.plan.today
    calls = formulas.calls(model, letter.proxies)
    aim = formulas.breaks_at(lambda n: formulas.calls(model, n), 1.0 / today.call_spacing_s, today.proxies)
    rate, storm = formulas.change_rate(model), formulas.storm_rate(model)
    whole = formulas.list_bytes(model)
    return [
        Need("state: entries listed", Figure(letter.shards), "", WATCH),
        Need("messages in: watches that stand", Figure(letter.proxies), "", WATCH),
        Need("messages out: answers to watches", rate * letter.proxies, "/s", WATCH),
        Need("messages out: answers to watches in a storm", storm * letter.proxies, "/s", WATCH),
        Need("bytes of one whole list", whole, "B", WATCH),
        Need(
            "bytes of whole lists for the day's starts, mean of a day",
            whole * formulas.starts_per_day(model) / formulas.DAY,
            "B/s",
            WATCH,
        ),
        Need(
            "while it fails: calls of all proxies together, beside our own aim",
            calls,
            "/s",
            PACE,
            Figure(1.0 / today.call_spacing_s),
            (),
            aim,
            formulas.multiple(model),
        ),
        Need("while it fails: the longest pause of one proxy", Figure(today.call_pause_most_s), "s", PACE),
        Need("processor time and memory, not this program's", Figure(None), "", WATCH),
    ]


def server(model: Model) -> list[Need]:
    """A server, which is not of this program: what it is asked, and the least that this takes."""
    letter, today = model.plan.letter, model.plan.today
    servers = formulas.assumed(model.plan.assumed.servers)
    fan_out, largest = formulas.floor_pass(model) * letter.largest_topic, _gap(model, "core_floor_line")
    return [
        Need("state: connections of clients", letter.connections / servers, "", ONE_TO_ONE),
        Need("state: connections for probes, one a proxy", Figure(letter.proxies), "", PROBES),
        Need("messages out: deliveries", letter.deliveries_per_s / servers, "/s", ONE_TO_ONE),
        Need("messages in: probes, all servers together", Figure(today.probes_per_s), "/s", PROBES),
        Need(
            "processor time, all servers, bare epoll loops",
            formulas.server_cores(model),
            "cores",
            ONE_TO_ONE,
            None,
            ("core_floor_line", "core_floor_setup"),
        ),
        Need(
            "one line written to all listeners of the largest topic",
            fan_out,
            "s",
            ONE_TO_ONE,
            letter.delivery_ms / 1000.0,
            ("core_floor_line",),
            largest.factor,
            largest.asked,
        ),
        Need("memory, not this program's", Figure(None), "", ONE_TO_ONE),
    ]


def origin(model: Model) -> list[Need]:
    """Whoever holds the order of changes."""
    letter, share = model.plan.letter, formulas.assumed(model.plan.assumed.process_share)
    storm, commit = formulas.storm_rate(model), model.at("store_commit", letter.shards)
    relays = formulas.relays_of_origin(model)
    sweep = model.measured.sweeps.get("origin_rest_bytes")
    size = None if sweep is None else model.size_of(sweep)
    rest = Figure(None) if size is None else model.at("origin_rest_bytes", size)
    return [
        Need("state: entries, on disk and in memory", Figure(letter.shards), "", DISTRIBUTION),
        Need("messages out: pushes to relays in a storm", storm * relays, "/s", DISTRIBUTION),
        Need("bytes at rest, mean of a minute", rest, "B/s", DISTRIBUTION, None, ("origin_rest_bytes",)),
        Need("one change made durable", commit, "s", DISTRIBUTION, letter.in_force_s, ("store_commit",)),
        Need(
            "its time spent on a storm's changes made durable",
            storm * commit,
            "cores",
            DISTRIBUTION,
            share,
            ("store_commit",),
        ),
        Need(
            "processor time, pushes and polls in a storm",
            formulas.relay_cores(model, storm, relays),
            "cores",
            DISTRIBUTION,
            share,
            RELAYING,
        ),
        Need(
            "memory, keyspace",
            model.at("keyspace_memory", letter.shards),
            "B",
            KEYSPACE,
            None,
            ("keyspace_memory",),
        ),
    ]


def staff() -> list[Need]:
    """Who asks whether a change is everywhere."""
    return [
        Need("state: none; messages: one call, one answer", Figure(1.0), "", TOOL),
        Need("processor time and memory", Figure(None), "", TOOL),
    ]
