"""Aggregates the reports of children into counts by zone and a list of lagging nodes."""

from __future__ import annotations

from collections.abc import Iterable

from ironmill.distribution.children import Child
from ironmill.distribution.messages import (
    BEHIND,
    MAX_ZONES,
    REJECTING,
    UNREACHABLE,
    FleetSummary,
    LaggingNode,
    ZoneSummary,
)
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.revision import NUMBER_LIMIT, Position
from ironmill.distribution.timing import LAGGING_DELAY_S

# Lowest position of a zone without a reachable proxy that rejects nothing.
NO_LOWEST_POSITION = Position(NUMBER_LIMIT - 1, NUMBER_LIMIT - 1)
NODE_OVERHEAD_BYTES = 40  # encoded lagging node in a poll, without its texts
OTHER_ZONES = ""  # name of the zone into which others are merged for lack of space

_STATES_BY_SEVERITY = (REJECTING, UNREACHABLE, BEHIND)


class SummaryBuilder:
    """Builds one summary from the reports of children."""

    def __init__(self, latest: Position, now: float, *, converged: bool) -> None:
        """Creates an empty builder.

        ``latest`` is the position that children should have; ``converged`` is True if this parent itself
        has run long enough for its children to find it.
        """
        self._latest = latest
        self._now = now
        self._converged = converged
        self._zones: dict[str, ZoneSummary] = {}
        self._lagging: list[LaggingNode] = []
        self._omitted = 0

    def add(self, child: Child) -> None:
        """Adds a proxy, or a relay with all nodes below it."""
        if child.summary is None:
            self._add_proxy(child)
        else:
            self._add_relay(child, child.summary)

    def _add_relay(self, relay: Child, summary: FleetSummary) -> None:
        self._converged = self._converged and relay.is_reachable and summary.converged
        if not relay.is_reachable:
            # By now the proxies below it are counted by other relays, or are unreachable like the relay.
            self._lagging.append(_lagging_node(relay))
            return
        self._omitted += summary.omitted
        self._lagging += summary.lagging_nodes
        for zone in summary.zones:
            add_zone(self._zones, zone)

    def _add_proxy(self, proxy: Child) -> None:
        is_rejecting = proxy.is_reachable and proxy.rejection is not None
        is_healthy = proxy.is_reachable and not is_rejecting
        zone = ZoneSummary(
            zone=proxy.zone,
            proxies=int(proxy.is_reachable),
            lowest_position=proxy.applied_position if is_healthy else NO_LOWEST_POSITION,
            rejecting=int(is_rejecting),
            unreachable=int(not proxy.is_reachable),
            stale=int(proxy.is_reachable and proxy.is_stale),
        )
        add_zone(self._zones, zone)
        is_late = proxy.applied_position < self._latest and self._now - proxy.up_to_date_at > LAGGING_DELAY_S
        if not is_healthy or is_late:
            self._lagging.append(_lagging_node(proxy))

    def build(self, max_lagging_bytes: int) -> FleetSummary:
        """Returns the summary, with as many lagging nodes as fit, the most severe first."""
        self._lagging.sort(key=_severity)
        listed: list[LaggingNode] = []
        size = 0
        for node in self._lagging:
            size += _encoded_size(node)
            if size > max_lagging_bytes:
                break
            listed.append(node)
        omitted = self._omitted + len(self._lagging) - len(listed)
        return FleetSummary(self._converged, _limit_zones(self._zones.values()), listed, omitted)


def add_zone(zones: dict[str, ZoneSummary], added: ZoneSummary) -> None:
    """Adds the counts of a zone to those of the same zone in ``zones``."""
    known = zones.get(added.zone)
    if known is not None:
        added = ZoneSummary(
            zone=added.zone,
            proxies=known.proxies + added.proxies,
            lowest_position=min(known.lowest_position, added.lowest_position),
            rejecting=known.rejecting + added.rejecting,
            unreachable=known.unreachable + added.unreachable,
            stale=known.stale + added.stale,
        )
    zones[added.zone] = added


def fully_applied_position(summary: FleetSummary, latest: Position) -> Position | None:
    """Returns the position that every proxy has applied.

    Returns None if a proxy is unreachable, rejects a revision, or may not be known yet.
    """
    if not summary.converged or not summary.zones:
        return None
    if any(zone.rejecting or zone.unreachable for zone in summary.zones):
        return None
    return min(min(zone.lowest_position for zone in summary.zones), latest)


def _limit_zones(zones: Iterable[ZoneSummary]) -> list[ZoneSummary]:
    """Returns the zones, the lowest position first; those beyond ``MAX_ZONES`` are merged into one."""
    limited = sorted(zones, key=lambda zone: zone.lowest_position)
    while len(limited) > MAX_ZONES:
        last = limited.pop()
        merged = {OTHER_ZONES: _as_other_zones(limited.pop())}
        add_zone(merged, _as_other_zones(last))
        limited.append(merged[OTHER_ZONES])
    return limited


def _as_other_zones(zone: ZoneSummary) -> ZoneSummary:
    return ZoneSummary(
        OTHER_ZONES, zone.proxies, zone.lowest_position, zone.rejecting, zone.unreachable, zone.stale
    )


def _severity(node: LaggingNode) -> tuple[int, Position]:
    known = node.state in _STATES_BY_SEVERITY
    severity = _STATES_BY_SEVERITY.index(node.state) if known else len(_STATES_BY_SEVERITY)
    return severity, node.applied_position


def _encoded_size(node: LaggingNode) -> int:
    text_bytes = len(node.name) + len(node.zone) + len(node.key.encode()) + len(node.reason.encode())
    return NODE_OVERHEAD_BYTES + text_bytes


def _lagging_node(child: Child) -> LaggingNode:
    rejection = child.rejection or Rejection("", "")
    if child.summary is not None:
        proxies_below = sum(zone.proxies for zone in child.summary.zones)
        rejection = Rejection("", f"a relay; {proxies_below} proxies were behind it")
    return LaggingNode(
        child.name, child.zone, child.applied_position, _state(child), rejection.key, rejection.reason
    )


def _state(child: Child) -> str:
    if not child.is_reachable:
        return UNREACHABLE
    return BEHIND if child.rejection is None else REJECTING
