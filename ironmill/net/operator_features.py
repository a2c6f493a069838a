"""Optional features of a proxy, enabled by operators' files: callers, membership, distribution and TLS.

This module is imported only if a settings file is named, and the module of each feature only if the settings
enable the feature.
"""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from ironmill.configuration.operator_files import OperatorFiles
from ironmill.configuration.proxy_config import Address
from ironmill.identity.keyring import KeyRing
from ironmill.net.listener import Listener
from ironmill.net.sockets import Stream
from ironmill.runtime import logs
from ironmill.runtime.scheduler import Scheduler

if TYPE_CHECKING:  # features that are off are not imported at run time
    from ironmill.administration.proxy_api import ProxyApi
    from ironmill.identity.callers import Callers
    from ironmill.net.distribution import Distribution
    from ironmill.net.key_ring_watcher import KeyRingWatcher
    from ironmill.net.membership import Membership

log = logging.getLogger("ironmill.settings")


class OperatorFeatures:
    """Builds the optional features of a proxy, and applies changed files to them."""

    def __init__(self, scheduler: Scheduler, name: str, files: OperatorFiles) -> None:
        """Builds the features that ``files`` enable. ``name`` is the name of the proxy.

        Raises ``OSError`` if an address is not available.
        """
        self._scheduler = scheduler
        self._name = name
        self._files = files
        self._key_ring_watcher: KeyRingWatcher | None = None
        self.callers = self._build_callers()
        self.membership = self._build_membership()
        self.distribution = self._build_distribution()
        self.tls_listener: Listener | None = None

    def _build_callers(self) -> Callers | None:
        identity, ring = self._files.settings.identity, self._files.ring
        if identity is None or ring is None:
            return None
        from ironmill.identity.callers import Callers
        from ironmill.net.key_ring_watcher import KeyRingWatcher

        callers = Callers(identity, ring, self._scheduler)
        self._key_ring_watcher = KeyRingWatcher(self._scheduler, identity.key_ring_path, self._on_key_ring)
        self._key_ring_watcher.start()
        return callers

    def _build_membership(self) -> Membership | None:
        settings = self._files.settings.membership
        if settings is None:
            return None
        from ironmill.net.membership import Membership

        return Membership(self._scheduler, self._name, settings, self._files.member_keys)

    def _build_distribution(self) -> Distribution | None:
        settings = self._files.settings.distribution
        if settings is None:
            return None
        from ironmill.configuration.distributed_keys import ConfigurationConsumer
        from ironmill.net.distribution import Distribution

        distribution = Distribution(self._scheduler, self._name, settings, self._files.distribution_keys)
        distribution.use_proxy_node(ConfigurationConsumer(self.callers))
        return distribution

    def listen_for_tls(self, on_connection: Callable[[Stream], None]) -> None:
        """Binds the TLS listener if the settings have one. Raises ``OSError`` if that fails."""
        settings = self._files.settings.tls
        if settings is None or self._files.tls is None:
            return
        from ironmill.net.tls import TlsStream

        def make_stream(scheduler: Scheduler, sock: socket.socket) -> Stream:
            # Reads the context at each accept, so that new connections get a replaced certificate.
            assert self._files.tls is not None
            return TlsStream.for_server(scheduler, sock, self._files.tls.context)

        self.tls_listener = Listener(
            self._scheduler, settings.listen, on_connection, shared=True, make_stream=make_stream
        )

    def add_routes(self, api: ProxyApi) -> None:
        """Adds the routes of membership and distribution to the admin API."""
        if self.membership is not None:
            api.add("/admin/members", {"GET": self.membership.answer_members_request})
        if self.distribution is not None:
            from ironmill.administration.configuration_api import ConfigurationApi

            assert self.distribution.node is not None
            ConfigurationApi(self.distribution.node, None, self.distribution.origins).add_to(api)
            api.configuration_health = self.distribution.health

    def start(self) -> None:
        """Starts membership and distribution."""
        if self.membership is not None:
            self.membership.start()
        if self.distribution is not None:
            self.distribution.start()

    def leave(self) -> None:
        """Announces to other processes that this one shuts down."""
        if self.membership is not None:
            self.membership.leave()
        if self.distribution is not None:
            self.distribution.leave()

    def secure(self, stream: Stream, address: Address) -> Stream:
        """Wraps a connection to the server at ``address`` in TLS if the current settings require it."""
        settings = self._files.settings.upstream_tls
        if self._files.upstream_tls is None or settings is None:
            return stream
        from ironmill.net.tls import TlsStream

        return TlsStream.wrap(self._scheduler, stream, self._files.upstream_tls, settings.name or address[0])

    # Reload

    def apply(self, files: OperatorFiles) -> None:
        """Applies changed files. Credentials of callers are checked against them from now on.

        Logs a warning for each change that requires a restart.
        """
        old = self._files
        self._files = self._with_current_tls(files)
        self._apply_membership(files)
        self._apply_distribution(files)
        if old.settings.log != files.settings.log:
            logs.set_up(self._name, files.settings.log)
        self._apply_identity(files)

    def _with_current_tls(self, new: OperatorFiles) -> OperatorFiles:
        """Returns the new files, with the current TLS context if it stays in use.

        It stays in use if the new one is equal, and also if the address changed, which requires a restart.
        """
        old = self._files
        old_listen = None if old.settings.tls is None else old.settings.tls.listen
        new_listen = None if new.settings.tls is None else new.settings.tls.listen
        if old_listen != new_listen:
            log.warning("reload: requires a restart: tls listen")
            return replace(new, tls=old.tls)
        if old.tls is not None and new.tls is not None and old.tls.digest == new.tls.digest:
            return replace(new, tls=old.tls)  # keeps its session tickets valid
        return new

    def _apply_membership(self, files: OperatorFiles) -> None:
        settings, running = files.settings.membership, self.membership
        if settings != (None if running is None else running.settings):
            log.warning("reload: requires a restart: membership")
        if running is not None and files.member_keys:
            running.codec.keys = files.member_keys

    def _apply_distribution(self, files: OperatorFiles) -> None:
        settings, running = files.settings.distribution, self.distribution
        if settings != (None if running is None else running.settings):
            log.warning("reload: requires a restart: distribution")
        if running is not None and files.distribution_keys:
            running.codec.keys = files.distribution_keys

    def _apply_identity(self, files: OperatorFiles) -> None:
        identity = files.settings.identity
        if (identity is None) is not (self.callers is None):
            log.warning("reload: requires a restart: identity was added or removed")
            return
        if identity is None or files.ring is None or self.callers is None:
            return
        if self._key_ring_watcher is not None:
            self._key_ring_watcher.path = identity.key_ring_path
        self.callers.reconfigure(identity, files.ring)

    def _on_key_ring(self, ring: KeyRing) -> None:
        if self.callers is not None:
            self.callers.reconfigure(self.callers.authenticator.settings, ring)
