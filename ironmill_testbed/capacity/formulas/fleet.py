"""Formulas that need only the plan: rates, and sizes of parts of the fleet."""

from __future__ import annotations

import math

from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas.model import Model, assumed

DAY_S = 86400.0
HOUR_S = 3600.0
MINUTE_S = 60.0


def fleet_multiple(model: Model) -> float:
    """Computes target proxies / today's proxies."""
    return model.plan.target.proxies / model.plan.today.proxies


def connections_per_proxy(model: Model) -> Figure:
    """Computes connections / proxies."""
    return Figure(model.plan.target.connections / model.plan.target.proxies)


def deliveries_per_proxy(model: Model) -> Figure:
    """Computes deliveries per second / proxies."""
    return Figure(model.plan.target.deliveries_per_s / model.plan.target.proxies)


def setups_per_proxy(model: Model) -> Figure:
    """Computes connections per proxy / lifetime of a connection."""
    return connections_per_proxy(model) / assumed(model.plan.assumed.connection_lifetime)


def children_per_relay(model: Model) -> Figure:
    """Computes proxies / control machines: the children of one relay."""
    return Figure(model.plan.target.proxies / model.plan.target.control_machines)


def proxies_per_zone(model: Model) -> Figure:
    """Computes proxies / zones, rounded up."""
    return Figure(model.plan.target.proxies / model.plan.target.zones).ceil()


def proxies_per_region(model: Model) -> Figure:
    """Computes proxies / regions, rounded up."""
    return Figure(model.plan.target.proxies / model.plan.target.regions).ceil()


def change_rate(model: Model) -> Figure:
    """Computes changes per second as the mean of a day."""
    return Figure(model.plan.target.changes_per_day / DAY_S)


def storm_rate(model: Model) -> Figure:
    """Computes changes per second if all changes of a day are made within one hour."""
    return Figure(model.plan.target.changes_per_day / HOUR_S)


def starts_per_day(model: Model) -> Figure:
    """Computes failures + restarts per day; each is followed by a full catch-up."""
    return Figure(model.plan.target.failures_per_day + model.plan.target.restarts_per_day)


def relays_of_origin(model: Model) -> float:
    """Computes the relays that the origin pushes to: all control machines but itself."""
    return model.plan.target.control_machines - 1.0


def children_after_zone(model: Model) -> Figure:
    """Computes remaining proxies / remaining control machines after the loss of a zone, rounded up."""
    target = model.plan.target
    lost_machines = math.ceil(target.control_machines / target.zones)
    remaining_proxies = target.proxies - (proxies_per_zone(model).value or 0.0)
    return Figure(remaining_proxies / (target.control_machines - lost_machines)).ceil()
