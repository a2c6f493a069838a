"""One process of a simulated fleet, and the consumer of a simulated proxy."""

from __future__ import annotations

from collections.abc import Mapping

from ironmill.distribution.interfaces import Consumer
from ironmill.distribution.node import Node
from ironmill.distribution.rejection import Rejection
from ironmill.membership.identity import Address
from ironmill_testbed.faults.simulated_network import NetworkProcess


class SimulatedConsumer:
    """Accepts all changes but values of keys with certain prefixes, and keeps nothing."""

    lookup_prefixes: tuple[str, ...] = ("shard/",)

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


class FleetProcess(NetworkProcess):
    """One process of the fleet, running or not."""

    def __init__(self, name: str, role: str, zone: str, region: str, address: Address) -> None:
        """``role`` is that of its node; it does not run yet."""
        super().__init__(name, zone, address)
        self.role = role
        self.region = region
        self.node: Node | None = None  # None while it does not exist
        self.consumer: Consumer = _ACCEPTS_ALL

    def state_machine(self) -> Node | None:
        """Returns the node."""
        return self.node
