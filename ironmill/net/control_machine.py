"""The process of a control machine: the origin or a relay of distribution, with an admin API."""

from __future__ import annotations

import contextlib
import logging
import signal
import sys
import time

from ironmill.administration.configuration_api import ConfigurationApi
from ironmill.administration.routes import Routes
from ironmill.configuration.distributed_keys import check_form
from ironmill.configuration.operator_files import OperatorFiles
from ironmill.distribution.changes import Changes
from ironmill.distribution.errors import StoreError
from ironmill.distribution.origin import Origin
from ironmill.distribution.revision import Position, RevisionMetadata, StoredRevision
from ironmill.membership.identity import Address
from ironmill.net.admin_server import AdminServer
from ironmill.net.distribution import Distribution
from ironmill.net.revision_store import SqliteStore
from ironmill.net.signals import Signals
from ironmill.runtime import logs
from ironmill.runtime.scheduler import Scheduler

FINAL_FLUSH_S = 0.1  # time to send queued datagrams and responses before the process exits

log = logging.getLogger("ironmill")


class FlushingOrigin:
    """The origin for the admin API. Sends the datagrams of a push without waiting for the next tick."""

    def __init__(self, origin: Origin, distribution: Distribution) -> None:
        """Wraps the origin, whose datagrams ``distribution`` sends."""
        self._origin = origin
        self._distribution = distribution

    def push(
        self, changes: Changes, metadata: RevisionMetadata, now: float, expect: Position | None = None
    ) -> Position:
        """Calls ``Origin.push``, and sends the datagrams that it queues."""
        try:
            return self._origin.push(changes, metadata, now, expect)
        finally:
            self._distribution.flush()

    def undo(self, number: int) -> Changes:
        """Returns the result of ``Origin.undo``."""
        return self._origin.undo(number)

    def history(self, max_count: int) -> list[StoredRevision]:
        """Returns the result of ``Origin.history``."""
        return self._origin.history(max_count)


class ControlMachine:
    """A control machine that binds its addresses when it is created and serves until SIGTERM or SIGINT."""

    def __init__(self, name: str, files: OperatorFiles, admin_address: Address, signals: Signals) -> None:
        """Opens the store and binds the addresses.

        Raises ``OSError`` if an address is not available and ``StoreError`` if the store cannot be used.
        """
        settings = files.settings.distribution
        assert settings is not None
        self.scheduler = Scheduler()
        self._signals = signals
        self._store = SqliteStore(settings.store) if settings.role == "origin" else None
        self.distribution = Distribution(self.scheduler, name, settings, files.distribution_keys)
        origins = [control.name for control in settings.controls if control.origin]
        routes = Routes()
        self._build_api(origins).add_to(routes)
        self.admin_server = AdminServer(self.scheduler, admin_address, routes)

    def _build_api(self, origins: list[str]) -> ConfigurationApi:
        if self._store is None:
            return ConfigurationApi(self.distribution.use_relay(), None, origins)
        origin = self.distribution.use_origin(self._store, check_form)
        return ConfigurationApi(origin, FlushingOrigin(origin, self.distribution), origins)

    def serve(self) -> None:
        """Runs until SIGTERM or SIGINT."""
        self._signals.on(signal.SIGTERM, self._shut_down)
        self._signals.on(signal.SIGINT, self._shut_down)
        self._signals.on(signal.SIGHUP, lambda: log.warning("reload: a control machine requires a restart"))
        self._signals.start(self.scheduler)
        self.distribution.start()
        self.admin_server.start()
        log.info("admin API at %s:%d", *self.admin_server.address)
        self.scheduler.run()

    def _shut_down(self) -> None:
        self.distribution.leave()
        self.admin_server.close(FINAL_FLUSH_S)
        if self._store is not None:
            self._store.close()
        self.scheduler.call_later(FINAL_FLUSH_S, self.scheduler.stop)


def serve(name: str, files: OperatorFiles, admin_address: Address) -> int:
    """Runs a control machine and returns its exit status: 2, with one line on stderr, if it cannot start."""
    settings = files.settings.distribution
    if settings is None or settings.role == "subscriber":
        print(
            f"ironmill: {files.settings.path}: no settings of a control machine; "
            "the role of distribution must be relay or origin",
            file=sys.stderr,
        )
        return 2
    with contextlib.closing(Signals()) as signals:
        logs.set_up(name, files.settings.log)
        started_at = time.monotonic()
        try:
            machine = ControlMachine(name, files, admin_address, signals)
        except StoreError as error:
            print(f"ironmill: {error}", file=sys.stderr)
            return 2
        except OSError as error:
            print(f"ironmill: listen: {error}", file=sys.stderr)
            return 2
        log.info("started after %.3f s", time.monotonic() - started_at)
        machine.serve()
    return 0
