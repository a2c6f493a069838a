"""The status of distribution that the admin API reports, and its rendering as text.

``NodeStatus`` names its attributes in the terms of the source and maps the names of the admin API to them.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from msgspec import Struct, field

from ironmill.administration.configuration_api import read_position
from ironmill.distribution.revision import Position
from ironmill.distribution.status import LaggingNodeStatus, ZoneStatus

MAX_NAMED_NODES = 50  # lagging nodes that the output of a command names


class NodeStatus(Struct, kw_only=True):
    """The fields that the statuses of all roles share; a parent also reports the nodes below it."""

    name: str
    role: str
    received_position: str = field(name="held")
    applied_position: str = field(name="in_force")
    is_stale: bool = field(name="stale")
    entries: int
    origin_age_s: float | None = field(name="age_s", default=None)
    parent: str = ""
    is_fully_applied: bool = field(name="everywhere", default=False)
    converged: bool = field(name="settled", default=True)
    lowest_position: str | None = field(name="lowest", default=None)  # None if no proxy is known
    zones: Sequence[ZoneStatus] = ()
    lagging_nodes: Sequence[LaggingNodeStatus] = field(name="laggards", default=())
    omitted_lagging_nodes: int = field(name="more_laggards", default=0)
    dropped: dict[str, int] = {}

    @classmethod
    def from_json(cls, content: dict[str, Any]) -> NodeStatus:
        """Returns the status in the JSON of a response. Raises ``msgspec.ValidationError``."""
        return msgspec.convert(content, cls)

    def is_applied_everywhere(self, position: Position) -> bool:
        """Returns whether every proxy below this node has applied the position, or a later one.

        Raises ``ValueError`` if a position in the status is malformed.
        """
        if self.is_fully_applied and read_position(self.received_position) >= position:
            return True
        if not self.zones or not self.converged:
            return False
        if any(zone.rejecting or zone.unreachable for zone in self.zones):
            return False
        # The counts by zone do not include unreachable relays, and the state of the proxies below such a
        # relay is unknown.
        if any(node.state != "behind" for node in self.lagging_nodes):
            return False
        return all(read_position(zone.lowest_position) >= position for zone in self.zones)


def status_table(status: NodeStatus) -> Iterator[str]:
    """Yields the status as lines of text."""
    contact = (
        ""
        if status.origin_age_s is None
        else f", last contact with the origin {status.origin_age_s:.1f}s ago"
    )
    yield (
        f"{status.name} is {status.role}, holds {status.received_position}, "
        f"in force {status.applied_position}{', STALE' if status.is_stale else ''}{contact}, "
        f"{status.entries} keys"
    )
    if status.parent:
        yield f"parent: {status.parent}"
    if status.zones:
        scope = "in force everywhere" if status.is_fully_applied else "not in force everywhere"
        yield f"{status.received_position} is {scope}; the lowest is {status.lowest_position}"
        yield from _zone_table(status.zones)
    yield from lagging_lines(status)
    if status.dropped:
        yield "dropped: " + ", ".join(f"{count} {reason}" for reason, count in sorted(status.dropped.items()))


def _zone_table(zones: Sequence[ZoneStatus]) -> Iterator[str]:
    rows = [["ZONE", "PROXIES", "LOWEST", "REFUSED", "UNREACHABLE"]]
    rows += [
        [zone.zone, str(zone.proxies), zone.lowest_position, str(zone.rejecting), str(zone.unreachable)]
        for zone in zones
    ]
    widths = [max(len(text) for text in column) for column in zip(*rows, strict=True)]
    for row in rows:
        yield "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip()


def lagging_lines(status: NodeStatus) -> Iterator[str]:
    """Yields a line for each of the first ``MAX_NAMED_NODES`` lagging nodes, and the number of the others."""
    for node in status.lagging_nodes[:MAX_NAMED_NODES]:
        reason = ": ".join(printable(text) for text in (node.key, node.reason) if text)
        suffix = f": {reason}" if reason else ""
        yield f"{node.name} in zone {node.zone}: {node.state}, in force {node.applied_position}{suffix}"
    unnamed = max(0, len(status.lagging_nodes) - MAX_NAMED_NODES)
    if more := status.omitted_lagging_nodes + unnamed:
        yield f"and {more} more"


def printable(text: str) -> str:
    """Returns the text with non-printable characters escaped, since they could control the terminal."""
    return text if text.isprintable() else ascii(text)[1:-1]
