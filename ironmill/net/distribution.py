"""Runs distribution in a proxy or a control machine: provides the socket, the clock and the log."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence

from ironmill.configuration.settings.model import DistributionSettings
from ironmill.distribution.codec import Codec
from ironmill.distribution.events import Event
from ironmill.distribution.interfaces import ChangeCheck, Consumer, RevisionStore
from ironmill.distribution.link import NodeContext
from ironmill.distribution.messages import Endpoint
from ironmill.distribution.node import Node
from ironmill.distribution.origin import Origin
from ironmill.distribution.proxy_node import ProxyNode
from ironmill.distribution.relay import Relay
from ironmill.distribution.status import ConfigurationHealth, SubscriberStatus
from ironmill.distribution.timing import TICK_INTERVAL_S, Timing
from ironmill.membership.identity import Address, MemberIdentity, format_address
from ironmill.net.datagrams import Datagrams
from ironmill.net.distribution_log import log_line
from ironmill.runtime.logs import EventLog
from ironmill.runtime.scheduler import Scheduler

log = EventLog("ironmill.distribution")


class Distribution:
    """The distribution node of this process and its UDP socket."""

    def __init__(
        self, scheduler: Scheduler, name: str, settings: DistributionSettings, keys: Sequence[bytes]
    ) -> None:
        """Binds the socket. Raises ``OSError`` if the address is not available.

        One of ``use_proxy_node``, ``use_relay`` and ``use_origin`` must be called before ``start``.
        """
        self.settings = settings
        self.codec = Codec(settings.cluster, keys)
        self.node: Node | None = None
        self._datagrams = Datagrams(scheduler, settings.listen)
        incarnation = max(1, int(time.time() * 1000.0))
        self._identity = MemberIdentity(name, *settings.listen, settings.zone, settings.region, incarnation)
        endpoints = [
            (Endpoint(control.name, control.address, control.zone, control.region), control.origin)
            for control in settings.controls
        ]
        self._origins = [endpoint for endpoint, is_origin in endpoints if is_origin]
        self._relays = [endpoint for endpoint, is_origin in endpoints if not is_origin]
        self._controls = [endpoint for endpoint, _ in endpoints]

    @property
    def address(self) -> Address:
        """The address that the socket is bound to."""
        return self._datagrams.address

    @property
    def origins(self) -> list[str]:
        """The names of the control machines that may be the origin."""
        return [endpoint.name for endpoint in self._origins]

    def use_proxy_node(self, consumer: Consumer) -> ProxyNode:
        """Makes this process the node of a proxy. The consumer applies the received configuration."""
        node = ProxyNode(self._context(), self._relays or self._controls, consumer)
        self.node = node
        return node

    def use_relay(self) -> Relay:
        """Makes this process a relay."""
        node = Relay(self._context(), self._others(self._origins), self._others(self._controls))
        self.node = node
        return node

    def use_origin(self, store: RevisionStore, check: ChangeCheck) -> Origin:
        """Makes this process the origin. Raises ``StoreError`` if the store cannot be read."""
        node = Origin(self._context(), store, self._others(self._relays), check)
        self.node = node
        return node

    def start(self) -> None:
        """Starts to exchange datagrams."""
        assert self.node is not None
        log.info(
            "distribution",
            address=format_address(self.address),
            cluster=self.settings.cluster,
            role=self.node.role,
        )
        self._datagrams.start(self.node, TICK_INTERVAL_S)

    def health(self) -> ConfigurationHealth:
        """Returns the state of distributed configuration for the health endpoint of a proxy."""
        assert self.node is not None
        status = self.node.status(time.monotonic())
        assert isinstance(status, SubscriberStatus)
        return ConfigurationHealth.of(status)

    def flush(self) -> None:
        """Sends the datagrams that calls to the node have queued."""
        if self.node is not None and not self._datagrams.closed:
            self._datagrams.send(self.node.flush())

    def leave(self) -> None:
        """Sends the last messages of the node and closes the socket. Further calls do nothing."""
        if self._datagrams.closed:
            return
        if self.node is not None:
            self._datagrams.send(self.node.leave(time.monotonic()))
        self._datagrams.close()

    def _context(self) -> NodeContext:
        settings = self.settings
        return NodeContext(
            identity=self._identity,
            codec=self.codec,
            timing=Timing(settings.stale_after, settings.forget_after, settings.catch_up_rate),
            rng=random.Random(),
            now=time.monotonic(),
            on_event=self._on_event,
        )

    def _others(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        return [endpoint for endpoint in endpoints if endpoint.name != self._identity.name]

    def _on_event(self, event: Event) -> None:
        line = log_line(event)
        write = log.warning if line.is_warning else log.info
        write(f"distribution {line.name}", at=round(time.monotonic(), 4), **line.fields(event))
