"""A control machine's process: the origin or a relay of distribution, and staff's calls to it."""

from __future__ import annotations

import logging
import signal
import time
from typing import Any

from ironmill.administration.configuration_api import ConfigurationCalls
from ironmill.administration.routes import Routes
from ironmill.configuration.distributed_keys import check_form
from ironmill.configuration.operator_files import Operator
from ironmill.distribution.changes import Changes
from ironmill.distribution.errors import StoreError
from ironmill.distribution.origin import Origin
from ironmill.distribution.revision import Position, RevisionMetadata, StoredRevision
from ironmill.membership.envelope import Address
from ironmill.net.control import Control
from ironmill.net.distribution import Distribution
from ironmill.net.revision_store import SqliteStore
from ironmill.net.signals import Signals
from ironmill.runtime import logs
from ironmill.runtime.scheduler import Scheduler

LAST_WORDS = 0.1  # seconds for the last datagrams and answers to go

log = logging.getLogger("ironmill")


class Writer:
    """The origin, as staff's calls see it: what a push makes to be sent is sent at once."""

    def __init__(self, origin: Origin, distribution: Distribution) -> None:
        self._origin = origin
        self._distribution = distribution

    def push(
        self, changes: Changes, metadata: RevisionMetadata, now: float, expect: Position | None = None
    ) -> Position:
        """As ``Origin.push``."""
        try:
            return self._origin.push(changes, metadata, now, expect)
        finally:
            self._distribution.flush()

    def undo(self, number: int) -> Changes:
        """As ``Origin.undo``."""
        return self._origin.undo(number)

    def history(self, max_count: int) -> list[StoredRevision]:
        """As ``Origin.history``."""
        return self._origin.history(max_count)


class ControlMachine:
    """Takes part once it is made and run, until it is told to end."""

    def __init__(
        self, name: str, operator: Operator, staff: Address, signals: Signals, poller: str = "epoll"
    ) -> None:
        """OSError where an address is not to be had, StoreError where the store is not fit for use."""
        settings = operator.settings.distribution
        assert settings is not None
        self.scheduler = Scheduler(poller)
        self._signals = signals
        self._store = SqliteStore(settings.store) if settings.role == "origin" else None
        self.distribution = Distribution(self.scheduler, name, settings, operator.distribution_keys)
        writer = None
        if self._store is not None:
            origin = self.distribution.use_origin(self._store, check_form)
            writer = Writer(origin, self.distribution)
            reader: Any = origin
        else:
            reader = self.distribution.use_relay()
        routes = Routes()
        origins = [one.name for one in settings.controls if one.origin]
        ConfigurationCalls(reader, writer, origins).add_to(routes)
        self.control = Control(self.scheduler, staff, routes)

    def serve(self) -> None:
        """Run until SIGTERM or SIGINT."""
        self._signals.on(signal.SIGTERM, self._end)
        self._signals.on(signal.SIGINT, self._end)
        self._signals.on(signal.SIGHUP, lambda: log.warning("reload: a control machine takes a restart"))
        self._signals.start(self.scheduler)
        self.distribution.start()
        self.control.start()
        log.info("staff call at %s:%d", *self.control.address)
        self.scheduler.run()

    def _end(self) -> None:
        self.distribution.leave()
        self.control.close(LAST_WORDS)
        if self._store is not None:
            self._store.close()
        self.scheduler.call_later(LAST_WORDS, self.scheduler.stop)


def serve(name: str, operator: Operator, staff: Address) -> int:
    """Run one control machine; the exit status. One line on standard error where it cannot begin."""
    import sys

    settings = operator.settings.distribution
    if settings is None or settings.role == "subscriber":
        print(
            f"ironmill: {operator.settings.path}: no settings of a control machine; "
            "distribution's role is relay or origin there",
            file=sys.stderr,
        )
        return 2
    signals = Signals()
    try:
        logs.set_up(name, operator.settings.log)
        began = time.monotonic()
        try:
            machine = ControlMachine(name, operator, staff, signals)
        except StoreError as error:
            print(f"ironmill: {error}", file=sys.stderr)
            return 2
        except OSError as error:
            print(f"ironmill: listen: {error}", file=sys.stderr)
            return 2
        log.info("begins after %.3f s", time.monotonic() - began)
        machine.serve()
    finally:
        signals.close()
    return 0
