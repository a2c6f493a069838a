"""Sessions of callers: one for each client connection.

A driver reports what its client presents and requests. A session uses the settings that were in effect when
its client first sent something.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from ironmill.identity.authenticator import Admitted, Rejected, Throttled, Verdict
from ironmill.identity.rules import IdentitySettings

if TYPE_CHECKING:
    from ironmill.identity.callers import Callers

RETRY_NEVER = math.inf  # the credential was rejected, so a retry has the same result


class MigratableConnection(Protocol):
    """The driver of a client's connection."""

    def migrate(self) -> None:
        """Sends the client away gracefully. Must not block."""


class CallerSession:
    """The caller of one client connection.

    A method that returns None allows the client to go on. Otherwise the client is to be rejected, and the
    number is the seconds after which it may retry, ``RETRY_NEVER`` if its credential was rejected.
    """

    __slots__ = ("_address", "_admitted", "_callers", "_counted", "_driver", "_settings_snapshot")

    def __init__(self, callers: Callers, driver: MigratableConnection, address: str) -> None:
        """``driver`` is migrated when the credential ends."""
        self._callers = callers
        self._driver: MigratableConnection | None = driver
        self._address = address
        self._admitted: Admitted | None = None
        self._counted = False
        self._settings_snapshot: IdentitySettings | None = None

    @property
    def tenant(self) -> str:
        """The tenant of the caller; empty while it is not known."""
        return "" if self._admitted is None else self._admitted.caller.tenant

    def present_token(self, token: bytes) -> float | None:
        """Authenticates the client by a token."""
        return self._apply(self._callers.authenticate_token(token, self._address, self._settings()))

    def present_certificate(self, der: bytes) -> float | None:
        """Authenticates the client by a certificate whose chain was verified."""
        return self._apply(self._callers.authenticate_certificate(der, self._address, self._settings()))

    def request_connection(self, class_name: str) -> float | None:
        """Authorizes a connection of the class, and counts it until ``close``."""
        if self._admitted is None:
            retry_after = self._apply(self._callers.authenticate_anonymous(self._address, self._settings()))
            if retry_after is not None:
                return retry_after
        assert self._admitted is not None
        verdict = self._callers.authorize(self._admitted, class_name, self._address, self._settings())
        retry_after = self._apply(verdict)
        if retry_after is None:
            retry_after = self._callers.open_connection(self._admitted)
            self._counted = retry_after is None
        return retry_after

    def connection_established(self) -> None:
        """Has the connection migrated when its credential ends."""
        if self._admitted is not None and self._driver is not None:
            self._callers.connection_established(self._admitted, self._driver)

    def close(self) -> None:
        """Ends the connection."""
        driver = self._driver
        self._driver = None  # it refers to the session: the cycle would delay the release of both
        if self._counted and self._admitted is not None and driver is not None:
            self._counted = False
            self._callers.close_connection(self._admitted, driver)

    def _settings(self) -> IdentitySettings:
        if self._settings_snapshot is None:
            self._settings_snapshot = self._callers.authenticator.settings
        return self._settings_snapshot

    def _apply(self, verdict: Verdict) -> float | None:
        match verdict:
            case Admitted():
                self._admitted = verdict
                return None
            case Throttled():
                return verdict.retry_after
            case Rejected():
                return RETRY_NEVER
