"""The origin's records of children that a relay cannot reach, for the case that the relay restarts.

A relay knows its children only as long as it runs. Without these records, a proxy that is unreachable while
its relay restarts would no longer be reported.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct

from ironmill.distribution.messages import UnreachableChild
from ironmill.distribution.timing import MAX_FIND_CHILD_INTERVAL_S, MIN_FIND_CHILD_INTERVAL_S

MAX_RECORDS = 4096
# A relay that still searches for a child repeats its report within this time, even if one request is lost.
REPORT_TIMEOUT_S = 2.5 * MAX_FIND_CHILD_INTERVAL_S


class _Record(Struct):
    """An unreachable child that a relay has reported."""

    child: UnreachableChild
    relay: str
    relay_incarnation: int
    reported_at: float
    orphaned_at: float | None = None  # when the relay was found to have restarted; None before
    search_at: float = 0.0
    search_interval: float = MIN_FIND_CHILD_INTERVAL_S


class UnreachableChildren:
    """Records of the unreachable children of all relays, by name."""

    def __init__(self, forget_after_s: float) -> None:
        """Creates an empty set of records.

        A record is removed ``forget_after_s`` seconds after the relay was found to have restarted.
        """
        self._records: dict[str, _Record] = {}
        self._forget_after_s = forget_after_s

    def __len__(self) -> int:
        """Returns the number of recorded children."""
        return len(self._records)

    def record_report(
        self, relay: str, relay_incarnation: int, children: Sequence[UnreachableChild], now: float
    ) -> None:
        """Records that a relay is searching for these children."""
        for child in children:
            known = self._records.get(child.name)
            if known is not None and _version(known.child) > _version(child):
                continue
            if known is None and len(self._records) >= MAX_RECORDS:
                return
            self._records[child.name] = _Record(child, relay, relay_incarnation, now)

    def record_found(self, name: str, incarnation: int, attach_count: int) -> None:
        """Removes the record of a child that has a parent again."""
        record = self._records.get(name)
        if record is not None and (incarnation, attach_count) >= _version(record.child):
            del self._records[name]

    def due_searches(self, relay_incarnations: Mapping[str, int], now: float) -> list[UnreachableChild]:
        """Returns the orphaned children to search for now.

        ``relay_incarnations`` has the incarnation of each reachable relay, by name.
        """
        due = []
        for name, record in list(self._records.items()):
            if record.orphaned_at is None:
                incarnation = relay_incarnations.get(record.relay)
                if incarnation is None:
                    continue
                if incarnation <= record.relay_incarnation:
                    if now - record.reported_at > REPORT_TIMEOUT_S:
                        del self._records[name]  # the relay reaches the child again or knows its new parent
                    continue
                record.orphaned_at = now
                record.search_at = now
            if now - record.orphaned_at > self._forget_after_s:
                del self._records[name]
            elif now >= record.search_at:
                record.search_at = now + record.search_interval
                record.search_interval = min(MAX_FIND_CHILD_INTERVAL_S, 2.0 * record.search_interval)
                due.append(record.child)
        return due

    def orphaned(self) -> list[UnreachableChild]:
        """Returns the children that no relay reports any longer because their relay has restarted."""
        return [record.child for record in self._records.values() if record.orphaned_at is not None]


def _version(child: UnreachableChild) -> tuple[int, int]:
    return child.incarnation, child.attach_count
