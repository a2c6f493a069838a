"""One proxy: puts scheduler, gateway and drivers together and runs them."""

from __future__ import annotations

import logging
import resource
import signal
from collections.abc import Callable

from ironmill.admission import Admission
from ironmill.config import Config
from ironmill.garbage import Collector
from ironmill.gateway import Gateway
from ironmill.net.client import ClientDriver
from ironmill.net.discovery import Discovery
from ironmill.net.listener import Listener
from ironmill.net.probe import ProbeDriver
from ironmill.net.reload import Reload
from ironmill.net.shutdown import Shutdown
from ironmill.net.signals import Signals
from ironmill.net.sockets import Stream
from ironmill.scheduler import Scheduler

log = logging.getLogger("ironmill")


class Proxy:
    """Listens once it is made; serves until it is told to end."""

    def __init__(
        self, config: Config, signals: Signals, read_again: Callable[[], Config], poller: str = "epoll"
    ) -> None:
        self._config = config
        self._signals = signals
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < config.sockets:
            most = config.sockets if hard == resource.RLIM_INFINITY else min(config.sockets, hard)
            resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
        self.scheduler = Scheduler(poller)
        self.gateway = Gateway(config, self.scheduler)
        self.gateway.prober = ProbeDriver(self.scheduler, config.connect_timeout, self.gateway.probed)
        self.discovery = Discovery(self.scheduler, config.discovery, self.gateway.routing)
        self.admission = Admission(config.sockets)
        self.reload = Reload(config, read_again, self.discovery.watch_at)
        self.listener = Listener(self.scheduler, config.listen, self._take)

    def serve(self) -> None:
        """Run until SIGTERM or SIGINT has been dealt with."""
        self.discovery.start()
        shutdown = Shutdown(self.scheduler, self.gateway, self.listener, self._config)
        self._signals.on(signal.SIGHUP, self.reload.run)
        self._signals.on(signal.SIGTERM, shutdown.run)
        self._signals.on(signal.SIGINT, shutdown.run)
        self._signals.start(self.scheduler)
        Collector(self.scheduler, self.gateway.held).start()
        log.info("listening on %s:%d", *self.listener.address)
        log.info("of %d descriptors %d are for clients", self._config.sockets, self.admission.most)
        self.scheduler.run()

    def _take(self, stream: Stream) -> None:
        ClientDriver(self.scheduler, self.gateway, self._config, self.admission, stream).start()
