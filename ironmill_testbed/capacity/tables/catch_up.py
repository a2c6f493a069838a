"""The table of costs of a full catch-up, which a proxy performs if it starts without configuration."""

from __future__ import annotations

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.figure import Figure, number, quantity, table
from ironmill_testbed.capacity.formulas import Model


def full_catch_up(model: Model) -> str:
    """Formats bytes, time, processor time and memory of a full catch-up."""
    target = model.plan.target
    control_budget = quantity(Figure(target.control_bytes_per_s), "B/s", signed=False)
    catch_up_rate = quantity(Figure(model.plan.today.catch_up_bytes_per_s), "B/s")
    concurrent_time = formulas.concurrent_catch_up_time(model, Figure(target.proxies))
    page_cpu = model.at("catch_up_page_cpu", target.shards)
    keyspace_memory = model.at("keyspace_memory", target.shards)
    list_time = formulas.full_list_time(model, target.shards)
    basis = "`catch_up_bytes`" if model.fit("catch_up_bytes") else "the plan"
    time_in_budget = quantity(formulas.full_catch_up_time_in_budget(model), "s")
    rows = [
        ["read from a relay", quantity(formulas.full_catch_up_bytes(model), "B"), basis],
        [f"time, at {catch_up_rate}", quantity(formulas.full_catch_up_time(model), "s"), basis],
        [f"time, within {control_budget}", time_in_budget, basis],
        ["time, if all proxies start at once", quantity(concurrent_time, "s"), basis],
        [
            "processor time of the proxy",
            quantity(formulas.full_catch_up_cpu(model), "s"),
            "`keyspace_put_cpu`",
        ],
        ["processor time of the relay, per page", quantity(page_cpu, "s"), "`catch_up_page_cpu`"],
        ["memory of the keyspace", quantity(keyspace_memory, "B"), "`keyspace_memory`"],
        ["bytes of the full endpoint list", quantity(formulas.full_list_bytes(model), "B"), "the plan"],
        [
            "time to parse and apply that list",
            quantity(list_time, "s"),
            "`table_parse_cpu`, `table_full_cpu`",
        ],
    ]
    return table([f"{number(target.shards)} entries", "", "based on"], rows)
