"""One proxy: builds scheduler, gateway and drivers, and runs them until shutdown."""

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

if TYPE_CHECKING:  # what is off is not imported
    from ironmill.configuration.operator_files import OperatorFiles
    from ironmill.net.admin_server import AdminServer
    from ironmill.net.operator_features import OperatorFeatures

# Clients are accepted after discovery's first answer, or after this time: the known list may be out of date,
# and a server that drains must get nothing new.
FIRST_POLL_TIMEOUT_S = 0.5
SUCCESSOR_FIRST_POLL_TIMEOUT_S = 3.0  # the same in an upgrade, where the old process serves meanwhile

# In an upgrade the new process has 6 s to become ready, and then the old one is shut down. The rest is for
# differences between the readings of two clocks.
MAX_SUCCESSION_S = 6.5

log = logging.getLogger("ironmill")


class ProxyOptions(Struct, frozen=True):
    """What a proxy is built from. The two readers are called again at SIGHUP."""

    config: Config
    read_config: Callable[[], Config]
    files: OperatorFiles | None = None  # None where no settings are named
    read_files: Callable[[Config], OperatorFiles | None] = no_operator_files
    poller: str = "epoll"


class Proxy:
    """Binds its addresses when it is built, and serves until shutdown."""

    def __init__(self, options: ProxyOptions, signals: Signals) -> None:
        """Raises ``OSError`` if an address is not available."""
        config = options.config
        self._config = config
        self._signals = signals
        raise_descriptor_limit(config.sockets)
        self.scheduler = Scheduler(options.poller)
        self.lifecycle = Lifecycle()
        self.gateway = self._build_gateway()
        self.listener = Listener(self.scheduler, config.listen, self._accepted, shared=True)
        if self.listener.has_predecessor:
            self.gateway.on_predecessor(MAX_SUCCESSION_S)
        self.discovery = self._build_discovery()
        self.connection_limiter = ConnectionLimiter(config.sockets)
        self._features = self._build_features(options)
        self._clients = self._build_clients()
        self.reload = self._build_reload(options)
        self.admin_server = self._build_admin_server()
        if self._features is not None:
            self._features.listen_for_tls(self._accepted)
        self._listeners = self._build_listeners()

    # Builders, by concern

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
            log.info("another process listens there: clients are accepted once discovery has answered")
        for listener in self._listeners[1:]:
            log.info("listening for TLS on %s:%d", *listener.address)
        log.info(
            "of %d descriptors %d are for clients",
            self._config.sockets,
            self.connection_limiter.max_descriptors,
        )

    def _first_poll_timeout_s(self) -> float:
        if self.listener.has_predecessor:
            return SUCCESSOR_FIRST_POLL_TIMEOUT_S
        # Where discovery is polled a change counts as notified only when it was answered. The first polls of
        # a large fleet are spread over seconds, and restarted proxies must serve in the meantime.
        return 0.0 if self._config.settings.subscribes_to_discovery else FIRST_POLL_TIMEOUT_S

    def _start_accepting(self) -> None:
        """Accepts clients, now that discovery has answered once or has not in time."""
        for listener in self._listeners:
            listener.start()
        self.lifecycle.handle(LifecycleEvent.STARTED)

    def yield_to_successor(self) -> None:
        """Leaves new connections to a process that was started after this one, if there is one."""
        for listener in self._listeners:
            listener.yield_to_successor()

    def close(self, within: float = 0.0) -> None:
        """Leaves the cluster and stops accepting. ``within``: as for ``Listener.close``."""
        if self._features is not None:
            self._features.leave()
        for listener in self._listeners:
            listener.close(within)

    def _accepted(self, stream: Stream) -> None:
        self._clients.serve(stream)

    def _connect(self, address: Address, timeout: float) -> Stream:
        """Connects to a server, over TLS where the current settings ask for it."""
        stream = Stream.connect(self.scheduler, address, timeout)
        return stream if self._features is None else self._features.secure(stream, address)


def raise_descriptor_limit(descriptors: int) -> None:
    """Raises the soft limit of open descriptors to the number, or to the hard limit if that is lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < descriptors:
        limit = descriptors if hard == resource.RLIM_INFINITY else min(descriptors, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
