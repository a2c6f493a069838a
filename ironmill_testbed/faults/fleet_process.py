"""One process of a simulated fleet, and the consumer of a simulated proxy."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from ironmill.distribution.interfaces import Consumer
from ironmill.distribution.node import Node
from ironmill.distribution.rejection import Rejection
from ironmill.membership.identity import Address

MAX_KERNEL_QUEUE = 2000  # datagrams that a kernel keeps for a process that does not run


class SimulatedConsumer:
    """Accepts all changes but values of keys with certain prefixes, and keeps nothing."""

    looked_up: tuple[str, ...] = ("shard/",)

    def __init__(self, rejected_prefixes: tuple[str, ...] = ()) -> None:
        """Rejects changes that set a key with one of these prefixes."""
        self.rejected_prefixes = rejected_prefixes

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """Rejects the first key with one of the prefixes."""
        for key, value in changes.items():
            if self.rejected_prefixes and value is not None and key.startswith(self.rejected_prefixes):
                return Rejection(key, "this proxy does not take it")
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Does nothing."""


_ACCEPTS_ALL = SimulatedConsumer()


class FleetProcess:
    """One process of the fleet, running or not."""

    def __init__(self, name: str, role: str, zone: str, region: str, address: Address) -> None:
        """``role`` is that of its node; it does not run yet."""
        self.name = name
        self.role = role
        self.zone = zone
        self.region = region
        self.address = address
        self.node: Node | None = None  # None while it does not exist
        self.starts = 0
        self.paused_until = 0.0
        self.kernel_queue: deque[tuple[bytes, Address]] = deque(maxlen=MAX_KERNEL_QUEUE)
        self.received_bytes = 0
        self.consumer: Consumer = _ACCEPTS_ALL
