"""Costs of a proxy's connections, deliveries and placements."""

from __future__ import annotations

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.formulas import Model
from ironmill_testbed.capacity.roles.cost import (
    CORE,
    LOAD_SWEEPS,
    ONE_TO_ONE,
    PROCESSES,
    TABLE,
    RoleCost,
    gap_of,
)


def data_path(model: Model) -> list[RoleCost]:
    """Returns the costs of a proxy's clients and servers."""
    return [
        *_state(model),
        *_messages(model),
        *_processor_time(model),
        *_placements(model),
        RoleCost(
            "memory, all its processes",
            formulas.data_path_memory(model),
            "B",
            PROCESSES,
            sweeps=("core_memory",),
        ),
    ]


def _state(model: Model) -> list[RoleCost]:
    return [
        RoleCost("state: connections", formulas.connections_per_proxy(model), "", PROCESSES),
        RoleCost(
            "state: maximum connections of one process",
            formulas.max_connections_per_process(model),
            mechanism=CORE,
            sweeps=LOAD_SWEEPS,
        ),
        RoleCost(
            "processes per proxy",
            formulas.processes_with_error(model),
            mechanism=PROCESSES,
            sweeps=LOAD_SWEEPS,
        ),
    ]


def _messages(model: Model) -> list[RoleCost]:
    return [
        RoleCost("messages out: deliveries", formulas.deliveries_per_proxy(model), "/s", ONE_TO_ONE),
        RoleCost("messages in: connection setups", formulas.setups_per_proxy(model), "/s", CORE),
    ]


def _processor_time(model: Model) -> list[RoleCost]:
    connections = formulas.connections_per_proxy(model).value or 0.0
    gap = gap_of(model, "core_setup_cpu")
    return [
        RoleCost(
            "processor time, if one process did all of it",
            formulas.process_load(model, connections),
            "cores",
            CORE,
            formulas.assumed(model.plan.assumed.process_share),
            LOAD_SWEEPS,
            gap.factor,
            gap.required,
        ),
        RoleCost(
            "processor time, all its processes",
            formulas.data_path_cores(model),
            "cores",
            PROCESSES,
            formulas.allowed_cores(model),
            LOAD_SWEEPS,
        ),
    ]


def _placements(model: Model) -> list[RoleCost]:
    shards, allowed_cores = model.plan.target.shards, formulas.allowed_cores(model)
    known_group_gap, new_group_gap = gap_of(model, "placement_cpu"), gap_of(model, "placement_group_cpu")
    return [
        RoleCost(
            "processor time, placements among all shards in one list",
            formulas.placement_cores(model, shards),
            "cores",
            TABLE,
            allowed_cores,
            (known_group_gap.sweep,),
            known_group_gap.factor,
            known_group_gap.required,
        ),
        RoleCost(
            "the same, of groups that are new to the proxy",
            formulas.placement_cores(model, shards, new_groups=True),
            "cores",
            TABLE,
            allowed_cores,
            (new_group_gap.sweep,),
            new_group_gap.factor,
            new_group_gap.required,
        ),
    ]
