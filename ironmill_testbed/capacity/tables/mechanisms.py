"""The table of deliveries, and tables of mechanisms in the order in which a growing fleet exceeds them."""

from __future__ import annotations

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.figure import NOT_RUN, number, plain_number, quantity, table
from ironmill_testbed.capacity.formulas import Gap, Model


def deliveries(model: Model) -> str:
    """Formats the time that a delivery takes at each hop."""
    single, shared = formulas.delivery_time(model)
    rows = [[hop.name, quantity(hop.single, "s"), quantity(hop.shared, "s")] for hop in formulas.hops(model)]
    limit = f"{number(model.plan.target.delivery_ms)} ms"
    rows.append([f"**sum**, of {limit}", quantity(single, "s"), quantity(shared, "s")])
    headings = ["hop", "one stream per listener (today)", "one stream per shard and proxy (not built)"]
    return table(headings, rows)


def mechanism_gaps(model: Model) -> str:
    """Formats all gaps, sorted by ascending factor."""
    headings = [
        "mechanism",
        "limitation",
        "at N times today's fleet",
        "required",
        "based on",
        "state",
    ]
    rows = [
        [
            gap.mechanism,
            gap.limitation,
            format_factor(gap),
            number(gap.required),
            f"`{gap.sweep}`" if gap.sweep else "the program",
            format_state(model, gap),
        ]
        for gap in formulas.gaps(model)
    ]
    return table(headings, rows)


def roadmap(model: Model) -> str:
    """Formats the first gap of each mechanism that does not reach the target size."""
    rows = [
        [gap.mechanism, gap.limitation, format_factor(gap), number(gap.required), format_state(model, gap)]
        for gap in formulas.first_gaps(model)
    ]
    headings = ["mechanism", "first limitation", "at N times today's fleet", "required", "state"]
    return table(headings, rows)


def format_factor(gap: Gap) -> str:
    """Formats the multiple of today's fleet at which the limit is reached."""
    if not gap.sweep:
        return f"{quantity(gap.factor)} (no mechanism)"
    if gap.factor.value == 0.0:
        return f"below {plain_number(formulas.MIN_MULTIPLE)} {gap.factor.sign.mark} (at any size)"
    return quantity(gap.factor)


def format_state(model: Model, gap: Gap) -> str:
    """Formats whether a mechanism suffices; for a missing one, how far the distribution in use reaches."""
    if gap.sweep:
        return _measured_state(gap)
    tightest_gap = formulas.current_distribution_gaps(model)[0]
    link = "now [distribution](distribution.md)"
    if tightest_gap.factor.value is None:
        return f"{link}: {NOT_RUN}, or in part"
    return (
        f"{link}: to {format_factor(tightest_gap)}, {number(tightest_gap.required)} required,"
        f" by {tightest_gap.limitation}"
    )


def _measured_state(gap: Gap) -> str:
    if gap.is_covered:
        return "sufficient"
    return NOT_RUN if gap.factor.value is None else "insufficient"


def format_delivery_share(model: Model) -> str:
    """Formats the target's percentile of deliveries as a count out of a hundred."""
    return f"{number(model.plan.target.delivery_share * 100.0)} in {number(100.0)}"
