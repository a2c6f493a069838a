"""Status of distribution as the admin API reports it, and its rendering as text.

The JSON names of the admin API are mapped to the terms of the project here.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from msgspec import Struct, field

from ironmill.administration.configuration_api import read_position
from ironmill.distribution.revision import Position

MAX_NAMED_NODES = 50  # lagging nodes that are named in a text


class ZoneStatus(Struct):
    """What the proxies of one zone have applied."""

    zone: str
    proxies: int
    lowest: str  # position
    refused: int
    unreachable: int


class LaggingNodeStatus(Struct):
    """A node that has not applied the latest revision, and why."""

    name: str
    zone: str
    applied_position: str = field(name="in_force")
    why: str
    key: str
    reason: str


class NodeStatus(Struct, kw_only=True):
    """Status of one node of distribution; of a parent, also that of the nodes below it."""

    name: str
    role: str
    received_position: str = field(name="held")
    applied_position: str = field(name="in_force")
    stale: bool
    entries: int
    age_s: float | None = None
    parent: str = ""
    fully_applied: bool = field(name="everywhere", default=False)
    converged: bool = field(name="settled", default=True)
    lowest: str | None = None  # position; None where no proxy is known
    zones: Sequence[ZoneStatus] = ()
    lagging_nodes: Sequence[LaggingNodeStatus] = field(name="laggards", default=())
    more_lagging_nodes: int = field(name="more_laggards", default=0)
    dropped: dict[str, int] = {}

    @classmethod
    def from_json(cls, content: dict[str, Any]) -> NodeStatus:
        """Returns the status of a response of the admin API. Raises ``msgspec.ValidationError``."""
        return msgspec.convert(content, cls)

    def is_applied_everywhere(self, position: Position) -> bool:
        """Returns True if every proxy below this node has applied the position, or a later one.

        Raises ``ValueError`` if a position in the status is malformed.
        """
        if self.fully_applied and read_position(self.received_position) >= position:
            return True
        if not self.zones or not self.converged:
            return False
        if any(zone.refused or zone.unreachable for zone in self.zones):
            return False
        # An unreachable relay is in no zone's count, and the state of the proxies behind it is unknown.
        if any(node.why != "behind" for node in self.lagging_nodes):
            return False
        return all(read_position(zone.lowest) >= position for zone in self.zones)


def status_table(status: NodeStatus) -> Iterator[str]:
    """Yields the status as lines of text."""
    heard = "" if status.age_s is None else f", heard of the origin {status.age_s:.1f}s ago"
    yield (
        f"{status.name} is {status.role}, holds {status.received_position}, "
        f"in force {status.applied_position}{', STALE' if status.stale else ''}{heard}, "
        f"{status.entries} keys"
    )
    if status.parent:
        yield f"parent: {status.parent}"
    if status.zones:
        everywhere = "everywhere" if status.fully_applied else "not everywhere"
        yield f"{status.received_position} is {everywhere} in force; the lowest is {status.lowest}"
        yield from _zone_table(status.zones)
    yield from lagging_lines(status)
    if status.dropped:
        yield "dropped: " + ", ".join(f"{count} {why}" for why, count in sorted(status.dropped.items()))


def _zone_table(zones: Sequence[ZoneStatus]) -> Iterator[str]:
    columns = ZoneStatus.__struct_fields__
    rows = [[name.upper() for name in columns]]
    rows += [[str(getattr(zone, name)) for name in columns] for zone in zones]
    widths = [max(len(row[at]) for row in rows) for at in range(len(columns))]
    for row in rows:
        yield "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip()


def lagging_lines(status: NodeStatus) -> Iterator[str]:
    """Yields a line for each lagging node, up to ``MAX_NAMED_NODES``, and the number of further ones."""
    for node in status.lagging_nodes[:MAX_NAMED_NODES]:
        reason = ": ".join(printable(text) for text in (node.key, node.reason) if text)
        suffix = f": {reason}" if reason else ""
        yield f"{node.name} in zone {node.zone}: {node.why}, in force {node.applied_position}{suffix}"
    unnamed = max(0, len(status.lagging_nodes) - MAX_NAMED_NODES)
    if more := status.more_lagging_nodes + unnamed:
        yield f"and {more} more"


def printable(text: str) -> str:
    """Returns the text with control characters escaped, which could change the terminal."""
    return text if text.isprintable() else ascii(text)[1:-1]
