"""Costs of the control machines: the relays and the origin."""

from __future__ import annotations

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas import Model
from ironmill_testbed.capacity.roles.cost import DISTRIBUTION, KEYSPACE, RELAY_SWEEPS, RoleCost


def relay(model: Model) -> list[RoleCost]:
    """Returns the costs of a control machine between the origin and its part of the proxies."""
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
    children, storm = formulas.children_per_relay(model), formulas.storm_rate(model)
    polls = children / model.plan.today.poll_interval_s
    return [
        RoleCost("state: children", children, "", DISTRIBUTION),
        RoleCost("state: entries", Figure(model.plan.target.shards), "", KEYSPACE),
        RoleCost("messages in: polls", polls, "/s", DISTRIBUTION),
        RoleCost("messages out: pushes in a storm", storm * children, "/s", DISTRIBUTION),
    ]


def _relay_bytes(model: Model) -> list[RoleCost]:
    average = formulas.relay_bytes(model, formulas.change_rate(model))
    storm = formulas.relay_bytes(model, formulas.storm_rate(model))
    return [
        RoleCost(
            "bytes at rest, all control together, mean of a minute",
            model.at("control_rest_bytes", model.plan.target.proxies),
            "B/s",
            DISTRIBUTION,
            sweeps=("control_rest_bytes",),
        ),
        RoleCost("bytes of an average second's changes", average, "B/s", DISTRIBUTION),
        RoleCost("bytes of a storm's changes", storm, "B/s", DISTRIBUTION),
    ]


def _relay_processor_time(model: Model) -> list[RoleCost]:
    machines, storm = model.plan.target.control_machines, formulas.storm_rate(model)
    share = formulas.assumed(model.plan.assumed.process_share)
    factor = formulas.factor_at_limit(
        lambda n: formulas.relay_cores(model, storm, n / machines),
        share.value or 0.0,
        model.plan.today.proxies,
    )
    return [
        RoleCost(
            "processor time at rest",
            formulas.relay_cores(model, formulas.change_rate(model)),
            "cores",
            DISTRIBUTION,
            share,
            RELAY_SWEEPS,
        ),
        RoleCost(
            "processor time in a storm",
            formulas.relay_cores(model, storm),
            "cores",
            DISTRIBUTION,
            share,
            RELAY_SWEEPS,
            factor,
            formulas.fleet_multiple(model),
        ),
    ]


def _time_in_force(model: Model) -> RoleCost:
    target, sweep = model.plan.target, "change_latency_p99"
    factor = formulas.factor_at_limit(
        lambda n: model.at(sweep, n), target.in_force_s, model.plan.today.proxies
    )
    return RoleCost(
        "time until a change is in force, at the target's percentile",
        model.at(sweep, target.proxies),
        "s",
        DISTRIBUTION,
        target.in_force_s,
        (sweep,),
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
    name = "origin_rest_bytes"
    sweep = model.measured.sweeps.get(name)
    size = None if sweep is None else formulas.target_size_of(model, sweep)
    rest = Figure(None) if size is None else model.at(name, size)
    return RoleCost("bytes at rest, mean of a minute", rest, "B/s", DISTRIBUTION, sweeps=(name,))


def _origin_time(model: Model) -> list[RoleCost]:
    target, storm = model.plan.target, formulas.storm_rate(model)
    share = formulas.assumed(model.plan.assumed.process_share)
    commit = model.at("store_commit", target.shards)
    return [
        RoleCost(
            "time to commit one change", commit, "s", DISTRIBUTION, target.in_force_s, ("store_commit",)
        ),
        RoleCost(
            "time to commit a storm's changes",
            storm * commit,
            "cores",
            DISTRIBUTION,
            share,
            ("store_commit",),
        ),
        RoleCost(
            "processor time, pushes and polls in a storm",
            formulas.relay_cores(model, storm, formulas.relays_of_origin(model)),
            "cores",
            DISTRIBUTION,
            share,
            RELAY_SWEEPS,
        ),
    ]
