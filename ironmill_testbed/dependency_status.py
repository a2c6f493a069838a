"""Reports of the emulated dependencies: counters of the servers, and the history of attempts."""

from __future__ import annotations

from msgspec import Struct

from ironmill.membership.identity import Address


class ServerConnectionCounts(Struct):
    """Counters of an emulated server since its start."""

    opened: int = 0  # connections that were answered UP
    rejected: int = 0  # requests that were answered BUSY because the server was draining
    malformed: int = 0
    lines: int = 0  # lines that were echoed
    migrated: int = 0  # connections that the server itself ended with MOVE
    closed_by_proxy: int = 0
    reset: int = 0
    health_checks: int = 0
    late: int = 0  # requests that arrived after the grace period that follows the announcement of a drain


class ServerStatus(Struct, frozen=True):
    """The status of one emulated server."""

    server_id: str
    address: Address
    established: int  # connections that are established now
    counts: ServerConnectionCounts


class DependenciesStatus(Struct, frozen=True):
    """The status of discovery and of all servers."""

    discovery: Address
    discovery_calls: int  # number of requests for the endpoint list
    servers: tuple[ServerStatus, ...]

    def server(self, server_id: str) -> ServerStatus:
        """Returns the status of a server. Raises ``KeyError`` if there is no server with this id."""
        for server in self.servers:
            if server.server_id == server_id:
                return server
        raise KeyError(server_id)


class AttemptRecord(Struct, frozen=True):
    """An attempt, recorded when a server received its request line."""

    request_id: str
    received_at: float  # by ``time.monotonic``
    may_have_run: bool  # False if the server answered BUSY, after which a retry is harmless


class AttemptHistory(Struct):
    """All attempts at the servers of one process, ordered by arrival."""

    attempts: list[AttemptRecord]
    overlaps: list[str]  # ids of requests whose second attempt arrived while the first one was open
