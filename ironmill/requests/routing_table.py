"""The routing table, which maps discovery's endpoint list to servers and to events for the balancer."""

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
    """A server that discovery has listed. It is kept after it has been removed from the list."""

    number: int
    uid: str
    address: tuple[str, int]
    leaving_since: float | None = None  # when this proxy learned that the server drains or was removed
    listed: bool = True  # whether it is in the newest list


class RoutingTable:
    """Maps server ids to numbers and addresses, and records when each server began to leave."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self.revision = 0
        self._by_uid: dict[str, Server] = {}
        self._by_number: dict[int, Server] = {}
        self._start_times = StartTimes()

    def apply(self, update: EndpointUpdate, now: float, *, from_discovery: bool = True) -> WatchEvent:
        """Applies a full list or changes to it, and returns the event for the balancer.

        ``from_discovery`` is true if discovery sent the update to this process, and false if the update dates
        from before the process started.
        """
        now -= update.age
        self.revision = update.revision
        for listed in update.servers:
            self._start_times.observe(listed.started_at, now)
        entries = tuple(self._update_server(listed, now) for listed in update.servers)
        if update.full:
            self._remove_absent(update, now)
        if from_discovery:
            self._start_times.on_response(now)
        return WatchEvent(WatchEventKind.FULL if update.full else WatchEventKind.DELTA, entries)

    def listed(self) -> list[Server]:
        """Returns the servers in the list, including draining ones."""
        return [server for server in self._by_uid.values() if server.listed]

    def by_uid(self, uid: str) -> Server | None:
        """Returns the server with this id, or None if it has never been listed."""
        return self._by_uid.get(uid)

    def by_number(self, number: int) -> Server | None:
        """Returns the server that the balancer identifies by this number, or None."""
        return self._by_number.get(number)

    def _update_server(self, listed: ListedServer, now: float) -> EndpointEntry:
        address = (listed.host, listed.port)
        server = self._by_uid.get(listed.uid)
        if server is None:
            log.info("server %s: added to the endpoint list, state %s", listed.uid, listed.stage.value)
            server = Server(self._allocate_number(listed.uid), listed.uid, address)
            self._by_uid[listed.uid] = server
            self._by_number[server.number] = server
        server.address = address
        server.listed = listed.stage is not Stage.GONE
        if listed.stage is Stage.READY:
            server.leaving_since = None
        else:
            self._mark_leaving(server, now)
        started_at = self._start_times.estimate(listed.uid, listed.started_at, now)
        return EndpointEntry(server.number, listed.stage, listed.zone, listed.cell, started_at, listed.weight)

    def _remove_absent(self, update: EndpointUpdate, now: float) -> None:
        present_uids = {listed.uid for listed in update.servers}
        for server in self._by_uid.values():
            if server.uid not in present_uids:
                server.listed = False
                self._mark_leaving(server, now)

    def _allocate_number(self, uid: str) -> int:
        """Derives a number from the id, so that it is the same in every proxy and after a restart."""
        digest = hashlib.blake2b(uid.encode(), digest_size=SERVER_NUMBER_BYTES).digest()
        number = int.from_bytes(digest)
        while number in self._by_number:
            number += 1
        return number

    @staticmethod
    def _mark_leaving(server: Server, now: float) -> None:
        if server.leaving_since is None:
            log.info("server %s: draining or removed from the endpoint list", server.uid)
            server.leaving_since = now
