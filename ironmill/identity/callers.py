"""Callers with open connections: authentication, authorization, and migration of connections.

This module performs no I/O. The driver of each client connection calls its own ``CallerSession``, and is told
to migrate the connection when its credential is no longer valid. The settings and the key ring are replaced
together.
"""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable
from dataclasses import replace

from ironmill.identity.authenticator import Admitted, Authenticator, Rejected, Verdict
from ironmill.identity.errors import RejectionReason
from ironmill.identity.keyring import KeyRing
from ironmill.identity.rules import NO_DENIALS, Denials, IdentitySettings
from ironmill.identity.sessions import CallerSession, MigratableConnection
from ironmill.identity.usage import CallerUsage
from ironmill.runtime.logs import EventLog
from ironmill.runtime.scheduler import Timers
from ironmill.runtime.timers import Timer

EXPIRY_CHECK_INTERVAL_S = 1.0
MAX_LOGGED_REJECTIONS_PER_S = 20
MAX_STALE_EXPIRIES = 64  # allowed heap entries of closed connections, plus one per established connection

log = EventLog("ironmill.identity.callers")


class Callers:
    """The callers of this proxy and their established connections."""

    def __init__(
        self,
        settings: IdentitySettings,
        key_ring: KeyRing,
        timers: Timers,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates a registry without connections. ``clock`` returns Unix time."""
        self.authenticator = Authenticator(settings, key_ring, clock())
        self._timers = timers
        self._clock = clock
        self._usage = CallerUsage()
        self._established: dict[MigratableConnection, Admitted] = {}
        self._migrating: set[MigratableConnection] = set()  # a subset of the established ones
        self._expiries: list[tuple[float, int, MigratableConnection]] = []  # a heap by expiry time
        self._expiry_serials = itertools.count()
        self._key_timers: list[Timer] = []
        self._rejections_logged = 0
        self._rejections_logged_since = 0.0
        self._distributed_denials = NO_DENIALS
        self._set_key_timers()
        timers.call_later(EXPIRY_CHECK_INTERVAL_S, self._check_expiries)

    # Methods that sessions call

    def new_session(self, driver: MigratableConnection, address: str) -> CallerSession:
        """Returns a new session for a client that connected from the address."""
        return CallerSession(self, driver, address)

    def authenticate_token(
        self, token: bytes, address: str, settings: IdentitySettings | None = None
    ) -> Verdict:
        """Returns the verdict on a token."""
        verdict = self.authenticator.authenticate_token(token, address, self._clock(), settings)
        return self._log_rejection(verdict, address)

    def authenticate_certificate(
        self, der: bytes, address: str, settings: IdentitySettings | None = None
    ) -> Verdict:
        """Returns the verdict on a certificate whose chain was verified."""
        verdict = self.authenticator.authenticate_certificate(der, self._clock(), settings)
        return self._log_rejection(verdict, address)

    def authenticate_anonymous(self, address: str, settings: IdentitySettings | None = None) -> Verdict:
        """Returns the verdict on a client without a credential."""
        return self._log_rejection(self.authenticator.authenticate_anonymous(settings), address)

    def authorize(
        self, admitted: Admitted, class_name: str, address: str, settings: IdentitySettings | None = None
    ) -> Verdict:
        """Returns the verdict on a request of the class. Checks the credential again."""
        classes = admitted.caller.rights.classes
        if classes is not None and class_name not in classes:
            return self._log_rejection(self.authenticator.reject(RejectionReason.CLASS), address)
        verdict = self.authenticator.reauthenticate(admitted, self._clock(), settings)
        return self._log_rejection(verdict, address)

    def open_connection(self, admitted: Admitted) -> float | None:
        """Counts a connection. If the caller is at its limit, returns the seconds until it may retry."""
        retry_after = self._usage.open_connection(admitted.caller, self._clock())
        if retry_after is not None:
            log.info("caller over its rights", tenant=admitted.caller.tenant, caller=admitted.caller.name)
        return retry_after

    def close_connection(self, admitted: Admitted, driver: MigratableConnection) -> None:
        """Releases a connection that ``open_connection`` counted."""
        self._usage.close_connection(admitted.caller)
        self._established.pop(driver, None)
        self._migrating.discard(driver)

    def connection_established(self, admitted: Admitted, driver: MigratableConnection) -> None:
        """Tracks an established connection. Migrates it if its credential is no longer valid."""
        self._established[driver] = admitted
        if admitted.expires_at is not None:
            heapq.heappush(self._expiries, (admitted.expires_at, next(self._expiry_serials), driver))
        if self._is_no_longer_admitted(admitted):
            self._schedule_migrations([driver])

    # Methods that are called when the configuration changes

    def reconfigure(self, settings: IdentitySettings, key_ring: KeyRing) -> None:
        """Replaces the settings and the key ring, and checks the established connections.

        The distributed denials stay in effect.
        """
        settings = replace(settings, distributed_denials=self._distributed_denials)
        self.authenticator.reconfigure(settings, key_ring, self._clock())
        self._set_key_timers()
        self.recheck_connections()

    def set_denials(self, denials: Denials) -> None:
        """Replaces the distributed denials, and migrates the connections that are newly denied.

        Compares only the new denials with the established connections, as this method is called often.
        """
        added = denials - self._distributed_denials
        self._distributed_denials = denials
        authenticator = self.authenticator
        settings = replace(authenticator.settings, distributed_denials=denials)
        authenticator.reconfigure(settings, authenticator.key_ring, self._clock())
        if added:
            self._schedule_migrations(
                [driver for driver, admitted in self._established.items() if _is_denied(added, admitted)]
            )

    def recheck_connections(self) -> None:
        """Migrates the established connections whose credential would no longer be admitted."""
        self._schedule_migrations(
            [
                driver
                for driver, admitted in self._established.items()
                if self._is_no_longer_admitted(admitted)
            ]
        )

    def counts(self) -> dict[str, int]:
        """Returns the number of verdicts by kind."""
        return dict(self.authenticator.counts)

    def _is_no_longer_admitted(self, admitted: Admitted) -> bool:
        return isinstance(self.authenticator.reauthenticate(admitted, self._clock()), Rejected)

    def _check_expiries(self) -> None:
        """Migrates the connections whose credential has expired."""
        self._timers.call_later(EXPIRY_CHECK_INTERVAL_S, self._check_expiries)
        now = self._clock()
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            _, _, driver = heapq.heappop(self._expiries)
            if driver in self._established:
                expired.append(driver)
        self._schedule_migrations(expired)
        # Most connections close long before their credentials expire. Without this cleanup their heap entries
        # would keep them in memory.
        if len(self._expiries) > 2 * len(self._established) + MAX_STALE_EXPIRIES:
            self._expiries = [entry for entry in self._expiries if entry[2] in self._established]
            heapq.heapify(self._expiries)

    def _schedule_migrations(self, drivers: list[MigratableConnection]) -> None:
        """Migrates connections evenly over the configured time, so that they do not all reconnect at once."""
        period_s = self.authenticator.settings.migrate_within_s
        drivers = [driver for driver in drivers if driver not in self._migrating]
        if period_s is None or not drivers:
            return
        self._migrating.update(drivers)
        log.info("credentials ended", connections=len(drivers), within_s=period_s)
        for index, driver in enumerate(drivers):
            self._timers.call_later(period_s * index / len(drivers), self._migrate_now, driver)

    def _migrate_now(self, driver: MigratableConnection) -> None:
        if driver in self._established:
            driver.migrate()

    def _set_key_timers(self) -> None:
        """Schedules a check of the connections for the time at which each key expires."""
        for timer in self._key_timers:
            self._timers.cancel(timer)
        now = self._clock()
        self._key_timers = [
            self._timers.call_later(key.valid_until - now, self.recheck_connections)
            for key in self.authenticator.key_ring
            if key.valid_until is not None and key.valid_until > now
        ]

    def _log_rejection(self, verdict: Verdict, address: str) -> Verdict:
        if isinstance(verdict, Rejected):
            now = self._clock()
            if now - self._rejections_logged_since >= 1.0:
                self._rejections_logged_since = now
                self._rejections_logged = 0
            self._rejections_logged += 1
            if self._rejections_logged <= MAX_LOGGED_REJECTIONS_PER_S:
                log.info("credential rejected", kind=verdict.reason.value, address=address)
        return verdict


def _is_denied(denials: Denials, admitted: Admitted) -> bool:
    if admitted.certificate is not None:
        return admitted.certificate.fingerprint in denials.fingerprints
    subject = None if admitted.token is None else admitted.token.claims.get("sub")
    return isinstance(subject, str) and denials.denies_subject(subject)
