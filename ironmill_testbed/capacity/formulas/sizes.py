"""The size that a sweep varies, as the target fleet has it."""

from __future__ import annotations

from ironmill_testbed.capacity.data import Sweep
from ironmill_testbed.capacity.formulas.data_path import max_connections_per_process
from ironmill_testbed.capacity.formulas.fleet import children_per_relay, relays_of_origin
from ironmill_testbed.capacity.formulas.model import Model


def target_size_of(model: Model, sweep: Sweep) -> float | None:
    """Returns the target fleet's size on a sweep's axis, or None if the plan does not give it."""
    target = model.plan.target
    sizes = {
        "members": target.proxies,
        "proxies": target.proxies,
        "entries": target.shards,
        "shards": target.shards,
        "children": children_per_relay(model).value,
        "relays": relays_of_origin(model),
        "connections": max_connections_per_process(model).value,
    }
    return next((sizes[word] for word in sweep.x.lower().split() if word in sizes), None)
