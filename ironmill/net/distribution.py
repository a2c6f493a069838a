"""The driver of distribution, in a proxy and in a control machine: datagrams, the log, what staff see."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from ironmill.configuration.settings.model import DistributionSettings
from ironmill.distribution.node import Leaf, Node, Origin, Relay
from ironmill.distribution.timing import TICK, Timing
from ironmill.distribution.wire import Codec, Place
from ironmill.membership.identity import Address, MemberIdentity, format_address
from ironmill.net.datagrams import Datagrams
from ironmill.runtime.logs import EventLog
from ironmill.runtime.scheduler import Scheduler

if TYPE_CHECKING:  # what a role has no use for is not imported
    from ironmill.distribution.interfaces import ChangeCheck, Consumer, RevisionStore

# What an operator may want to look at, the rest is the course of things.
_LOUD = {"stale", "refused", "superseded", "fleet-ahead", "child-unreachable", "parent-lost"}

log = EventLog("ironmill.distribution")


class Distribution:
    """One process of the distribution, on its socket."""

    def __init__(
        self,
        scheduler: Scheduler,
        name: str,
        settings: DistributionSettings,
        keys: Sequence[bytes],
    ) -> None:
        """OSError where the address is not to be had. ``leaf``, ``relay`` or ``origin`` has to follow."""
        self.settings = settings
        self.codec = Codec(settings.cluster, keys)
        self.node: Node | None = None
        self._datagrams = Datagrams(scheduler, settings.listen)
        self._card = MemberIdentity(
            name, *settings.listen, settings.zone, settings.region, max(1, int(time.time() * 1000.0))
        )
        self._timing = Timing(settings.stale_after, settings.forget_after, settings.catch_up_rate)
        self._controls = [
            (Place(one.name, one.address, one.zone, one.region), one.origin) for one in settings.controls
        ]

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._datagrams.address

    def leaf(self, consumer: Consumer) -> Leaf:
        """Be a proxy's side: revisions are put into force by the consumer."""
        relays = [place for place, origin in self._controls if not origin]
        parents = relays or [place for place, _ in self._controls]
        node = Leaf(
            self._card,
            self.codec,
            self._timing,
            parents,
            consumer,
            random.Random(),
            time.monotonic(),
            self._told,
        )
        self.node = node
        return node

    def relay(self) -> Relay:
        """Be a relay."""
        name = self._card.name
        origins = [place for place, origin in self._controls if origin and place.name != name]
        peers = [place for place, _ in self._controls if place.name != name]
        node = Relay(
            self._card,
            self.codec,
            self._timing,
            origins,
            peers,
            random.Random(),
            time.monotonic(),
            self._told,
        )
        self.node = node
        return node

    def origin(self, store: RevisionStore, check: ChangeCheck) -> Origin:
        """Be the origin: the order of changes is the store's. StoreError where it cannot be read."""
        relays = [place for place, origin in self._controls if not origin and place.name != self._card.name]
        node = Origin(
            self._card,
            self.codec,
            self._timing,
            store,
            relays,
            check,
            random.Random(),
            time.monotonic(),
            self._told,
        )
        self.node = node
        return node

    def start(self) -> None:
        """Take part from now on."""
        assert self.node is not None
        log.info(
            "distribution",
            address=format_address(self.address),
            cluster=self.settings.cluster,
            role=self.node.role,
        )
        self._datagrams.start(self.node, TICK)

    @property
    def origins(self) -> list[str]:
        """The control machines that may hold the order of changes, by name."""
        return [place.name for place, origin in self._controls if origin]

    def health(self) -> dict[str, Any]:
        """The part of ``/admin/health`` on distribution: the applied position and whether it is stale."""
        assert self.node is not None
        told = self.node.status(time.monotonic())
        keys = ("in_force", "stale", "age_s", "refused", "catching_up")
        return {key: told[key] for key in keys}

    def flush(self) -> None:
        """Send at once what a call has made to be sent."""
        if self.node is not None and not self._datagrams.closed:
            self._datagrams.send(self.node.flush())

    def leave(self) -> None:
        """Tell that this process ends."""
        if self._datagrams.closed:
            return  # a second time changes nothing
        if self.node is not None:
            self._datagrams.send(self.node.leave(time.monotonic()))
        self._datagrams.close()

    def _told(self, what: str, fields: dict[str, Any]) -> None:
        write = log.warning if what in _LOUD else log.info
        write(f"distribution {what}", at=round(time.monotonic(), 4), **fields)
