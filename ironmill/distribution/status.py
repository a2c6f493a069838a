"""Status of a node as reported by the admin API. Fields declare a JSON key that differs from their name."""

from __future__ import annotations

from typing import TypedDict

from msgspec import Struct, field

from ironmill.distribution.fleet_summary import fully_applied_position
from ironmill.distribution.link import Link
from ironmill.distribution.messages import FleetSummary, LaggingNode, ZoneSummary
from ironmill.distribution.revision import Position
from ironmill.distribution.subscriber import Subscriber


class RejectionStatus(Struct, frozen=True):
    """The reason why the latest received revision is not applied."""

    key: str
    reason: str


class SubscriberStatus(Struct, frozen=True):
    """Status of a proxy, or of a relay as a subscriber. Positions have the form EPOCH.NUMBER."""

    name: str
    role: str
    lineage: int
    term: int
    received_position: str = field(name="held")
    applied_position: str = field(name="in_force")
    is_stale: bool = field(name="stale")
    origin_age_s: float | None = field(name="age_s")
    parent: str
    is_catching_up: bool = field(name="catching_up")
    entries: int
    rejection: RejectionStatus | None = field(name="refused")
    dropped: dict[str, int]
    sent_bytes: int


class ZoneStatus(Struct, frozen=True):
    """Counts and lowest position of the proxies in one zone."""

    zone: str
    proxies: int
    lowest_position: str = field(name="lowest")
    rejecting: int = field(name="refused")
    unreachable: int
    stale: int


class LaggingNodeStatus(Struct, frozen=True):
    """A node that has not applied the latest position."""

    name: str
    zone: str
    applied_position: str = field(name="in_force")
    state: str = field(name="why")
    key: str
    reason: str


class RelayStatus(SubscriberStatus, frozen=True):
    """Status of a relay as a subscriber, and of the nodes below it."""

    is_fully_applied: bool = field(name="everywhere")
    lowest_position: str | None = field(name="lowest")
    converged: bool = field(name="settled")
    zones: list[ZoneStatus]
    lagging_nodes: list[LaggingNodeStatus] = field(name="laggards")
    omitted_lagging_nodes: int = field(name="more_laggards")


class OriginStatus(Struct, frozen=True):
    """Status of the origin as the writer of revisions, and of the whole fleet."""

    name: str
    role: str
    lineage: int
    term: int
    received_position: str = field(name="held")
    applied_position: str = field(name="in_force")
    is_stale: bool = field(name="stale")
    origin_age_s: float = field(name="age_s")
    parent: str
    entries: int
    is_superseded: bool = field(name="superseded")
    dropped: dict[str, int]
    sent_bytes: int
    fleet_ahead_position: str | None = field(name="ahead")
    fully_applied_position: str = field(name="confirmed")
    is_fully_applied: bool = field(name="everywhere")
    lowest_position: str | None = field(name="lowest")
    converged: bool = field(name="settled")
    zones: list[ZoneStatus]
    lagging_nodes: list[LaggingNodeStatus] = field(name="laggards")
    omitted_lagging_nodes: int = field(name="more_laggards")


class ConfigurationHealth(Struct, frozen=True):
    """State of the distributed configuration as reported by a proxy's health check."""

    applied_position: str = field(name="in_force")
    is_stale: bool = field(name="stale")
    origin_age_s: float | None = field(name="age_s")
    rejection: RejectionStatus | None = field(name="refused")
    is_catching_up: bool = field(name="catching_up")

    @classmethod
    def of(cls, status: SubscriberStatus) -> ConfigurationHealth:
        """Returns the fields of a status that a health check reports."""
        return cls(
            status.applied_position,
            status.is_stale,
            status.origin_age_s,
            status.rejection,
            status.is_catching_up,
        )


def subscriber_status(link: Link, role: str, subscriber: Subscriber) -> SubscriberStatus:
    """Returns the status of a subscriber."""
    replica, parent = subscriber.replica, subscriber.parent
    rejection = replica.rejection
    return SubscriberStatus(
        name=link.identity.name,
        role=role,
        lineage=replica.lineage,
        term=subscriber.term,
        received_position=str(replica.received_position),
        applied_position=str(replica.applied_position),
        is_stale=subscriber.freshness.is_stale,
        origin_age_s=subscriber.freshness.age_s,
        parent="" if parent is None else parent.endpoint.name,
        is_catching_up=subscriber.is_catching_up,
        entries=replica.keyspace.count,
        rejection=None if rejection is None else RejectionStatus(rejection.key, rejection.reason),
        dropped=dict(link.dropped),
        sent_bytes=link.sent_bytes,
    )


class FleetFields(TypedDict):
    """The fields that the status of a relay and that of the origin have in common."""

    is_fully_applied: bool
    lowest_position: str | None
    converged: bool
    zones: list[ZoneStatus]
    lagging_nodes: list[LaggingNodeStatus]
    omitted_lagging_nodes: int


def fleet_fields(summary: FleetSummary, latest: Position | None = None) -> FleetFields:
    """Returns the status of the nodes in a summary. Relays do not know ``latest``; for them it is None."""
    lowest = [zone.lowest_position for zone in summary.zones if zone.proxies > zone.rejecting]
    return {
        "is_fully_applied": latest is not None and fully_applied_position(summary, latest) == latest,
        "lowest_position": str(min(lowest)) if lowest else None,
        "converged": summary.converged,
        "zones": [_zone_status(zone, latest) for zone in sorted(summary.zones, key=lambda zone: zone.zone)],
        "lagging_nodes": [_lagging_node_status(node) for node in summary.lagging_nodes],
        "omitted_lagging_nodes": summary.omitted,
    }


def _zone_status(zone: ZoneSummary, latest: Position | None) -> ZoneStatus:
    lowest = zone.lowest_position if latest is None else min(zone.lowest_position, latest)
    return ZoneStatus(
        zone=zone.zone,
        proxies=zone.proxies,
        lowest_position=str(lowest),
        rejecting=zone.rejecting,
        unreachable=zone.unreachable,
        stale=zone.stale,
    )


def _lagging_node_status(node: LaggingNode) -> LaggingNodeStatus:
    return LaggingNodeStatus(
        name=node.name,
        zone=node.zone,
        applied_position=str(node.applied_position),
        state=node.state,
        key=node.key,
        reason=node.reason,
    )
