"""The driver of membership: one UDP socket and one timer, beside whatever clients do.

Its work in a turn is bounded: so many datagrams are read, then the others have theirs.
"""

from __future__ import annotations

import contextlib
import logging
import random
import socket
import time
from collections.abc import Callable, Sequence
from http import HTTPStatus

import msgspec

from ironmill.logs import EventLog
from ironmill.membership.envelope import Datagram
from ironmill.membership.member import Member
from ironmill.membership.timing import TICK
from ironmill.membership.wire import DATAGRAM_MOST, Address, Card, Codec, spelled
from ironmill.protocol.call import Answer
from ironmill.scheduler import READ, Scheduler, Task
from ironmill.settings.model import MembershipSettings

AT_ONCE = 32  # datagrams read in one turn
# What comes while the process does not run waits in the kernel, so that nobody is taken for silent for it.
RECEIVE_BUFFER = 1 << 20

log = EventLog("ironmill.membership")


class Membership:
    """This process among the others."""

    def __init__(
        self, scheduler: Scheduler, name: str, settings: MembershipSettings, keys: Sequence[bytes]
    ) -> None:
        self._scheduler = scheduler
        self.settings = settings
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            self._sock.bind(settings.listen)
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)
        self.codec = Codec(settings.cluster, keys)
        card = Card(
            name, *settings.listen, settings.zone, settings.region, max(1, int(time.time() * 1000.0))
        )
        self.member = Member(
            card, self.codec, settings.timing, settings.seeds, random.Random(), time.monotonic(), self._told,
            dict(settings.peers),
        )
        self._reader: Task | None = None
        self._ticker: Task | None = None

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self._sock.getsockname()
        return host, port

    def start(self) -> None:
        """Take part from now on."""
        log.info("membership", address=spelled(self.address), cluster=self.settings.cluster)
        self._reader = self._scheduler.spawn(self._read)
        self._ticker = self._scheduler.spawn(self._tick)

    def leave(self) -> None:
        """Tell the others that it goes. What still comes is read no more."""
        if self._sock.fileno() < 0:
            return  # a second time changes nothing
        self._send(self.member.leave(time.monotonic()))
        self._scheduler.kill(self._reader)
        self._scheduler.kill(self._ticker)
        self._scheduler.forget(self._sock.fileno())
        self._sock.close()

    def shown(self) -> Answer:
        """The view, as staff ask for it."""
        member = self.member
        members = [
            {
                "name": fact.card.name, "address": spelled(fact.card.address), "zone": fact.card.zone,
                "region": fact.card.region, "incarnation": fact.card.incarnation,
                "state": self._state(fact.card.name),
            }
            for fact in member.members()
        ]
        out = [
            {"name": fact.card.name, "state": "left" if fact.left else "out"}
            for _, fact in sorted(member.view.facts.items()) if not fact.present
        ]
        told = {
            "name": member.card.name, "cluster": self.settings.cluster, "view": f"{member.view.digest:x}",
            "joined": member.joined, "cut_off": member.cut_off, "superseded": member.superseded,
            "members": members, "out": out, "dropped": member.dropped,
        }
        return Answer(HTTPStatus.OK, msgspec.json.encode(told) + b"\n")

    def _state(self, name: str) -> str:
        if name == self.member.card.name:
            return "this one"
        return "accused" if self.member.view.accusers(name) else "in"

    def _told(self, what: str, fields: dict[str, object]) -> None:
        loud = what in ("superseded", "cut-off", "was-removed")
        (log.warning if loud else log.info)(f"member {what}", at=round(time.monotonic(), 4), **fields)

    def _read(self) -> None:
        while True:
            self._scheduler.wait(self._sock.fileno(), READ)
            for _ in range(AT_ONCE):
                try:
                    data, source = self._sock.recvfrom(DATAGRAM_MOST + 1)
                except BlockingIOError:
                    break
                except OSError:
                    continue  # a port that was unreachable is told here; whoever is silent is found out
                self._guarded(self.member.receive, data, source, time.monotonic())
            self._scheduler.sleep(0.0)

    def _tick(self) -> None:
        while True:
            self._guarded(self.member.tick, time.monotonic())
            self._scheduler.sleep(TICK)

    def _guarded(self, step: Callable[..., list[Datagram]], *args: object) -> None:
        """Guards membership against one datagram, or one tick, that it cannot deal with."""
        try:
            self._send(step(*args))
        except Exception:
            logging.getLogger("ironmill.membership").exception("a step of membership failed")

    def _send(self, datagrams: list[Datagram]) -> None:
        for address, data in datagrams:
            with contextlib.suppress(OSError):  # no route, no buffer: it is lost like any other
                self._sock.sendto(data, address)
