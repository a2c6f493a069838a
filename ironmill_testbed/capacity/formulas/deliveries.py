"""Time of a delivery from a publisher to the last listener of a topic."""

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
    """Computes the proxies that have a listener of the mean shard, if listeners choose at random.

    proxies x (1 - (1 - 1 / proxies) ** listeners)
    """
    proxies = model.plan.target.proxies
    listeners = listeners_per_shard(model)
    assert listeners.value is not None
    value = proxies * (1.0 - (1.0 - 1.0 / proxies) ** listeners.value)
    return Figure(value, sign=listeners.sign)


def floor_pass(model: Model) -> Figure:
    """Computes the time of one pass in a bare epoll loop that has one process's connections."""
    each = connections_per_process(model)
    if each is None:
        return Figure(None)
    return model.at("core_floor_line", each) / assumed(model.plan.assumed.passes_per_line)


def queueing_time(model: Model) -> Figure:
    """Computes the time of queueing and one pass at the target's percentile, as in an M/M/1 queue.

    pass x ln(1 / (1 - percentile)) / (1 - load)
    """
    each = connections_per_process(model)
    if each is None:
        return Figure(None)
    load = process_load(model, each)
    tail = math.log(1.0 / (1.0 - model.plan.target.delivery_share))
    return pass_time(model, each) * tail / (Figure(1.0) - load)


FAN_OUT = "server writes to all its streams, the last one"


class Hop(Struct, frozen=True):
    """A part of a delivery's path; times in seconds."""

    name: str
    single: Figure  # with a stream for each listener
    shared: Figure  # with a stream for each shard and proxy


def hops(model: Model) -> list[Hop]:
    """Returns the parts of one line's path from a publisher to the last listener of the largest topic."""
    given = model.plan.assumed
    client, region = assumed(given.to_client) / 1000.0, assumed(given.between_regions) / 1000.0
    each = connections_per_process(model)
    copies = Figure(None) if each is None else listeners_per_proxy(model) * pass_time(model, each)
    fan_out = floor_pass(model) * model.plan.target.largest_topic
    streams = floor_pass(model) * model.plan.target.proxies
    waited = queueing_time(model)
    return [
        Hop("publisher to its proxy", client, client),
        Hop("proxy: queues and forwards", waited, waited),
        Hop("proxy to the shard's server, another region", region, region),
        Hop(FAN_OUT, fan_out, streams),
        Hop("server to the listener's proxy, another region", region, region),
        Hop("proxy: queues and forwards", waited, waited),
        Hop("proxy writes to its listeners, the last one", copies, copies),
        Hop("proxy to the listener", client, client),
    ]


def delivery(model: Model) -> tuple[Figure, Figure]:
    """Computes the sum of the hops, an upper bound of the total at the target's percentile."""
    single, shared = Figure(0.0), Figure(0.0)
    for hop in hops(model):
        single, shared = single + hop.single, shared + hop.shared
    return single, shared


def max_listeners_one_to_one(model: Model) -> Figure:
    """Computes the listeners a server can write to one by one in the time that the other hops leave."""
    left = Figure(model.plan.target.delivery_ms / 1000.0)
    for hop in hops(model):
        if hop.name != FAN_OUT:
            left = left - hop.single
    found = left / floor_pass(model)
    if found.value is not None and found.value < 0.0:
        return Figure(0.0, sign=found.sign)
    return found


def server_cores(model: Model) -> Figure:
    """Computes the cores of all servers for deliveries and setups in bare epoll loops."""
    target, each = model.plan.target, connections_per_process(model)
    if each is None:
        return Figure(None)
    setting_up = setups_per_proxy(model) * target.proxies * model.at("core_floor_setup", each)
    return floor_pass(model) * target.deliveries_per_s + setting_up
