"""Costs of connections, deliveries and placements in a proxy."""

from __future__ import annotations

from ironmill_testbed.capacity.data import Sign
from ironmill_testbed.capacity.figure import Figure
from ironmill_testbed.capacity.formulas.fleet import connections_per_proxy, setups_per_proxy
from ironmill_testbed.capacity.formulas.limits import SizeRange, size_at_limit_with_error
from ironmill_testbed.capacity.formulas.model import Model, assumed


def pass_time(model: Model, connections: float) -> Figure:
    """Computes the processor time of one pass: that of a measured line / passes per line."""
    return model.at("core_line_cpu", connections) / assumed(model.plan.assumed.passes_per_line)


def process_load(model: Model, connections: float) -> Figure:
    """Computes the cores that one process with these connections uses.

    connections x (deliveries per connection x pass + setup / lifetime of a connection)
    """
    target = model.plan.target
    delivery_load = pass_time(model, connections) * (target.deliveries_per_s / target.connections)
    setup_load = model.at("core_setup_cpu", connections) / assumed(model.plan.assumed.connection_lifetime)
    return (delivery_load + setup_load) * connections


def max_connections_per_process(model: Model) -> Figure:
    """Computes the connections at which one process uses its allowed share of a core."""
    target, share = model.plan.target, model.plan.assumed.process_share.value
    return size_at_limit_with_error(
        lambda n: process_load(model, n), share, SizeRange(1.0, target.connections), Sign.ASSUMED
    )


def processes_per_proxy(model: Model) -> Figure:
    """Computes connections per proxy / maximum connections per process, rounded up."""
    return (connections_per_proxy(model) / max_connections_per_process(model)).ceil()


def processes_with_error(model: Model) -> Figure:
    """Computes ``processes_per_proxy`` with the error that follows from that of the maximum connections."""
    processes, maximum = processes_per_proxy(model), max_connections_per_process(model)
    if processes.value is None or maximum.value is None:
        return processes
    connections = connections_per_proxy(model)
    errors = (-maximum.error, maximum.error)
    bounds = [(connections / (maximum.value + error)).ceil().value or 0.0 for error in errors]
    return Figure(processes.value, max(abs(bound - processes.value) for bound in bounds), processes.sign)


def connections_per_process(model: Model) -> float | None:
    """Computes connections per proxy / processes per proxy; None if the latter is unknown."""
    processes = processes_per_proxy(model).value
    connections = connections_per_proxy(model).value
    return None if not processes or connections is None else connections / processes


def data_path_cores(model: Model) -> Figure:
    """Computes processes per proxy x the cores of one process with its share of the connections."""
    connections = connections_per_process(model)
    return (
        Figure(None) if connections is None else processes_per_proxy(model) * process_load(model, connections)
    )


def data_path_memory(model: Model) -> Figure:
    """Computes processes per proxy x (initial memory + memory of one process's share of the connections)."""
    connections = connections_per_process(model)
    if connections is None:
        return Figure(None)
    return processes_per_proxy(model) * (
        model.at("core_memory", connections) + model.plan.today.process_bytes
    )


def placement_cores(model: Model, entries: float, *, new_groups: bool = False) -> Figure:
    """Computes setups per second of a proxy x the processor time of one placement among the entries.

    With ``new_groups`` every placement is the first one of its connection group at the proxy.
    """
    return setups_per_proxy(model) * model.at(
        "placement_group_cpu" if new_groups else "placement_cpu", entries
    )


def clients_of(model: Model, proxies: Figure) -> Figure:
    """Computes the clients of these proxies: proxies x connections per proxy."""
    return proxies * connections_per_proxy(model)


def returning_per_proxy(model: Model, lost: Figure) -> Figure:
    """Computes the clients that reconnect to each proxy: clients of the lost proxies / remaining proxies."""
    return clients_of(model, lost) / (Figure(model.plan.target.proxies) - lost)


def returning_cores(model: Model, lost: Figure) -> Figure:
    """Computes the cores for setups of returning clients: clients per proxy / return time x setup time."""
    connections = connections_per_process(model)
    if connections is None:
        return Figure(None)
    setup_rate = returning_per_proxy(model, lost) / assumed(model.plan.assumed.return_window)
    return setup_rate * model.at("core_setup_cpu", connections)


def allowed_cores(model: Model) -> Figure:
    """Computes processes per proxy x the share of a core that each may use."""
    return processes_per_proxy(model) * assumed(model.plan.assumed.process_share)
