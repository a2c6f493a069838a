"""The routing table: the servers of discovery's endpoint list, and what a change means to the balancer."""

from __future__ import annotations

import hashlib
import logging

from msgspec import Struct

from ironmill.balancing.interface import EndpointEntry, Stage, WatchEvent, WatchEventKind
from ironmill.protocol.discovery import EndpointUpdate, ListedServer
from ironmill.requests.start_times import StartTimes

SERVER_NUMBER_BYTES = 6

log = logging.getLogger("ironmill.requests.routing_table")


class Server(Struct):
    """A server that discovery has listed; it stays known after it has left the list."""

    number: int
    uid: str
    address: tuple[str, int]
    leaving_since: float | None = None  # when this proxy was notified that it drains or has left
    listed: bool = True  # in the newest list


class RoutingTable:
    """Maps server ids to numbers and addresses, and records since when a server is leaving."""

    def __init__(self) -> None:
        """Starts empty."""
        self.revision = 0
        self._by_uid: dict[str, Server] = {}
        self._by_number: dict[int, Server] = {}
        self._start_times = StartTimes()

    def apply(self, update: EndpointUpdate, now: float, *, from_discovery: bool = True) -> WatchEvent:
        """Takes a list or changes to it; returns the event for the balancer.

        ``from_discovery``: discovery has sent it now; otherwise it is from before this process started.
        """
        now -= update.age
        self.revision = update.revision
        for listed in update.servers:
            self._start_times.observe(listed.started_at, now)
        entries = tuple(self._take(listed, now) for listed in update.servers)
        if update.full:
            self._drop_absent(update, now)
        if from_discovery:
            self._start_times.on_response(now)
        return WatchEvent(WatchEventKind.FULL if update.full else WatchEventKind.DELTA, entries)

    def listed(self) -> list[Server]:
        """Returns the servers in the list, draining ones included."""
        return [server for server in self._by_uid.values() if server.listed]

    def by_uid(self, uid: str) -> Server | None:
        """Returns the server with that id, if it has ever been listed."""
        return self._by_uid.get(uid)

    def by_number(self, number: int) -> Server | None:
        """Returns the server that the balancer knows by this number."""
        return self._by_number.get(number)

    def _take(self, listed: ListedServer, now: float) -> EndpointEntry:
        address = (listed.host, listed.port)
        server = self._by_uid.get(listed.uid)
        if server is None:
            log.info("server %s: first listed, %s", listed.uid, listed.stage.value)
            server = Server(self._allocate_number(listed.uid), listed.uid, address)
            self._by_uid[listed.uid] = server
            self._by_number[server.number] = server
        server.address = address
        server.listed = listed.stage is not Stage.GONE
        if listed.stage is Stage.READY:
            server.leaving_since = None
        else:
            self._mark_leaving(server, now)
        start = self._start_times.estimate(listed.uid, listed.started_at, now)
        return EndpointEntry(server.number, listed.stage, listed.zone, listed.cell, start, listed.weight)

    def _drop_absent(self, update: EndpointUpdate, now: float) -> None:
        present = {listed.uid for listed in update.servers}
        for server in self._by_uid.values():
            if server.uid not in present:
                server.listed = False
                self._mark_leaving(server, now)

    def _allocate_number(self, uid: str) -> int:
        """Derives the number from the id, so that it is the same in every proxy and after a restart."""
        digest = hashlib.blake2b(uid.encode(), digest_size=SERVER_NUMBER_BYTES).digest()
        number = int.from_bytes(digest)
        while number in self._by_number:
            number += 1
        return number

    @staticmethod
    def _mark_leaving(server: Server, now: float) -> None:
        if server.leaving_since is None:
            log.info("server %s: leaving", server.uid)
            server.leaving_since = now
