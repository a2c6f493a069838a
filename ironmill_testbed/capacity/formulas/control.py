"""Costs of membership, distribution, discovery and the routing table."""

from __future__ import annotations

from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas.fleet import MINUTE_S, change_rate, children_per_relay
from ironmill_testbed.capacity.formulas.model import Model, assumed


def change_cores(model: Model, rate: Figure, entries: float, *, live_weights: bool = False) -> Figure:
    """Computes changes per second x the processor time to apply a list in which one entry changed."""
    return rate * model.at("table_change_live_cpu" if live_weights else "table_change_cpu", entries)


def control_rest_bytes(model: Model) -> Figure:
    """Computes bytes per second of membership and distribution at rest + those of the average change rate."""
    proxies = model.plan.target.proxies
    bytes_at_rest = model.at("membership_rest_bytes", proxies) + model.at("subscriber_rest_bytes", proxies)
    return bytes_at_rest + change_rate(model) * assumed(model.plan.assumed.change)


def control_rest_cores(model: Model) -> Figure:
    """Computes the cores that membership and distribution use at rest."""
    proxies = model.plan.target.proxies
    return model.at("membership_rest_cpu", proxies) + model.at("subscriber_rest_cpu", proxies)


def ping_rate(model: Model) -> Figure:
    """Computes the datagrams that a member sends per second: pings to its subjects, acks to its observers."""
    today = model.plan.today
    return Figure(2.0 * today.observers / today.ping_interval_s)


def relay_bytes(model: Model, rate: Figure) -> Figure:
    """Computes the bytes per second that a relay sends: changes per second x bytes per change x children."""
    return rate * assumed(model.plan.assumed.change) * children_per_relay(model)


def relay_cores(model: Model, rate: Figure, child_count: float | None = None) -> Figure:
    """Computes the cores that a relay uses: polls of its children + changes per second x one push to all.

    ``child_count`` defaults to the children per relay of the target fleet.
    """
    children = children_per_relay(model).value if child_count is None else child_count
    assert children is not None
    return model.at("relay_poll_cpu", children) + rate * model.at("relay_push_cpu", children)


def full_catch_up_bytes(model: Model) -> Figure:
    """Computes the bytes of a full catch-up: as measured, otherwise entries x assumed bytes per entry."""
    measured = model.at("catch_up_bytes", model.plan.target.shards)
    if measured.value is not None:
        return measured
    return assumed(model.plan.assumed.entry) * model.plan.target.shards


def full_catch_up_time(model: Model) -> Figure:
    """Computes bytes of a full catch-up / the rate at which a subscriber requests them."""
    return full_catch_up_bytes(model) / model.plan.today.catch_up_bytes_per_s


def concurrent_catch_up_time(model: Model, proxies: Figure) -> Figure:
    """Computes the bytes that a relay serves / the rate at which it serves, if these proxies start at once.

    The proxies are distributed evenly over the relays. The result is at least the time of a single proxy.
    """
    single_proxy_time = full_catch_up_time(model)
    bytes_per_relay = proxies * full_catch_up_bytes(model) / model.plan.target.control_machines
    concurrent_time = bytes_per_relay / model.plan.today.serve_bytes_per_s
    return (
        concurrent_time
        if (concurrent_time.value or 0.0) > (single_proxy_time.value or 0.0)
        else single_proxy_time
    )


def full_catch_up_time_in_budget(model: Model) -> Figure:
    """Computes bytes of a full catch-up / the bytes per second that a proxy may use for control."""
    return full_catch_up_bytes(model) / model.plan.target.control_bytes_per_s


def full_catch_up_cpu(model: Model) -> Figure:
    """Computes entries x the processor time to write one entry into the keyspace."""
    shards = model.plan.target.shards
    return model.at("keyspace_put_cpu", shards) * shards


def min_revisions(model: Model) -> Figure:
    """Computes the revisions that change every entry: entries / maximum changes per revision, rounded up."""
    return Figure(model.plan.target.shards / model.plan.today.revision_changes).ceil()


def discovery_calls(model: Model, proxies: float, pause_fraction: float = 1.0) -> Figure:
    """Computes the calls per second of all proxies to a failing discovery service.

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
    """Computes an upper bound of a member's bytes per second in the worst minute after the loss of a zone.

    (span x rate in the highest second + (minute - span) x rate at rest) / minute
    """
    span = model.at("membership_zone_span", size)
    if span.value is not None:
        span = Figure(min(max(span.value, 0.0), MINUTE_S), span.error)
    highest_rate, rate_at_rest = (
        model.at("membership_zone_bytes", size),
        model.at("membership_rest_bytes", size),
    )
    return (span * highest_rate + (Figure(MINUTE_S) - span) * rate_at_rest) / MINUTE_S
