"""Links of a simulated fleet: delays by distance, and faults between groups of processes."""

from __future__ import annotations

import random
from collections.abc import Sequence

from ironmill_testbed.faults.schedule import Fault, Links

# Shortest and longest delay of a datagram, in seconds.
ZONE_DELAY_S = (0.0002, 0.001)
REGION_DELAY_S = (0.001, 0.003)
REMOTE_DELAY_S = (0.020, 0.080)  # between regions: each pair of regions has its own delay, with jitter
JITTER_FRACTION = 0.1


class FleetLinks(Links):
    """Links with delays that depend on distance, and with faults between groups of processes."""

    def __init__(self, faults: Sequence[Fault], seed: int) -> None:
        """Creates links without processes. ``seed`` determines all random values."""
        super().__init__(list(faults), seed)
        self._delay_rng = random.Random(seed * 7919 + 1)
        self._locations: dict[str, tuple[str, str]] = {}  # zone and region, by name
        self._labels: dict[str, frozenset[str]] = {}
        self._remote_delays: dict[tuple[str, str], float] = {}  # by pair of regions

    def place(self, name: str, zone: str, region: str, groups: Sequence[str]) -> None:
        """Sets the zone and region of a process, and the groups that it belongs to."""
        self._locations[name] = zone, region
        self._labels[name] = frozenset((name, f"zone:{zone}", f"region:{region}", *groups))

    def labels(self, name: str) -> frozenset[str]:
        """Returns the groups of a process, among them its own name, its zone and its region."""
        return self._labels[name]

    def delay(self, source: str, target: str) -> float:
        """Returns a random delay for a datagram, in seconds."""
        (zone, region), (other_zone, other_region) = self._locations[source], self._locations[target]
        if zone == other_zone:
            shortest, longest = ZONE_DELAY_S
        elif region == other_region:
            shortest, longest = REGION_DELAY_S
        else:
            shortest = self._remote_delay(region, other_region)
            longest = shortest * (1.0 + JITTER_FRACTION)
        return shortest + (longest - shortest) * self._delay_rng.random()

    def _remote_delay(self, region: str, other: str) -> float:
        pair = (region, other) if region < other else (other, region)
        delay = self._remote_delays.get(pair)
        if delay is None:
            shortest, longest = REMOTE_DELAY_S
            delay = shortest + (longest - shortest) * self._delay_rng.random()
            self._remote_delays[pair] = delay
        return delay

    def is_active(self, fault: Fault, now: float, source: str, target: str) -> bool:
        """Returns True if a fault affects a datagram now. The fault's sources and targets may be groups."""
        return (
            fault.start <= now < fault.end
            and (not fault.sources or not self._labels[source].isdisjoint(fault.sources))
            and (not fault.targets or not self._labels[target].isdisjoint(fault.targets))
        )
