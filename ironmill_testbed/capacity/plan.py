"""The figures that the page is worked out for: the letter's, today's fleet's, and what is assumed."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

PLAN = Path(__file__).parents[2] / "docs" / "capacity" / "plan.toml"


class Letter(Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' plan, in their words."""

    proxies: float
    connections: float
    shards: float
    largest_topic: float  # listeners
    deliveries_per_s: float
    delivery_ms: float
    delivery_share: float  # of the deliveries are within delivery_ms
    regions: float
    zones: float
    changes_per_day: float
    in_force_s: float
    control_core_share: float  # of a core, a proxy
    control_bytes: float  # of memory, a proxy
    control_bytes_per_s: float  # a proxy
    control_machines: float
    failures_per_day: float
    restarts_per_day: float


class Today(Struct, frozen=True, forbid_unknown_fields=True):
    """The fleet of the standing test, and what the program promises or keeps to now."""

    proxies: float
    servers: float
    gone_within_s: float
    call_spacing_s: float
    call_pause_most_s: float
    call_pause_least: float  # of the longest
    probes_per_s: float
    observers: float  # of a member
    ping_every_s: float
    poll_every_s: float
    catch_up_bytes_per_s: float
    serve_bytes_per_s: float
    delta_bytes: float
    process_bytes: float
    revision_changes: float


class Assumption(Struct, frozen=True, forbid_unknown_fields=True):
    """A figure that nobody gave and nobody measured."""

    value: float
    unit: str
    why: str  # one line


class Assumed(Struct, frozen=True, forbid_unknown_fields=True):
    """All of them."""

    connections_today: Assumption
    largest_topic_today: Assumption
    servers: Assumption
    process_share: Assumption
    connection_life: Assumption
    passes_a_line: Assumption
    shards_a_connection: Assumption
    rack: Assumption
    entry: Assumption
    change: Assumption
    discovery_entry: Assumption
    return_window: Assumption
    cut: Assumption
    between_regions: Assumption
    to_client: Assumption


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """``docs/capacity/plan.toml``."""

    letter: Letter
    today: Today
    assumed: Assumed


def load(path: Path = PLAN) -> Plan:
    """The committed plan; ``msgspec.ValidationError`` if it is not in form."""
    return msgspec.toml.decode(path.read_bytes(), type=Plan)
