"""Costs outside the proxy and the control machines: discovery's agent, servers, the operator's tool."""

from __future__ import annotations

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas import Model
from ironmill_testbed.capacity.roles.cost import (
    BACKOFF,
    HEALTH_CHECKS,
    ONE_TO_ONE,
    TOOL,
    WATCH,
    RoleCost,
    gap_of,
)


def discovery(model: Model) -> list[RoleCost]:
    """Returns the load of the fleet on discovery's agent."""
    return [
        *_watches(model),
        *_failing_discovery(model),
        RoleCost("processor time and memory, not this program's", Figure(None), "", WATCH),
    ]


def _watches(model: Model) -> list[RoleCost]:
    target, full_list = model.plan.target, formulas.full_list_bytes(model)
    average_rate, storm_rate = formulas.change_rate(model), formulas.storm_rate(model)
    return [
        RoleCost("state: entries listed", Figure(target.shards), "", WATCH),
        RoleCost("messages in: open watches", Figure(target.proxies), "", WATCH),
        RoleCost("messages out: watch events", average_rate * target.proxies, "/s", WATCH),
        RoleCost("messages out: watch events in a storm", storm_rate * target.proxies, "/s", WATCH),
        RoleCost("bytes of one full list", full_list, "B", WATCH),
        RoleCost(
            "bytes of full lists for the day's starts, mean of a day",
            full_list * formulas.starts_per_day(model) / formulas.DAY_S,
            "B/s",
            WATCH,
        ),
    ]


def _failing_discovery(model: Model) -> list[RoleCost]:
    today = model.plan.today
    call_rate_objective = Figure(1.0 / today.call_interval_s)
    factor = formulas.factor_at_limit(
        lambda n: formulas.discovery_calls(model, n), 1.0 / today.call_interval_s, today.proxies
    )
    return [
        RoleCost(
            "while it fails: calls of all proxies together, beside our own objective",
            formulas.discovery_calls(model, model.plan.target.proxies),
            "/s",
            BACKOFF,
            call_rate_objective,
            (),
            factor,
            formulas.fleet_multiple(model),
        ),
        RoleCost(
            "while it fails: the longest pause of one proxy",
            Figure(today.max_call_pause_s),
            "s",
            BACKOFF,
        ),
    ]


def server(model: Model) -> list[RoleCost]:
    """Returns the load of the fleet on a server, with the minimum of its processor time."""
    target, today = model.plan.target, model.plan.today
    servers = formulas.assumed(model.plan.assumed.servers)
    return [
        RoleCost("state: connections of clients", target.connections / servers, "", ONE_TO_ONE),
        RoleCost(
            "state: connections for health checks, one per proxy", Figure(target.proxies), "", HEALTH_CHECKS
        ),
        RoleCost("messages out: deliveries", target.deliveries_per_s / servers, "/s", ONE_TO_ONE),
        RoleCost(
            "messages in: health checks, all servers together",
            Figure(today.health_checks_per_s),
            "/s",
            HEALTH_CHECKS,
        ),
        *_server_processor_time(model),
        RoleCost("memory, not this program's", Figure(None), "", ONE_TO_ONE),
    ]


def _server_processor_time(model: Model) -> list[RoleCost]:
    target, gap = model.plan.target, gap_of(model, "core_floor_line")
    return [
        RoleCost(
            "processor time, all servers, bare epoll loops",
            formulas.server_cores(model),
            "cores",
            ONE_TO_ONE,
            sweeps=("core_floor_line", "core_floor_setup"),
        ),
        RoleCost(
            "one line written to all listeners of the largest topic",
            formulas.floor_pass(model) * target.largest_topic,
            "s",
            ONE_TO_ONE,
            target.delivery_ms / 1000.0,
            (gap.sweep,),
            gap.factor,
            gap.required,
        ),
    ]


def operator_tool() -> list[RoleCost]:
    """Returns the costs of the command that reports whether a change is fully applied."""
    return [
        RoleCost("state: none; messages: one request, one response", Figure(1.0), "", TOOL),
        RoleCost("processor time and memory", Figure(None), "", TOOL),
    ]
