"""Aggregates what children report: counts by zone, and the nodes that lag behind."""

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

NO_LOWEST_POSITION = Position(NUMBER_LIMIT - 1, NUMBER_LIMIT - 1)  # of a zone where no proxy counts
NODE_OVERHEAD_BYTES = 40  # of a lagging node in a poll, beside its texts
OTHER_ZONES = ""  # name of the zones that are merged for lack of space

_STATES_BY_SEVERITY = (REJECTING, UNREACHABLE, BEHIND)


class SummaryBuilder:
    """Collects the reports of children, and makes one summary of them."""

    def __init__(self, latest: Position, now: float, *, converged: bool) -> None:
        """``latest`` is the position that children should have; ``converged`` is about this parent alone."""
        self._latest = latest
        self._now = now
        self._converged = converged
        self._zones: dict[str, ZoneSummary] = {}
        self._lagging: list[LaggingNode] = []
        self._omitted = 0

    def add(self, child: Child) -> None:
        """Adds a proxy, or a relay with all that is below it."""
        if child.summary is None:
            self._add_proxy(child)
        else:
            self._add_relay(child, child.summary)

    def _add_relay(self, relay: Child, summary: FleetSummary) -> None:
        self._converged = self._converged and relay.is_reachable and summary.converged
        if not relay.is_reachable:
            # Its proxies are counted by other relays by now, or are unreachable together with it.
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
        """Returns the summary, with as many lagging nodes as fit, the worst first."""
        self._lagging.sort(key=_severity)
        listed: list[LaggingNode] = []
        size = 0
        for node in self._lagging:
            size += _encoded_size(node)
            if size > max_lagging_bytes:
                break
            listed.append(node)
        omitted = self._omitted + len(self._lagging) - len(listed)
        return FleetSummary(self._converged, _limited(self._zones.values()), listed, omitted)


def add_zone(zones: dict[str, ZoneSummary], added: ZoneSummary) -> None:
    """Adds counts to those of the same zone."""
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
    """Returns what every proxy has applied; None if one is unreachable, rejects, or may not be known yet."""
    if not summary.converged or not summary.zones:
        return None
    if any(zone.rejecting or zone.unreachable for zone in summary.zones):
        return None
    return min(min(zone.lowest_position for zone in summary.zones), latest)


def _limited(zones: Iterable[ZoneSummary]) -> list[ZoneSummary]:
    """Returns the zones, the lowest position first; those beyond ``MAX_ZONES`` are merged into one."""
    found = sorted(zones, key=lambda zone: zone.lowest_position)
    while len(found) > MAX_ZONES:
        last = found.pop()
        merged = {OTHER_ZONES: _renamed(found.pop())}
        add_zone(merged, _renamed(last))
        found.append(merged[OTHER_ZONES])
    return found


def _renamed(zone: ZoneSummary) -> ZoneSummary:
    return ZoneSummary(
        OTHER_ZONES, zone.proxies, zone.lowest_position, zone.rejecting, zone.unreachable, zone.stale
    )


def _severity(node: LaggingNode) -> tuple[int, Position]:
    known = node.state in _STATES_BY_SEVERITY
    severity = _STATES_BY_SEVERITY.index(node.state) if known else len(_STATES_BY_SEVERITY)
    return severity, node.applied_position


def _encoded_size(node: LaggingNode) -> int:
    texts = len(node.name) + len(node.zone) + len(node.key.encode()) + len(node.reason.encode())
    return NODE_OVERHEAD_BYTES + texts


def _lagging_node(child: Child) -> LaggingNode:
    rejection = child.rejection or Rejection("", "")
    if child.summary is not None:
        below = sum(zone.proxies for zone in child.summary.zones)
        rejection = Rejection("", f"a relay; {below} proxies were behind it")
    return LaggingNode(
        child.name, child.zone, child.applied_position, _state(child), rejection.key, rejection.reason
    )


def _state(child: Child) -> str:
    if not child.is_reachable:
        return UNREACHABLE
    return BEHIND if child.rejection is None else REJECTING
