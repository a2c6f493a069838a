"""Sessions of callers, one for each client connection.

A driver passes its client's credential and request to the session. A session uses the settings that were in
effect when its client presented the credential or, without one, made the request.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from ironmill.identity.authenticator import Admitted, Rejected, Throttled, Verdict
from ironmill.identity.rules import IdentitySettings

if TYPE_CHECKING:
    from ironmill.identity.callers import Callers

RETRY_NEVER = math.inf  # the credential was rejected, so a retry would have the same result


class MigratableConnection(Protocol):
    """The driver of a client's connection."""

    def migrate(self) -> None:
        """Starts to migrate the client gracefully. Must not block."""


class CallerSession:
    """The caller of one client connection.

    The methods that decide on the client return None if it may continue. Otherwise the driver must reject it,
    and they return the seconds after which it may retry, or ``RETRY_NEVER`` if its credential was rejected.
    """

    __slots__ = ("_address", "_admitted", "_callers", "_driver", "_is_counted", "_settings_snapshot")

    def __init__(self, callers: Callers, driver: MigratableConnection, address: str) -> None:
        """Creates a session. ``driver`` is migrated when the credential is no longer valid."""
        self._callers = callers
        self._driver: MigratableConnection | None = driver
        self._address = address
        self._admitted: Admitted | None = None
        self._is_counted = False
        self._settings_snapshot: IdentitySettings | None = None

    @property
    def tenant(self) -> str:
        """The tenant of the caller; empty while the caller is unknown."""
        return "" if self._admitted is None else self._admitted.caller.tenant

    def present_token(self, token: bytes) -> float | None:
        """Authenticates the client by a token."""
        return self._apply_verdict(self._callers.authenticate_token(token, self._address, self._settings()))

    def present_certificate(self, der: bytes) -> float | None:
        """Authenticates the client by a certificate whose chain was verified."""
        return self._apply_verdict(
            self._callers.authenticate_certificate(der, self._address, self._settings())
        )

    def request_connection(self, class_name: str) -> float | None:
        """Authorizes a connection of the class, and counts it until ``close``."""
        if self._admitted is None:
            retry_after = self._apply_verdict(
                self._callers.authenticate_anonymous(self._address, self._settings())
            )
            if retry_after is not None:
                return retry_after
        assert self._admitted is not None
        verdict = self._callers.authorize(self._admitted, class_name, self._address, self._settings())
        retry_after = self._apply_verdict(verdict)
        if retry_after is None:
            retry_after = self._callers.open_connection(self._admitted)
            self._is_counted = retry_after is None
        return retry_after

    def connection_established(self) -> None:
        """Registers the connection for migration when its credential is no longer valid."""
        if self._admitted is not None and self._driver is not None:
            self._callers.connection_established(self._admitted, self._driver)

    def close(self) -> None:
        """Releases the connection. May be called more than once."""
        driver = self._driver
        self._driver = None  # the driver refers to the session, and a cycle would delay the release of both
        if self._is_counted and self._admitted is not None and driver is not None:
            self._is_counted = False
            self._callers.close_connection(self._admitted, driver)

    def _settings(self) -> IdentitySettings:
        if self._settings_snapshot is None:
            self._settings_snapshot = self._callers.authenticator.settings
        return self._settings_snapshot

    def _apply_verdict(self, verdict: Verdict) -> float | None:
        match verdict:
            case Admitted():
                self._admitted = verdict
                return None
            case Throttled():
                return verdict.retry_after
            case Rejected():
                return RETRY_NEVER
