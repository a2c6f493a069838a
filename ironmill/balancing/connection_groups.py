"""Groups of connections that share work on a server."""

from __future__ import annotations

_MASK_64_BITS = 0xFFFFFFFFFFFFFFFF


def preference(group: int, server_id: int) -> int:
    """Returns a group's score for a server, as in rendezvous hashing: the highest score is preferred.

    The score is the same on every proxy, and independent of the scores of other groups.
    """
    value = ((group & _MASK_64_BITS) ^ (server_id * 0x9E3779B97F4A7C15)) & _MASK_64_BITS
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64_BITS
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK_64_BITS
    return value ^ (value >> 31)


class GroupConnections:
    """The number of this proxy's established connections, by group and server."""

    def __init__(self) -> None:
        """Creates counters for no connections."""
        self.by_group: dict[int, dict[int, int]] = {}

    def counts(self, group: int) -> dict[int, int]:
        """Returns the number of a group's connections by server. The caller must not modify the result."""
        return self.by_group.get(group, {})

    def change(self, group: int, server_id: int, difference: int) -> None:
        """Adds ``difference`` to the number of a group's connections on a server."""
        counts = self.by_group.setdefault(group, {})
        counts[server_id] = counts.get(server_id, 0) + difference
        if counts[server_id] <= 0:
            del counts[server_id]
        if not counts:
            del self.by_group[group]
