"""The table of a full catch-up, which a proxy does that starts without configuration."""

from __future__ import annotations

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.figure import Figure, number, quantity, table
from ironmill_testbed.capacity.formulas import Model


def full_catch_up(model: Model) -> str:
    """Formats bytes, time, processor time and memory of a full catch-up."""
    target = model.plan.target
    budget = quantity(Figure(target.control_bytes_per_s), "B/s", signed=False)
    rate = quantity(Figure(model.plan.today.catch_up_bytes_per_s), "B/s")
    all_at_once = formulas.concurrent_catch_up_time(model, Figure(target.proxies))
    page = model.at("catch_up_page_cpu", target.shards)
    memory = model.at("keyspace_memory", target.shards)
    applied = formulas.full_list_time(model, target.shards)
    basis = "`catch_up_bytes`" if model.fit("catch_up_bytes") else "the plan"
    in_budget = quantity(formulas.full_catch_up_time_in_budget(model), "s")
    rows = [
        ["read from a relay", quantity(formulas.full_catch_up_bytes(model), "B"), basis],
        [f"time, at {rate}", quantity(formulas.full_catch_up_time(model), "s"), basis],
        [f"time, within {budget}", in_budget, basis],
        ["time, if all proxies start at once", quantity(all_at_once, "s"), basis],
        [
            "processor time of the proxy",
            quantity(formulas.full_catch_up_cpu(model), "s"),
            "`keyspace_put_cpu`",
        ],
        ["processor time of the relay, per page", quantity(page, "s"), "`catch_up_page_cpu`"],
        ["memory of the keyspace", quantity(memory, "B"), "`keyspace_memory`"],
        ["bytes of the full endpoint list", quantity(formulas.full_list_bytes(model), "B"), "the plan"],
        [
            "time to parse and apply that list",
            quantity(applied, "s"),
            "`table_parse_cpu`, `table_full_cpu`",
        ],
    ]
    return table([f"{number(target.shards)} entries", "", "based on"], rows)
