"""Callers in service: their credentials, what they hold, and what becomes of them when a credential ends.

No socket and no line: drivers ask through a ``Guest``, one a connection, and are ordered to move what stands.
Settings and ring are replaced together.
"""

from __future__ import annotations

import heapq
import itertools
import math
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from ironmill.identity.gate import Admitted, Gate, Postponed, Refused, Verdict
from ironmill.identity.keyring import KeyRing
from ironmill.identity.rules import NOBODY, Denials, Identity
from ironmill.identity.tokens import Refusal
from ironmill.identity.usage import Usage
from ironmill.runtime.logs import EventLog
from ironmill.runtime.scheduler import Timers
from ironmill.runtime.timers import Timer

LOOK = 1.0  # seconds between two looks for credentials that have expired
NEVER = math.inf
REFUSALS_LOGGED = 20  # a second; guards the log against a flood of forged credentials

log = EventLog("ironmill.identity.callers")


class Movable(Protocol):
    """A driver whose connection stands."""

    def migrate(self) -> None:
        """Send the client away politely. Must not park."""


class Guest:
    """One client's connection: who it is, and what is counted of it.

    Where a method returns None the client may go on. Else it is to be turned away, and the number is how many
    seconds later it may come again, NEVER if its credential was refused.
    """

    __slots__ = ("_address", "_admitted", "_callers", "_counted", "_driver", "_snapshot")

    def __init__(self, callers: Callers, driver: Movable, address: str) -> None:
        self._callers = callers
        self._driver: Movable | None = driver
        self._address = address
        self._admitted: Admitted | None = None
        self._counted = False
        self._snapshot: Identity | None = None  # the settings when it first said something; it keeps them

    @property
    def tenant(self) -> str:
        """The tenant of the caller; empty while it is not known."""
        return "" if self._admitted is None else self._admitted.caller.tenant

    def show(self, token: bytes) -> float | None:
        """It shows a token."""
        return self._believe(self._callers.present(token, self._address, self._settings()))

    def show_certificate(self, der: bytes) -> float | None:
        """Its certificate, whose chain is good."""
        return self._believe(self._callers.certificate(der, self._address, self._settings()))

    def ask(self, class_name: str) -> float | None:
        """It asks for a connection of the class, and is counted from now on."""
        if self._admitted is None:
            refused = self._believe(self._callers.stranger(self._address, self._settings()))
            if refused is not None:
                return refused
        assert self._admitted is not None
        verdict = self._callers.may(self._admitted, class_name, self._address, self._settings())
        refused = self._believe(verdict)
        if refused is None:
            refused = self._callers.open(self._admitted)
            self._counted = refused is None
        return refused

    def stands(self) -> None:
        """Its connection stands from now on."""
        if self._admitted is not None and self._driver is not None:
            self._callers.stands(self._admitted, self._driver)

    def left(self) -> None:
        """Its connection is over."""
        driver, self._driver = self._driver, None  # which knows the guest: they would be freed late
        if self._counted and self._admitted is not None and driver is not None:
            self._counted = False
            self._callers.close(self._admitted, driver)

    def _settings(self) -> Identity:
        if self._snapshot is None:
            self._snapshot = self._callers.gate.identity
        return self._snapshot

    def _believe(self, verdict: Verdict) -> float | None:
        match verdict:
            case Admitted():
                self._admitted = verdict
                return None
            case Postponed():
                return verdict.retry_after
            case Refused():
                return NEVER


def _denied(denials: Denials, admitted: Admitted) -> bool:
    if admitted.certificate is not None:
        return admitted.certificate.fingerprint in denials.fingerprints
    subject = None if admitted.token is None else admitted.token.claims.get("sub")
    return isinstance(subject, str) and denials.deny_subject(subject)


class Callers:
    """Who calls, and who stands."""

    def __init__(
        self, identity: Identity, ring: KeyRing, timers: Timers, clock: Callable[[], float] = time.time
    ) -> None:
        self._timers = timers
        self._clock = clock
        self._usage = Usage()
        self._standing: dict[Movable, Admitted] = {}
        self._leaving: set[Movable] = set()  # of those: to be moved, now or soon
        self._expiring: list[tuple[float, int, Movable]] = []  # a heap
        self._serial = itertools.count()
        self._ends: list[Timer] = []  # of the ring's keys
        self._logged_at, self._logged = 0.0, 0
        self._distributed = NOBODY
        self.gate = Gate(identity, ring, clock())
        self._watch_ends()
        timers.call_later(LOOK, self._look)

    # From drivers

    def guest(self, driver: Movable, address: str) -> Guest:
        """A client has connected from the address."""
        return Guest(self, driver, address)

    def present(self, token: bytes, address: str, snapshot: Identity | None = None) -> Verdict:
        """A client shows a token."""
        return self._told(self.gate.present(token, address, self._clock(), snapshot), address)

    def certificate(self, der: bytes, address: str, snapshot: Identity | None = None) -> Verdict:
        """A client has shown a certificate whose chain is good."""
        return self._told(self.gate.certificate(der, self._clock(), snapshot), address)

    def stranger(self, address: str, snapshot: Identity | None = None) -> Verdict:
        """A client shows none."""
        return self._told(self.gate.stranger(snapshot), address)

    def may(
        self, admitted: Admitted, class_name: str, address: str, snapshot: Identity | None = None
    ) -> Verdict:
        """A client whose credential was good asks for the class; the credential is asked once more."""
        classes = admitted.caller.rights.classes
        if classes is not None and class_name not in classes:
            return self._told(self.gate.refuse(Refusal.CLASS), address)
        return self._told(self.gate.still(admitted, self._clock(), snapshot), address)

    def open(self, admitted: Admitted) -> float | None:
        """Count one more connection of the caller: None, or how many seconds later to come again."""
        wait = self._usage.open(admitted.caller, self._clock())
        if wait is not None:
            log.info("caller over its rights", tenant=admitted.caller.tenant, caller=admitted.caller.name)
        return wait

    def close(self, admitted: Admitted, driver: Movable) -> None:
        """A connection that ``open`` counted is over."""
        self._usage.close(admitted.caller)
        self._standing.pop(driver, None)
        self._leaving.discard(driver)

    def stands(self, admitted: Admitted, driver: Movable) -> None:
        """The connection stands from now on."""
        self._standing[driver] = admitted
        if admitted.expires is not None:
            heapq.heappush(self._expiring, (admitted.expires, next(self._serial), driver))
        if isinstance(self.gate.still(admitted, self._clock()), Refused):
            # Guards a rotation or a denial against a request that began before it and stands after it.
            self._send_away([driver])

    # From the operators

    def replace(self, identity: Identity, ring: KeyRing) -> None:
        """Other settings and another ring from now on, and a look at what stands.

        Who is denied by distributed configuration still is, whatever the settings say.
        """
        self.gate.replace(replace(identity, distributed=self._distributed), ring, self._clock())
        self._watch_ends()
        self.revise()

    def deny(self, denials: Denials) -> None:
        """These are denied from now on besides those whom the settings name, and no others.

        What stands of those who were not denied before is moved as after a change of the settings. Only they
        are looked for, for this comes often, and all that stands is looked through.
        """
        fresh, self._distributed = denials - self._distributed, denials
        gate = self.gate
        gate.replace(replace(gate.identity, distributed=denials), gate.ring, self._clock())
        if fresh:
            self._send_away([driver for driver, it in self._standing.items() if _denied(fresh, it)])

    def revise(self) -> None:
        """Move what would not be admitted any more, if the settings say so."""
        now = self._clock()
        gone = [
            driver
            for driver, admitted in self._standing.items()
            if isinstance(self.gate.still(admitted, now), Refused)
        ]
        self._send_away(gone)

    def counts(self) -> dict[str, int]:
        """What was admitted and refused, by kind."""
        return dict(self.gate.counts)

    def _look(self) -> None:
        """Move those whose credentials have expired since the last look."""
        self._timers.call_later(LOOK, self._look)
        now, gone = self._clock(), []
        while self._expiring and self._expiring[0][0] <= now:
            _, _, driver = heapq.heappop(self._expiring)
            if driver in self._standing:
                gone.append(driver)
        self._send_away(gone)
        # Connections end long before their credentials, and must not be kept by them.
        if len(self._expiring) > 2 * len(self._standing) + 64:
            self._expiring = [entry for entry in self._expiring if entry[2] in self._standing]
            heapq.heapify(self._expiring)

    def _send_away(self, drivers: list[Movable]) -> None:
        """Evenly over the time that the settings allow: no crowd of them comes again at once."""
        within = self.gate.identity.move_within
        drivers = [driver for driver in drivers if driver not in self._leaving]
        if within is None or not drivers:
            return
        self._leaving.update(drivers)
        log.info("credentials ended", connections=len(drivers), within_s=within)
        for at, driver in enumerate(drivers):
            self._timers.call_later(within * at / len(drivers), self._move, driver)

    def _move(self, driver: Movable) -> None:
        if driver in self._standing:  # it may have ended meanwhile
            driver.migrate()

    def _watch_ends(self) -> None:
        """A look at what stands when a key's time is over."""
        for timer in self._ends:
            self._timers.cancel(timer)
        now = self._clock()
        self._ends = [
            self._timers.call_later(key.until - now, self.revise)
            for key in self.gate.ring
            if key.until is not None and key.until > now
        ]

    def _told(self, verdict: Verdict, address: str) -> Verdict:
        if isinstance(verdict, Refused):
            now = self._clock()
            if now - self._logged_at >= 1.0:
                self._logged_at, self._logged = now, 0
            self._logged += 1
            if self._logged <= REFUSALS_LOGGED:
                log.info("credential refused", kind=verdict.refusal.value, address=address)
        return verdict
