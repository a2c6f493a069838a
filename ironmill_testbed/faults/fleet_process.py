"""A process of a simulated fleet, and the consumer of a simulated proxy."""

from __future__ import annotations

from collections.abc import Mapping

from ironmill.distribution.interfaces import Consumer
from ironmill.distribution.node import Node
from ironmill.distribution.rejection import Rejection
from ironmill.membership.identity import Address
from ironmill_testbed.faults.simulated_network import NetworkProcess


class SimulatedConsumer:
    """A consumer that rejects values for keys with certain prefixes, accepts all else and stores nothing."""

    lookup_prefixes: tuple[str, ...] = ("shard/",)

    def __init__(self, rejected_prefixes: tuple[str, ...] = ()) -> None:
        """Creates a consumer that rejects changes that set a key with one of these prefixes."""
        self.rejected_prefixes = rejected_prefixes

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        """Returns a rejection of the first key that is set and has one of the prefixes, otherwise None."""
        for key, value in changes.items():
            if self.rejected_prefixes and value is not None and key.startswith(self.rejected_prefixes):
                return Rejection(key, "this proxy does not take it")
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Ignores the changes."""


_ACCEPTS_ALL = SimulatedConsumer()


class FleetProcess(NetworkProcess):
    """A process of the fleet, which may or may not be running."""

    def __init__(self, name: str, role: str, zone: str, region: str, address: Address) -> None:
        """Creates a process without a node. ``role`` is the role of the node that it runs later."""
        super().__init__(name, zone, address)
        self.role = role
        self.region = region
        self.node: Node | None = None  # None while the process does not run
        self.consumer: Consumer = _ACCEPTS_ALL

    def state_machine(self) -> Node | None:
        """Returns the node, or None while the process does not run."""
        return self.node
