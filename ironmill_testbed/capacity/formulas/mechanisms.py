"""The mechanisms of the proxy, in the order in which a growing fleet exceeds their limits."""

from __future__ import annotations

import math

from msgspec import Struct

from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas.control import (
    change_cores,
    full_list_time,
    relay_cores,
    worst_minute_mean,
)
from ironmill_testbed.capacity.formulas.data_path import (
    allowed_cores,
    max_connections_per_process,
    placement_cores,
)
from ironmill_testbed.capacity.formulas.deliveries import max_listeners_one_to_one
from ironmill_testbed.capacity.formulas.fleet import connections_per_proxy, fleet_multiple, storm_rate
from ironmill_testbed.capacity.formulas.limits import Cost, factor_at_limit
from ironmill_testbed.capacity.formulas.model import Model, assumed


class Gap(Struct, frozen=True):
    """A limitation of a mechanism, with the multiple of today's fleet at which it takes effect."""

    mechanism: str
    limitation: str  # the cost and the limit that it reaches
    # Multiple of today's fleet; 0 if the smallest size exceeds the limit or if there is no mechanism.
    factor: Figure
    required: float  # multiple that the target needs, of the same quantity as the factor
    sweep: str  # name of the measurement that gives the factor; empty if there is no mechanism

    @property
    def is_covered(self) -> bool:
        """Whether the mechanism reaches the target size; False if the factor is unknown."""
        return self.factor.value is not None and self.factor.value >= self.required


CONFIGURATION = "distribution of configuration"
FLAT_VIEW = "membership as one flat view"
PLACEMENT = "placement over a flat list"
FLAT_LIST = "routing table as one flat list"


def gaps(model: Model) -> list[Gap]:
    """Returns all gaps, sorted by ascending factor, with unknown factors last."""
    unsorted_gaps = [
        _missing_distribution(model),
        *_membership_gaps(model),
        *_routing_table_gaps(model),
        *_placement_gaps(model),
        _single_process_gap(model),
        _stream_per_listener_gap(model),
    ]
    return sorted(unsorted_gaps, key=lambda gap: math.inf if gap.factor.value is None else gap.factor.value)


def _missing_distribution(model: Model) -> Gap:
    return Gap(
        CONFIGURATION,
        "a change in force everywhere, and known to be: a file and SIGHUP for each process reach one machine",
        Figure(0.0),
        fleet_multiple(model),
        "",
    )


def _membership_gaps(model: Model) -> list[Gap]:
    target, today = model.plan.target, model.plan.today

    def gap(sweep: str, limit: float, limitation: str, cost: Cost | None = None) -> Gap:
        factor = factor_at_limit(cost or (lambda size: model.at(sweep, size)), limit, today.proxies)
        return Gap(FLAT_VIEW, limitation, factor, fleet_multiple(model), sweep)

    budget = target.control_bytes_per_s
    return [
        gap(
            "membership_zone_bytes",
            budget,
            "bytes in the highest second at a zone's loss reach the budget",
        ),
        gap(
            "membership_zone_gone",
            today.max_detection_s,
            "a lost zone leaves all views later than promised",
        ),
        gap(
            "membership_zone_span",
            budget,
            "bytes of the worst minute at a zone's loss reach the budget, as its mean",
            lambda size: worst_minute_mean(model, size),
        ),
        gap("membership_rest_bytes", budget, "bytes at rest reach the budget"),
        gap("membership_rest_cpu", target.control_core_share, "processor time at rest reaches the budget"),
    ]


def _entries_factor(model: Model, cost: Cost, limit: float) -> Figure:
    """Returns the multiple of today's entries at which the cost reaches the limit."""
    return factor_at_limit(cost, limit, model.plan.today.servers, cost(1.0).sign)


def _entries_multiple(model: Model) -> float:
    return model.plan.target.shards / model.plan.today.servers


def _routing_table_gaps(model: Model) -> list[Gap]:
    target, storm = model.plan.target, storm_rate(model)

    def gap(sweep: str, limitation: str, cost: Cost, limit: float) -> Gap:
        return Gap(
            FLAT_LIST, limitation, _entries_factor(model, cost, limit), _entries_multiple(model), sweep
        )

    return [
        gap(
            "table_memory",
            "memory reaches the budget",
            lambda n: model.at("table_memory", n),
            target.control_bytes,
        ),
        gap(
            "table_change_cpu",
            "a storm's changes reach the budget",
            lambda n: change_cores(model, storm, n),
            target.control_core_share,
        ),
        gap(
            "table_change_live_cpu",
            "a storm's changes reach the budget, with live weights",
            lambda n: change_cores(model, storm, n, live_weights=True),
            target.control_core_share,
        ),
        gap(
            "table_full_cpu",
            "a full list blocks the process for as long as a delivery may take",
            lambda n: full_list_time(model, n),
            target.delivery_ms / 1000.0,
        ),
    ]


def _placement_gaps(model: Model) -> list[Gap]:
    available_cores = allowed_cores(model).value

    def gap(sweep: str, limitation: str, cost: Cost) -> Gap:
        factor = Figure(None) if available_cores is None else _entries_factor(model, cost, available_cores)
        return Gap(PLACEMENT, limitation, factor, _entries_multiple(model), sweep)

    return [
        gap(
            "placement_cpu",
            "placements alone use all the processor time that the processes may use",
            lambda n: placement_cores(model, n),
        ),
        gap(
            "placement_group_cpu",
            "placements alone do, each of a group new to the proxy",
            lambda n: placement_cores(model, n, new_groups=True),
        ),
    ]


def _single_process_gap(model: Model) -> Gap:
    connections_today = assumed(model.plan.assumed.connections_today)
    return Gap(
        "one process per proxy",
        "its share of a core at the target's deliveries and connection setups",
        max_connections_per_process(model) / connections_today,
        (connections_per_proxy(model) / connections_today).value or 0.0,
        "core_setup_cpu",
    )


def _stream_per_listener_gap(model: Model) -> Gap:
    largest_topic_today = model.plan.assumed.largest_topic_today
    return Gap(
        "one stream per listener, from the server",
        "the largest topic's last listener gets its line later than a delivery may take",
        max_listeners_one_to_one(model) / assumed(largest_topic_today),
        model.plan.target.largest_topic / largest_topic_today.value,
        "core_floor_line",
    )


def current_distribution_gaps(model: Model) -> list[Gap]:
    """Returns the gaps of the distribution in use, the one that covers least of the required size first."""
    target, today = model.plan.target, model.plan.today
    share = model.plan.assumed.process_share.value

    def gap(sweep: str, limitation: str, limit: float, cost: Cost | None = None) -> Gap:
        is_by_entries = sweep.startswith("keyspace")
        today_size, target_size = (
            (today.servers, target.shards) if is_by_entries else (today.proxies, target.proxies)
        )
        factor = factor_at_limit(cost or (lambda size: model.at(sweep, size)), limit, today_size)
        return Gap(CONFIGURATION, limitation, factor, target_size / today_size, sweep)

    def relay_storm_cores(size: float) -> Figure:
        return relay_cores(model, storm_rate(model), size / target.control_machines)

    unsorted_gaps = [
        gap("change_latency_p99", "time until a change is in force", target.in_force_s),
        gap("subscriber_rest_bytes", "bytes of a proxy at rest", target.control_bytes_per_s),
        gap("subscriber_rest_cpu", "processor time of a proxy at rest", target.control_core_share),
        gap("keyspace_memory", "memory of the keyspace", target.control_bytes),
        gap("relay_push_cpu", "processor time of a relay in a storm", share, relay_storm_cores),
    ]

    def covered_fraction(gap_to_rank: Gap) -> float:
        factor = gap_to_rank.factor.value
        return -1.0 if factor is None else factor / gap_to_rank.required

    return sorted(unsorted_gaps, key=covered_fraction)


def first_gaps(model: Model) -> list[Gap]:
    """Returns the first gap of each mechanism that does not reach the target size, by ascending factor."""
    first_by_mechanism: dict[str, Gap] = {}
    for gap in gaps(model):
        if not gap.is_covered:
            first_by_mechanism.setdefault(gap.mechanism, gap)
    return list(first_by_mechanism.values())
