"""The routing table: discovery's list of servers, and what its changes mean to the decisions."""

from __future__ import annotations

import hashlib
import logging

from msgspec import Struct

from ironmill.balancing.interface import EndpointEntry, Stage, WatchEvent, WatchEventKind
from ironmill.protocol.discovery import EndpointUpdate, ListedServer
from ironmill.requests.start_times import StartTimes

log = logging.getLogger("ironmill.requests.routing_table")


class Server(Struct):
    """What is held of one server. It stays known once it has been told, also after it left."""

    number: int
    uid: str
    address: tuple[str, int]
    leaving_since: float | None = None  # when this proxy was told that it drains or is gone
    listed: bool = True  # in the list as last told


class RoutingTable:
    """Numbers for uids, endpoints, and the age of what was told of a leaving server."""

    def __init__(self) -> None:
        self.revision = 0
        self._by_uid: dict[str, Server] = {}
        self._by_number: dict[int, Server] = {}
        self._starts = StartTimes()

    def apply(self, routing: EndpointUpdate, now: float, answered: bool = True) -> WatchEvent:
        """Take in a list; what it means to the decisions.

        ``answered``: discovery has told it now. Else it is from before the start of this process.
        """
        now -= routing.age
        self.revision = routing.revision
        for listed in routing.servers:
            self._starts.see(listed.started_at, now)
        entries = tuple(self._entry(listed, now) for listed in routing.servers)
        if routing.full:
            # A full list drops whatever it does not name.
            present = {listed.uid for listed in routing.servers}
            for server in self._by_uid.values():
                if server.uid not in present:
                    server.listed = False
                    self._leave(server, now)
        if answered:
            self._starts.answered(now)
        return WatchEvent(WatchEventKind.FULL if routing.full else WatchEventKind.DELTA, entries)

    def listed(self) -> list[Server]:
        """The servers in the list, the draining ones among them."""
        return [server for server in self._by_uid.values() if server.listed]

    def by_uid(self, uid: str) -> Server | None:
        """The server of that uid, if it has ever been told."""
        return self._by_uid.get(uid)

    def by_number(self, number: int) -> Server | None:
        """The server that the decisions know by this number."""
        return self._by_number.get(number)

    def _entry(self, listed: ListedServer, now: float) -> EndpointEntry:
        address = (listed.host, listed.port)
        server = self._by_uid.get(listed.uid)
        if server is None:
            log.info("server %s: first told, %s", listed.uid, listed.stage.value)
            server = Server(self._number(listed.uid), listed.uid, address)
            self._by_uid[listed.uid] = self._by_number[server.number] = server
        server.address = address
        server.listed = listed.stage is not Stage.GONE
        if listed.stage is Stage.READY:
            server.leaving_since = None
        else:
            self._leave(server, now)
        start = self._starts.start_of(listed.uid, listed.started_at, now)
        return EndpointEntry(server.number, listed.stage, listed.zone, listed.cell, start, listed.weight)

    def _number(self, uid: str) -> int:
        """From the uid alone, so that every proxy, also one that restarted, gives it the same."""
        number = int.from_bytes(hashlib.blake2b(uid.encode(), digest_size=6).digest())
        while number in self._by_number:
            number += 1
        return number

    @staticmethod
    def _leave(server: Server, now: float) -> None:
        if server.leaving_since is None:
            log.info("server %s: leaves", server.uid)
            server.leaving_since = now
