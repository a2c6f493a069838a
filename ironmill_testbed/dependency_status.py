"""What the process of the emulated dependencies reports: counters of its servers, and attempts by request."""

from __future__ import annotations

from msgspec import Struct

from ironmill.membership.identity import Address


class ServerConnectionCounts(Struct):
    """Counters of an emulated server, from its start."""

    opened: int = 0  # connections that were answered UP
    rejected: int = 0  # requests that were answered BUSY because the server drains
    malformed: int = 0
    lines: int = 0  # echoed
    migrated: int = 0  # connections that the server itself ended with MOVE
    closed_by_proxy: int = 0
    reset: int = 0
    health_checks: int = 0
    late: int = 0  # requests that arrived after the drain was announced and its grace was over


class ServerStatus(Struct, frozen=True):
    """One emulated server."""

    server_id: str
    address: Address
    established: int  # connections, now
    counts: ServerConnectionCounts


class DependenciesStatus(Struct, frozen=True):
    """Discovery and all servers."""

    discovery: Address
    discovery_calls: int
    servers: tuple[ServerStatus, ...]

    def server(self, server_id: str) -> ServerStatus:
        """Returns the server of that id. Raises ``KeyError`` if there is none."""
        for server in self.servers:
            if server.server_id == server_id:
                return server
        raise KeyError(server_id)


class AttemptRecord(Struct, frozen=True):
    """The first line of an attempt, as a server received it."""

    request_id: str
    received_at: float  # ``time.monotonic``
    may_have_run: bool  # False if the server answered that a retry is harmless


class AttemptHistory(Struct):
    """All attempts at the servers of one process, in the order of their arrival."""

    attempts: list[AttemptRecord]
    overlaps: list[str]  # ids of requests of which a second attempt arrived while one was open
