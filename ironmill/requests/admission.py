"""Which clients' connections are let in, counted in descriptors against the stated limit.

A client's connection is silent until its first line has come, then admitted (a second descriptor is
set aside for its attempt), and leaving once it has its last answer. Nothing here knows a socket: room is
made by telling the oldest silent connection to go, for an honest client speaks at once.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum, auto
from itertools import islice

from ironmill.runtime.rate_limited_log import LogRateLimiter

# Descriptors that are not for clients: standard streams 3, poller 1, signals 2, listeners 3 (clients, TLS,
# staff), staff's callers 12, discovery 2 while it changes its address, a file that is read 1, membership 1,
# probes 20 (``net/probe``); 45, and the connection that is being accepted.
OWN = 48
# What may be silent, and what may be leaving, as parts of the stated descriptors. Clients' requests hold
# a third of them at the most, and as many attempts.
SILENT_PART = 4
LEAVING_PART = 8
LEAST = 16  # descriptors for clients, however few are stated
# Silent connections that are looked at for one that may go. Guards the processor in a flood: each look is a
# system call, and who is passed over is read in the same turn and silent no more.
LOOKED_AT = 16

log = logging.getLogger("ironmill.requests.admission")


class Stage(Enum):
    """Where an admitted or waiting connection is counted."""

    SILENT = auto()
    ADMITTED = auto()
    LEAVING = auto()
    GONE = auto()


# Ends a silent connection: at once where its descriptor is needed, else its answer has time to arrive. False
# if it is silent no more, for bytes have come that nobody has read yet; nothing is done then.
Evict = Callable[[bool], bool]


def _nothing(_: bool) -> bool:
    """There is nothing left to evict."""
    return False


class Ticket:
    """One client's connection in the count."""

    __slots__ = ("evict", "name", "stage")

    def __init__(self, evict: Evict) -> None:
        self.evict = evict
        self.name = ""  # the id that it has claimed
        self.stage = Stage.SILENT


class Admission:
    """Counts clients' connections and their attempts, and knows which ids are taken."""

    def __init__(self, sockets: int) -> None:
        self.most = max(LEAST, sockets - OWN)
        self.silent_most = max(LEAST // 2, sockets // SILENT_PART)
        self.leaving_most = max(LEAST // 4, sockets // LEAVING_PART)
        self._silent: dict[Ticket, None] = {}  # the oldest first
        self._admitted = 0
        self._leaving = 0
        self._names: set[str] = set()
        self._complaints = LogRateLimiter()

    def used(self) -> int:
        """Descriptors held by clients, or set aside for their attempts."""
        return len(self._silent) + 2 * self._admitted + self._leaving

    def enter(self, evict: Evict) -> Ticket | None:
        """A connection was accepted; None if there is no room and none can be made."""
        # Guards descriptors and memory against clients that open connections and say nothing.
        if len(self._silent) >= self.silent_most or self.used() >= self.most:
            self._make_room()
        if self.used() >= self.most:
            return None
        ticket = Ticket(evict)
        self._silent[ticket] = None
        return ticket

    def admit(self, ticket: Ticket) -> bool:
        """Its request is in form: set a descriptor aside for its attempt. False if there is none."""
        if ticket.stage is not Stage.SILENT:
            return False
        del self._silent[ticket]
        if self.used() + 2 > self.most:
            self._make_room()
        if self.used() + 2 > self.most:
            self._silent[ticket] = None
            return False
        ticket.stage = Stage.ADMITTED
        self._admitted += 1
        return True

    def claim(self, ticket: Ticket, name: str) -> bool:
        """Take an id for as long as the connection lasts; False if an open connection has it."""
        if name in self._names:  # guards a client's id against another that takes it as well
            return False
        ticket.name = name
        self._names.add(name)
        return True

    def part(self, ticket: Ticket) -> bool:
        """It has its last answer. False if too many are leaving: it is then to be closed at once."""
        self._uncount(ticket)
        if self._leaving >= self.leaving_most:
            return False
        ticket.stage = Stage.LEAVING
        self._leaving += 1
        return True

    def gone(self, ticket: Ticket) -> None:
        """Its socket is closed."""
        self._uncount(ticket)

    def complain(self, reason: str) -> None:
        """Log what was malformed."""
        left_out = self._complaints.allow()
        if left_out is not None:
            log.info("turned away: %s (%d more since the last such line)", reason, left_out)

    def end_silent(self) -> None:
        """The process ends: whoever has said nothing is told so. Who has will be read, and answered then."""
        for ticket in list(self._silent):
            ticket.evict(False)

    def _make_room(self) -> None:
        """Guards a request that has come but was not read: its connection is passed over."""
        for ticket in islice(self._silent, LOOKED_AT):
            if ticket.evict(True):
                self._uncount(ticket)
                return

    def _uncount(self, ticket: Ticket) -> None:
        if ticket.stage is Stage.SILENT:
            self._silent.pop(ticket, None)
        elif ticket.stage is Stage.ADMITTED:
            self._admitted -= 1
        elif ticket.stage is Stage.LEAVING:
            self._leaving -= 1
        ticket.stage = Stage.GONE
        ticket.evict = _nothing  # it knows the driver, which knows the ticket: they would be freed late
        self._names.discard(ticket.name)
        ticket.name = ""
