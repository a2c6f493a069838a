"""Costs of the control machines: the relays and the origin."""

from __future__ import annotations

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas import Model
from ironmill_testbed.capacity.roles.cost import DISTRIBUTION, KEYSPACE, RELAY_SWEEPS, RoleCost


def relay(model: Model) -> list[RoleCost]:
    """Returns the costs of a control machine that relays changes from the origin to some of the proxies."""
    children = formulas.children_per_relay(model)
    return [
        *_relay_messages(model),
        *_relay_bytes(model),
        *_relay_processor_time(model),
        RoleCost(
            "memory",
            model.at("relay_memory", children.value or 0.0),
            "B",
            DISTRIBUTION,
            sweeps=("relay_memory",),
        ),
        _time_in_force(model),
    ]


def _relay_messages(model: Model) -> list[RoleCost]:
    children, storm_rate = formulas.children_per_relay(model), formulas.storm_rate(model)
    polls = children / model.plan.today.poll_interval_s
    return [
        RoleCost("state: children", children, "", DISTRIBUTION),
        RoleCost("state: entries", Figure(model.plan.target.shards), "", KEYSPACE),
        RoleCost("messages in: polls", polls, "/s", DISTRIBUTION),
        RoleCost("messages out: pushes in a storm", storm_rate * children, "/s", DISTRIBUTION),
    ]


def _relay_bytes(model: Model) -> list[RoleCost]:
    average_rate_bytes = formulas.relay_bytes(model, formulas.change_rate(model))
    storm_bytes = formulas.relay_bytes(model, formulas.storm_rate(model))
    return [
        RoleCost(
            "bytes at rest, all control together, mean of a minute",
            model.at("control_rest_bytes", model.plan.target.proxies),
            "B/s",
            DISTRIBUTION,
            sweeps=("control_rest_bytes",),
        ),
        RoleCost("bytes of an average second's changes", average_rate_bytes, "B/s", DISTRIBUTION),
        RoleCost("bytes of a storm's changes", storm_bytes, "B/s", DISTRIBUTION),
    ]


def _relay_processor_time(model: Model) -> list[RoleCost]:
    machines, storm_rate = model.plan.target.control_machines, formulas.storm_rate(model)
    process_share = formulas.assumed(model.plan.assumed.process_share)
    factor = formulas.factor_at_limit(
        lambda n: formulas.relay_cores(model, storm_rate, n / machines),
        process_share.value or 0.0,
        model.plan.today.proxies,
    )
    return [
        RoleCost(
            "processor time at rest",
            formulas.relay_cores(model, formulas.change_rate(model)),
            "cores",
            DISTRIBUTION,
            process_share,
            RELAY_SWEEPS,
        ),
        RoleCost(
            "processor time in a storm",
            formulas.relay_cores(model, storm_rate),
            "cores",
            DISTRIBUTION,
            process_share,
            RELAY_SWEEPS,
            factor,
            formulas.fleet_multiple(model),
        ),
    ]


def _time_in_force(model: Model) -> RoleCost:
    target, sweep_name = model.plan.target, "change_latency_p99"
    factor = formulas.factor_at_limit(
        lambda n: model.at(sweep_name, n), target.in_force_s, model.plan.today.proxies
    )
    return RoleCost(
        "time until a change is in force, at the target's percentile",
        model.at(sweep_name, target.proxies),
        "s",
        DISTRIBUTION,
        target.in_force_s,
        (sweep_name,),
        factor,
        formulas.fleet_multiple(model),
    )


def origin(model: Model) -> list[RoleCost]:
    """Returns the costs of the control machine that orders changes."""
    shards, relays = model.plan.target.shards, formulas.relays_of_origin(model)
    return [
        RoleCost("state: entries, on disk and in memory", Figure(shards), "", DISTRIBUTION),
        RoleCost(
            "messages out: pushes to relays in a storm",
            formulas.storm_rate(model) * relays,
            "/s",
            DISTRIBUTION,
        ),
        _origin_bytes_at_rest(model),
        *_origin_time(model),
        RoleCost(
            "memory, keyspace",
            model.at("keyspace_memory", shards),
            "B",
            KEYSPACE,
            sweeps=("keyspace_memory",),
        ),
    ]


def _origin_bytes_at_rest(model: Model) -> RoleCost:
    sweep_name = "origin_rest_bytes"
    sweep = model.measured.sweeps.get(sweep_name)
    size = None if sweep is None else formulas.target_size_of(model, sweep)
    bytes_at_rest = Figure(None) if size is None else model.at(sweep_name, size)
    return RoleCost(
        "bytes at rest, mean of a minute", bytes_at_rest, "B/s", DISTRIBUTION, sweeps=(sweep_name,)
    )


def _origin_time(model: Model) -> list[RoleCost]:
    target, storm_rate = model.plan.target, formulas.storm_rate(model)
    process_share = formulas.assumed(model.plan.assumed.process_share)
    commit_time = model.at("store_commit", target.shards)
    return [
        RoleCost(
            "time to commit one change", commit_time, "s", DISTRIBUTION, target.in_force_s, ("store_commit",)
        ),
        RoleCost(
            "time to commit a storm's changes",
            storm_rate * commit_time,
            "cores",
            DISTRIBUTION,
            process_share,
            ("store_commit",),
        ),
        RoleCost(
            "processor time, pushes and polls in a storm",
            formulas.relay_cores(model, storm_rate, formulas.relays_of_origin(model)),
            "cores",
            DISTRIBUTION,
            process_share,
            RELAY_SWEEPS,
        ),
    ]
