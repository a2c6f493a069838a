"""The plan from which the page is computed: target fleet, today's fleet, and assumptions."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

PLAN = Path(__file__).parents[2] / "docs" / "capacity" / "plan.toml"


class Target(Struct, frozen=True, forbid_unknown_fields=True):
    """The target fleet, which the operators plan."""

    proxies: float
    connections: float
    shards: float
    largest_topic: float  # listeners
    deliveries_per_s: float
    delivery_ms: float
    delivery_share: float  # fraction of the deliveries that take at most delivery_ms
    regions: float
    zones: float
    changes_per_day: float
    in_force_s: float
    control_core_share: float  # fraction of one core, per proxy
    control_bytes: float  # memory per proxy
    control_bytes_per_s: float  # bandwidth per proxy
    control_machines: float
    failures_per_day: float
    restarts_per_day: float


class Today(Struct, frozen=True, forbid_unknown_fields=True):
    """Today's fleet, which is that of the operators' test, and limits that the program sets itself."""

    proxies: float
    servers: float
    max_detection_s: float
    call_interval_s: float
    max_call_pause_s: float
    min_call_pause_fraction: float  # fraction of max_call_pause_s
    health_checks_per_s: float
    observers: float  # per member
    ping_interval_s: float
    poll_interval_s: float
    catch_up_bytes_per_s: float
    serve_bytes_per_s: float
    delta_bytes: float
    process_bytes: float
    revision_changes: float


class Assumption(Struct, frozen=True, forbid_unknown_fields=True):
    """A figure that is neither specified by the operators nor measured, with its reason."""

    value: float
    unit: str
    why: str  # reason for the value, on one line


class Assumed(Struct, frozen=True, forbid_unknown_fields=True):
    """All assumptions, by name."""

    connections_today: Assumption
    largest_topic_today: Assumption
    servers: Assumption
    process_share: Assumption
    connection_lifetime: Assumption
    passes_per_line: Assumption
    shards_per_connection: Assumption
    rack: Assumption
    entry: Assumption
    change: Assumption
    discovery_entry: Assumption
    return_window: Assumption
    cut: Assumption
    between_regions: Assumption
    to_client: Assumption


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of ``docs/capacity/plan.toml``."""

    target: Target
    today: Today
    assumed: Assumed


def load(path: Path = PLAN) -> Plan:
    """Reads the plan. Raises ``msgspec.ValidationError`` if a field is unknown, missing or mistyped."""
    return msgspec.toml.decode(path.read_bytes(), type=Plan)
