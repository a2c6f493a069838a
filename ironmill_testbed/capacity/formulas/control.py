"""Costs of membership, distribution, discovery and the routing table."""

from __future__ import annotations

from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas.fleet import MINUTE_S, change_rate, children_per_relay
from ironmill_testbed.capacity.formulas.model import Model, assumed


def change_cores(model: Model, rate: Figure, entries: float, *, live_weights: bool = False) -> Figure:
    """Computes changes per second x the processor time of a list in which one entry changes."""
    return rate * model.at("table_change_live_cpu" if live_weights else "table_change_cpu", entries)


def control_rest_bytes(model: Model) -> Figure:
    """Computes the bytes of membership and distribution at rest + those of an average second's changes."""
    proxies = model.plan.target.proxies
    parts = model.at("membership_rest_bytes", proxies) + model.at("subscriber_rest_bytes", proxies)
    return parts + change_rate(model) * assumed(model.plan.assumed.change)


def control_rest_cores(model: Model) -> Figure:
    """Computes the cores that membership and distribution use at rest."""
    proxies = model.plan.target.proxies
    return model.at("membership_rest_cpu", proxies) + model.at("subscriber_rest_cpu", proxies)


def ping_rate(model: Model) -> Figure:
    """Computes datagrams per second of a member: pings to its subjects and acks to its observers."""
    today = model.plan.today
    return Figure(2.0 * today.observers / today.ping_interval_s)


def relay_bytes(model: Model, rate: Figure) -> Figure:
    """Computes changes per second x bytes per change x children."""
    return rate * assumed(model.plan.assumed.change) * children_per_relay(model)


def relay_cores(model: Model, rate: Figure, count: float | None = None) -> Figure:
    """Computes the cores for polls of the children + changes per second x one push to all of them.

    ``count`` is the number of children, by default the target's per relay.
    """
    size = children_per_relay(model).value if count is None else count
    assert size is not None
    return model.at("relay_poll_cpu", size) + rate * model.at("relay_push_cpu", size)


def full_catch_up_bytes(model: Model) -> Figure:
    """Computes the bytes of a full catch-up: as measured, or else all entries at their assumed size."""
    found = model.at("catch_up_bytes", model.plan.target.shards)
    if found.value is not None:
        return found
    return assumed(model.plan.assumed.entry) * model.plan.target.shards


def full_catch_up_time(model: Model) -> Figure:
    """Computes bytes of a full catch-up / the rate at which a subscriber requests them."""
    return full_catch_up_bytes(model) / model.plan.today.catch_up_bytes_per_s


def concurrent_catch_up_time(model: Model, proxies: Figure) -> Figure:
    """Computes bytes per relay / the rate at which it serves, if these proxies start at once.

    The proxies are spread evenly over the relays; the result is at least the time of one proxy alone.
    """
    alone = full_catch_up_time(model)
    shared = proxies * full_catch_up_bytes(model) / model.plan.target.control_machines
    together = shared / model.plan.today.serve_bytes_per_s
    return together if (together.value or 0.0) > (alone.value or 0.0) else alone


def full_catch_up_time_in_budget(model: Model) -> Figure:
    """Computes bytes of a full catch-up / the budget of a proxy."""
    return full_catch_up_bytes(model) / model.plan.target.control_bytes_per_s


def full_catch_up_cpu(model: Model) -> Figure:
    """Computes entries x the processor time to put one."""
    shards = model.plan.target.shards
    return model.at("keyspace_put_cpu", shards) * shards


def min_revisions(model: Model) -> Figure:
    """Computes entries / maximum changes per revision, rounded up: a change of every entry."""
    return Figure(model.plan.target.shards / model.plan.today.revision_changes).ceil()


def discovery_calls(model: Model, proxies: float, pause_fraction: float = 1.0) -> Figure:
    """Computes calls per second of the proxies to a discovery service that fails.

    proxies / (pause_fraction x min(proxies x interval, longest pause of one proxy))
    """
    today = model.plan.today
    return Figure(proxies / (pause_fraction * min(proxies * today.call_interval_s, today.max_call_pause_s)))


def full_list_time(model: Model, entries: float) -> Figure:
    """Computes the time to parse and apply a full list, which blocks the event loop."""
    return model.at("table_parse_cpu", entries) + model.at("table_full_cpu", entries)


def full_list_bytes(model: Model) -> Figure:
    """Computes entries x bytes per entry of the endpoint list."""
    return assumed(model.plan.assumed.discovery_entry) * model.plan.target.shards


def worst_minute_mean(model: Model, size: float) -> Figure:
    """Computes an upper bound of the bytes per second in the worst minute at a zone's loss.

    (span x highest second + (minute - span) x rest) / minute
    """
    span = model.at("membership_zone_span", size)
    if span.value is not None:
        span = Figure(min(max(span.value, 0.0), MINUTE_S), span.error)
    high, rest = model.at("membership_zone_bytes", size), model.at("membership_rest_bytes", size)
    return (span * high + (Figure(MINUTE_S) - span) * rest) / MINUTE_S
