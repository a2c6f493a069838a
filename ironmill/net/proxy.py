"""The process of a proxy: builds its scheduler, gateway and I/O drivers, and runs them until shutdown."""

from __future__ import annotations

import logging
import random
import resource
import signal
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from msgspec import Struct

from ironmill.configuration.proxy_config import Address, Config
from ironmill.net.clients.service import ClientDependencies, ClientService
from ironmill.net.discovery import Discovery, DiscoveryListener
from ironmill.net.drain import Drain
from ironmill.net.health_check import HealthCheckDriver
from ironmill.net.listener import Listener
from ironmill.net.reload import Reload, no_operator_files
from ironmill.net.shutdown import Shutdown, ShutdownContext
from ironmill.net.signals import Signals
from ironmill.net.sockets import Stream
from ironmill.requests.connection_limiter import ConnectionLimiter
from ironmill.requests.discovery_backoff import DiscoveryBackoff
from ironmill.requests.gateway import Gateway
from ironmill.runtime.gc_schedule import GcSchedule
from ironmill.runtime.lifecycle import Lifecycle, LifecycleEvent
from ironmill.runtime.scheduler import Scheduler

if TYPE_CHECKING:  # features that are off are not imported at run time
    from ironmill.configuration.operator_files import OperatorFiles
    from ironmill.net.admin_server import AdminServer
    from ironmill.net.operator_features import OperatorFeatures

# The proxy accepts clients after the first answer from discovery, or after this timeout. The endpoint list of
# the configuration may be out of date, and a draining server must get no new requests.
FIRST_POLL_TIMEOUT_S = 0.5
SUCCESSOR_FIRST_POLL_TIMEOUT_S = 3.0  # used in an upgrade, while the old process still serves clients

# In an upgrade the new process has 6 s to become ready before the old one is shut down. The remaining 0.5 s
# allows for differences between two clocks.
MAX_UPGRADE_OVERLAP_S = 6.5

log = logging.getLogger("ironmill")


class ProxyOptions(Struct, frozen=True):
    """Arguments of a proxy. ``read_config`` and ``read_files`` are called again at SIGHUP."""

    config: Config
    read_config: Callable[[], Config]
    files: OperatorFiles | None = None  # None if no settings file is named
    read_files: Callable[[Config], OperatorFiles | None] = no_operator_files
    poller: str = "epoll"


class Proxy:
    """A proxy that binds its addresses when it is created and serves until shutdown."""

    def __init__(self, options: ProxyOptions, signals: Signals) -> None:
        """Binds the addresses. Raises ``OSError`` if one is not available."""
        config = options.config
        self._config = config
        self._signals = signals
        raise_descriptor_limit(config.sockets)
        self.scheduler = Scheduler(options.poller)
        self.lifecycle = Lifecycle()
        self.gateway = self._build_gateway()
        self.listener = Listener(self.scheduler, config.listen, self._on_connection, shared=True)
        if self.listener.has_predecessor:
            self.gateway.on_predecessor(MAX_UPGRADE_OVERLAP_S)
        self.discovery = self._build_discovery()
        self.connection_limiter = ConnectionLimiter(config.sockets)
        self._features = self._build_features(options)
        self._clients = self._build_clients()
        self.reload = self._build_reload(options)
        self.admin_server = self._build_admin_server()
        if self._features is not None:
            self._features.listen_for_tls(self._on_connection)
        self._listeners = self._build_listeners()

    # Construction

    def _build_gateway(self) -> Gateway:
        gateway = Gateway(self._config, self.scheduler, self.lifecycle)
        gateway.use_health_checker(
            HealthCheckDriver(
                self.scheduler, self._config.connect_timeout_s, gateway.on_health_check, self._connect
            )
        )
        return gateway

    def _build_discovery(self) -> Discovery:
        config = self._config
        backoff = partial(
            DiscoveryBackoff,
            config.settings.proxies,
            random.Random(config.seed),
            polls_discovery=config.settings.subscribes_to_discovery,
            first_immediately=self.listener.has_predecessor,
        )
        return Discovery(
            self.scheduler,
            config.discovery,
            DiscoveryListener(self.gateway.on_endpoints, self._start_accepting, self.gateway.known_servers),
            backoff,
            config.initial_endpoints.revision if config.initial_endpoints.servers else None,
        )

    def _build_features(self, options: ProxyOptions) -> OperatorFeatures | None:
        if options.files is None:
            return None
        from ironmill.net.operator_features import OperatorFeatures

        return OperatorFeatures(self.scheduler, self._config.name, options.files)

    def _build_clients(self) -> ClientService:
        callers = None if self._features is None else self._features.callers
        return ClientService(
            ClientDependencies(
                self.scheduler, self.gateway, self._config, self.connection_limiter, callers, self._connect
            )
        )

    def _build_reload(self, options: ProxyOptions) -> Reload:
        reload = Reload(
            self._config, options.read_config, self.discovery.watch_at, sleep=self.scheduler.sleep
        )
        if self._features is not None:
            reload.read_files = options.read_files
            reload.apply_files = self._features.apply
        return reload

    def _build_admin_server(self) -> AdminServer | None:
        if self._config.admin_address is None:
            return None
        from ironmill.administration.proxy_api import ProxyApi
        from ironmill.net.admin_server import AdminServer

        api = ProxyApi(self.gateway)
        if self._features is not None:
            self._features.add_routes(api)
        return AdminServer(self.scheduler, self._config.admin_address, api)

    def _build_listeners(self) -> list[Listener]:
        tls_listener = None if self._features is None else self._features.tls_listener
        return [self.listener] if tls_listener is None else [self.listener, tls_listener]

    # Running

    def serve(self) -> None:
        """Runs until SIGTERM or SIGINT has been handled."""
        Drain(self.scheduler, self.gateway, keeps_established=self._config.packets_pass_through)
        if self.admin_server is not None:
            self.admin_server.start()
            log.info("admin API at %s:%d", *self.admin_server.address)
        if self._features is not None:
            self._features.start()
        self.discovery.start()
        self.scheduler.call_later(self._first_poll_timeout_s(), self._start_accepting)
        self._handle_signals()
        GcSchedule(self.scheduler, self.gateway.request_count).start()
        self._log_start()
        self.scheduler.run()

    def _handle_signals(self) -> None:
        context = ShutdownContext(
            self.scheduler, self.gateway, self, self._config, self.connection_limiter, self.admin_server
        )
        shutdown = Shutdown(context)
        self._signals.on(signal.SIGHUP, self.reload.run)
        self._signals.on(signal.SIGTERM, shutdown.run)
        self._signals.on(signal.SIGINT, shutdown.run)
        self._signals.start(self.scheduler)

    def _log_start(self) -> None:
        log.info("listening on %s:%d", *self.listener.address)
        if self.listener.has_predecessor:
            log.info("another process listens there: accepting clients once discovery has answered")
        for listener in self._listeners[1:]:
            log.info("listening for TLS on %s:%d", *listener.address)
        log.info(
            "file descriptor limit %d, of which %d are available to clients",
            self._config.sockets,
            self.connection_limiter.max_descriptors,
        )

    def _first_poll_timeout_s(self) -> float:
        if self.listener.has_predecessor:
            return SUCCESSOR_FIRST_POLL_TIMEOUT_S
        # If proxies poll discovery, a change counts as notified only once the poll is answered. The first
        # polls of a large fleet are spread over seconds, and restarted proxies must serve in the meantime.
        return 0.0 if self._config.settings.subscribes_to_discovery else FIRST_POLL_TIMEOUT_S

    def _start_accepting(self) -> None:
        """Accepts clients. Called at the first answer from discovery, or when its timeout ends."""
        for listener in self._listeners:
            listener.start()
        self.lifecycle.handle(LifecycleEvent.STARTED)

    def yield_to_successor(self) -> None:
        """Passes all new connections to a process that was started after this one, if there is one."""
        for listener in self._listeners:
            listener.yield_to_successor()

    def close(self, within: float = 0.0) -> None:
        """Leaves the cluster and stops accepting clients. ``within`` is passed to ``Listener.close``."""
        if self._features is not None:
            self._features.leave()
        for listener in self._listeners:
            listener.close(within)

    def _on_connection(self, stream: Stream) -> None:
        self._clients.serve(stream)

    def _connect(self, address: Address, timeout: float) -> Stream:
        """Connects to a server, over TLS if the current settings require it."""
        stream = Stream.connect(self.scheduler, address, timeout)
        return stream if self._features is None else self._features.secure(stream, address)


def raise_descriptor_limit(descriptors: int) -> None:
    """Raises the soft limit on open descriptors to ``descriptors``, or to the hard limit if that is lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < descriptors:
        limit = descriptors if hard == resource.RLIM_INFINITY else min(descriptors, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
