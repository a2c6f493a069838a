"""The figures and tables that the template of ``docs/CAPACITY.md`` refers to by name."""

from __future__ import annotations

from collections.abc import Callable

from ironmill_testbed.capacity import formulas, roles, tables
from ironmill_testbed.capacity.figure import NOT_RUN, Figure, number, quantity
from ironmill_testbed.capacity.formulas import Gap, Model

_TABLES: dict[str, Callable[[Model], str]] = {
    "roles": roles.roles,
    "events": tables.events,
    "deliveries_table": tables.deliveries,
    "missing": tables.mechanism_gaps,
    "slopes": tables.slopes,
    "target_table": tables.target,
    "today_table": tables.today,
    "assumptions": tables.assumptions,
    "scenarios": tables.scenarios,
    "full_catch_up": tables.full_catch_up,
}


def page_values(model: Model) -> dict[str, str]:
    """Formats all figures and tables that the template may refer to, by name."""
    return {
        **_plan_values(model),
        **_gap_values(model),
        **_data_path_values(model),
        **_delivery_values(model),
        **_control_values(model),
        **_measurement_values(model),
        **{table_name: format_table(model) for table_name, format_table in _TABLES.items()},
    }


def _plan_values(model: Model) -> dict[str, str]:
    target, today = model.plan.target, model.plan.today
    return {
        "proxies": number(target.proxies),
        "today": number(today.proxies),
        "servers": number(today.servers),
        "budget": quantity(Figure(target.control_bytes_per_s), "B/s", signed=False),
        "share": tables.format_delivery_share(model),
        "delivery": f"{number(target.delivery_ms)} ms",
        "within": f"{number(target.in_force_s)} s",
        "shards": number(target.shards),
        "largest": number(target.largest_topic),
    }


def _gap_values(model: Model) -> dict[str, str]:
    first, second = formulas.first_gaps(model)[:2]
    return {
        "first": first.mechanism,
        "first_reason": _reason(first),
        "second": second.mechanism,
        "second_reason": _reason(second),
    }


def _reason(gap: Gap) -> str:
    limitation = gap.limitation[0].upper() + gap.limitation[1:]
    factor = tables.format_factor(gap)
    return f"{limitation}: {factor}, as a multiple of today's fleet; {number(gap.required)} is required"


def _data_path_values(model: Model) -> dict[str, str]:
    return {
        "connections": quantity(formulas.connections_per_proxy(model)),
        "deliveries": quantity(formulas.deliveries_per_proxy(model), "/s"),
        "processes": quantity(formulas.processes_with_error(model)),
    }


def _delivery_values(model: Model) -> dict[str, str]:
    target, pass_time = model.plan.target, formulas.floor_pass(model)
    return {
        "fan_out_single": quantity(pass_time * target.largest_topic, "s"),
        "fan_out_shared": quantity(pass_time * target.proxies, "s"),
        "one_to_one": quantity(formulas.max_listeners_one_to_one(model)),
        "listeners_per_shard": quantity(formulas.listeners_per_shard(model)),
        "proxies_per_shard": quantity(formulas.proxies_per_shard(model)),
        "listeners_per_proxy": quantity(formulas.listeners_per_proxy(model)),
        "server_cores": quantity(formulas.server_cores(model), "cores"),
    }


def _control_values(model: Model) -> dict[str, str]:
    proxies, today = model.plan.target.proxies, model.plan.today
    max_calls = formulas.discovery_calls(model, proxies, today.min_call_pause_fraction)
    return {
        "calls_objective": quantity(Figure(1.0 / today.call_interval_s)),
        "max_call_pause": quantity(Figure(today.max_call_pause_s), "s"),
        "min_calls": quantity(formulas.discovery_calls(model, proxies), "/s"),
        "max_calls": quantity(max_calls, "/s"),
        "zone_highest": quantity(model.at("membership_zone_bytes", proxies), "B/s"),
        "zone_minute": quantity(formulas.worst_minute_mean(model, proxies), "B/s"),
        "zone_span": quantity(model.at("membership_zone_span", proxies), "s"),
    }


def _measurement_values(model: Model) -> dict[str, str]:
    machine = sorted(model.measured.machine.items())
    return {
        "rough": tables.rough_sweeps(model),
        "rough_residual": f"{number(tables.ROUGH_RESIDUAL * 100.0)} %",
        "machine": ", ".join(f"{key} {value}" for key, value in machine) or NOT_RUN,
    }
