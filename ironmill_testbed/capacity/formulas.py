"""The arithmetic behind ``docs/CAPACITY.md``. Each formula says in its docstring what it works out.

All take what was measured and the plan; where a sweep they need is missing they give a figure without value.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from msgspec import Struct

from ironmill_testbed.capacity.data import Fit, Measured, Shape, Sign, Sweep
from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.plan import Assumption, Plan

DAY = 86400.0
HOUR = 3600.0
MINUTE = 60.0
SMALLEST, LARGEST = 1e-3, 1e7  # multiples of today's fleet between which a limit is looked for

Cost = Callable[[float], Figure]  # by size


class Model:
    """What was measured and what is planned."""

    def __init__(self, measured: Measured, plan: Plan) -> None:
        self.measured = measured
        self.plan = plan
        self._fits = {name: fit_of(sweep) for name, sweep in measured.sweeps.items()}

    def fit(self, name: str) -> Fit | None:
        """A sweep's fit; None if it was not run, or cannot be fitted."""
        return self._fits.get(name)

    def at(self, name: str, size: float) -> Figure:
        """constant + slope x size, or factor x size ** exponent, with its standard error."""
        fit = self.fit(name)
        if fit is None:
            return Figure(None)
        return Figure(fit.at(size), fit.error_at(size))

    def story(self, name: str, key: str) -> Figure:
        """A figure of a story that was run."""
        value = self.measured.stories.get(name, {}).get(key)
        known = isinstance(value, (int, float)) and not isinstance(value, bool)
        return Figure(float(value) if known else None, sign=Sign.VIRTUAL)  # type: ignore[arg-type]

    def size_of(self, sweep: Sweep) -> float | None:
        """The letter's size of what a sweep counts; None if it counts something else."""
        letter = self.plan.letter
        sizes = {
            "members": letter.proxies,
            "proxies": letter.proxies,
            "entries": letter.shards,
            "shards": letter.shards,
            "children": children(self).value,
            "relays": relays_of_origin(self),
            "connections": connections_a_process(self).value,
        }
        return next((sizes[word] for word in sweep.x.lower().split() if word in sizes), None)


def fit_of(sweep: Sweep) -> Fit | None:
    """Its fit; None where there are too few sizes, or nothing that its shape goes through."""
    if sweep.shape is Shape.POWER and min(min(point) for point in sweep.points) <= 0.0:
        return None
    try:
        fit = sweep.fit()
    except (ValueError, ArithmeticError):
        return None
    return fit if math.isfinite(fit.constant + fit.slope + fit.slope_error + fit.constant_error) else None


def assumed(one: Assumption) -> Figure:
    """An assumption as a figure."""
    return Figure(one.value, sign=Sign.ASSUMED)


def solve(cost: Cost, limit: float, low: float, high: float, errors: float = 0.0) -> float | None:
    """The size between the two at which a cost that grows reaches the limit, so many standard errors added.

    0 if it is over at the smallest, infinite if it never is, None if the cost is not known.
    """

    def at(size: float) -> float | None:
        found = cost(size)
        return None if found.value is None else found.value + errors * found.error

    least, most = at(low), at(high)
    if least is None or most is None:
        return None
    if least > limit:
        return 0.0
    if most <= limit:
        return math.inf
    while high / low > 1.0 + 1e-9:
        middle = math.sqrt(low * high)
        low, high = (low, middle) if (at(middle) or 0.0) > limit else (middle, high)
    return low


def solved(cost: Cost, limit: float, low: float, high: float, sign: Sign = Sign.DERIVED) -> Figure:
    """Where the cost reaches the limit, and how far that moves with one standard error of the cost."""
    value = solve(cost, limit, low, high)
    if value is None or not 0.0 < value < math.inf:
        return Figure(value, sign=sign)
    ends = [solve(cost, limit, low, high, errors) for errors in (1.0, -1.0)]
    off = [abs(end - value) for end in ends if end is not None and end < math.inf]
    return Figure(value, max(off, default=0.0), sign)


def breaks_at(cost: Cost, limit: float, today: float, sign: Sign = Sign.DERIVED) -> Figure:
    """The multiple of today's size at which the cost reaches the limit."""
    found = solved(cost, limit, today * SMALLEST, today * LARGEST, sign)
    return Figure(None if found.value is None else found.value / today, found.error / today, sign)


# What the plan comes to by itself.


def multiple(model: Model) -> float:
    """Proxies of the letter / proxies of today's fleet."""
    return model.plan.letter.proxies / model.plan.today.proxies


def connections_a_proxy(model: Model) -> Figure:
    """Connections / proxies."""
    return Figure(model.plan.letter.connections / model.plan.letter.proxies)


def deliveries_a_proxy(model: Model) -> Figure:
    """Deliveries a second / proxies."""
    return Figure(model.plan.letter.deliveries_per_s / model.plan.letter.proxies)


def set_ups_a_proxy(model: Model) -> Figure:
    """Connections a proxy / the life of a connection."""
    return connections_a_proxy(model) / assumed(model.plan.assumed.connection_life)


def children(model: Model) -> Figure:
    """Proxies / control machines."""
    return Figure(model.plan.letter.proxies / model.plan.letter.control_machines)


def zone_proxies(model: Model) -> Figure:
    """Proxies / zones, the next whole number: a zone of the letter."""
    return Figure(model.plan.letter.proxies / model.plan.letter.zones).ceil()


def region_proxies(model: Model) -> Figure:
    """Proxies / regions."""
    return Figure(model.plan.letter.proxies / model.plan.letter.regions).ceil()


def change_rate(model: Model) -> Figure:
    """Changes a day / seconds a day."""
    return Figure(model.plan.letter.changes_per_day / DAY)


def storm_rate(model: Model) -> Figure:
    """All changes of a day within an hour."""
    return Figure(model.plan.letter.changes_per_day / HOUR)


def starts_per_day(model: Model) -> Figure:
    """Failures and restarts: each is followed by a start from nothing."""
    return Figure(model.plan.letter.failures_per_day + model.plan.letter.restarts_per_day)


# The data path.


def passes(model: Model, connections: float) -> Figure:
    """Processor time of one pass of a line: of a line there and back / passes a line."""
    return model.at("core_line_cpu", connections) / assumed(model.plan.assumed.passes_a_line)


def process_load(model: Model, connections: float) -> Figure:
    """Cores of one process with so many connections.

    connections x (deliveries a connection x a pass + a set-up / the life of a connection)
    """
    letter = model.plan.letter
    delivering = passes(model, connections) * (letter.deliveries_per_s / letter.connections)
    setting_up = model.at("core_setup_cpu", connections) / assumed(model.plan.assumed.connection_life)
    return (delivering + setting_up) * connections


def connections_a_process(model: Model) -> Figure:
    """Where the load of one process reaches the share of a core that it may be busy."""
    letter, share = model.plan.letter, model.plan.assumed.process_share.value
    return solved(lambda n: process_load(model, n), share, 1.0, letter.connections, Sign.ASSUMED)


def processes_a_proxy(model: Model) -> Figure:
    """Connections a proxy / connections that one process bears, the next whole number."""
    return (connections_a_proxy(model) / connections_a_process(model)).ceil()


def processes_range(model: Model) -> Figure:
    """The same, with how far it is off where the connections of a process are off by one error."""
    whole, bears = processes_a_proxy(model), connections_a_process(model)
    if whole.value is None or bears.value is None:
        return whole
    held = connections_a_proxy(model)
    ends = [(held / (bears.value + off)).ceil().value or 0.0 for off in (-bears.error, bears.error)]
    return Figure(whole.value, max(abs(end - whole.value) for end in ends), whole.sign)


def _each(model: Model) -> float | None:
    number = processes_a_proxy(model).value
    total = connections_a_proxy(model).value
    return None if not number or total is None else total / number


def data_path_cores(model: Model) -> Figure:
    """Processes a proxy x the load of one that holds its part of the connections."""
    each = _each(model)
    return Figure(None) if each is None else processes_a_proxy(model) * process_load(model, each)


def data_path_memory(model: Model) -> Figure:
    """Processes a proxy x (the start of one + the memory of its part of the connections)."""
    each = _each(model)
    if each is None:
        return Figure(None)
    return processes_a_proxy(model) * (model.at("core_memory", each) + model.plan.today.process_bytes)


def placement_cores(model: Model, entries: float, grouped: bool = False) -> Figure:
    """Set-ups a proxy and second x a placement among so many entries, each of a group new here or without."""
    return set_ups_a_proxy(model) * model.at("placement_group_cpu" if grouped else "placement_cpu", entries)


# Control, a proxy.


def change_cores(model: Model, rate: Figure, entries: float, live: bool = False) -> Figure:
    """Changes a second x a list that changes one entry among so many, with live weights or without."""
    return rate * model.at("table_change_live_cpu" if live else "table_change_cpu", entries)


def control_memory(model: Model) -> dict[str, Figure]:
    """What a proxy holds for control, by part."""
    letter = model.plan.letter
    return {
        "membership_memory": model.at("membership_memory", letter.proxies),
        "keyspace_memory": model.at("keyspace_memory", letter.shards),
        "table_memory": model.at("table_memory", letter.shards),
    }


def control_rest_bytes(model: Model) -> Figure:
    """Membership's and distribution's bytes at rest, and the changes of an average second."""
    proxies = model.plan.letter.proxies
    parts = model.at("membership_rest_bytes", proxies) + model.at("subscriber_rest_bytes", proxies)
    return parts + change_rate(model) * assumed(model.plan.assumed.change)


def control_rest_cores(model: Model) -> Figure:
    """Membership's and distribution's share of a core at rest."""
    proxies = model.plan.letter.proxies
    return model.at("membership_rest_cpu", proxies) + model.at("subscriber_rest_cpu", proxies)


def pings(model: Model) -> Figure:
    """Datagrams a second that a member sends: to its subjects, and an ack to each of its observers."""
    today = model.plan.today
    return Figure(2.0 * today.observers / today.ping_every_s)


# Control machines.


def relay_bytes(model: Model, rate: Figure) -> Figure:
    """Changes a second x bytes of one x children."""
    return rate * assumed(model.plan.assumed.change) * children(model)


def relay_cores(model: Model, rate: Figure, count: float | None = None) -> Figure:
    """Polls of so many children at rest, and changes a second x a push to all of them."""
    size = children(model).value if count is None else count
    assert size is not None
    return model.at("relay_poll_cpu", size) + rate * model.at("relay_push_cpu", size)


def relays_of_origin(model: Model) -> float:
    """All control machines but the origin itself."""
    return model.plan.letter.control_machines - 1.0


def children_after_zone(model: Model) -> Figure:
    """Proxies / control machines once a zone took its part of both, rounded up: children of those left."""
    letter = model.plan.letter
    lost = math.ceil(letter.control_machines / letter.zones)
    left = letter.proxies - (zone_proxies(model).value or 0.0)
    return Figure(left / (letter.control_machines - lost)).ceil()


# A start from nothing.


def cold_bytes(model: Model) -> Figure:
    """What a cold start reads: as measured, or else all entries at their assumed size."""
    found = model.at("catch_up_bytes", model.plan.letter.shards)
    if found.value is not None:
        return found
    return assumed(model.plan.assumed.entry) * model.plan.letter.shards


def cold_time(model: Model) -> Figure:
    """Bytes of a cold start / the rate at which it is asked for."""
    return cold_bytes(model) / model.plan.today.catch_up_bytes_per_s


def cold_time_of(model: Model, proxies: Figure) -> Figure:
    """Where so many start at once, evenly at all relays: what one relay sends / the rate at which it serves.

    But no less than one takes alone.
    """
    alone = cold_time(model)
    shared = proxies * cold_bytes(model) / model.plan.letter.control_machines
    together = shared / model.plan.today.serve_bytes_per_s
    return together if (together.value or 0.0) > (alone.value or 0.0) else alone


def cold_time_in_budget(model: Model) -> Figure:
    """Bytes of a cold start / a proxy's budget."""
    return cold_bytes(model) / model.plan.letter.control_bytes_per_s


def cold_cpu(model: Model) -> Figure:
    """Entries x the processor time of putting one."""
    shards = model.plan.letter.shards
    return model.at("keyspace_put_cpu", shards) * shards


def least_revisions(model: Model) -> Figure:
    """Entries / the most changes of one revision, for a change of them all."""
    return Figure(model.plan.letter.shards / model.plan.today.revision_changes).ceil()


def calls(model: Model, proxies: float, part: float = 1.0) -> Figure:
    """Calls a second of so many proxies to a discovery that fails, where pauses are this part of the longest.

    proxies / (part x the lesser of proxies x spacing and the longest pause of one)
    """
    today = model.plan.today
    return Figure(proxies / (part * min(proxies * today.call_spacing_s, today.call_pause_most_s)))


def whole_list(model: Model, entries: float) -> Figure:
    """Reading so many entries and taking them into the table: both in one turn of the hub."""
    return model.at("table_parse_cpu", entries) + model.at("table_full_cpu", entries)


def list_bytes(model: Model) -> Figure:
    """Entries x bytes of one in discovery's list."""
    return assumed(model.plan.assumed.discovery_entry) * model.plan.letter.shards


# Clients that come back.


def clients_of(model: Model, proxies: Figure) -> Figure:
    """Proxies x connections of one."""
    return proxies * connections_a_proxy(model)


def returning_to_each(model: Model, lost: Figure) -> Figure:
    """Clients of the lost proxies / the proxies that are left."""
    return clients_of(model, lost) / (Figure(model.plan.letter.proxies) - lost)


def returning_cores(model: Model, lost: Figure) -> Figure:
    """Clients that come to each proxy that is left x a set-up / the time within which they come."""
    each = _each(model)
    if each is None:
        return Figure(None)
    coming = returning_to_each(model, lost) / assumed(model.plan.assumed.return_window)
    return coming * model.at("core_setup_cpu", each)


def minute_mean(model: Model, size: float) -> Figure:
    """The mean of the worst minute at a zone's loss, at most.

    (span x the highest second + (a minute - span) x rest) / a minute
    """
    span = model.at("membership_zone_span", size)
    if span.value is not None:
        span = Figure(min(max(span.value, 0.0), MINUTE), span.error)
    high, rest = model.at("membership_zone_bytes", size), model.at("membership_rest_bytes", size)
    return (span * high + (Figure(MINUTE) - span) * rest) / MINUTE


# Deliveries.


def listeners_a_proxy(model: Model) -> Figure:
    """Listeners of the largest topic / proxies."""
    return Figure(model.plan.letter.largest_topic / model.plan.letter.proxies)


def listeners_a_shard(model: Model) -> Figure:
    """Connections x shards each listens to / shards."""
    letter = model.plan.letter
    return assumed(model.plan.assumed.shards_a_connection) * (letter.connections / letter.shards)


def proxies_a_shard(model: Model) -> Figure:
    """Proxies that hold a listener of the mean shard, where listeners choose by chance.

    P x (1 - (1 - 1 / P) ** listeners)
    """
    proxies = model.plan.letter.proxies
    listeners = listeners_a_shard(model)
    assert listeners.value is not None
    value = proxies * (1.0 - (1.0 - 1.0 / proxies) ** listeners.value)
    return Figure(value, sign=listeners.sign)


def floor_pass(model: Model) -> Figure:
    """Processor time of one pass of a line in a bare epoll loop, at the size of one process here."""
    each = _each(model)
    if each is None:
        return Figure(None)
    return model.at("core_floor_line", each) / assumed(model.plan.assumed.passes_a_line)


def queue_p(model: Model) -> Figure:
    """Waiting and passing, for the letter's share of lines, as in M/M/1.

    a pass x ln(1 / (1 - share)) / (1 - load)
    """
    each = _each(model)
    if each is None:
        return Figure(None)
    load = process_load(model, each)
    tail = math.log(1.0 / (1.0 - model.plan.letter.delivery_share))
    return passes(model, each) * tail / (Figure(1.0) - load)


FAN_OUT = "server writes to all its streams, the last one"


class Hop(Struct, frozen=True):
    """A part of a delivery's way: seconds with a stream for each listener, and with one for each proxy."""

    name: str
    single: Figure
    shared: Figure


def hops(model: Model) -> list[Hop]:
    """Where the time of one line to the largest topic goes, from a publisher to the last listener."""
    given = model.plan.assumed
    client, region = assumed(given.to_client) / 1000.0, assumed(given.between_regions) / 1000.0
    each = _each(model)
    copies = Figure(None) if each is None else listeners_a_proxy(model) * passes(model, each)
    fan_out = floor_pass(model) * model.plan.letter.largest_topic
    streams = floor_pass(model) * model.plan.letter.proxies
    waited = queue_p(model)
    return [
        Hop("publisher to its proxy", client, client),
        Hop("proxy: waits and passes", waited, waited),
        Hop("proxy to the shard's server, another region", region, region),
        Hop(FAN_OUT, fan_out, streams),
        Hop("server to the listener's proxy, another region", region, region),
        Hop("proxy: waits and passes", waited, waited),
        Hop("proxy writes to its listeners, the last one", copies, copies),
        Hop("proxy to the listener", client, client),
    ]


def delivery(model: Model) -> tuple[Figure, Figure]:
    """The hops added up: never less than what the sum's share of lines takes."""
    single, shared = Figure(0.0), Figure(0.0)
    for hop in hops(model):
        single, shared = single + hop.single, shared + hop.shared
    return single, shared


def largest_one_to_one(model: Model) -> Figure:
    """Listeners that a server can write to one by one within what the other hops leave of the time."""
    left = Figure(model.plan.letter.delivery_ms / 1000.0)
    for hop in hops(model):
        if hop.name != FAN_OUT:
            left = left - hop.single
    found = left / floor_pass(model)
    if found.value is not None and found.value < 0.0:
        return Figure(0.0, sign=found.sign)
    return found


def server_cores(model: Model) -> Figure:
    """Deliveries a second of all servers x a pass, and set-ups x one, in a bare epoll loop."""
    letter, each = model.plan.letter, _each(model)
    if each is None:
        return Figure(None)
    setting_up = set_ups_a_proxy(model) * letter.proxies * model.at("core_floor_setup", each)
    return floor_pass(model) * letter.deliveries_per_s + setting_up


# The order in which mechanisms are missing.


class Gap(Struct, frozen=True):
    """Where a mechanism gives out."""

    mechanism: str
    breaks: str  # what reaches which limit
    factor: Figure  # of today's fleet; 0: nothing carries it, or it is over at the smallest size
    asked: float  # the letter's multiple in the same size
    sweep: str  # what it rests on; empty: the program has nothing

    @property
    def holds(self) -> bool:
        """At the letter's size; False where it is not known."""
        return self.factor.value is not None and self.factor.value >= self.asked


CONFIGURATION = "distribution of configuration"
FLAT_VIEW = "membership as one flat view"
PLACEMENT = "placement over a flat list"
FLAT_LIST = "routing table as one flat list"


def gaps(model: Model) -> list[Gap]:
    """All of them, what gives out first at the head, what is not known at the end."""
    plan = model.plan
    letter, today, given = plan.letter, plan.today, plan.assumed
    entries, members = letter.shards / today.servers, multiple(model)
    connections = assumed(given.connections_today)
    cores = cores_allowed(model).value

    def of_members(name: str, limit: float, breaks: str) -> Gap:
        factor = breaks_at(lambda size: model.at(name, size), limit, today.proxies)
        return Gap(FLAT_VIEW, breaks, factor, members, name)

    def of_entries(name: str, limit: float | None, breaks: str, cost: Cost, by: str = FLAT_LIST) -> Gap:
        factor = Figure(None) if limit is None else breaks_at(cost, limit, today.servers, cost(1.0).sign)
        return Gap(by, breaks, factor, entries, name)

    found = [
        Gap(
            CONFIGURATION,
            "a change in force everywhere, and known to be: a file and SIGHUP for each process"
            " reach one machine",
            Figure(0.0),
            members,
            "",
        ),
        of_members(
            "membership_zone_bytes",
            letter.control_bytes_per_s,
            "bytes in the highest second at a zone's loss reach the budget",
        ),
        of_members(
            "membership_zone_gone", today.gone_within_s, "a lost zone is out of all views later than promised"
        ),
        Gap(
            FLAT_VIEW,
            "bytes of the worst minute at a zone's loss reach the budget, as its mean",
            breaks_at(lambda size: minute_mean(model, size), letter.control_bytes_per_s, today.proxies),
            members,
            "membership_zone_span",
        ),
        of_members("membership_rest_bytes", letter.control_bytes_per_s, "bytes at rest reach the budget"),
        of_members(
            "membership_rest_cpu", letter.control_core_share, "processor time at rest reaches the budget"
        ),
        of_entries(
            "table_memory",
            letter.control_bytes,
            "memory reaches the budget",
            lambda n: model.at("table_memory", n),
        ),
        of_entries(
            "table_change_cpu",
            letter.control_core_share,
            "a storm's changes reach the budget",
            lambda n: change_cores(model, storm_rate(model), n),
        ),
        of_entries(
            "table_change_live_cpu",
            letter.control_core_share,
            "a storm's changes reach the budget, with live weights",
            lambda n: change_cores(model, storm_rate(model), n, True),
        ),
        of_entries(
            "table_full_cpu",
            letter.delivery_ms / 1000.0,
            "a whole list holds the process up for as long as a delivery may take",
            lambda n: whole_list(model, n),
        ),
        of_entries(
            "placement_cpu",
            cores,
            "placements alone take all that the processes may be busy",
            lambda n: placement_cores(model, n),
            PLACEMENT,
        ),
        of_entries(
            "placement_group_cpu",
            cores,
            "placements alone do, each of a group new to the proxy",
            lambda n: placement_cores(model, n, True),
            PLACEMENT,
        ),
        Gap(
            "one process a proxy",
            "its share of a core at the letter's deliveries and set-ups a connection",
            connections_a_process(model) / connections,
            (connections_a_proxy(model) / connections).value or 0.0,
            "core_setup_cpu",
        ),
        Gap(
            "one stream a listener, from the server",
            "the largest topic's last listener is later than a delivery may be",
            largest_one_to_one(model) / assumed(given.largest_topic_today),
            letter.largest_topic / given.largest_topic_today.value,
            "core_floor_line",
        ),
    ]
    return sorted(found, key=lambda gap: math.inf if gap.factor.value is None else gap.factor.value)


def distribution_now(model: Model) -> list[Gap]:
    """Where distribution as it is built gives out, what is worst beside what is asked at the head."""
    letter, today = model.plan.letter, model.plan.today
    share = model.plan.assumed.process_share.value

    def gap(name: str, breaks: str, limit: float, cost: Cost | None = None, entries: bool = False) -> Gap:
        at, most = (today.servers, letter.shards) if entries else (today.proxies, letter.proxies)
        factor = breaks_at(cost or (lambda size: model.at(name, size)), limit, at)
        return Gap(CONFIGURATION, breaks, factor, most / at, name)

    def relaying(size: float) -> Figure:
        return relay_cores(model, storm_rate(model), size / letter.control_machines)

    found = [
        gap("change_latency_p99", "time until a change is in force", letter.in_force_s),
        gap("subscriber_rest_bytes", "bytes of a proxy at rest", letter.control_bytes_per_s),
        gap("subscriber_rest_cpu", "processor time of a proxy at rest", letter.control_core_share),
        gap("keyspace_memory", "memory of the keyspace", letter.control_bytes, entries=True),
        gap("relay_push_cpu", "processor time of a relay in a storm", share, relaying),
    ]

    def rank(one: Gap) -> float:
        return -1.0 if one.factor.value is None else one.factor.value / one.asked

    return sorted(found, key=rank)


def cores_allowed(model: Model) -> Figure:
    """Processes a proxy x the share of a core that each may be busy."""
    return processes_a_proxy(model) * assumed(model.plan.assumed.process_share)


def first_missing(model: Model) -> list[Gap]:
    """What gives out first of each mechanism, in order, but for what holds at the letter's size."""
    found: dict[str, Gap] = {}
    for gap in gaps(model):
        if not gap.holds:
            found.setdefault(gap.mechanism, gap)
    return list(found.values())
