"""Formulas for the time of a delivery from a publisher to the last listener of a topic."""

from __future__ import annotations

import math

from msgspec import Struct

from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas.data_path import connections_per_process, pass_time, process_load
from ironmill_testbed.capacity.formulas.fleet import setups_per_proxy
from ironmill_testbed.capacity.formulas.model import Model, assumed


def listeners_per_proxy(model: Model) -> Figure:
    """Computes listeners of the largest topic / proxies."""
    return Figure(model.plan.target.largest_topic / model.plan.target.proxies)


def listeners_per_shard(model: Model) -> Figure:
    """Computes connections x shards per connection / shards."""
    target = model.plan.target
    return assumed(model.plan.assumed.shards_per_connection) * (target.connections / target.shards)


def proxies_per_shard(model: Model) -> Figure:
    """Computes the proxies with a listener of the average shard, if each listener picks its proxy at random.

    proxies x (1 - (1 - 1 / proxies) ** listeners)
    """
    proxies = model.plan.target.proxies
    listeners = listeners_per_shard(model)
    assert listeners.value is not None
    value = proxies * (1.0 - (1.0 - 1.0 / proxies) ** listeners.value)
    return Figure(value, sign=listeners.sign)


def floor_pass(model: Model) -> Figure:
    """Computes the time of one pass in a bare epoll loop with as many connections as one process."""
    connections = connections_per_process(model)
    if connections is None:
        return Figure(None)
    return model.at("core_floor_line", connections) / assumed(model.plan.assumed.passes_per_line)


def queueing_time(model: Model) -> Figure:
    """Computes the sojourn time (queueing and one pass) at the target's percentile, by the M/M/1 model.

    pass x ln(1 / (1 - percentile)) / (1 - load)
    """
    connections = connections_per_process(model)
    if connections is None:
        return Figure(None)
    load = process_load(model, connections)
    quantile_factor = math.log(1.0 / (1.0 - model.plan.target.delivery_share))
    return pass_time(model, connections) * quantile_factor / (Figure(1.0) - load)


FAN_OUT = "server writes to all its streams, the last one"


class Hop(Struct, frozen=True):
    """One part of a delivery's path, with its time in seconds for two ways to fan out."""

    name: str
    single: Figure  # with one stream for each listener
    shared: Figure  # with one stream for each shard and proxy


def hops(model: Model) -> list[Hop]:
    """Returns the parts of a line's path from the publisher to the last listener of the largest topic."""
    assumptions = model.plan.assumed
    client_delay, region_delay = (
        assumed(assumptions.to_client) / 1000.0,
        assumed(assumptions.between_regions) / 1000.0,
    )
    connections = connections_per_process(model)
    listener_writes = (
        Figure(None) if connections is None else listeners_per_proxy(model) * pass_time(model, connections)
    )
    fan_out = floor_pass(model) * model.plan.target.largest_topic
    stream_writes = floor_pass(model) * model.plan.target.proxies
    queueing = queueing_time(model)
    return [
        Hop("publisher to its proxy", client_delay, client_delay),
        Hop("proxy: queues and forwards", queueing, queueing),
        Hop("proxy to the shard's server, another region", region_delay, region_delay),
        Hop(FAN_OUT, fan_out, stream_writes),
        Hop("server to the listener's proxy, another region", region_delay, region_delay),
        Hop("proxy: queues and forwards", queueing, queueing),
        Hop("proxy writes to its listeners, the last one", listener_writes, listener_writes),
        Hop("proxy to the listener", client_delay, client_delay),
    ]


def delivery_time(model: Model) -> tuple[Figure, Figure]:
    """Computes the sum of the hops, an upper bound of the total at the target's percentile."""
    single, shared = Figure(0.0), Figure(0.0)
    for hop in hops(model):
        single, shared = single + hop.single, shared + hop.shared
    return single, shared


def max_listeners_one_to_one(model: Model) -> Figure:
    """Computes how many listeners a server can write to in turn in the time that the other hops leave."""
    remaining = Figure(model.plan.target.delivery_ms / 1000.0)
    for hop in hops(model):
        if hop.name != FAN_OUT:
            remaining = remaining - hop.single
    listeners = remaining / floor_pass(model)
    if listeners.value is not None and listeners.value < 0.0:
        return Figure(0.0, sign=listeners.sign)
    return listeners


def server_cores(model: Model) -> Figure:
    """Computes the cores that all servers use for deliveries and setups, if they are bare epoll loops."""
    target, connections = model.plan.target, connections_per_process(model)
    if connections is None:
        return Figure(None)
    setup_cores = setups_per_proxy(model) * target.proxies * model.at("core_floor_setup", connections)
    return floor_pass(model) * target.deliveries_per_s + setup_cores
