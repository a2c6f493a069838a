"""The service of a proxy's client connections, with the objects that all of them share."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from msgspec import Struct

from ironmill.configuration.proxy_config import Config
from ironmill.net.attempt import Dial
from ironmill.net.clients.closing import ConnectionCloser
from ironmill.net.clients.connection import ClientConnection
from ironmill.net.clients.connection_migrator import ConnectionMigrator
from ironmill.net.clients.intake import RequestIntake
from ironmill.net.clients.reading import ClientReader
from ironmill.net.clients.relaying import DataRelay
from ironmill.net.sockets import Stream
from ironmill.requests.connection_limiter import ConnectionLimiter
from ironmill.requests.gateway import Gateway
from ironmill.runtime.scheduler import Scheduler

if TYPE_CHECKING:
    from ironmill.identity.callers import Callers


class ClientDependencies(Struct, frozen=True, eq=False):
    """The objects that a ``ClientService`` depends on."""

    scheduler: Scheduler
    gateway: Gateway
    config: Config
    connection_limiter: ConnectionLimiter
    callers: Callers | None = None  # None if callers are not identified
    dial: Dial | None = None  # opens connections to servers; plain TCP if None


class ClientService:
    """Serves accepted clients."""

    __slots__ = (
        "callers",
        "closer",
        "config",
        "connection_limiter",
        "dial",
        "gateway",
        "intake",
        "migrator",
        "reader",
        "relay",
        "scheduler",
    )

    def __init__(self, dependencies: ClientDependencies) -> None:
        """Creates the objects that serve connections."""
        self.scheduler = dependencies.scheduler
        self.gateway = dependencies.gateway
        self.config = dependencies.config
        self.connection_limiter = dependencies.connection_limiter
        self.callers = dependencies.callers
        self.dial = dependencies.dial or partial(Stream.connect, self.scheduler)
        self.closer = ConnectionCloser(
            self.scheduler,
            self.gateway,
            self.connection_limiter,
            sends_retry_after=self.config.settings.max_retry_after > 0.0,
        )
        self.migrator = ConnectionMigrator(self.scheduler, self.closer, self.gateway.counts)
        self.relay = DataRelay(self.gateway, self.closer)
        self.intake = RequestIntake(self)
        self.reader = ClientReader(self)

    def serve(self, stream: Stream) -> None:
        """Serves an accepted client, in tasks of its own."""
        ClientConnection(self, stream).start()
