"""Costs of membership, distribution and the routing table in a proxy."""

from __future__ import annotations

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas import Model
from ironmill_testbed.capacity.roles.cost import (
    BOTH,
    DISTRIBUTION,
    KEYSPACE,
    MEMBERSHIP,
    TABLE,
    RoleCost,
    gap_of,
)


def control(model: Model) -> list[RoleCost]:
    """Returns the costs of a proxy's view of the members, its keyspace and its routing table."""
    return [
        *_state(model),
        *_messages(model),
        *_bytes_at_rest(model),
        *_bytes_of_events(model),
        *_processor_time_at_rest(model),
        *_processor_time_of_changes(model),
        _time_of_full_list(model),
        *_memory(model),
    ]


def _state(model: Model) -> list[RoleCost]:
    target = model.plan.target
    return [
        RoleCost("state: members, all known to each", Figure(target.proxies), "", MEMBERSHIP),
        RoleCost("state: entries, all known to each", Figure(target.shards), "", KEYSPACE),
    ]


def _messages(model: Model) -> list[RoleCost]:
    polls = Figure(1.0 / model.plan.today.poll_interval_s)
    return [
        RoleCost("messages out: pings and acks", formulas.ping_rate(model), "/s", MEMBERSHIP),
        RoleCost("messages out: polls", polls, "/s", DISTRIBUTION),
    ]


def _by_proxies(model: Model, cost: RoleCost) -> RoleCost:
    """Returns the cost with the figure and the factor of its sweep, whose sizes are proxies."""
    return _from_sweep(model, cost, model.plan.target.proxies, model.plan.today.proxies)


def _by_entries(model: Model, cost: RoleCost) -> RoleCost:
    """Returns the cost with the figure and the factor of its sweep, whose sizes are entries."""
    return _from_sweep(model, cost, model.plan.target.shards, model.plan.today.servers)


def _from_sweep(model: Model, cost: RoleCost, target_size: float, today_size: float) -> RoleCost:
    (sweep,), limit = cost.sweeps, cost.limit_value
    assert limit is not None
    factor = formulas.factor_at_limit(lambda n: model.at(sweep, n), limit, today_size)
    return RoleCost(
        cost.name,
        model.at(sweep, target_size),
        cost.unit,
        cost.mechanism,
        cost.limit,
        cost.sweeps,
        factor,
        target_size / today_size,
    )


_FROM_SWEEP = Figure(None)  # placeholder, replaced by `_by_proxies` or `_by_entries`


def _bytes_at_rest(model: Model) -> list[RoleCost]:
    budget = model.plan.target.control_bytes_per_s
    membership = RoleCost(
        "bytes at rest, membership, mean of a minute",
        _FROM_SWEEP,
        "B/s",
        MEMBERSHIP,
        budget,
        ("membership_rest_bytes",),
    )
    distribution = RoleCost(
        "bytes at rest, distribution, mean of a minute",
        _FROM_SWEEP,
        "B/s",
        DISTRIBUTION,
        budget,
        ("subscriber_rest_bytes",),
    )
    return [
        _by_proxies(model, membership),
        _by_proxies(model, distribution),
        RoleCost(
            "bytes at rest, both and an average second's changes, mean of a minute",
            formulas.control_rest_bytes(model),
            "B/s",
            BOTH,
            budget,
            membership.sweeps + distribution.sweeps,
        ),
    ]


def _bytes_of_events(model: Model) -> list[RoleCost]:
    target, gap = model.plan.target, gap_of(model, "membership_zone_span")
    budget = target.control_bytes_per_s
    change_bytes = formulas.storm_rate(model) * formulas.assumed(model.plan.assumed.change)
    highest_second = RoleCost(
        "bytes at a zone's loss, highest second",
        _FROM_SWEEP,
        "B/s",
        MEMBERSHIP,
        budget,
        ("membership_zone_bytes",),
    )
    return [
        RoleCost(
            "bytes in a storm, its changes alone, mean of a minute", change_bytes, "B/s", DISTRIBUTION, budget
        ),
        _by_proxies(model, highest_second),
        RoleCost(
            "bytes at a zone's loss, mean of the worst minute at most",
            formulas.worst_minute_mean(model, target.proxies),
            "B/s",
            MEMBERSHIP,
            budget,
            ("membership_zone_span", "membership_zone_bytes"),
            gap.factor,
            gap.required,
        ),
    ]


def _processor_time_at_rest(model: Model) -> list[RoleCost]:
    limit = model.plan.target.control_core_share
    membership = RoleCost(
        "processor time at rest, membership",
        _FROM_SWEEP,
        "cores",
        MEMBERSHIP,
        limit,
        ("membership_rest_cpu",),
    )
    distribution = RoleCost(
        "processor time at rest, distribution",
        _FROM_SWEEP,
        "cores",
        DISTRIBUTION,
        limit,
        ("subscriber_rest_cpu",),
    )
    return [
        _by_proxies(model, membership),
        _by_proxies(model, distribution),
        RoleCost(
            "processor time at rest, both",
            formulas.control_rest_cores(model),
            "cores",
            BOTH,
            limit,
            membership.sweeps + distribution.sweeps,
        ),
    ]


def _processor_time_of_changes(model: Model) -> list[RoleCost]:
    target, storm = model.plan.target, formulas.storm_rate(model)
    static_weight_gap, live_weight_gap = (
        gap_of(model, "table_change_cpu"),
        gap_of(model, "table_change_live_cpu"),
    )
    shards, limit = target.shards, target.control_core_share
    return [
        RoleCost(
            "processor time, an average second's changes in the flat list",
            formulas.change_cores(model, formulas.change_rate(model), shards),
            "cores",
            TABLE,
            limit,
            (static_weight_gap.sweep,),
        ),
        RoleCost(
            "processor time, a storm's changes in the flat list",
            formulas.change_cores(model, storm, shards),
            "cores",
            TABLE,
            limit,
            (static_weight_gap.sweep,),
            static_weight_gap.factor,
            static_weight_gap.required,
        ),
        RoleCost(
            "the same, with live weights",
            formulas.change_cores(model, storm, shards, live_weights=True),
            "cores",
            TABLE,
            limit,
            (live_weight_gap.sweep,),
            live_weight_gap.factor,
            live_weight_gap.required,
        ),
    ]


def _time_of_full_list(model: Model) -> RoleCost:
    target, gap = model.plan.target, gap_of(model, "table_full_cpu")
    return RoleCost(
        "a full list blocks the process for",
        formulas.full_list_time(model, target.shards),
        "s",
        TABLE,
        target.delivery_ms / 1000.0,
        ("table_parse_cpu", "table_full_cpu"),
        gap.factor,
        gap.required,
    )


def _memory(model: Model) -> list[RoleCost]:
    target = model.plan.target
    limit = target.control_bytes
    view = RoleCost(
        "memory, view of the members", _FROM_SWEEP, "B", MEMBERSHIP, limit, ("membership_memory",)
    )
    keyspace = RoleCost("memory, keyspace", _FROM_SWEEP, "B", KEYSPACE, limit, ("keyspace_memory",))
    routing_table = RoleCost(
        "memory, routing table and decisions", _FROM_SWEEP, "B", TABLE, limit, ("table_memory",)
    )
    return [
        _by_proxies(model, view),
        _by_entries(model, keyspace),
        _by_entries(model, routing_table),
        RoleCost(
            "memory, view and keyspace",
            model.at("membership_memory", target.proxies) + model.at("keyspace_memory", target.shards),
            "B",
            BOTH,
            limit,
            view.sweeps + keyspace.sweeps,
        ),
    ]
